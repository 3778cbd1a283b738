package retry

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

func TestAwaitGivesUpAtOnceWhenTheOpeningComesTooLate(t *testing.T) {
	spent := result.New(result.ExposureSpent, "spent")
	tests := []struct {
		name    string
		timeout time.Duration
		opening Opening
		waits   bool
	}{
		{"in time", 10 * time.Second, Opening{Usual: 3 * time.Second, Run: time.Second, Coming: true}, true},
		{"budget is granted after the deadline", 2 * time.Second, Opening{Usual: 3 * time.Second, Coming: true}, false},
		{"no time left for the attempt", 4 * time.Second, Opening{Usual: 3 * time.Second, Run: 2 * time.Second, Coming: true}, false},
		{"no further budget expected", time.Hour, Opening{Usual: time.Second}, false},
	}
	for _, tt := range tests {
		d := New(Settings{}, start).Plan("o", true, start.Add(tt.timeout)).Await(spent, tt.opening, start)
		switch {
		case tt.waits && (d.Final != nil || d.Wait != tt.opening.Usual):
			t.Errorf("%s: %+v, want a wait", tt.name, d)
		case !tt.waits && (d.Final == nil || d.Final.Outcome != result.NotRun || d.Final.RetryAfter != tt.opening.Usual):
			t.Errorf("%s: %+v, want a final error with the expected time as RetryAfter", tt.name, d)
		}
	}
}
