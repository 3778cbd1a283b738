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
type loadTracker struct {
	mu  sync.Mutex
	ups map[string]*upstreamLoad
	// usual is what first events usually take against the estimate.
	usualLatency map[latencyGroup]*placement.Usual
}

// paceGroup names requests whose times are compared; plain services have no model.
type latencyGroup struct{ service, model string }

type upstreamLoad struct {
	running int
	// waiting are those that have had no event yet.
	awaitingFirst   map[*activeSend]bool
	pendingPromptMS float64
	slowdown        placement.Pace
	failureScore    float64
	failureScoreAt  time.Time
}

// Doubt about an upstream after failures.
const (
	// doubtHalf is the time in which doubt halves without new evidence.
	failureHalfLife = 1500 * time.Millisecond
	// doubtStep is the weight of one failure, easeStep that of one success.
	failureStep = 0.35
	successStep = 0.15
)

func newLoadTracker() *loadTracker {
	return &loadTracker{ups: map[string]*upstreamLoad{}, usualLatency: map[latencyGroup]*placement.Usual{}}
}

func (b *loadTracker) load(id string) *upstreamLoad {
	t := b.ups[id]
	if t == nil {
		t = &upstreamLoad{awaitingFirst: map[*activeSend]bool{}}
		b.ups[id] = t
	}
	return t
}

// snapshot returns the loads of the upstreams, in their order.
func (b *loadTracker) snapshot(ups []fleet.Upstream, now time.Time) []placement.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]placement.Load, len(ups))
	for i, u := range ups {
		out[i] = placement.Load{ID: u.ID, Domain: u.Domain, Slots: u.Slots}
		if t := b.ups[u.ID]; t != nil {
			out[i].Running, out[i].Waiting = t.running, len(t.awaitingFirst)
			out[i].UnreadMS, out[i].Doubt = max(0, t.pendingPromptMS), t.decayedFailureScore(now)
			out[i].Slow = t.slowdownFactor(now)
		}
	}
	return out
}

func (t *upstreamLoad) decayedFailureScore(now time.Time) float64 {
	if t.failureScore == 0 {
		return 0
	}
	return t.failureScore * math.Exp2(-float64(now.Sub(t.failureScoreAt))/float64(failureHalfLife))
}

// slow is how many times longer the upstream takes than expected, by its answers and
// by those that are overdue.
func (t *upstreamLoad) slowdownFactor(now time.Time) float64 {
	factor := t.slowdown.Factor(now.Sub(processStart))
	for s := range t.awaitingFirst {
		factor = max(factor, placement.Overdue(s.expected, now.Sub(s.start)))
	}
	return factor
}

// late is how many times longer than expected a group's answers take of late.
func (b *loadTracker) latencyRatio(group latencyGroup) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usualLatency[group]; u != nil {
		return u.Late()
	}
	return 1
}

// send is one request under way at one upstream.
type activeSend struct {
	tracker *loadTracker
	id      string
	group   latencyGroup
	workMS  float64
	// usual is how long the first event should take, from began.
	expected      time.Duration
	start         time.Time
	promptPending bool
}

// begin counts a request that is about to be sent.
func (b *loadTracker) startSend(group latencyGroup, id string, c placement.Choice) *activeSend {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.load(id)
	s := &activeSend{tracker: b, id: id, group: group, workMS: c.WorkMS, expected: c.Usual, start: time.Now(), promptPending: true}
	t.running++
	t.awaitingFirst[s] = true
	t.pendingPromptMS += c.WorkMS
	return s
}

// read notes that the prompt has been read: the first event has come, or a plain
// answer is whole.
func (s *activeSend) promptDone() {
	b, now := s.tracker, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.promptPending {
		return
	}
	u := b.usualLatency[s.group]
	if u == nil {
		u = &placement.Usual{}
		b.usualLatency[s.group] = u
	}
	over := u.Learn(s.expected, now.Sub(s.start))
	b.load(s.id).slowdown.Learn(over, now.Sub(processStart))
	s.promptDoneLocked()
}

func (s *activeSend) promptDoneLocked() {
	if s.promptPending {
		s.promptPending = false
		t := s.tracker.load(s.id)
		t.pendingPromptMS -= s.workMS
		delete(t.awaitingFirst, s)
	}
}

// weight is how much an outcome speaks against an upstream: nothing for a
// success, all for an address that another upstream has.
func failureWeight(v attemptResult, failed bool) float64 {
	switch {
	case v == misdirected:
		return 1
	case failed:
		return failureStep
	}
	return 0
}

// end counts the request as over, with the weight of its failure.
func (s *activeSend) finish(failure float64, now time.Time) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	s.promptDoneLocked()
	t := s.tracker.load(s.id)
	t.running--
	d := t.decayedFailureScore(now)
	if failure > 0 {
		d += failure * (1 - d)
	} else {
		d -= successStep * d
	}
	t.failureScore, t.failureScoreAt = d, now
}

// forget drops the tallies of upstreams that are gone and idle.
func (b *loadTracker) prune(live map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.ups {
		if !live[id] && t.running == 0 {
			delete(b.ups, id)
		}
	}
}
