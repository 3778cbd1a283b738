package admission

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/retry"
)

// station is the queue and the limit of one target, a version or a service. A
// target whose upstreams are full slows no other.
type station struct {
	target  string
	limit   adaptiveLimit
	fair    fairQueue
	drain   retry.Drain
	running int
	waiting int
}

// waiter is a request in the queue, and after it one that runs.
type waiter struct {
	ticket   Ticket
	station  *station
	org      *organisation
	flow     *flow
	lane     *lane
	cost     float64
	deadline time.Time
	// giveUp is when the wait is over, whatever the deadline.
	giveUp time.Time
	// trial is set when it runs though it is thought too long.
	trial bool
}

// least is the least time that the request needs once it runs.
func (w *waiter) least() time.Duration {
	if w.trial {
		return 0
	}
	return w.lane.runTime.least(w.cost)
}

// station returns the target's station, made when missing.
func (c *Controller) station(target string) *station {
	if s, ok := c.stations[target]; ok {
		return s
	}
	s := &station{
		target: target,
		limit:  newAdaptiveLimit(c.settings),
		fair:   newFairQueue(&c.orgs),
	}
	c.stations[target] = s
	c.order = append(c.order, s)
	return s
}

// dropStale forgets idle stations of targets that are not configured.
func (c *Controller) dropStale(set *catalog.Set) {
	var kept []*station
	for _, s := range c.order {
		if s.target == "" || s.running+s.waiting > 0 || isTarget(set, s.target) {
			kept = append(kept, s)
			continue
		}
		delete(c.stations, s.target)
	}
	c.order = kept
}

func isTarget(set *catalog.Set, target string) bool {
	if _, ok := set.Versions[catalog.VersionName(target)]; ok {
		return true
	}
	_, ok := set.Services[target]
	return ok
}

func (s *station) room() bool { return s.limit.room(s.running) }

// tooLong reports whether a request that first waits cannot meet its deadline
// or would spend too much of its time waiting.
func (w *waiter) tooLong(wait time.Duration, now time.Time) bool {
	if w.deadline.IsZero() {
		return false
	}
	budget := w.deadline.Sub(now)
	if budget <= 0 || float64(wait) > maxWaitShare*float64(budget) {
		return true
	}
	if wait+w.lane.runTime.least(w.cost) <= budget {
		return false
	}
	w.trial = w.lane.runTime.tryAnyway()
	return !w.trial
}

// wait estimates the time until a new request would run: the work in its lane
// over the lane's share of the rate at which work is done.
func (w *waiter) wait() time.Duration {
	s := w.station
	if s.waiting == 0 && s.room() {
		return 0
	}
	rate := s.drain.PerSecond() * s.fair.shareOf(w.flow) * w.flow.shareOf(w.lane)
	if rate <= 0 {
		return 0
	}
	return time.Duration((w.lane.cost + w.cost) / rate * float64(time.Second))
}
