package gateway

import (
	"math"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/placement"
)

// loadTracker tracks the requests of this gateway in flight at each upstream, and a score
// of each upstream's recent failures.
type loadTracker struct {
	mu  sync.Mutex
	ups map[string]*upstreamLoad
	// averageSlowdowns are the average ratios of the time to the first event to the
	// estimate.
	averageSlowdowns map[latencyGroup]*placement.AverageSlowdown
	// steadyFactors are the steady speeds of upstreams as all gateways saw them; nil where
	// the settings do not ask for them.
	steadyFactors map[string]float64
}

// latencyGroup identifies requests whose latencies are compared. The model is empty for
// plain services.
type latencyGroup struct{ service, model string }

// upstreamLoad is the load of one upstream from this gateway.
type upstreamLoad struct {
	running int
	// awaitingFirst holds the requests that have had no event yet.
	awaitingFirst   map[*activeSend]bool
	pendingPromptMS float64
	residentTokens  float64
	slowdown        placement.UpstreamSlowdown
	steady          placement.SteadySpeed
	failureScore    float64
	failureScoreAt  time.Time
}

// Parameters of the failure score of an upstream.
const (
	// failureHalfLife is the half-life of the score.
	failureHalfLife = 1500 * time.Millisecond
	// failureStep is the weight of one failure, successStep that of one success.
	failureStep = 0.35
	successStep = 0.15
)

func newLoadTracker() *loadTracker {
	return &loadTracker{ups: map[string]*upstreamLoad{}, averageSlowdowns: map[latencyGroup]*placement.AverageSlowdown{}}
}

func (tr *loadTracker) load(id string) *upstreamLoad {
	t := tr.ups[id]
	if t == nil {
		t = &upstreamLoad{awaitingFirst: map[*activeSend]bool{}}
		tr.ups[id] = t
	}
	return t
}

// snapshot returns the loads of the upstreams, in the order of ups.
func (tr *loadTracker) snapshot(ups []fleet.Upstream, now time.Time) []placement.Load {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := make([]placement.Load, len(ups))
	for i, u := range ups {
		out[i] = placement.Load{ID: u.ID, Domain: u.Domain, Slots: u.Slots}
		if t := tr.ups[u.ID]; t != nil {
			out[i].Running, out[i].Waiting = t.running, len(t.awaitingFirst)
			out[i].ResidentTokens = t.residentTokens
			out[i].UnreadMS, out[i].FailureScore = max(0, t.pendingPromptMS), t.decayedFailureScore(now)
			out[i].SlowdownFactor = t.slowdownFactor(now)
		}
		out[i].SteadyFactor = tr.steadyFactors[u.ID]
	}
	return out
}

func (t *upstreamLoad) decayedFailureScore(now time.Time) float64 {
	if t.failureScore == 0 {
		return 0
	}
	return t.failureScore * math.Exp2(-float64(now.Sub(t.failureScoreAt))/float64(failureHalfLife))
}

// slowdownFactor returns how many times longer than expected the upstream takes, by its
// answers and by its overdue requests.
func (t *upstreamLoad) slowdownFactor(now time.Time) float64 {
	factor := t.slowdown.Factor(now.Sub(processStart))
	for s := range t.awaitingFirst {
		factor = max(factor, placement.Overdue(s.expected, now.Sub(s.start)))
	}
	return factor
}

// latencyRatio returns how many times longer than expected the recent answers of a group took.
func (tr *loadTracker) latencyRatio(group latencyGroup) float64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if u := tr.averageSlowdowns[group]; u != nil {
		return u.Factor()
	}
	return 1
}

// activeSend is one request in flight at one upstream.
type activeSend struct {
	tracker *loadTracker
	id      string
	group   latencyGroup
	workMS  float64
	tokens  float64
	// expected is the expected time from start to the first event.
	expected      time.Duration
	start         time.Time
	promptPending bool
	// steadyFactor is the steady speed that the expected time includes.
	steadyFactor float64
}

// startSend counts a request that is about to be sent.
func (tr *loadTracker) startSend(group latencyGroup, id string, c placement.Choice) *activeSend {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := tr.load(id)
	s := &activeSend{tracker: tr, id: id, group: group, workMS: c.WorkMS, tokens: c.Tokens, expected: c.ExpectedUnscaled, start: time.Now(), promptPending: true, steadyFactor: 1}
	if f := tr.steadyFactors[id]; f > 0 {
		s.steadyFactor = f
	}
	t.running++
	t.awaitingFirst[s] = true
	t.pendingPromptMS += c.WorkMS
	t.residentTokens += c.Tokens
	return s
}

// promptDone records that the upstream has processed the prompt: the first event has
// arrived, or a plain answer is complete.
func (s *activeSend) promptDone() {
	tr, now := s.tracker, time.Now()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if !s.promptPending {
		return
	}
	u := tr.averageSlowdowns[s.group]
	if u == nil {
		u = &placement.AverageSlowdown{}
		tr.averageSlowdowns[s.group] = u
	}
	over := u.Learn(s.expected, now.Sub(s.start))
	t := tr.load(s.id)
	t.slowdown.Learn(over, now.Sub(processStart))
	if s.group.model != "" && placement.ShowsSpeed(time.Duration(s.workMS*s.steadyFactor*float64(time.Millisecond)), s.expected) {
		t.steady.Learn(over+math.Log(s.steadyFactor), now.Sub(processStart))
	}
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

// failureWeight returns the weight of a result in the failure score: zero for a success,
// one for an address that now belongs to another upstream.
func failureWeight(v attemptResult, failed bool) float64 {
	switch {
	case v == misdirected:
		return 1
	case failed:
		return failureStep
	}
	return 0
}

// finish ends the request and adds its result to the failure score; failure is zero for a
// success.
func (s *activeSend) finish(failure float64, now time.Time) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	s.promptDoneLocked()
	t := s.tracker.load(s.id)
	t.running--
	t.residentTokens = max(0, t.residentTokens-s.tokens)
	d := t.decayedFailureScore(now)
	if failure > 0 {
		d += failure * (1 - d)
	} else {
		d -= successStep * d
	}
	t.failureScore, t.failureScoreAt = d, now
}

// prune drops the loads of upstreams that are no longer listed and have no request in
// flight.
func (tr *loadTracker) prune(live map[string]bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, t := range tr.ups {
		if !live[id] && t.running == 0 {
			delete(tr.ups, id)
		}
	}
}
