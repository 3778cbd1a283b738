package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// pipeListener hands out in-memory connections, whose deadlines run on the
// virtual clock of a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// get sends a request over a connection of its own, once it is accepted.
func (l *pipeListener) get() net.Conn {
	client, server := net.Pipe()
	go func() {
		l.conns <- server
		_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // a test that ends closes the pipe
		_, _ = io.Copy(io.Discard, client)
	}()
	return client
}

var testConfig = Config{
	Name: "tests", Connections: 1, HeaderBytes: 4096,
	ReadHeader: time.Second, Idle: time.Minute, Drain: 10 * time.Second,
}

func TestConnectionsOverTheLimitWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int32
		ln := newPipeListener()
		s := New(testConfig, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }), ln)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		first := ln.get()
		synctest.Wait()
		second := ln.get()
		synctest.Wait()
		if n := served.Load(); n != 1 {
			t.Errorf("%d requests were served, want 1", n)
		}
		first.Close()
		synctest.Wait()
		if n := served.Load(); n != 2 {
			t.Errorf("%d requests were served after the first closed, want 2", n)
		}
		second.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestRequestThatNeverEndsIsCutAfterTheDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newPipeListener()
		cut := make(chan struct{})
		s := New(testConfig, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(cut)
		}), ln)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		c := ln.get()
		synctest.Wait()
		cancel()
		began := time.Now()
		if err := <-done; !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(began); took != testConfig.Drain {
			t.Errorf("the drain took %v", took)
		}
		<-cut
		c.Close()
	})
}
