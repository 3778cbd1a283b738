package admission

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Controller holds the running and the waiting requests of all targets. It is not
// safe for concurrent use; see Limiter.
type Controller struct {
	settings Settings
	orgs     organisations
	// capacity bounds the running requests across all targets.
	capacity int
	stopping bool

	targets map[string]*targetQueue
	// ordered lists the targets in order of creation.
	ordered []*targetQueue

	next    Ticket
	running map[Ticket]*waiter
	waiting map[Ticket]*waiter
}

// NewController returns a Controller without configured organisations.
func NewController(s Settings) *Controller {
	s.setDefaults()
	return &Controller{
		settings: s,
		capacity: s.MaxLimit,
		targets:  map[string]*targetQueue{},
		running:  map[Ticket]*waiter{},
		waiting:  map[Ticket]*waiter{},
	}
}

// Configure sets the weights and limits of the organisations. share, from 0 to 1,
// is the part of each limit that applies to this entry. Configure is called with
// each new revision and whenever the number of entries changes.
func (c *Controller) Configure(set *catalog.Set, share float64, now time.Time) {
	c.orgs.configure(set.Organisations, c.settings.WeightsOnly, share, now)
	for _, s := range c.ordered {
		s.fair.reconfigure()
	}
	c.dropStale(set)
}

// SetLimit sets the fixed number of slots for requests without a target. Agents use
// it. Requests that are already running are not affected.
func (c *Controller) SetLimit(slots int, now time.Time) []Event {
	c.capacity = slots
	c.targetQueue("").limit.set(float64(slots))
	return c.dispatchAll(nil, now)
}

// SetCapacity bounds the running requests across all targets.
func (c *Controller) SetCapacity(slots int) {
	c.capacity = min(max(1, slots), c.settings.MaxLimit)
}

// SetTargetCapacity sets how many requests the usable upstreams of a target can
// run at a time. It is an upper bound of the target's limit.
func (c *Controller) SetTargetCapacity(target string, slots int) {
	c.targetQueue(target).limit.setCapacity(float64(slots))
}

// Stop refuses all waiting and later requests. Running requests are not affected.
func (c *Controller) Stop() []Event {
	c.stopping = true
	var events []Event
	for _, w := range c.all() {
		events = c.refuse(events, w, result.New(result.Stopping, "the process is stopping"))
	}
	return events
}

// all returns all waiting requests, grouped by target.
func (c *Controller) all() []*waiter {
	var out []*waiter
	for _, s := range c.ordered {
		out = append(out, s.fair.all()...)
	}
	return out
}

// Submit adds a new request and returns its ticket. If the request is decided at
// once, its event is among those returned; otherwise it waits.
func (c *Controller) Submit(req *Request, now time.Time) (Ticket, []Event) {
	c.next++
	w := c.newWaiter(req, now)
	if refusal := c.check(w, req, now); refusal != nil {
		w.target.fair.dropIdle(w.flow)
		return w.ticket, []Event{{Ticket: w.ticket, Refused: refusal}}
	}
	c.push(w)
	events := c.dispatch(nil, w.target, now)
	for len(c.waiting) > c.settings.Queue {
		worst := c.longestQueue().fair.mostOverShare()
		events = c.refuse(events, worst, c.queueFullRefusal(worst.target, now))
	}
	return w.ticket, events
}

// Preview returns how long a request would wait if it were submitted now, or its refusal.
// It changes nothing.
func (c *Controller) Preview(req *Request, now time.Time) (wait time.Duration, refusal *result.Error) {
	w := c.newWaiter(req, now)
	defer w.target.fair.dropIdle(w.flow)
	if refusal := c.check(w, req, now); refusal != nil {
		return 0, refusal
	}
	return w.estimateWait(now), nil
}

// newWaiter returns the state of a new request with the latest ticket.
func (c *Controller) newWaiter(req *Request, now time.Time) *waiter {
	s := c.targetQueue(req.Target)
	f := s.fair.flow(req.Organisation, req.Priority)
	return &waiter{
		ticket: c.next, target: s, org: f.organisation,
		flow: f, lane: f.lane(req.lane(now)), cost: req.cost(),
		deadline: req.Deadline, waitDeadline: now.Add(c.maxWait(req)),
	}
}

// maxWait returns the longest time that the request may wait.
func (c *Controller) maxWait(req *Request) time.Duration {
	if req.MaxWait > 0 {
		return min(req.MaxWait, c.settings.MaxWait)
	}
	return c.settings.MaxWait
}

// longestQueue returns the target with the most waiting requests.
func (c *Controller) longestQueue() *targetQueue {
	best := c.ordered[0]
	for _, s := range c.ordered {
		if s.waiting > best.waiting {
			best = s
		}
	}
	return best
}

// check returns the refusal of a request that must not be queued, or nil.
func (c *Controller) check(w *waiter, req *Request, now time.Time) *result.Error {
	if c.stopping {
		return result.New(result.Stopping, "the process is stopping")
	}
	if limit := w.org.inFlightLimit; limit > 0 && w.org.inFlight >= limit {
		e := result.New(result.TooManyInFlight, "organisation %s has %d requests in flight", req.Organisation, limit)
		return e.WithRetryAfter(w.target.drain.RetryAfter(0, now, c.settings.Random()))
	}
	if wait := w.estimateWait(now); w.missesDeadline(wait, now) || (req.MaxWait > 0 && wait > req.MaxWait) {
		return c.deadlineRefusal(w.target, wait, now)
	}
	if after := w.org.rates.take(req, now); after > 0 {
		return result.New(result.RateLimited, "organisation %s is over its rate", req.Organisation).WithRetryAfter(after)
	}
	return nil
}

// deadlineRefusal returns the refusal of a request that cannot meet its deadline. It
// suggests a retry once the current queue has drained.
func (c *Controller) deadlineRefusal(s *targetQueue, wait time.Duration, now time.Time) *result.Error {
	e := result.New(result.DeadlineTooClose, "the deadline cannot be met")
	return e.WithRetryAfter(max(wait, s.drain.RetryAfter(0, now, c.settings.Random())))
}

// queueFullRefusal returns the refusal of a request for a full queue or for waiting
// longer than MaxWait.
func (c *Controller) queueFullRefusal(s *targetQueue, now time.Time) *result.Error {
	e := result.New(c.settings.FullCode, "%d requests wait already", len(c.waiting)-1)
	return e.WithRetryAfter(s.drain.RetryAfter(s.fair.cost, now, c.settings.Random()))
}

// Release records the end of an admitted request and returns the decisions on
// waiting requests that result.
func (c *Controller) Release(t Ticket, fb Feedback, now time.Time) []Event {
	w, ok := c.running[t]
	if !ok {
		return nil
	}
	s := w.target
	s.limit.observeRelease(s.running, fb.congested(), now)
	if fb.RunTime > 0 {
		w.lane.runTime.add(fb.RunTime, w.cost)
	}
	s.drain.RecordDeparture(w.cost, now)
	wasFull := len(c.running) >= c.capacity
	delete(c.running, t)
	s.running--
	w.flow.running--
	w.org.inFlight--
	events := c.dispatch(nil, s, now)
	if wasFull {
		events = c.dispatchAll(events, now)
	}
	s.fair.dropIdle(w.flow)
	return events
}

// Cancel removes a waiting request whose caller is gone. It returns false if the
// request is not waiting any more.
func (c *Controller) Cancel(t Ticket) bool {
	w, ok := c.waiting[t]
	if !ok {
		return false
	}
	c.remove(w)
	return true
}

// Tick refuses all waiting requests that can no longer meet their deadline or have
// waited too long, and admits others where there is room. It is called a few times
// a second.
func (c *Controller) Tick(now time.Time) []Event {
	var events []Event
	for _, w := range c.all() {
		if refusal := c.expiryRefusal(w, now); refusal != nil {
			events = c.refuse(events, w, refusal)
		}
	}
	return c.dispatchAll(events, now)
}

// expiryRefusal returns the refusal of a waiting request that can no longer meet its
// deadline or has waited too long, or nil.
func (c *Controller) expiryRefusal(w *waiter, now time.Time) *result.Error {
	if !w.deadline.IsZero() && now.Add(w.lowRunTime()).After(w.deadline) {
		return c.deadlineRefusal(w.target, 0, now)
	}
	if now.After(w.waitDeadline) {
		return c.queueFullRefusal(w.target, now)
	}
	return nil
}

// dispatchAll dispatches the waiting requests of all targets, in order of creation.
func (c *Controller) dispatchAll(events []Event, now time.Time) []Event {
	for _, s := range c.ordered {
		events = c.dispatch(events, s, now)
	}
	return events
}

// dispatch admits a target's waiting requests in the order of fair queueing while
// the limits allow.
func (c *Controller) dispatch(events []Event, s *targetQueue, now time.Time) []Event {
	for s.waiting > 0 && s.hasRoom(now) && len(c.running) < c.capacity {
		w := s.fair.pick()
		if refusal := c.expiryRefusal(w, now); refusal != nil {
			events = c.refuse(events, w, refusal)
			continue
		}
		c.admit(w)
		events = append(events, Event{Ticket: w.ticket})
	}
	return events
}

// push adds a new request to its queue and counts it as in flight.
func (c *Controller) push(w *waiter) {
	w.target.fair.push(w)
	w.target.waiting++
	w.org.inFlight++
	c.waiting[w.ticket] = w
}

// admit moves a request from its queue to the running ones.
func (c *Controller) admit(w *waiter) {
	w.target.fair.dispatched(w)
	w.target.pace.take()
	w.target.waiting--
	w.target.running++
	w.flow.running++
	delete(c.waiting, w.ticket)
	c.running[w.ticket] = w
}

// refuse removes a waiting request and appends the event of its refusal.
func (c *Controller) refuse(events []Event, w *waiter, refusal *result.Error) []Event {
	c.remove(w)
	return append(events, Event{Ticket: w.ticket, Refused: refusal})
}

// remove takes a waiting request out of its queue and out of the count in flight.
func (c *Controller) remove(w *waiter) {
	w.target.fair.remove(w)
	w.target.waiting--
	w.org.inFlight--
	delete(c.waiting, w.ticket)
	w.target.fair.dropIdle(w.flow)
}
