package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// connPair returns both ends of a connection over loopback.
func connPair(t *testing.T) (server, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}

// countingUpstream accepts one connection. The channel receives the number of bytes of the
// first read: zero when the connection ends before anything was sent.
func countingUpstream(t *testing.T) (address string, got chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	got = make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		n, _ := conn.Read(make([]byte, 1)) // returns zero bytes at the end of the connection
		got <- n
		_ = conn.Close()
	}()
	return ln.Addr().String(), got
}

// TestNothingIsSentForACallerThatLeft guards against forwarding requests of callers that
// have gone: the caller's close has arrived, but the HTTP server has not detected it yet.
// In khl-galley-large, scale-1, a gateway with a seventh of a core forwarded nine such
// requests up to a second late.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	for _, c := range []struct {
		name   string
		leave  func(net.Conn) error
		limit  time.Duration
		unsent bool
		closed bool
	}{
		{"waits", func(net.Conn) error { return nil }, time.Second, false, false},
		{"closed", net.Conn.Close, time.Second, true, true},
		{"reset", func(c net.Conn) error {
			_ = c.(*net.TCPConn).SetLinger(0) // the close then resets
			return c.Close()
		}, time.Second, true, true},
		{"has no time left", func(net.Conn) error { return nil }, -time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, got := countingUpstream(t)
			here, there := connPair(t)
			if err := c.leave(there); err != nil {
				t.Fatal(err)
			}
			for c.closed && !newTestGateway().conns.callerClosed(context.WithValue(t.Context(), connKey{}, here)) {
				time.Sleep(time.Millisecond) // the close is on its way
			}
			g := newTestGateway()
			g.proto = forwardUnchanged{}
			in := httptest.NewRequest(http.MethodGet, "/x", nil).WithContext(g.conns.connContext(t.Context(), here))
			q := &request{in: in, deadline: time.Now().Add(c.limit), route: plainRoute}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, _, v, err := g.sendRequest(ctx, q, selection{up: fleet.Upstream{ID: "u", Address: address}}, "")
			if left := errors.Is(err, errCallerLeft); left != c.unsent || (v == notSent) != c.unsent {
				t.Errorf("verdict %v, %v", v, err)
			}
			g.pool.Prune(time.Now(), func(string) int { return 0 })
			if n := <-got; (n == 0) != c.unsent {
				t.Errorf("%d bytes were sent", n)
			}
			if q.callerGone() != c.closed || q.isUpstreamFault(v, err) == c.unsent {
				t.Errorf("gone %v, blames the upstream %v", q.callerGone(), q.isUpstreamFault(v, err))
			}
		})
	}
}

// plainRoute is a route of a plain service.
var plainRoute = &routetable.Route{Kind: routetable.Repeatable, MaxAttempts: 2}

// forwardUnchanged forwards a caller's headers unchanged.
type forwardUnchanged struct{ Protocol }

func (forwardUnchanged) Onward(in http.Header, _ exchange.Call, _ exchange.Target) http.Header {
	return in
}
