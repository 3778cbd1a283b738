package retry

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

func TestAwaitGivesUpAtOnceWhenTheOpeningComesTooLate(t *testing.T) {
	spent := result.New(result.ExposureSpent, "spent")
	tests := []struct {
		name  string
		left  time.Duration
		o     Opening
		waits bool
	}{
		{"in time", 10 * time.Second, Opening{Usual: 3 * time.Second, Run: time.Second, Coming: true}, true},
		{"rating comes after the deadline", 2 * time.Second, Opening{Usual: 3 * time.Second, Coming: true}, false},
		{"no time left to run", 4 * time.Second, Opening{Usual: 3 * time.Second, Run: 2 * time.Second, Coming: true}, false},
		{"nothing comes", time.Hour, Opening{Usual: time.Second}, false},
	}
	for _, tt := range tests {
		d := New(Settings{}, start).Plan("o", true, start.Add(tt.left)).Await(spent, tt.o, start)
		switch {
		case tt.waits && (d.Final != nil || d.Wait != tt.o.Usual):
			t.Errorf("%s: %+v, want a wait", tt.name, d)
		case !tt.waits && (d.Final == nil || d.Final.Outcome != result.NotRun || d.Final.RetryAfter != tt.o.Usual):
			t.Errorf("%s: %+v, want the final answer with the usual time", tt.name, d)
		}
	}
}
