package integration

import (
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
)

// TestChargesOfKilledEntriesAreWrittenByTheAgents kills every entry, so that
// only the agents have the charges. TestKilledAgentsChargesAreHandedInOnce
// leaves only the entries' copies.
func TestChargesOfKilledEntriesAreWrittenByTheAgents(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: quick})
	load := c.StartLoad(6, c.Entries, mixedAsk)
	load.WaitFor(c, 100)
	replies := load.Stop()
	for _, e := range c.Entries {
		c.Kill(e)
	}
	answeredAtLeast(t, replies, 100)
	c.Verify()
}
