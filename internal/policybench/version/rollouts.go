package version

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// stepEvery is the time between two steps of a roll-out's duty.
const stepEvery = 10 * time.Second

func rolloutObject(s *site) *catalog.Rollout {
	return &catalog.Rollout{
		From:         string(s.models[cheap].name),
		To:           string(s.models[fresh].name),
		Stages:       []float64{0.02, 0.1, 0.5, 1},
		StageSeconds: 600,
	}
}

// beginRollout publishes the roll-out and starts its duty.
func (r *run) beginRollout() {
	r.rollout = rollout.New("new", rolloutObject(r.site), r.time())
	r.stepRollout()
}

// stepRollout lets the product step the roll-out by what it knows; a baseline
// has no verdict and goes by time alone.
func (r *run) stepRollout() {
	r.clock.After(stepEvery, r.stepRollout)
	if within(r.sinceWarm(), r.load.stoppedAt, r.load.stoppedFor) {
		return
	}
	if p, ok := r.policy.(*product); ok {
		r.rollout = r.rollout.Next(p.observation())
		return
	}
	r.rollout = r.rollout.Next(rollout.Observation{
		Now:          r.time(),
		Tally:        rollout.Tally{Good: int(r.clock.Now() / time.Second), Cleared: true},
		RatingsFresh: true,
	})
}

// rolledOut applies the roll-out to a baseline's choice.
func (r *run) rolledOut(version int) int {
	if version != cheap || r.rollout.Name == "" || r.rnd.Float64() >= r.rollout.Share() {
		return version
	}
	return fresh
}
