package graceperiod

import (
	"testing"
	"time"
)

func TestHolds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name          string
		period        time.Duration
		now, timeLeft time.Duration
		want          bool
	}{
		{"callers have not moved yet", 8 * time.Second, 2500 * time.Millisecond, 30 * time.Second, true},
		{"late and short", 8 * time.Second, 4 * time.Second, 3 * time.Second, true},
		{"late, ends with the answers", 8 * time.Second, 4 * time.Second, 3120 * time.Millisecond, true},
		{"late, ends after the answers", 8 * time.Second, 4 * time.Second, 3121 * time.Millisecond, false},
		{"late, ends after the process", 8 * time.Second, 4 * time.Second, 6 * time.Second, false},
		{"after the answers", 8 * time.Second, 7300 * time.Millisecond, 10 * time.Millisecond, false},
		{"long period", time.Minute, 10 * time.Second, 30 * time.Second, true},
		{"period shorter than the move", time.Second, 950 * time.Millisecond, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(c.now)
			if got := New(start, c.period).Holds(now, now.Add(c.timeLeft)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestMomentsAreInOrder: what is accepted last still has time, and connections are closed
// before the process is killed.
func TestMomentsAreInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, period := range []time.Duration{3 * time.Second, 8 * time.Second, time.Minute} {
		p := New(start, period)
		if p.AcceptUntil.Before(p.Moved) || !p.AnswerBy.After(p.AcceptUntil) && period > 3*time.Second || !p.CutAt.After(p.AnswerBy) ||
			!p.CutAt.Before(start.Add(period)) {
			t.Errorf("%v: %+v", period, p)
		}
	}
}
