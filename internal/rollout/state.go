package rollout

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Status is the life stage of a roll-out.
type Status string

// The statuses. They are those of the catalog.
const (
	Running Status = catalog.RolloutRunning
	Paused  Status = catalog.RolloutPaused
	Aborted Status = catalog.RolloutAborted
	Done    Status = catalog.RolloutDone
)

// Reason tells why a roll-out has its status.
type Reason string

// The reasons.
const (
	// ByOperator is a command. A pause by an operator ends by a command only.
	ByOperator Reason = "operator"
	// BySuspicion is a hold by the detector. It ends with the suspicion.
	BySuspicion Reason = "suspicion"
	// ByEvidence is a withdrawal by the detector.
	ByEvidence Reason = "evidence"
	// ByProgress is the ordinary course.
	ByProgress Reason = "progress"
)

// State is a roll-out as it is kept in the table service. It is a plain
// value: each method returns the state after it, so that a daemon can write it
// under the condition that nobody else wrote first. A daemon that takes over a
// roll-out that stopped halfway goes on from what it reads.
type State struct {
	Name   string    `json:"name"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Stages []float64 `json:"stages"`
	// StageTime is the least time spent in a stage.
	StageTime time.Duration `json:"stageTime"`
	Stage     int           `json:"stage"`
	Status    Status        `json:"status"`
	Reason    Reason        `json:"reason"`
	// Since is when the stage began or, if later, the status.
	Since time.Time `json:"since"`
	// RatedBefore is the number of ratings of the new version by then.
	RatedBefore int `json:"ratedBefore"`
}

// minStageRatings is the least number of ratings in a stage before the next.
const minStageRatings = 30

// Observation is what is known of the new version when a step is due.
type Observation struct {
	Now     time.Time
	Verdict Verdict
	Tally   Tally
	// RatingsFresh is set while the rating service answers.
	RatingsFresh bool
}

// New returns the state of a roll-out as an operator published it.
func New(name string, r *catalog.Rollout, now time.Time) State {
	s := State{
		Name:      name,
		From:      r.From,
		To:        r.To,
		Stages:    r.Stages,
		StageTime: time.Duration(r.StageSeconds) * time.Second,
		Stage:     r.Stage,
		Status:    Status(r.State),
		Reason:    ByOperator,
		Since:     now,
	}
	if s.Status == "" {
		s.Status = Running
	}
	return s
}

// Ended reports whether the roll-out takes no more steps.
func (s State) Ended() bool { return s.Status == Aborted || s.Status == Done }

// Share returns the share of new work that goes to the new version.
func (s State) Share() float64 {
	switch {
	case s.Status == Aborted:
		return 0
	case s.Status == Done:
		return 1
	case s.Reason == BySuspicion:
		return 0
	}
	return s.Stages[s.Stage]
}

// Withdraws reports whether the new version must be published as withdrawn.
func (s State) Withdraws() bool { return s.Status == Aborted && s.Reason == ByEvidence }

// Next returns the state after at most one step. It is idempotent: the same
// observation of the state it returned changes nothing, and two daemons that
// step the same state with the same observation write the same.
func (s State) Next(o Observation) State {
	switch {
	case s.Ended():
		return s
	case o.Verdict == Withdraw:
		return s.become(Aborted, ByEvidence, o)
	case s.Status == Paused:
		return s.nextPaused(o)
	case o.Verdict == Hold:
		return s.become(Paused, BySuspicion, o)
	case !s.ready(o):
		return s
	case s.Stage == len(s.Stages)-1:
		return s.become(Done, ByProgress, o)
	}
	s.Stage++
	return s.become(Running, ByProgress, o)
}

func (s State) nextPaused(o Observation) State {
	if s.Reason != BySuspicion || o.Verdict != Trusted {
		return s
	}
	return s.become(Running, ByProgress, o)
}

// ready reports whether the stage has lasted long enough and brought enough
// good news for the next. Without ratings no stage ends.
func (s State) ready(o Observation) bool {
	return o.RatingsFresh &&
		o.Tally.Cleared &&
		o.Now.Sub(s.Since) >= s.StageTime &&
		o.Tally.rated()-s.RatedBefore >= minStageRatings
}

func (s State) become(status Status, reason Reason, o Observation) State {
	s.Status = status
	s.Reason = reason
	s.Since = o.Now
	s.RatedBefore = o.Tally.rated()
	return s
}

// Pause stops the roll-out at its stage until an operator resumes it. It fails
// with BadStage when the roll-out has ended.
func (s State) Pause(now time.Time) (State, error) {
	if s.Ended() {
		return s, result.New(result.BadStage, "roll-out %q is %s and cannot be paused", s.Name, s.Status)
	}
	return s.command(Paused, now), nil
}

// Resume goes on with a paused roll-out. It fails with BadStage when the
// roll-out is not paused. An operator may resume a held roll-out: the next
// step holds it again if the suspicion still stands.
func (s State) Resume(now time.Time) (State, error) {
	if s.Status == Running {
		return s, nil
	}
	if s.Status != Paused {
		return s, result.New(result.BadStage, "roll-out %q is %s and cannot be resumed", s.Name, s.Status)
	}
	return s.command(Running, now), nil
}

// Abort ends the roll-out: all new work goes to the old version. It fails with
// BadStage when the roll-out is done.
func (s State) Abort(now time.Time) (State, error) {
	if s.Status == Aborted {
		return s, nil
	}
	if s.Status == Done {
		return s, result.New(result.BadStage, "roll-out %q is done; withdraw version %q instead", s.Name, s.To)
	}
	return s.command(Aborted, now), nil
}

func (s State) command(status Status, now time.Time) State {
	if s.Status == status && s.Reason == ByOperator {
		return s
	}
	s.Status = status
	s.Reason = ByOperator
	s.Since = now
	return s
}

// Publish returns the catalog object that puts the state in force.
func (s State) Publish(description string) *catalog.Rollout {
	return &catalog.Rollout{
		Description:  description,
		From:         s.From,
		To:           s.To,
		Stages:       s.Stages,
		StageSeconds: int(s.StageTime / time.Second),
		Stage:        s.Stage,
		State:        string(s.Status),
	}
}
