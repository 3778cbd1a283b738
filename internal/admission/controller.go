package admission

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Controller is the aggregate that holds the running and waiting requests. It
// is not safe for concurrent use; see Limiter.
type Controller struct {
	settings Settings
	orgs     organisations
	// capacity bounds the running requests over all stations.
	capacity int
	stopping bool

	stations map[string]*station
	// order lists the stations in the order in which they were made.
	order []*station

	next    Ticket
	running map[Ticket]*waiter
	waiting map[Ticket]*waiter
}

// NewController returns a Controller without organisations.
func NewController(s Settings) *Controller {
	s.setDefaults()
	return &Controller{
		settings: s,
		capacity: s.MaxLimit,
		stations: map[string]*station{},
		running:  map[Ticket]*waiter{},
		waiting:  map[Ticket]*waiter{},
	}
}

// Configure takes the organisations' weights and limits. share is the part of
// each limit that holds at this entry, 0 to 1. It is called with each new
// revision and whenever the number of entries changes.
func (c *Controller) Configure(set *catalog.Set, share float64, now time.Time) {
	c.orgs.configure(set.Organisations, c.settings.WeightsOnly, share, now)
	for _, s := range c.order {
		s.fair.reconfigure()
	}
	c.dropStale(set)
}

// SetLimit sets the exact number of slots of requests without a target; used
// by the agent. Requests that run already are not touched.
func (c *Controller) SetLimit(slots int, now time.Time) []Event {
	c.capacity = slots
	c.station("").limit.set(float64(slots))
	return c.dispatchAll(nil, now)
}

// SetCapacity bounds the requests that run at a time, over all targets.
func (c *Controller) SetCapacity(slots int) {
	c.capacity = min(max(1, slots), c.settings.MaxLimit)
}

// SetTargetCapacity tells how many requests the usable upstreams of a target
// can run at a time. The target's limit stays at or under it.
func (c *Controller) SetTargetCapacity(target string, slots int) {
	c.station(target).limit.setCapacity(float64(slots))
}

// Stop refuses everything that waits or comes later. What runs goes on.
func (c *Controller) Stop() []Event {
	c.stopping = true
	var events []Event
	for _, w := range c.all() {
		events = c.refuse(events, w, result.New(result.Stopping, "the process is stopping"))
	}
	return events
}

// all returns every waiter, station by station.
func (c *Controller) all() []*waiter {
	var out []*waiter
	for _, s := range c.order {
		out = append(out, s.fair.all()...)
	}
	return out
}

// Submit takes a new request. The ticket's event is among those returned when
// it is decided at once; otherwise the request waits.
func (c *Controller) Submit(req *Request, now time.Time) (Ticket, []Event) {
	c.next++
	w := c.waiter(req, now)
	if refusal := c.check(w, req, now); refusal != nil {
		w.station.fair.dropIdle(w.flow)
		return w.ticket, []Event{{Ticket: w.ticket, Refused: refusal}}
	}
	c.push(w)
	events := c.dispatch(nil, w.station, now)
	for len(c.waiting) > c.settings.Queue {
		worst := c.fullest().fair.overShare()
		events = c.refuse(events, worst, c.full(worst.station, now))
	}
	return w.ticket, events
}

func (c *Controller) waiter(req *Request, now time.Time) *waiter {
	s := c.station(req.Target)
	f := s.fair.flow(req.Organisation, req.Priority)
	return &waiter{
		ticket: c.next, station: s, org: f.organisation,
		flow: f, lane: f.lane(req.lane(now)), cost: req.cost(),
		deadline: req.Deadline, giveUp: now.Add(c.settings.MaxWait),
	}
}

// fullest is the station where the most requests wait.
func (c *Controller) fullest() *station {
	best := c.order[0]
	for _, s := range c.order {
		if s.waiting > best.waiting {
			best = s
		}
	}
	return best
}

// check refuses what must not even wait.
func (c *Controller) check(w *waiter, req *Request, now time.Time) *result.Error {
	if c.stopping {
		return result.New(result.Stopping, "the process is stopping")
	}
	if limit := w.org.inFlightLimit; limit > 0 && w.org.inFlight >= limit {
		e := result.New(result.TooManyInFlight, "organisation %s has %d requests in flight", req.Organisation, limit)
		return e.WithRetryAfter(w.station.drain.Advice(0, now, c.settings.Random()))
	}
	if wait := w.wait(); w.tooLong(wait, now) {
		return c.tooLate(w.station, wait, now)
	}
	if after := w.org.rates.take(req, now); after > 0 {
		return result.New(result.RateLimited, "organisation %s is over its rate", req.Organisation).WithRetryAfter(after)
	}
	return nil
}

// tooLate advises to come back when the queue that stands now has drained.
func (c *Controller) tooLate(s *station, wait time.Duration, now time.Time) *result.Error {
	e := result.New(result.DeadlineTooClose, "the deadline cannot be met")
	return e.WithRetryAfter(max(wait, s.drain.Advice(0, now, c.settings.Random())))
}

func (c *Controller) full(s *station, now time.Time) *result.Error {
	e := result.New(c.settings.FullCode, "%d requests wait already", len(c.waiting)-1)
	return e.WithRetryAfter(s.drain.Advice(s.fair.cost, now, c.settings.Random()))
}

// Release notes the end of a request that was admitted and returns the
// decisions that it makes possible.
func (c *Controller) Release(t Ticket, fb Feedback, now time.Time) []Event {
	w, ok := c.running[t]
	if !ok {
		return nil
	}
	s := w.station
	s.limit.released(s.running, fb.congested(), now)
	if fb.RunTime > 0 {
		w.lane.runTime.add(fb.RunTime, w.cost)
	}
	s.drain.Left(w.cost, now)
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

// Cancel takes a waiting request out, since its caller is gone. It reports
// false when the request is not waiting any more.
func (c *Controller) Cancel(t Ticket) bool {
	w, ok := c.waiting[t]
	if !ok {
		return false
	}
	c.remove(w)
	return true
}

// Tick refuses every waiting request that cannot meet its deadline any more.
// It is called a few times a second.
func (c *Controller) Tick(now time.Time) []Event {
	var events []Event
	for _, w := range c.all() {
		if refusal := c.expired(w, now); refusal != nil {
			events = c.refuse(events, w, refusal)
		}
	}
	return c.dispatchAll(events, now)
}

// expired returns the refusal of a waiter that waits in vain.
func (c *Controller) expired(w *waiter, now time.Time) *result.Error {
	if !w.deadline.IsZero() && now.Add(w.least()).After(w.deadline) {
		return c.tooLate(w.station, 0, now)
	}
	if now.After(w.giveUp) {
		return c.full(w.station, now)
	}
	return nil
}

func (c *Controller) dispatchAll(events []Event, now time.Time) []Event {
	for _, s := range c.order {
		events = c.dispatch(events, s, now)
	}
	return events
}

// dispatch admits a station's waiting requests in fair order while there is
// room.
func (c *Controller) dispatch(events []Event, s *station, now time.Time) []Event {
	for s.waiting > 0 && s.room() && len(c.running) < c.capacity {
		w := s.fair.pick()
		if refusal := c.expired(w, now); refusal != nil {
			events = c.refuse(events, w, refusal)
			continue
		}
		c.admit(w)
		events = append(events, Event{Ticket: w.ticket})
	}
	return events
}

func (c *Controller) push(w *waiter) {
	w.station.fair.push(w)
	w.station.waiting++
	w.org.inFlight++
	c.waiting[w.ticket] = w
}

func (c *Controller) admit(w *waiter) {
	w.station.fair.dispatched(w)
	w.station.waiting--
	w.station.running++
	w.flow.running++
	delete(c.waiting, w.ticket)
	c.running[w.ticket] = w
}

func (c *Controller) refuse(events []Event, w *waiter, refusal *result.Error) []Event {
	c.remove(w)
	return append(events, Event{Ticket: w.ticket, Refused: refusal})
}

func (c *Controller) remove(w *waiter) {
	w.station.fair.remove(w)
	w.station.waiting--
	w.org.inFlight--
	delete(c.waiting, w.ticket)
	w.station.fair.dropIdle(w.flow)
}
