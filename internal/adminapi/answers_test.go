package adminapi

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/answers/answerstest"
)

// TestAnswersThatAreNoneFail: an operator's tool reads what something else sends at a daemon's address.
func TestAnswersThatAreNoneFail(t *testing.T) {
	for name, head := range answerstest.Malformed {
		if _, err := NewClient(answerstest.Start(t, answerstest.Script{Head: head}, "").Address, "").Status(t.Context()); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	for name, script := range answerstest.Endless {
		srv := answerstest.Start(t, script, "application/json")
		if _, err := NewClient(srv.Address, "").Status(t.Context()); err == nil {
			t.Errorf("%s: taken", name)
		}
		if n := srv.Sent(); n > 3*maxAnswerBytes {
			t.Errorf("%s: %d MiB were sent", name, n>>20)
		}
	}
}
