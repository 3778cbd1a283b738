package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/h1"
)

// connBook knows the callers' connections and which of them are idle.
type connTracker struct {
	mu     sync.Mutex
	states map[net.Conn]connState
	// closed holds the connections that were closed while they were idle. A
	// request that crossed the close may still be read from one.
	closedIdle map[net.Conn]bool
	active     int
}

// connKey is the context key of a request's connection.
type connKey struct{}

// attach keeps the connection in the context of its requests.
func (b *connTracker) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// alive reports whether the request's connection was not closed as idle. A
// request on one that was cannot be answered, so it must not be sent on.
func (b *connTracker) alive(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.closedIdle[c]
}

// left reports whether the request's caller has closed its connection, also when the
// server has not come round to notice it: a gateway that waits for the processor
// must not send on what nobody waits for.
func (b *connTracker) callerClosed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && h1.Closed(c)
}

// idleSince is when a connection became idle; zero while a request runs.
type connState struct {
	idleAt time.Time
	// fresh is true until its first request has come.
	fresh bool
}

// freshTime is how long a connection without a request so far counts as one whose
// request is on its way: a retransmission of its first packet, and the round trip.
const firstRequestTime = 1200 * time.Millisecond

func (s connState) expectsRequest(now time.Time) bool {
	return s.fresh && now.Sub(s.idleAt) < firstRequestTime
}

func newConnTracker() *connTracker {
	return &connTracker{states: map[net.Conn]connState{}, closedIdle: map[net.Conn]bool{}}
}

// changed is called by the server when a connection changes its state.
func (b *connTracker) stateChanged(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.states[c]
	wasActive := known && old.idleAt.IsZero()
	switch s {
	case http.StateActive:
		b.states[c] = connState{}
		if !wasActive {
			b.active++
		}
		return
	case http.StateNew, http.StateIdle:
		b.states[c] = connState{idleAt: time.Now(), fresh: s == http.StateNew}
	case http.StateClosed, http.StateHijacked:
		delete(b.states, c)
		delete(b.closedIdle, c)
	}
	if wasActive {
		b.active--
	}
}

// closeIdle closes connections that have been idle for longer than the limit.
func (b *connTracker) closeIdle(now time.Time, limit time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, s := range b.states {
		if !s.idleAt.IsZero() && now.Sub(s.idleAt) > limit && !s.expectsRequest(now) {
			b.closedIdle[c] = true
			_ = c.Close() // no request of it was sent on since its last answer
		}
	}
}

// CloseIdle closes the callers' connections that have been idle since before
// now, as the gateway itself does while it stops.
func (g *Gateway) CloseIdle(now time.Time) { g.conns.closeIdle(now, 0) }

// running returns how many requests are being served or on their way.
func (b *connTracker) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := b.active, time.Now()
	for _, s := range b.states {
		if s.expectsRequest(now) {
			n++
		}
	}
	return n
}

// open returns how many connections are open.
func (b *connTracker) openCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.states))
}
