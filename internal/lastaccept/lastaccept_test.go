package lastaccept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func listen(t *testing.T) *Listener {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return New(ln)
}

// acceptAll returns how many connections are accepted until the listener ends.
func acceptAll(t *testing.T, l *Listener) int {
	t.Helper()
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			if !errors.Is(err, http.ErrServerClosed) || !l.HasEnded() {
				t.Errorf("end %v, ended %v", err, l.HasEnded())
			}
			return n
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestConnectionsThatWaitAreAccepted: Accept is called for the first time long after the
// deadline, as in a process that did not run.
func TestConnectionsThatWaitAreAccepted(t *testing.T) {
	l := listen(t)
	const clients = 20
	for range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if err := l.Finish(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * openTimeout)
	if n := acceptAll(t, l); n != clients || l.Last().Accepted != clients {
		t.Errorf("%d of %d accepted, %+v", n, clients, l.Last())
	}
}

// TestEachOpenedConnectionIsAccepted: clients go on to connect until the listener is closed,
// a while after it has ended.
func TestEachOpenedConnectionIsAccepted(t *testing.T) {
	l := listen(t)
	var opened atomic.Int64
	ctx, closed := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for ctx.Err() == nil {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
				if err == nil {
					opened.Add(1)
					defer c.Close()
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	done := make(chan int)
	go func() { done <- acceptAll(t, l) }()
	time.Sleep(openTimeout)
	if err := l.Finish(); err != nil {
		t.Fatal(err)
	}
	accepted := <-done
	time.Sleep(openTimeout)
	_ = l.Close() // of a listener that has ended
	closed()
	clients.Wait()
	if last := l.Last(); last.DropsNew != (runtime.GOOS == "linux") || last.DropsNew && int64(accepted) != opened.Load() {
		t.Errorf("%d accepted of %d opened, %+v", accepted, opened.Load(), last)
	}
}

// failing is a listener whose Accept returns errors.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// TestErrorsOfAccept: want is what Accept returns in turn.
func TestErrorsOfAccept(t *testing.T) {
	noDescriptor := &net.OpError{Op: "accept", Err: syscall.EMFILE}
	for _, c := range []struct {
		name     string
		finishes bool
		err      error
		ends     bool
	}{
		{"closed", false, net.ErrClosed, false},
		{"closed at the end", true, net.ErrClosed, true},
		{"no descriptor", false, noDescriptor, false},
		{"no descriptor at the end", true, noDescriptor, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			if c.finishes {
				if err := l.Finish(); err != nil {
					t.Fatal(err)
				}
			}
			l.Listener = &failing{Listener: l.Listener, errs: []error{c.err}}
			want := c.err
			if c.ends {
				want = http.ErrServerClosed
			}
			if _, err := l.Accept(); !errors.Is(err, want) || l.HasEnded() != c.ends {
				t.Errorf("%v, ended %v; want %v, %v", err, l.HasEnded(), want, c.ends)
			}
		})
	}
}
