package balance

import "time"

// search holds the state of one Pick call.
type search struct {
	req       *Request
	pool      *pool
	now       int64
	rnd       uint64
	slowStart time.Duration
}

const (
	// maxDraws bounds the random draws for one candidate.
	maxDraws = 6
	// probeOneIn: one in so many requests looks for an upstream to probe.
	probeOneIn = 8
	// minAffinityTokens is the prompt size from which a cached prefix saves
	// more than a less loaded upstream does.
	minAffinityTokens = 64
)

// next returns a fresh random number.
func (s *search) next() uint64 {
	s.rnd += 0x9e3779b97f4a7c15
	return mix(s.rnd)
}

// index returns a random index below n.
func (s *search) index(n int) int {
	return int((s.next() >> 32) * uint64(n) >> 32)
}

// usable reports whether the upstream may take the request at all.
func (s *search) usable(m *member) bool {
	if !m.takesWork() {
		return false
	}
	return s.req.Tried.n == 0 || !s.req.Tried.Has(m.id.Load().name)
}

// probeDue reports whether this request should look for an upstream to probe.
func (s *search) probeDue() bool { return s.next()%probeOneIn == 0 }

// probe returns an upstream that failed before and that no other request
// probes now: the primary affinity upstream of the prefix, which may be outside
// the subset, or any of the subset.
func (s *search) probe(pl *pool) *member {
	if s.affinity() {
		first, _ := pl.affinityMembers(s.req.Prefix, (*member).notLeaving)
		if s.acquireProbeOf(first) {
			return first
		}
	}
	if len(pl.subset) == 0 {
		return nil
	}
	start := s.index(len(pl.subset))
	for i := range pl.subset {
		m := pl.subset[(start+i)%len(pl.subset)]
		if s.acquireProbeOf(m) {
			return m
		}
	}
	return nil
}

// acquireProbeOf reports whether this request may probe the upstream, and
// reserves the probe if so.
func (s *search) acquireProbeOf(m *member) bool {
	if m == nil || m.leaving() || s.req.Tried.Has(m.id.Load().name) {
		return false
	}
	return m.acquireProbe(s.now)
}

// affinity reports whether a cached prefix would save enough to prefer the
// upstreams that have it.
func (s *search) affinity() bool {
	return s.req.Prefix != 0 && s.req.PromptTokens >= minAffinityTokens
}

// best returns the cheapest of the affinity upstreams of the prefix, two random
// upstreams of the own failure domain and two of the other domains.
func (s *search) best(pl *pool) (m *member, affine bool) {
	var found candidate
	found.consider(s, s.draw(pl.ownDomain), unreadOther)
	found.consider(s, s.draw(pl.ownDomain), unreadOther)
	found.consider(s, s.draw(pl.otherDomains), unreadOther)
	found.consider(s, s.draw(pl.otherDomains), unreadOther)
	if s.affinity() {
		first, second := pl.affinityMembers(s.req.Prefix, (*member).ready)
		found.consider(s, s.ifUsable(first), unreadPrimary)
		found.consider(s, s.ifUsable(second), unreadSecondary)
	}
	return found.m, found.affine
}

// draw returns a random usable upstream, if possible one whose last attempt did
// not fail. It returns nil when maxDraws draws find none.
func (s *search) draw(from []*member) *member {
	if len(from) == 0 {
		return nil
	}
	var fallback *member
	for range maxDraws {
		m := from[s.index(len(from))]
		if !s.usable(m) {
			continue
		}
		if !m.suspect() {
			return m
		}
		fallback = m
	}
	return fallback
}

// ifUsable returns m, or nil when m is not usable.
func (s *search) ifUsable(m *member) *member {
	if m == nil || !s.usable(m) {
		return nil
	}
	return m
}

// anyUsable scans for any usable upstream when the draws found none: in the
// subset, then in all of the region, then in other regions.
func (s *search) anyUsable(pl *pool) *member {
	for _, list := range [][]*member{pl.subset, pl.members, pl.otherRegions} {
		if m := s.scan(list); m != nil {
			return m
		}
	}
	return nil
}

func (s *search) scan(list []*member) *member {
	if len(list) == 0 {
		return nil
	}
	start := s.index(len(list))
	for i := range list {
		if m := list[(start+i)%len(list)]; s.usable(m) {
			return m
		}
	}
	return nil
}

func (s *search) choice(m *member, affine, probe bool) Choice {
	id := m.id.Load()
	return Choice{
		Upstream: id.name, Host: id.host, Agent: id.agent, Domain: id.domain,
		Affine: affine, Probe: probe,
		member: m, pool: s.pool, at: s.now,
	}
}
