package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/intake"
)

// connTracker tracks the callers' connections and which of them are idle.
type connTracker struct {
	mu     sync.Mutex
	states map[net.Conn]connState
	// closedIdle holds the connections that the gateway closed while they were idle. A
	// request that crossed the close on the network may still be read from such a
	// connection.
	closedIdle map[net.Conn]bool
	active     int
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext stores the connection in the context of its requests.
func (tr *connTracker) connContext(ctx context.Context, c net.Conn) context.Context {
	return intake.ConnContext(context.WithValue(ctx, connKey{}, c), c)
}

// alive reports whether the request's connection has not been closed as idle. A request on
// a closed connection cannot be answered, so it must not be sent to an upstream.
func (tr *connTracker) alive(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return !tr.closedIdle[c]
}

// callerClosed reports whether the request's caller has closed its connection, even when
// the HTTP server has not detected the close yet. A gateway short of processor time must
// not forward requests whose callers have gone.
func (tr *connTracker) callerClosed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && h1.PeerClosed(c)
}

// connState is the state of one connection. idleAt is when it became idle; zero while a
// request runs.
type connState struct {
	idleAt time.Time
	// fresh is true until the first request has arrived.
	fresh bool
}

// firstRequestTime is how long the gateway expects the first request on a new connection:
// one retransmission of its first packet plus the round trip.
const firstRequestTime = 1200 * time.Millisecond

// expectsRequest reports whether the connection is new and its first request may be on the way.
func (s connState) expectsRequest(now time.Time) bool {
	return s.fresh && now.Sub(s.idleAt) < firstRequestTime
}

func newConnTracker() *connTracker {
	return &connTracker{states: map[net.Conn]connState{}, closedIdle: map[net.Conn]bool{}}
}

// stateChanged is the ConnState hook of the HTTP server.
func (tr *connTracker) stateChanged(c net.Conn, s http.ConnState) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	old, known := tr.states[c]
	wasActive := known && old.idleAt.IsZero()
	switch s {
	case http.StateActive:
		tr.states[c] = connState{}
		if !wasActive {
			tr.active++
		}
		return
	case http.StateNew, http.StateIdle:
		tr.states[c] = connState{idleAt: time.Now(), fresh: s == http.StateNew}
	case http.StateClosed, http.StateHijacked:
		delete(tr.states, c)
		delete(tr.closedIdle, c)
	}
	if wasActive {
		tr.active--
	}
}

// closeIdle closes connections that have been idle for longer than limit.
func (tr *connTracker) closeIdle(now time.Time, limit time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for c, s := range tr.states {
		if !s.idleAt.IsZero() && now.Sub(s.idleAt) > limit && !s.expectsRequest(now) {
			tr.closedIdle[c] = true
			_ = c.Close() // no request of the connection was forwarded since its last answer
		}
	}
}

// closeAll closes all connections unless a request runs or is expected on one.
func (tr *connTracker) closeAll(now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.runningLocked(now) > 0 {
		return false
	}
	for c := range tr.states {
		tr.closedIdle[c] = true
		_ = c.Close() // no request of the connection was forwarded since its last answer
	}
	return true
}

// CloseIdle closes the callers' connections that have been idle since before now, as the
// gateway itself does while it stops.
func (g *Gateway) CloseIdle(now time.Time) { g.conns.closeIdle(now, 0) }

// running returns the number of requests that are in flight or expected on new
// connections.
func (tr *connTracker) running() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.runningLocked(time.Now())
}

func (tr *connTracker) runningLocked(now time.Time) int {
	n := tr.active
	for _, s := range tr.states {
		if s.expectsRequest(now) {
			n++
		}
	}
	return n
}

// openCount returns the number of open connections.
func (tr *connTracker) openCount() int64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return int64(len(tr.states))
}
