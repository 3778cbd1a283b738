package gateway

import (
	"math"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/placement"
)

// loadBook counts what this gateway has under way at each upstream, and how
// often it failed of late.
type loadBook struct {
	mu  sync.Mutex
	ups map[string]*tally
	// usual is what first events usually take against the estimate.
	usual map[paceGroup]*placement.Usual
}

// paceGroup names requests whose times are compared; plain services have no model.
type paceGroup struct{ service, model string }

type tally struct {
	running int
	// waiting are those that have had no event yet.
	waiting  map[*send]bool
	unreadMS float64
	pace     placement.Pace
	doubt    float64
	doubtAt  time.Time
}

// Doubt about an upstream after failures.
const (
	// doubtHalf is the time in which doubt halves without new evidence.
	doubtHalf = 1500 * time.Millisecond
	// doubtStep is the weight of one failure, easeStep that of one success.
	doubtStep = 0.35
	easeStep  = 0.15
)

func newLoadBook() *loadBook {
	return &loadBook{ups: map[string]*tally{}, usual: map[paceGroup]*placement.Usual{}}
}

func (b *loadBook) of(id string) *tally {
	t := b.ups[id]
	if t == nil {
		t = &tally{waiting: map[*send]bool{}}
		b.ups[id] = t
	}
	return t
}

// snapshot returns the loads of the upstreams, in their order.
func (b *loadBook) snapshot(ups []fleet.Upstream, now time.Time) []placement.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]placement.Load, len(ups))
	for i, u := range ups {
		out[i] = placement.Load{ID: u.ID, Domain: u.Domain, Slots: u.Slots}
		if t := b.ups[u.ID]; t != nil {
			out[i].Running, out[i].Waiting = t.running, len(t.waiting)
			out[i].UnreadMS, out[i].Doubt = max(0, t.unreadMS), t.faded(now)
			out[i].Slow = t.slow(now)
		}
	}
	return out
}

func (t *tally) faded(now time.Time) float64 {
	if t.doubt == 0 {
		return 0
	}
	return t.doubt * math.Exp2(-float64(now.Sub(t.doubtAt))/float64(doubtHalf))
}

// slow is how many times longer the upstream takes than expected, by its answers and
// by those that are overdue.
func (t *tally) slow(now time.Time) float64 {
	factor := t.pace.Factor(now.Sub(processStart))
	for s := range t.waiting {
		factor = max(factor, placement.Overdue(s.usual, now.Sub(s.began)))
	}
	return factor
}

// late is how many times longer than expected a group's answers take of late.
func (b *loadBook) late(group paceGroup) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usual[group]; u != nil {
		return u.Late()
	}
	return 1
}

// send is one request under way at one upstream.
type send struct {
	book   *loadBook
	id     string
	group  paceGroup
	workMS float64
	// usual is how long the first event should take, from began.
	usual  time.Duration
	began  time.Time
	unread bool
}

// begin counts a request that is about to be sent.
func (b *loadBook) begin(group paceGroup, id string, c placement.Choice) *send {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.of(id)
	s := &send{book: b, id: id, group: group, workMS: c.WorkMS, usual: c.Usual, began: time.Now(), unread: true}
	t.running++
	t.waiting[s] = true
	t.unreadMS += c.WorkMS
	return s
}

// read notes that the prompt has been read: the first event has come, or a plain
// answer is whole.
func (s *send) read() {
	b, now := s.book, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.unread {
		return
	}
	u := b.usual[s.group]
	if u == nil {
		u = &placement.Usual{}
		b.usual[s.group] = u
	}
	over := u.Learn(s.usual, now.Sub(s.began))
	b.of(s.id).pace.Learn(over, now.Sub(processStart))
	s.readLocked()
}

func (s *send) readLocked() {
	if s.unread {
		s.unread = false
		t := s.book.of(s.id)
		t.unreadMS -= s.workMS
		delete(t.waiting, s)
	}
}

// weight is how much an outcome speaks against an upstream: nothing for a
// success, all for an address that another upstream has.
func weight(v verdict, failed bool) float64 {
	switch {
	case v == notThere:
		return 1
	case failed:
		return doubtStep
	}
	return 0
}

// end counts the request as over, with the weight of its failure.
func (s *send) end(failure float64, now time.Time) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	s.readLocked()
	t := s.book.of(s.id)
	t.running--
	d := t.faded(now)
	if failure > 0 {
		d += failure * (1 - d)
	} else {
		d -= easeStep * d
	}
	t.doubt, t.doubtAt = d, now
}

// forget drops the tallies of upstreams that are gone and idle.
func (b *loadBook) forget(live map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.ups {
		if !live[id] && t.running == 0 {
			delete(b.ups, id)
		}
	}
}
