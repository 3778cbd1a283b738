package entry

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/result"
)

// TestAShortDeadlineSpeaksAgainstNoUpstream keeps callers whose deadlines are
// shorter than their answers from having hosts ejected for everyone.
func TestAShortDeadlineSpeaksAgainstNoUpstream(t *testing.T) {
	for _, tt := range []struct {
		code result.Code
		took time.Duration
		want balance.Outcome
	}{
		{result.DeadlineExceeded, 100 * time.Millisecond, balance.Cancelled},
		{result.DeadlineExceeded, hungAfter, balance.TimedOut},
		{result.OutcomeUnknown, 100 * time.Millisecond, balance.TimedOut},
	} {
		got := observation(result.New(tt.code, "test"), nil, tt.took)
		if got.Outcome != tt.want {
			t.Errorf("code %d after %v is outcome %d, want %d", tt.code, tt.took, got.Outcome, tt.want)
		}
	}
}
