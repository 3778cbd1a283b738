package watch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

func TestWaitingSessionComesBeforeNewWork(t *testing.T) {
	h := startHosts(newRolloutSet(t, 1), 1, false)[0]
	takeAllAnswers([]*Host{h})
	if err := h.Check("m@2", true, start); !result.Is(err, result.ExposureSpent) {
		t.Fatalf("a session was not refused on a spent budget: %v", err)
	}
	h.MergeRatingCounts("m@2", &linkv1.VersionNews{Good: 1})
	if h.Check("m@2", false, start) == nil || h.Take("m@2", false, start) == nil {
		t.Error("a request without a session took the answer that a session waits for")
	}
	if err := h.Take("m@2", true, start); err != nil {
		t.Errorf("the waiting session was refused: %v", err)
	}
	if err := h.Take("m@2", false, start.Add(sessionPriorityWindow)); err != nil {
		t.Errorf("a request without a session was refused after sessionPriorityWindow: %v", err)
	}
}

func TestSessionsAndNewWorkStayWithinOneBudget(t *testing.T) {
	const count = 3
	set := newRolloutSet(t, count)
	rapid.Check(t, func(t *rapid.T) {
		hosts := startHosts(set, count, false)
		now, good, taken := start, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			h := hosts[rapid.IntRange(0, count-1).Draw(t, "host")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				good++
				h.MergeRatingCounts("m@2", &linkv1.VersionNews{Good: uint32(good)})
			case 1:
				now = now.Add(time.Second)
			default:
				if h.Take("m@2", rapid.Bool().Draw(t, "session"), now) == nil {
					taken++
				}
			}
			if granted := rollout.NewBudget(0).Granted(rollout.Tally{Good: good}); taken > granted {
				t.Fatalf("%d answers taken, only %d granted", taken, granted)
			}
		}
	})
}

func TestOpeningReportsTheUsualRatingDelay(t *testing.T) {
	f := NewFleet()
	f.SetCatalog(newRolloutSet(t, 1), start)
	key := quality.Key{Version: "m@2"}
	if _, o := f.GrantForecast(key); o.ExpectedWait != defaultRatingDelay {
		t.Errorf("opening before any rating: %+v", o)
	}
	before, _ := f.GrantForecast(key)
	f.RecordAttempt(AttemptEnd{Key: key, Host: "h0"}, start)
	f.RecordRating(key, true, false, start.Add(5*time.Second))
	granted, o := f.GrantForecast(key)
	if granted <= before || o.ExpectedWait != 5*time.Second || !o.Expected {
		t.Errorf("granted %d, opening %+v", granted, o)
	}
}
