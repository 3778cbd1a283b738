package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

func threeStages() State {
	return New("r", &catalog.Rollout{
		From: "m@1", To: "m@2", Stages: []float64{0.01, 0.1, 1}, StageSeconds: 60,
	}, epoch)
}

func good(at time.Duration, rated int) Observation {
	return Observation{
		Now: epoch.Add(at), Tally: Tally{Good: rated, Cleared: true}, RatingsFresh: true,
	}
}

func TestRolloutRunsToItsEnd(t *testing.T) {
	s := threeStages()
	for i, want := range []float64{0.1, 1, 1} {
		s = s.Next(good(time.Duration(i+1)*time.Minute, (i+1)*minStageRatings))
		if s.Share() != want {
			t.Fatalf("share after step %d is %v, want %v", i, s.Share(), want)
		}
	}
	if s.Status != Done || s.Withdraws() {
		t.Errorf("ended as %+v", s)
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
			o := good(time.Minute, minStageRatings)
			tt.change(&o)
			if s := threeStages().Next(o); s.Stage != 0 || s.Status != Running {
				t.Errorf("went on to %+v", s)
			}
		})
	}
}

func TestSuspicionPausesAndEvidenceWithdraws(t *testing.T) {
	o := good(time.Second, 5)
	o.Verdict = Hold
	held := threeStages().Next(o)
	if held.Status != Paused || held.Share() != 0 {
		t.Fatalf("held as %+v", held)
	}
	if s := held.Next(good(2*time.Second, 5)); s.Status != Running || s.Share() != 0.01 {
		t.Errorf("after the suspicion: %+v", s)
	}
	byOperator, err := held.Pause(epoch)
	if err != nil {
		t.Fatal(err)
	}
	if s := byOperator.Next(good(2*time.Second, 5)); s.Status != Paused {
		t.Errorf("an operator's pause ended by itself: %+v", s)
	}
	o.Verdict = Withdraw
	for _, from := range []State{threeStages(), held, byOperator} {
		if s := from.Next(o); !s.Withdraws() || s.Share() != 0 {
			t.Errorf("withdrawn from %s as %+v", from.Status, s)
		}
	}
}

func TestCommandsRefuseAnEndedRollout(t *testing.T) {
	done, aborted := threeStages(), threeStages()
	done.Status, aborted.Status = Done, Aborted
	for name, command := range map[string]func(State, time.Time) (State, error){
		"pause": State.Pause, "resume": State.Resume, "abort": State.Abort,
	} {
		if _, err := command(done, epoch); !result.Is(err, result.BadStage) {
			t.Errorf("%s of a done roll-out: %v", name, err)
		}
		once, err := command(threeStages(), epoch)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		twice, err := command(once, epoch.Add(time.Hour))
		if err != nil || twice.Since != once.Since {
			t.Errorf("%s is not idempotent: %+v, %v", name, twice, err)
		}
	}
	if _, err := aborted.Resume(epoch); !result.Is(err, result.BadStage) {
		t.Errorf("resume of an aborted roll-out: %v", err)
	}
}

// TestNextIsIdempotent steps any state with any observation twice.
func TestNextIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := threeStages()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			o := good(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds"))*time.Second, rapid.IntRange(0, 500).Draw(t, "rated"))
			o.Verdict = Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
			o.Tally.Cleared = rapid.Bool().Draw(t, "cleared")
			next := s.Next(o)
			if again := next.Next(o); !equal(again, next) {
				t.Fatalf("%+v stepped twice by %+v gave %+v", next, o, again)
			}
			if next.Stage > s.Stage+1 || (s.Ended() && !equal(next, s)) {
				t.Fatalf("%+v became %+v", s, next)
			}
			s = next
		}
	})
}

func equal(a, b State) bool {
	a.Stages, b.Stages = nil, nil
	return a.Stage == b.Stage && a.Status == b.Status && a.Reason == b.Reason &&
		a.Since.Equal(b.Since) && a.RatedBefore == b.RatedBefore
}
