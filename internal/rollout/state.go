package rollout

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Status is the phase of a rollout.
type Status string

// The statuses, with the values that the catalog uses.
const (
	Running Status = catalog.RolloutRunning
	Paused  Status = catalog.RolloutPaused
	Aborted Status = catalog.RolloutAborted
	Done    Status = catalog.RolloutDone
)

// Reason is the cause of a rollout's status.
type Reason string

// The reasons.
const (
	// ByOperator is a command. A pause by an operator ends only by a command.
	ByOperator Reason = "operator"
	// BySuspicion is a hold by the detector. It ends when the suspicion falls.
	BySuspicion Reason = "suspicion"
	// ByEvidence is a withdrawal by the detector.
	ByEvidence Reason = "evidence"
	// ByProgress is the normal course of the rollout.
	ByProgress Reason = "progress"
)

// State is a rollout as the table service stores it. It is a plain value: each
// method returns the new state, so that a daemon can write it on condition that
// nobody else wrote first. A daemon that takes over an unfinished rollout
// continues from the state that it reads.
type State struct {
	Name   string    `json:"name"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Stages []float64 `json:"stages"`
	// StageTime is the minimum time in a stage.
	StageTime time.Duration `json:"stageTime"`
	Stage     int           `json:"stage"`
	Status    Status        `json:"status"`
	Reason    Reason        `json:"reason"`
	// Since is the start of the stage or of the status, whichever is later.
	Since time.Time `json:"since"`
	// RatedBefore is the number of rated or lost responses of the new version
	// at Since.
	RatedBefore int `json:"ratedBefore"`
}

// minStageRatings is the minimum number of ratings in a stage.
const minStageRatings = 30

// Observation is the input of a step: what is known of the new version.
type Observation struct {
	Now     time.Time
	Verdict Verdict
	Tally   Tally
	// RatingsFresh is set while the rating service is available.
	RatingsFresh bool
}

// New returns the state of a rollout that an operator published.
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

// Ended reports whether the rollout is aborted or done.
func (s State) Ended() bool { return s.Status == Aborted || s.Status == Done }

// Share returns the fraction of new requests that goes to the new version.
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

// Next returns the state after at most one step. It is idempotent: applying the
// same observation to the returned state changes nothing, and two daemons that
// apply the same observation to the same state write the same result.
func (s State) Next(o Observation) State {
	switch {
	case s.Ended():
		return s
	case o.Verdict == Withdraw:
		return s.transition(Aborted, ByEvidence, o)
	case s.Status == Paused:
		return s.nextFromPaused(o)
	case o.Verdict == Hold:
		return s.transition(Paused, BySuspicion, o)
	case !s.stageComplete(o):
		return s
	case s.Stage == len(s.Stages)-1:
		return s.transition(Done, ByProgress, o)
	}
	s.Stage++
	return s.transition(Running, ByProgress, o)
}

// nextFromPaused resumes a rollout that was paused by suspicion once the version
// is trusted again.
func (s State) nextFromPaused(o Observation) State {
	if s.Reason != BySuspicion || o.Verdict != Trusted {
		return s
	}
	return s.transition(Running, ByProgress, o)
}

// stageComplete reports whether the stage has lasted long enough and has brought
// enough ratings, and whether the version is cleared. No stage ends while ratings
// are unavailable.
func (s State) stageComplete(o Observation) bool {
	return o.RatingsFresh &&
		o.Tally.Cleared &&
		o.Now.Sub(s.Since) >= s.StageTime &&
		o.Tally.ratedOrLost()-s.RatedBefore >= minStageRatings
}

// transition sets the status and restarts the stage's time and rating count.
func (s State) transition(status Status, reason Reason, o Observation) State {
	s.Status = status
	s.Reason = reason
	s.Since = o.Now
	s.RatedBefore = o.Tally.ratedOrLost()
	return s
}

// Pause stops the rollout at its stage until an operator resumes it. It fails
// with BadStage if the rollout has ended.
func (s State) Pause(now time.Time) (State, error) {
	if s.Ended() {
		return s, result.New(result.BadStage, "rollout %q is %s and cannot be paused", s.Name, s.Status)
	}
	return s.applyCommand(Paused, now), nil
}

// Resume continues a paused rollout. It fails with BadStage if the rollout has
// ended. An operator may resume a held rollout; the next step holds it again if
// the suspicion persists.
func (s State) Resume(now time.Time) (State, error) {
	if s.Status == Running {
		return s, nil
	}
	if s.Status != Paused {
		return s, result.New(result.BadStage, "rollout %q is %s and cannot be resumed", s.Name, s.Status)
	}
	return s.applyCommand(Running, now), nil
}

// Abort ends the rollout; all new requests go to the old version. It fails with
// BadStage if the rollout is done.
func (s State) Abort(now time.Time) (State, error) {
	if s.Status == Aborted {
		return s, nil
	}
	if s.Status == Done {
		return s, result.New(result.BadStage, "rollout %q is done; withdraw version %q instead", s.Name, s.To)
	}
	return s.applyCommand(Aborted, now), nil
}

// applyCommand sets the status on behalf of an operator. Repeating a command
// changes nothing.
func (s State) applyCommand(status Status, now time.Time) State {
	if s.Status == status && s.Reason == ByOperator {
		return s
	}
	s.Status = status
	s.Reason = ByOperator
	s.Since = now
	return s
}

// Publish returns the catalog object that represents the state.
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
