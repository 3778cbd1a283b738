package httpserver

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/standin/pipe"
)

// get starts a request over a connection of its own. It may wait for a place;
// the connection is closed to end it.
func get(ln *pipe.Listener) (end func()) {
	ended := make(chan struct{})
	go func() {
		c := ln.Dial()
		go func() {
			<-ended
			c.Close()
		}()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // a test that ends closes the pipe
		_, _ = io.Copy(io.Discard, c)
	}()
	return func() { close(ended) }
}

// configFor returns the configuration of a listener with room for some connections.
func configFor(connections int) Config {
	return Config{
		Name: "tests", Admission: Admission{Share: holding.NewShare(holding.Limits{Bytes: 1 << 20, Connections: connections})}, HeaderBytes: 4096,
		ReadHeader: time.Second, Idle: time.Minute, Drain: 10 * time.Second,
	}
}

var testConfig = configFor(1)

// TestConnectionsOverTheLimitDoNotWait: while a request runs on the only connection, another
// connection is refused at once; once the request has ended, its connection makes room.
func TestConnectionsOverTheLimitDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int32
		release := make(chan struct{})
		ln := pipe.Listen()
		s := New(configFor(1), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			served.Add(1)
			<-release
		}), ln)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		endFirst := get(ln)
		synctest.Wait()
		endSecond := get(ln)
		synctest.Wait()
		if n := served.Load(); n != 1 {
			t.Errorf("%d requests were served, want 1", n)
		}
		if n := s.config.Share.Refused(); n != 1 {
			t.Errorf("%d connections were refused, want 1", n)
		}
		close(release)
		time.Sleep(time.Second) // a pipe holds no bytes: its ends write at each other until a deadline
		endThird := get(ln)
		synctest.Wait()
		if n := served.Load(); n != 2 {
			t.Errorf("%d requests were served after the first ended, want 2", n)
		}
		endFirst()
		endSecond()
		endThird()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestRequestThatNeverEndsIsCutAfterTheDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := pipe.Listen()
		cut := make(chan struct{})
		s := New(testConfig, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(cut)
		}), ln)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		end := get(ln)
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
		end()
	})
}
