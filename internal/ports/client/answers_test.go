package client

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/answers/answerstest"
)

// TestAnswersThatAreNoneFail: a service of the platform sends bytes that are no answer.
func TestAnswersThatAreNoneFail(t *testing.T) {
	list := func(address string) error {
		var out any
		return New(Options{BaseURL: "http://" + address}).Hosts.caller.do(t.Context(), read("/x", nil), &out)
	}
	for name, head := range answerstest.Malformed {
		if err := list(answerstest.Start(t, answerstest.Script{Head: head}, "").Address); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	for name, script := range answerstest.Endless {
		srv := answerstest.Start(t, script, "application/json")
		if err := list(srv.Address); err == nil {
			t.Errorf("%s: taken", name)
		}
		if n := srv.Sent(); n > 3*maxResponseBytes {
			t.Errorf("%s: %d MiB were sent", name, n>>20)
		}
	}
}
