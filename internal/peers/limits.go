package peers

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
)

// mostLimitsTold bounds the limits in one round of news, so that it fits a datagram: far
// more upstreams than are in need at a time. The newest words come first.
const mostLimitsTold = 120

// TellLimits adds what upstreams have said of their limits, and the demand for services.
func TellLimits(n *gossipv1.News, told []sharedrate.Told, demands map[string]sharedrate.Level) {
	for _, t := range told[:min(len(told), mostLimitsTold)] {
		n.Limited, n.Limits = append(n.Limited, uint32(t.Boot)), append(n.Limits, t.PerSecond)
		n.LimitAgesMs = append(n.LimitAgesMs, uint32(min(t.Age, maxAge)/time.Millisecond))
	}
	for service, level := range demands {
		n.Demanded, n.DemandLevels = append(n.Demanded, Hash(service)), append(n.DemandLevels, uint32(level))
	}
}

// maxAge bounds ages, which are 32 bits of milliseconds in datagrams.
const maxAge = 24 * time.Hour

// limits decodes them; torn columns tell nothing.
func limits(n *gossipv1.News) []sharedrate.Told {
	boots, rates, ages := n.GetLimited(), n.GetLimits(), n.GetLimitAgesMs()
	if len(rates) != len(boots) || len(ages) != len(boots) {
		return nil
	}
	out := make([]sharedrate.Told, 0, len(boots))
	for i, b := range boots {
		if rates[i] >= 0 {
			out = append(out, sharedrate.Told{Boot: sharedrate.Boot(b), PerSecond: rates[i], Age: time.Duration(ages[i]) * time.Millisecond})
		}
	}
	return out
}

// demand is what a peer has told last of the demand for a service.
func (h *heard) demand(service string) (level sharedrate.Level, ok bool) {
	if h == nil || len(h.news.GetDemandLevels()) != len(h.news.GetDemanded()) {
		return 0, false
	}
	hash := Hash(service)
	for i, s := range h.news.GetDemanded() {
		if s == hash {
			return sharedrate.Level(min(h.news.GetDemandLevels()[i], 255)), true
		}
	}
	return 0, true
}

// goneAfter is how long a listed gateway must have been silent to be taken as gone. A
// gateway that crashed for good leaves its row behind; cuts seldom last as long.
const goneAfter = time.Minute

// Members returns the gateways that share the rates of services with this one; there are
// none while the table has not been read.
func (t *Talk) Members(services []string, now time.Time) map[string][]sharedrate.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.read {
		return nil
	}
	out := make(map[string][]sharedrate.Member, len(services))
	t.Book.mu.RLock()
	defer t.Book.mu.RUnlock()
	fresh := t.Book.fresh()
	for _, service := range services {
		members := make([]sharedrate.Member, 0, len(t.listed))
		for name, p := range t.listed {
			h, last := t.Book.peers[name], p.since
			if h != nil && h.at.After(last) {
				last = h.at
			}
			if now.Sub(last) > goneAfter {
				continue
			}
			m := sharedrate.Member{Name: name, Heard: h != nil && now.Sub(h.at) <= fresh}
			m.Demand, m.Told = h.demand(service)
			members = append(members, m)
		}
		out[service] = members
	}
	return out
}

// pass hands on what a listed gateway has heard from upstreams.
func (t *Talk) pass(n *gossipv1.News) {
	if len(n.GetLeaving()) > 0 {
		t.o.Leaving(n.GetGateway(), n.GetLeaving())
	}
	if told := limits(n); len(told) > 0 {
		t.o.Limits(n.GetGateway(), told)
	}
}
