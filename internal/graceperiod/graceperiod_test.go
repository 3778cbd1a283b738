package graceperiod

import (
	"testing"
	"time"
)

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
