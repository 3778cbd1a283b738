package client

import (
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"tarragonbay.example/tarragonbay/internal/ports/fake"
	standin "tarragonbay.example/tarragonbay/internal/standin/platform"
)

// boundCallOverhead is the bytes of HTTP around the payload of one call over
// a connection that is kept. Publication reckons with it: at one read a second
// it is a twelfth of the 6 KB a second that control may take.
const boundCallOverhead = 512

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func TestBoundsWireBytes(t *testing.T) {
	p := fake.New(fake.Options{})
	srv := httptest.NewUnstartedServer(standin.New(p).Handler())
	var bytes atomic.Int64
	srv.Listener = countingListener{srv.Listener, &bytes}
	srv.Start()
	t.Cleanup(srv.Close)
	c := New(Options{BaseURL: srv.URL})
	value := string(make([]byte, 300))
	if err := c.Table.Commit(t.Context(), txn("1", "config/head", value, 0)); err != nil {
		t.Fatal(err)
	}
	before := bytes.Load()
	const calls = 100
	for range calls {
		if _, _, err := c.Table.Get(t.Context(), "config/head"); err != nil {
			t.Fatal(err)
		}
	}
	payload := int64(len("config/head")*2 + base64Length(len(value)))
	overhead := (bytes.Load()-before)/calls - payload
	t.Logf("%d B around a payload of %d B", overhead, payload)
	if overhead > boundCallOverhead {
		t.Errorf("%d B around one call, bound %d", overhead, boundCallOverhead)
	}
}

func base64Length(n int) int { return (n + 2) / 3 * 4 }
