package gateway

import (
	"sync/atomic"
	"time"
)

// contact is when the store last confirmed the configuration, on the boot
// clock. Keys may be taken away at any moment, so a gateway that has not heard
// from the store for some time must not act on what it knows of them.
type storeContact struct {
	confirmedAt atomic.Int64
	// ownAt is when an own call last succeeded, failing is true while they fail: a
	// gateway that knows the configuration from its peers alone serves what comes, but
	// callers had better go to one that reaches the store.
	lastCallAt atomic.Int64
	failing    atomic.Bool
}

// called notes how an own call ended.
func (c *storeContact) recordCall(now time.Duration, ok bool) {
	c.failing.Store(!ok)
	if ok {
		c.lastCallAt.Store(int64(now))
	}
}

// lost reports whether own calls have failed for longer than a time.
func (c *storeContact) unreachable(now, limit time.Duration) bool {
	return c.failing.Load() && now-time.Duration(c.lastCallAt.Load()) > limit
}

// longAgo stands for a confirmation that never came.
const neverTime = -1 << 62

func (c *storeContact) reset() { c.confirmedAt.Store(neverTime) }

// confirm notes that the configuration was the newest one at asked or later.
func (c *storeContact) confirm(askedAt time.Duration) {
	for {
		old := c.confirmedAt.Load()
		if int64(askedAt) <= old || c.confirmedAt.CompareAndSwap(old, int64(askedAt)) {
			return
		}
	}
}

// age returns how old the confirmation is.
func (c *storeContact) age(now time.Duration) time.Duration {
	at := c.confirmedAt.Load()
	if at == neverTime {
		return time.Duration(1 << 62)
	}
	return now - time.Duration(at)
}

// keysTrusted reports whether requests with keys may be served.
func (g *Gateway) keysTrusted() bool {
	return g.storeContact.age(g.bootClock()) < g.bounds().Keys()
}

// upToDate reports whether what is not in the configuration does not exist.
func (g *Gateway) configCurrent() bool { return g.storeContact.age(g.bootClock()) < g.bounds().Doubt() }

// listTime is how long a gateway waits after its start for the list of gateways. Without
// it, it takes the least part of the budget for repeats.
const peerListTime = time.Second

// ready reports whether new callers should come here, and why not.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.stopping.Load():
		return false, "stopping"
	case g.table.Load() == nil:
		return false, "no configuration"
	case g.fleet.Load() == nil:
		return false, "no list of upstreams"
	case g.gossip != nil && g.gossip.Gateways() == 0 && time.Since(g.started) < peerListTime:
		return false, "no list of gateways"
	case g.storeContact.age(g.bootClock()) > g.bounds().Unready():
		return false, "out of touch with the store"
	case g.storeContact.unreachable(g.bootClock(), g.bounds().Unready()):
		return false, "reaches the store through peers alone"
	}
	return true, ""
}
