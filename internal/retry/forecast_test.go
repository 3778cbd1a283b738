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
		opening BudgetForecast
		waits   bool
	}{
		{"in time", 10 * time.Second, BudgetForecast{ExpectedWait: 3 * time.Second, ExpectedLatency: time.Second, Expected: true}, true},
		{"budget is granted after the deadline", 2 * time.Second, BudgetForecast{ExpectedWait: 3 * time.Second, Expected: true}, false},
		{"no time left for the attempt", 4 * time.Second, BudgetForecast{ExpectedWait: 3 * time.Second, ExpectedLatency: 2 * time.Second, Expected: true}, false},
		{"no further budget expected", time.Hour, BudgetForecast{ExpectedWait: time.Second}, false},
	}
	for _, tt := range tests {
		d := New(Settings{}, start).Plan("o", true, start.Add(tt.timeout)).NextGrant(spent, tt.opening, start)
		switch {
		case tt.waits && (d.Final != nil || d.Wait != tt.opening.ExpectedWait):
			t.Errorf("%s: %+v, want a wait", tt.name, d)
		case !tt.waits && (d.Final == nil || d.Final.Outcome != result.NotRun || d.Final.RetryAfter != tt.opening.ExpectedWait):
			t.Errorf("%s: %+v, want a final error with the expected time as RetryAfter", tt.name, d)
		}
	}
}
