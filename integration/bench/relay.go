package bench

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// relay stands on the link between an entry and an agent and counts what
// passes.
type relay struct {
	listener net.Listener
	to       string
	// calls counts attempts, up and down the bytes in each direction.
	calls    atomic.Int64
	up, down atomic.Int64
}

func newRelay(t testing.TB, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &relay{listener: l, to: to}
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			near.Close()
			continue
		}
		go r.back(near, far)
		go r.forward(near, far)
	}
}

// forward passes requests on and counts their calls.
func (r *relay) forward(near, far net.Conn) {
	defer far.Close()
	sent := io.TeeReader(near, io.MultiWriter(far, counter{&r.up}))
	in := bufio.NewReader(sent)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.calls.Add(1)
	}
}

func (r *relay) back(near, far net.Conn) {
	defer near.Close()
	_, _ = io.Copy(io.MultiWriter(near, counter{&r.down}), far)
}

// counter counts the bytes written to it.
type counter struct{ n *atomic.Int64 }

// Write counts.
func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

// traffic is what has passed so far.
type traffic struct{ calls, up, down int64 }

func (r *relay) traffic() traffic {
	return traffic{r.calls.Load(), r.up.Load(), r.down.Load()}
}
