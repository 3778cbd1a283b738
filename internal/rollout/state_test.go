package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

func newThreeStageRollout() State {
	return New("r", &catalog.Rollout{
		From: "m@1", To: "m@2", Stages: []float64{0.01, 0.1, 1}, StageSeconds: 60,
	}, epoch)
}

// goodObservation returns an observation of a cleared version with good ratings
// only.
func goodObservation(at time.Duration, rated int) Observation {
	return Observation{
		Now: epoch.Add(at), Tally: Tally{Good: rated, Cleared: true}, RatingsFresh: true,
	}
}

func TestRolloutCompletes(t *testing.T) {
	s := newThreeStageRollout()
	for i, want := range []float64{0.1, 1, 1} {
		s = s.Next(goodObservation(time.Duration(i+1)*time.Minute, (i+1)*minStageRatings))
		if s.Share() != want {
			t.Fatalf("share after step %d is %v, want %v", i, s.Share(), want)
		}
	}
	if s.Status != Done || s.Withdraws() {
		t.Errorf("final state = %+v, want done", s)
	}
}

func TestRolloutWaits(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Observation)
	}{
		{"for its stage time", func(o *Observation) { o.Now = epoch.Add(59 * time.Second) }},
		{"for ratings", func(o *Observation) { o.Tally.Good = minStageRatings - 1 }},
		{"for clearance", func(o *Observation) { o.Tally.Cleared = false }},
		{"for the rating service", func(o *Observation) { o.RatingsFresh = false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := goodObservation(time.Minute, minStageRatings)
			tt.change(&o)
			if s := newThreeStageRollout().Next(o); s.Stage != 0 || s.Status != Running {
				t.Errorf("rollout advanced to %+v, want it to wait", s)
			}
		})
	}
}

func TestSuspicionPausesAndEvidenceWithdraws(t *testing.T) {
	o := goodObservation(time.Second, 5)
	o.Verdict = Hold
	held := newThreeStageRollout().Next(o)
	if held.Status != Paused || held.Share() != 0 {
		t.Fatalf("state after a hold = %+v, want paused with share 0", held)
	}
	if s := held.Next(goodObservation(2*time.Second, 5)); s.Status != Running || s.Share() != 0.01 {
		t.Errorf("state after the suspicion fell = %+v, want running", s)
	}
	byOperator, err := held.Pause(epoch)
	if err != nil {
		t.Fatal(err)
	}
	if s := byOperator.Next(goodObservation(2*time.Second, 5)); s.Status != Paused {
		t.Errorf("an operator's pause ended without a command: %+v", s)
	}
	o.Verdict = Withdraw
	for _, from := range []State{newThreeStageRollout(), held, byOperator} {
		if s := from.Next(o); !s.Withdraws() || s.Share() != 0 {
			t.Errorf("state after withdrawal from %s = %+v, want withdrawn with share 0", from.Status, s)
		}
	}
}

func TestCommandsRefuseAnEndedRollout(t *testing.T) {
	done, aborted := newThreeStageRollout(), newThreeStageRollout()
	done.Status, aborted.Status = Done, Aborted
	for name, command := range map[string]func(State, time.Time) (State, error){
		"pause": State.Pause, "resume": State.Resume, "abort": State.Abort,
	} {
		if _, err := command(done, epoch); !result.Is(err, result.BadStage) {
			t.Errorf("%s of a done rollout: %v", name, err)
		}
		once, err := command(newThreeStageRollout(), epoch)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		twice, err := command(once, epoch.Add(time.Hour))
		if err != nil || twice.Since != once.Since {
			t.Errorf("%s is not idempotent: %+v, %v", name, twice, err)
		}
	}
	if _, err := aborted.Resume(epoch); !result.Is(err, result.BadStage) {
		t.Errorf("resume of an aborted rollout: %v", err)
	}
}

// TestNextIsIdempotent applies random observations twice each. Two daemons may
// step the same rollout, so a repeated step must change nothing.
func TestNextIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newThreeStageRollout()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			o := goodObservation(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds"))*time.Second, rapid.IntRange(0, 500).Draw(t, "rated"))
			o.Verdict = Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
			o.Tally.Cleared = rapid.Bool().Draw(t, "cleared")
			next := s.Next(o)
			if again := next.Next(o); !equalStates(again, next) {
				t.Fatalf("state %+v: repeated observation %+v changed it to %+v", next, o, again)
			}
			if next.Stage > s.Stage+1 || (s.Ended() && !equalStates(next, s)) {
				t.Fatalf("invalid step from %+v to %+v", s, next)
			}
			s = next
		}
	})
}

func equalStates(a, b State) bool {
	a.Stages, b.Stages = nil, nil
	return a.Stage == b.Stage && a.Status == b.Status && a.Reason == b.Reason &&
		a.Since.Equal(b.Since) && a.RatedBefore == b.RatedBefore
}
