package admission

import (
	"context"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Limiter makes a Controller safe for concurrent use and blocks callers until
// they are admitted or refused.
type Limiter struct {
	now func() time.Time

	mu         sync.Mutex
	controller *Controller
	// blocked holds the channel of each waiting caller, with room for its
	// one event.
	blocked map[Ticket]chan Event
}

// NewLimiter wraps the controller. now is the clock.
func NewLimiter(c *Controller, now func() time.Time) *Limiter {
	return &Limiter{now: now, controller: c, blocked: map[Ticket]chan Event{}}
}

// Permit is the right to run one request. Release it once.
type Permit struct {
	limiter *Limiter
	ticket  Ticket
	since   time.Time
	once    sync.Once
}

// Acquire blocks until the request may run. The error is a *result.Error whose
// outcome is "not run", and CallerGone when ctx ends first.
func (l *Limiter) Acquire(ctx context.Context, req *Request) (*Permit, error) {
	l.mu.Lock()
	ticket, events := l.controller.Submit(req, l.now())
	ch := make(chan Event, 1)
	l.blocked[ticket] = ch
	l.deliver(events)
	l.mu.Unlock()

	select {
	case e := <-ch:
		return l.decided(e)
	case <-ctx.Done():
		return l.abandon(ticket, ch)
	}
}

func (l *Limiter) decided(e Event) (*Permit, error) {
	if e.Refused != nil {
		return nil, e.Refused
	}
	return &Permit{limiter: l, ticket: e.Ticket, since: l.now()}, nil
}

// abandon takes back a request whose caller is gone. One that was admitted at
// the same moment gives its place on.
func (l *Limiter) abandon(t Ticket, ch chan Event) (*Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.blocked, t)
	if !l.controller.Cancel(t) {
		if e := <-ch; e.Refused == nil {
			l.deliver(l.controller.Release(t, Feedback{}, l.now()))
		}
	}
	return nil, result.New(result.CallerGone, "the caller went away while waiting").WithOutcome(result.NotRun)
}

// Release gives the place on. Further calls do nothing.
func (p *Permit) Release(fb Feedback) {
	p.once.Do(func() {
		l := p.limiter
		l.mu.Lock()
		defer l.mu.Unlock()
		l.deliver(l.controller.Release(p.ticket, fb, l.now()))
	})
}

// Since returns when the request was admitted.
func (p *Permit) Since() time.Time { return p.since }

// deliver hands the events to the blocked callers. It is called under mu.
func (l *Limiter) deliver(events []Event) {
	for _, e := range events {
		if ch, ok := l.blocked[e.Ticket]; ok {
			delete(l.blocked, e.Ticket)
			ch <- e
		}
	}
}

// Run ticks the controller until ctx ends.
func (l *Limiter) Run(ctx context.Context, ticks <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			l.do(func(c *Controller) []Event { return c.Tick(l.now()) })
		}
	}
}

func (l *Limiter) do(f func(c *Controller) []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(f(l.controller))
}

// Configure passes a new revision to the controller.
func (l *Limiter) Configure(set *catalog.Set, share float64) {
	l.do(func(c *Controller) []Event {
		c.Configure(set, share, l.now())
		return nil
	})
}

// SetCapacity passes the number of usable slots to the controller.
func (l *Limiter) SetCapacity(slots int) {
	l.do(func(c *Controller) []Event {
		c.SetCapacity(slots)
		return c.Tick(l.now())
	})
}

// SetTargetCapacity passes the number of a target's usable slots to the
// controller.
func (l *Limiter) SetTargetCapacity(target string, slots int) {
	l.do(func(c *Controller) []Event {
		c.SetTargetCapacity(target, slots)
		return c.Tick(l.now())
	})
}

// SetLimit passes the exact number of slots to the controller.
func (l *Limiter) SetLimit(slots int) {
	l.do(func(c *Controller) []Event { return c.SetLimit(slots, l.now()) })
}

// Stop refuses everything that waits or comes later.
func (l *Limiter) Stop() { l.do((*Controller).Stop) }

// Counts returns the requests that run and that wait. It costs the same at any
// number of organisations, unlike State.
func (l *Limiter) Counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Counts()
}

// State returns what the controller holds, for the state dump.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.State()
}
