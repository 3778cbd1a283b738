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
	// blocked holds the channel of each waiting caller. The channel has a buffer
	// for the one event of the ticket.
	blocked map[Ticket]chan Event
	// wake tells RunPaced that a request waits.
	wake chan struct{}
}

// NewLimiter returns a Limiter for the controller. now returns the current time.
func NewLimiter(c *Controller, now func() time.Time) *Limiter {
	return &Limiter{now: now, controller: c, blocked: map[Ticket]chan Event{}, wake: make(chan struct{}, 1)}
}

// Permit is the permission to run one request. The caller must release it.
type Permit struct {
	limiter *Limiter
	ticket  Ticket
	since   time.Time
	once    sync.Once
}

// Acquire blocks until the request may run. Its error is a *result.Error with the
// outcome "not run"; the code is CallerGone if ctx ends first.
func (l *Limiter) Acquire(ctx context.Context, req *Request) (*Permit, error) {
	l.mu.Lock()
	ticket, events := l.controller.Submit(req, l.now())
	ch := make(chan Event, 1)
	l.blocked[ticket] = ch
	l.deliver(events)
	_, waits := l.blocked[ticket]
	l.mu.Unlock()
	if waits {
		select {
		case l.wake <- struct{}{}:
		default: // RunPaced is told already
		}
	}

	select {
	case e := <-ch:
		return l.permit(e)
	case <-ctx.Done():
		return l.abandon(ticket, ch)
	}
}

// permit converts an event to the result of Acquire.
func (l *Limiter) permit(e Event) (*Permit, error) {
	if e.Refused != nil {
		return nil, e.Refused
	}
	return &Permit{limiter: l, ticket: e.Ticket, since: l.now()}, nil
}

// abandon cancels a request whose caller is gone. If the request was admitted
// concurrently, abandon releases it.
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

// Release ends the request and admits waiting ones. Further calls have no effect.
func (p *Permit) Release(fb Feedback) {
	p.once.Do(func() {
		l := p.limiter
		l.mu.Lock()
		defer l.mu.Unlock()
		l.deliver(l.controller.Release(p.ticket, fb, l.now()))
	})
}

// AdmittedAt returns when the request was admitted.
func (p *Permit) AdmittedAt() time.Time { return p.since }

// deliver sends the events to the blocked callers. The caller holds l.mu.
func (l *Limiter) deliver(events []Event) {
	for _, e := range events {
		if ch, ok := l.blocked[e.Ticket]; ok {
			delete(l.blocked, e.Ticket)
			ch <- e
		}
	}
}

// Run calls Tick of the controller on each tick until ctx ends.
func (l *Limiter) Run(ctx context.Context, ticks <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			l.update(func(c *Controller) []Event { return c.Tick(l.now()) })
		}
	}
}

// RunPaced calls Tick of the controller whenever a paced target may admit or refuse a
// waiting request, until ctx ends. Without waiting requests it costs nothing.
func (l *Limiter) RunPaced(ctx context.Context) error {
	for {
		l.mu.Lock()
		wait, ok := l.controller.NextTick(l.now())
		l.mu.Unlock()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-l.wake:
			}
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		l.update(func(c *Controller) []Event { return c.Tick(l.now()) })
	}
}

// SetPace passes the rate of a target's admissions to the controller.
func (l *Limiter) SetPace(target string, p Pace) {
	l.update(func(c *Controller) []Event { return c.SetPace(target, p, l.now()) })
}

// Preview passes a request to the controller's Preview.
func (l *Limiter) Preview(req *Request) (wait time.Duration, refusal *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Preview(req, l.now())
}

// Charge takes a token of a paced target for a request that does not wait.
func (l *Limiter) Charge(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller.Charge(target)
}

// update calls f with the controller and delivers the events that f returns.
func (l *Limiter) update(f func(c *Controller) []Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(f(l.controller))
}

// Configure passes a new revision to the controller.
func (l *Limiter) Configure(set *catalog.Set, share float64) {
	l.update(func(c *Controller) []Event {
		c.Configure(set, share, l.now())
		return nil
	})
}

// SetCapacity passes the number of usable slots to the controller.
func (l *Limiter) SetCapacity(slots int) {
	l.update(func(c *Controller) []Event {
		c.SetCapacity(slots)
		return c.Tick(l.now())
	})
}

// SetTargetCapacity passes the number of a target's usable slots to the
// controller.
func (l *Limiter) SetTargetCapacity(target string, slots int) {
	l.update(func(c *Controller) []Event {
		c.SetTargetCapacity(target, slots)
		return c.Tick(l.now())
	})
}

// SetLimit passes the exact number of slots to the controller.
func (l *Limiter) SetLimit(slots int) {
	l.update(func(c *Controller) []Event { return c.SetLimit(slots, l.now()) })
}

// Stop refuses all waiting and later requests.
func (l *Limiter) Stop() { l.update((*Controller).Stop) }

// Counts returns the numbers of running and waiting requests. Unlike that of State,
// its cost does not grow with the number of organisations.
func (l *Limiter) Counts() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.Counts()
}

// State returns the controller's state, for the state dump.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.controller.State()
}
