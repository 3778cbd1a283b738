package peers

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
)

// maxLimitsSent bounds the limits in one gossip message, so that the message fits a datagram.
// Far fewer upstreams are limited at a time. The newest limits come first.
const maxLimitsSent = 120

// AddLimits adds to a gossip message the limits that upstreams have reported, newest first,
// and the demand for each service.
func AddLimits(n *gossipv1.News, limits []sharedrate.SentLimit, demands map[string]sharedrate.Level) {
	for _, t := range limits[:min(len(limits), maxLimitsSent)] {
		n.Limited, n.Limits = append(n.Limited, uint32(t.Boot)), append(n.Limits, t.PerSecond)
		n.LimitAgesMs = append(n.LimitAgesMs, uint32(min(t.Age, maxAge)/time.Millisecond))
	}
	for service, level := range demands {
		n.Demanded, n.DemandLevels = append(n.Demanded, Hash(service)), append(n.DemandLevels, uint32(level))
	}
}

// maxAge bounds the ages sent, which are 32-bit milliseconds in gossip messages.
const maxAge = 24 * time.Hour

// decodeLimits returns the limits in a gossip message, or nil if its columns differ in length.
func decodeLimits(n *gossipv1.News) []sharedrate.SentLimit {
	boots, rates, ages := n.GetLimited(), n.GetLimits(), n.GetLimitAgesMs()
	if len(rates) != len(boots) || len(ages) != len(boots) {
		return nil
	}
	out := make([]sharedrate.SentLimit, 0, len(boots))
	for i, b := range boots {
		if rates[i] >= 0 {
			out = append(out, sharedrate.SentLimit{Boot: sharedrate.Boot(b), PerSecond: rates[i], Age: time.Duration(ages[i]) * time.Millisecond})
		}
	}
	return out
}

// demand returns the demand for a service in the peer's latest gossip message; ok is false
// if there is no message or its columns differ in length.
func (h *peerState) demand(service string) (level sharedrate.Level, ok bool) {
	if h == nil || len(h.message.GetDemandLevels()) != len(h.message.GetDemanded()) {
		return 0, false
	}
	hash := Hash(service)
	for i, s := range h.message.GetDemanded() {
		if s == hash {
			return sharedrate.Level(min(h.message.GetDemandLevels()[i], 255)), true
		}
	}
	return 0, true
}

// peerTimeout is how long a listed gateway may be silent before it is treated as gone. A
// gateway that crashed for good leaves its row behind; network partitions seldom last as long.
const peerTimeout = time.Minute

// Members returns, for each service, the other gateways that share its rate with this one.
// It returns nil until the gateway table has been read.
func (t *Gossip) Members(services []string, now time.Time) map[string][]sharedrate.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.read {
		return nil
	}
	out := make(map[string][]sharedrate.Member, len(services))
	t.Peers.mu.RLock()
	defer t.Peers.mu.RUnlock()
	fresh := t.Peers.freshFor()
	for _, service := range services {
		members := make([]sharedrate.Member, 0, len(t.listed))
		for name, p := range t.listed {
			h, last := t.Peers.peers[name], p.since
			if h != nil && h.at.After(last) {
				last = h.at
			}
			if now.Sub(last) > peerTimeout {
				continue
			}
			m := sharedrate.Member{Name: name, Reachable: h != nil && now.Sub(h.at) <= fresh}
			m.Demand, m.DemandKnown = h.demand(service)
			members = append(members, m)
		}
		out[service] = members
	}
	return out
}

// dispatchNotices passes on the upstream limits and departures, and the counts for retry
// budgets, in a listed gateway's message.
func (t *Gossip) dispatchNotices(n *gossipv1.News) {
	if len(n.GetLeaving()) > 0 {
		t.opts.Leaving(n.GetGateway(), n.GetLeaving())
	}
	if totals := decodeBudgets(n, t.opts.Name); len(totals) > 0 {
		t.opts.Budgets(n.GetGateway(), n.GetIncarnation(), totals)
	}
	if limits := decodeLimits(n); len(limits) > 0 {
		t.opts.Limits(n.GetGateway(), limits)
	}
}
