package history

import (
	"fmt"
	"slices"
	"time"
)

const (
	// InForceWithin is how long after its publication a revision may still be
	// ignored, and how long a leaving upstream may still get new work.
	InForceWithin = 3 * time.Second
	// publishLag is how long before its recorded time a revision may have
	// been accepted, since it is recorded when the publisher returns.
	publishLag = time.Second
)

// Options relax a check for tests that break more than the product promises
// to survive.
type Options struct {
	// LostCharges is how many whole answers may lack their charge. It is 0
	// unless an agent and an entry are killed together.
	LostCharges int
	// NoLedger is set for a history without the charges.
	NoLedger bool
}

// Check judges a history by every promise.
func Check(events []Event, opts ...Options) Report {
	c := newChecker(events)
	for _, o := range opts {
		c.opts.LostCharges += o.LostCharges
		c.opts.NoLedger = c.opts.NoLedger || o.NoLedger
	}
	c.checkRuns()
	c.checkSessions()
	if !c.opts.NoLedger {
		c.checkBilling()
	}
	c.checkAnswers()
	c.checkOnce()
	c.checkStops()
	c.checkRevisions()
	return c.report
}

// request is everything recorded of one request.
type request struct {
	id       string
	asked    *Event
	answered *Event
	ran      []*Event
	served   []*Event
	charged  []*Event
}

// checker is a history in order, indexed by request.
type checker struct {
	events   []Event
	opts     Options
	report   Report
	requests map[string]*request
	// order keeps the requests in the order in which they came.
	order     []*request
	published []*Event
	// byKey keeps the requests of each idempotency key.
	byKey map[idempotencyKey][]*request
}

// idempotencyKey is a key as the product tells keys apart.
type idempotencyKey struct{ organisation, service, key string }

func keyOf(asked *Event) idempotencyKey {
	return idempotencyKey{asked.Organisation, asked.Service, asked.Key}
}

func newChecker(events []Event) *checker {
	c := &checker{events: slices.Clone(events), requests: map[string]*request{}, byKey: map[idempotencyKey][]*request{}}
	slices.SortStableFunc(c.events, func(a, b Event) int { return a.At.Compare(b.At) })
	for i := range c.events {
		c.index(&c.events[i])
	}
	for _, r := range c.order {
		c.count(r)
		if r.asked != nil && r.asked.Key != "" {
			k := keyOf(r.asked)
			c.byKey[k] = append(c.byKey[k], r)
		}
	}
	return c
}

func (c *checker) request(id string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{id: id}
		c.requests[id] = r
		c.order = append(c.order, r)
	}
	return r
}

func (c *checker) index(e *Event) {
	r := func() *request { return c.request(e.Request) }
	switch e.Kind {
	case Asked:
		c.unique(r().asked, e)
		r().asked = e
	case Answered:
		c.unique(r().answered, e)
		r().answered = e
	case Ran:
		c.report.Runs++
		r().ran = append(r().ran, e)
	case Served:
		r().served = append(r().served, e)
	case Charged:
		r().charged = append(r().charged, e)
	case Published:
		c.published = append(c.published, e)
	case Fault:
		c.report.Faults++
	case InForce, Leaving, Returned, Stopping, Stopped:
	default:
		c.add(BadHistory, "", "event %q is not known", e.Kind)
	}
}

// unique finds a request ID that callers used twice.
func (c *checker) unique(before, e *Event) {
	if before != nil {
		c.add(BadHistory, e.Request, "is recorded twice as %s", e.Kind)
	}
}

func (c *checker) count(r *request) {
	if r.asked == nil {
		if r.answered != nil {
			c.add(BadHistory, r.id, "was answered but not asked")
		}
		return
	}
	c.report.Requests++
	switch {
	case r.answered == nil:
		c.report.Open++
	case r.answered.Whole:
		c.report.Whole++
	case r.answered.GaveUp:
		c.report.GaveUp++
	case r.answered.Outcome == notRun:
		c.report.Refused++
	case r.answered.Outcome == unknown:
		c.report.Unknown++
	}
}

// The wire forms of outcomes, as callers are told.
const (
	notRun  = "not_run"
	unknown = "unknown"
)

func (c *checker) add(i Invariant, request, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{
		Invariant: i, Request: request, Detail: fmt.Sprintf(format, args...),
	})
}
