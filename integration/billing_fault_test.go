package integration

import (
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

// mixedAsk asks a model and calls the plain service in turn.
func mixedAsk(_, round int) harness.Ask {
	if round%3 == 0 {
		return harness.Ask{Path: "/stock", Method: "GET"}
	}
	return harness.Ask{MaxTokens: 8, Stream: round%2 == 0}
}

// answeredAtLeast fails when so few requests were answered that the test shows
// nothing.
func answeredAtLeast(t *testing.T, replies []harness.Reply, want int) {
	t.Helper()
	whole := 0
	for _, r := range replies {
		if r.Whole {
			whole++
		}
	}
	if whole < want {
		t.Errorf("%d requests were answered, want %d", whole, want)
	}
}

// TestKilledAgentsChargesAreHandedInOnce kills agents with charges that are
// not written yet, so that both entries hand their copies in, over links that
// lose replies.
func TestKilledAgentsChargesAreHandedInOnce(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: quick})
	load := c.StartLoad(6, c.Entries, mixedAsk)
	for i := range 3 {
		load.WaitFor(c, 100)
		c.SetFaults(fake.Faults{Table: fake.TableFaults{LoseReplies: 10}})
		other := c.Agents[(i+1)%3]
		other.Link.Reset(t)
		c.Kill(c.Agents[i])
		load.WaitFor(c, 50)
		other.Link.Heal()
		c.Restart(c.Agents[i])
	}
	c.SetFaults(healthy())
	load.WaitFor(c, 100)
	answeredAtLeast(t, load.Stop(), 300)
	c.Verify()
}
