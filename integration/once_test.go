package integration

import (
	"net/http"
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/result"
)

func booking(key, body string) harness.Ask {
	return harness.Ask{Path: "/bookings", Method: http.MethodPost, Key: key, Body: body}
}

// bookings counts how often each idempotency key ran, over all services.
func bookings(c *harness.Cluster) map[string]int {
	n := map[string]int{}
	for _, a := range c.Agents {
		for _, run := range c.ServiceRuns(a) {
			if run.IdempotencyKey != "" {
				n[run.IdempotencyKey]++
			}
		}
	}
	return n
}

func TestRepeatedKeyGetsTheFirstAnswer(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2})
	caller := c.Caller()
	first := caller.Do(c.Entries[0], booking("k1", `{"tray":"halal"}`))
	if !first.Whole || first.Status != http.StatusOK {
		t.Fatalf("first call: %+v", first)
	}
	again := caller.Do(c.Entries[1], booking("k1", `{"tray":"halal"}`))
	if again.Body != first.Body || again.Status != first.Status {
		t.Errorf("the repeated call got %+v, want the first answer", again)
	}
	other := caller.Do(c.Entries[1], booking("k1", `{"tray":"vegan"}`))
	if other.Code != int(result.KeyReused) || other.Outcome != "not_run" {
		t.Errorf("another body under the key got %+v", other)
	}
	if n := bookings(c); n["k1"] != 1 {
		t.Errorf("the booking ran %d times", n["k1"])
	}
}
