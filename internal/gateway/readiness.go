package gateway

import (
	"sync/atomic"
	"time"
)

// storeContact records when the store last confirmed the configuration, on the boot clock.
// Keys may be revoked at any moment, so a gateway without a recent confirmation must not
// serve keyed requests from the configuration it holds.
type storeContact struct {
	confirmedAt atomic.Int64
	// lastCallAt is when this gateway's own call to the store last succeeded; failing is
	// true while its calls fail. A gateway that gets the configuration only from its peers
	// still serves requests, but callers should prefer a gateway that reaches the store.
	lastCallAt atomic.Int64
	failing    atomic.Bool
}

// recordCall records the result of one of this gateway's calls to the store.
func (c *storeContact) recordCall(now time.Duration, ok bool) {
	c.failing.Store(!ok)
	if ok {
		c.lastCallAt.Store(int64(now))
	}
}

// unreachable reports whether this gateway's calls have failed for longer than limit.
func (c *storeContact) unreachable(now, limit time.Duration) bool {
	return c.failing.Load() && now-time.Duration(c.lastCallAt.Load()) > limit
}

// neverTime is the time of an event that has not happened yet.
const neverTime = -1 << 62

func (c *storeContact) reset() { c.confirmedAt.Store(neverTime) }

// confirm records that the configuration was the newest one at askedAt or later.
func (c *storeContact) confirm(askedAt time.Duration) {
	for {
		old := c.confirmedAt.Load()
		if int64(askedAt) <= old || c.confirmedAt.CompareAndSwap(old, int64(askedAt)) {
			return
		}
	}
}

// age returns the time since the last confirmation.
func (c *storeContact) age(now time.Duration) time.Duration {
	at := c.confirmedAt.Load()
	if at == neverTime {
		return time.Duration(1 << 62)
	}
	return now - time.Duration(at)
}

// keysTrusted reports whether requests with keys may be served.
func (g *Gateway) keysTrusted() bool {
	return g.storeContact.age(g.bootClock()) < g.bounds().MaxKeysAge()
}

// configCurrent reports whether the configuration is recent enough that a key or route
// missing from it does not exist.
func (g *Gateway) configCurrent() bool {
	return g.storeContact.age(g.bootClock()) < g.bounds().OutdatedAge()
}

// peerListTime is how long a gateway waits after its start for the list of gateways.
// Without the list, it uses the smallest share of the retry budget.
const peerListTime = time.Second

// ready reports whether new callers should be sent to this gateway, and the reason if not.
func (g *Gateway) ready() (bool, string) {
	switch {
	case g.stopping():
		return false, "stopping"
	case g.routeTable.Load() == nil:
		return false, "no configuration"
	case g.fleet.Load() == nil:
		return false, "no list of upstreams"
	case g.gossip != nil && g.gossip.Gateways() == 0 && time.Since(g.started) < peerListTime:
		return false, "no list of gateways"
	case g.storeContact.age(g.bootClock()) > g.bounds().UnreadyAge():
		return false, "out of touch with the store"
	case g.storeContact.unreachable(g.bootClock(), g.bounds().UnreadyAge()):
		return false, "reaches the store only through peers"
	}
	return true, ""
}
