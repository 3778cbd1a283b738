package sharedrate

import (
	"slices"
	"time"
)

// share is what one gateway may send to one upstream with a limit. Its times are on the
// shared clock.
type share struct {
	schedule
	// next is the first slot that has not been evaluated; started is false until the
	// first evaluation, which grants nothing.
	next    int64
	started bool
	grants  []grant
}

// grant is the right to send some requests until a time.
type grant struct {
	until time.Duration
	count int
}

// revokeBelow is the fraction of the previous rate below which a new rate revokes the
// outstanding grants.
const revokeBelow = 0.8

// setRate changes the rate. Slots of the new one count from their starts after the
// change, so that a rate which changes with each answer grants no more than that rate.
func (s *share) setRate(limit RateLimit) {
	to := schedule{limit.PerSecond, limit.warmUp}
	if s.schedule == to {
		return
	}
	if to.perSecond < revokeBelow*s.perSecond {
		s.grants = nil
	}
	s.schedule, s.started = to, false
}

// advance adds the grants of the owned slots up to now.
func (s *share) advance(b Boot, g *group, now time.Duration) {
	s.grants = slices.DeleteFunc(s.grants, func(t grant) bool { return t.until <= now || t.count == 0 })
	slot := s.slotAt(now)
	if behind := s.next - slot; !s.started || behind > s.slotAt(2*s.lifetime())+1 {
		s.started, s.next = true, slot+1 // first evaluation, or the clock has gone back far
		return
	}
	for n := max(s.next, s.slotAt(now-s.lifetime())+1); n <= slot; n++ {
		if slotCapacity := s.capacity(n); slotCapacity > 0 && g.owns(b, n, s.warmUp) {
			s.grants = append(s.grants, grant{until: s.start(n) + s.lifetime(), count: slotCapacity})
		}
	}
	s.next = max(s.next, slot+1)
}

// left returns how many requests may be sent now, and when the first of the grants expires.
func (s *share) left() (count int, until time.Duration) {
	for i, t := range s.grants {
		count += t.count
		if i == 0 || t.until < until {
			until = t.until
		}
	}
	return count, until
}

// take uses the grant that expires first.
func (s *share) take() (until time.Duration, ok bool) {
	first := -1
	for i, t := range s.grants {
		if t.count > 0 && (first < 0 || t.until < s.grants[first].until) {
			first = i
		}
	}
	if first < 0 {
		return 0, false
	}
	s.grants[first].count--
	return s.grants[first].until, true
}

// giveBack returns a grant that was not used.
func (s *share) giveBack(until time.Duration) {
	s.grants = append(s.grants, grant{until: until, count: 1})
}
