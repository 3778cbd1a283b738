package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connBook knows the callers' connections and which of them are idle.
type connBook struct {
	mu     sync.Mutex
	states map[net.Conn]idleSince
	active int
}

// idleSince is when a connection became idle; zero while a request runs.
type idleSince struct{ at time.Time }

func newConnBook() *connBook { return &connBook{states: map[net.Conn]idleSince{}} }

// changed is called by the server when a connection changes its state.
func (b *connBook) changed(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.states[c]
	wasActive := known && old.at.IsZero()
	switch s {
	case http.StateActive:
		b.states[c] = idleSince{}
		if !wasActive {
			b.active++
		}
		return
	case http.StateNew, http.StateIdle:
		b.states[c] = idleSince{at: time.Now()}
	case http.StateClosed, http.StateHijacked:
		delete(b.states, c)
	}
	if wasActive {
		b.active--
	}
}

// closeIdle closes connections that have been idle for longer than the limit.
func (b *connBook) closeIdle(now time.Time, limit time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, s := range b.states {
		if !s.at.IsZero() && now.Sub(s.at) > limit {
			_ = c.Close() // nothing was read from it since its last answer
		}
	}
}

// running returns how many requests are being served.
func (b *connBook) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active
}

// open returns how many connections are open.
func (b *connBook) open() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.states))
}
