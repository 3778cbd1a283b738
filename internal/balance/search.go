package balance

import "time"

// search is one choice in progress.
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
	// probeOneIn is the share of requests that look for an upstream to probe.
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
// probes now: the home of the prefix, which may stand outside the subset, or
// any of the subset.
func (s *search) probe(pl *pool) *member {
	if s.affinity() {
		first, _ := pl.homes(s.req.Prefix, (*member).staying)
		if s.mayProbe(first) {
			return first
		}
	}
	if len(pl.subset) == 0 {
		return nil
	}
	start := s.index(len(pl.subset))
	for i := range pl.subset {
		m := pl.subset[(start+i)%len(pl.subset)]
		if s.mayProbe(m) {
			return m
		}
	}
	return nil
}

// mayProbe reports whether this request is the one that probes the upstream.
func (s *search) mayProbe(m *member) bool {
	if m == nil || m.leaving() || s.req.Tried.Has(m.id.Load().name) {
		return false
	}
	return m.takeProbe(s.now)
}

// affinity reports whether a cached prefix would save enough to be sought.
func (s *search) affinity() bool {
	return s.req.Prefix != 0 && s.req.PromptTokens >= minAffinityTokens
}

// best weighs the homes of the prefix against two random upstreams of the own
// failure domain and two of the others.
func (s *search) best(pl *pool) (m *member, affine bool) {
	var found candidate
	found.consider(s, s.draw(pl.near), unreadElsewhere)
	found.consider(s, s.draw(pl.near), unreadElsewhere)
	found.consider(s, s.draw(pl.away), unreadElsewhere)
	found.consider(s, s.draw(pl.away), unreadElsewhere)
	if s.affinity() {
		first, second := pl.homes(s.req.Prefix, (*member).sound)
		found.consider(s, s.ifUsable(first), unreadFirstHome)
		found.consider(s, s.ifUsable(second), unreadSecondHome)
	}
	return found.m, found.affine
}

// draw returns a random usable upstream, one without a recent failure when
// it finds one.
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

// ifUsable returns nil in place of an upstream that cannot be used.
func (s *search) ifUsable(m *member) *member {
	if m == nil || !s.usable(m) {
		return nil
	}
	return m
}

// last scans for any usable upstream when the draws found none: the subset,
// then all of the region, then other regions.
func (s *search) last(pl *pool) *member {
	for _, list := range [][]*member{pl.subset, pl.members, pl.far} {
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
