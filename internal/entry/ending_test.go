package entry

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/result"
)

// TestADeadlineIsNoSilence keeps callers whose deadlines are shorter than their
// answers from having hosts ejected for everyone.
func TestADeadlineIsNoSilence(t *testing.T) {
	for code, want := range map[result.Code]balance.Outcome{
		result.DeadlineExceeded: balance.Expired,
		result.OutcomeUnknown:   balance.TimedOut,
	} {
		if got := observation(result.New(code, "test"), nil); got.Outcome != want {
			t.Errorf("code %d is outcome %d, want %d", code, got.Outcome, want)
		}
	}
}
