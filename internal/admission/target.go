package admission

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/retry"
)

// targetQueue is the queue and the limit of one target, a version or a service.
// Targets have separate queues so that a target with busy upstreams does not slow
// the others.
type targetQueue struct {
	target  string
	limit   adaptiveLimit
	fair    fairQueue
	drain   retry.DrainRate
	pace    paceLimit
	running int
	waiting int
}

// waiter is the state of a submitted request, kept while it waits and while it runs.
type waiter struct {
	ticket   Ticket
	target   *targetQueue
	org      *organisation
	flow     *flow
	lane     *lane
	cost     float64
	deadline time.Time
	// waitDeadline is when the request is refused if it still waits, whatever
	// its deadline.
	waitDeadline time.Time
	// probe is set when the request may run although its estimated run time
	// is too long.
	probe bool
}

// lowRunTime returns a low estimate of the run time, 0 for a probe.
func (w *waiter) lowRunTime() time.Duration {
	if w.probe {
		return 0
	}
	return w.lane.runTime.lowEstimate(w.cost)
}

// targetQueue returns the queue of the target, and creates it if missing.
func (c *Controller) targetQueue(target string) *targetQueue {
	if s, ok := c.targets[target]; ok {
		return s
	}
	s := &targetQueue{
		target: target,
		limit:  newAdaptiveLimit(c.settings),
		fair:   newFairQueue(&c.orgs),
	}
	c.targets[target] = s
	c.ordered = append(c.ordered, s)
	return s
}

// dropStale removes idle queues of targets that are not configured.
func (c *Controller) dropStale(set *catalog.Set) {
	var kept []*targetQueue
	for _, s := range c.ordered {
		if s.target == "" || s.running+s.waiting > 0 || isTarget(set, s.target) {
			kept = append(kept, s)
			continue
		}
		delete(c.targets, s.target)
	}
	c.ordered = kept
}

func isTarget(set *catalog.Set, target string) bool {
	if _, ok := set.Versions[catalog.VersionName(target)]; ok {
		return true
	}
	_, ok := set.Services[target]
	return ok
}

// hasRoom reports whether the limit and the pace admit another request.
func (s *targetQueue) hasRoom(now time.Time) bool {
	return s.limit.hasRoom(s.running) && s.pace.hasRoom(now)
}

// missesDeadline reports whether a request that first waits for the given time cannot
// meet its deadline or would spend too large a share of its time waiting. It marks
// some of the requests with a too long run time as probes instead.
func (w *waiter) missesDeadline(wait time.Duration, now time.Time) bool {
	if w.deadline.IsZero() {
		return false
	}
	budget := w.deadline.Sub(now)
	if budget <= 0 || float64(wait) > maxWaitShare*float64(budget) {
		return true
	}
	if wait+w.lane.runTime.lowEstimate(w.cost) <= budget {
		return false
	}
	w.probe = w.lane.runTime.shouldProbe()
	return !w.probe
}

// estimateWait estimates the time until a new request would run: the cost queued in
// its lane, with its own, divided by the lane's share of the rate at which the
// target completes cost.
func (w *waiter) estimateWait(now time.Time) time.Duration {
	s := w.target
	if s.waiting == 0 && s.hasRoom(now) {
		return 0
	}
	rate := s.drain.PerSecond()
	if s.pace.active() {
		if s.waiting == 0 {
			return s.pace.untilToken(1, now)
		}
		rate = s.pace.PerSecond
	}
	rate *= s.fair.shareOf(w.flow) * w.flow.shareOf(w.lane)
	if rate <= 0 {
		return 0
	}
	return time.Duration((w.lane.cost + w.cost) / rate * float64(time.Second))
}
