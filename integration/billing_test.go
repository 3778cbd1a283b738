package integration

import (
	"testing"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

var billingPace = engine.Behaviour{FirstTokenMs: 2, Tokens: 6}

func TestKilledEntryLeavesEveryAnswerBilled(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: billingPace})
	load := c.StartLoad(6, c.Entries, unaryAsk)
	load.WaitFor(c, 100)
	c.Kill(c.Entries[0])
	load.WaitFor(c, 100)
	load.Stop()
	c.Verify()
}

func TestAnswersDuringATableOutageAreBilledAfterIt(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: billingPace})
	load := c.StartLoad(6, c.Entries, unaryAsk)
	c.SetFaults(fake.Faults{Table: fake.TableFaults{Outage: true}})
	load.WaitFor(c, 300)
	c.SetFaults(fake.Faults{Table: fake.TableFaults{LoseReplies: 3, LoseRequests: 2}})
	wholeReplies(t, load.Stop())
	c.Verify()
}

// TestAgentThenEntryKilled kills an agent, waits until the entry has handed its
// copies in, and kills the entry.
func TestAgentThenEntryKilled(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: billingPace})
	load := c.StartLoad(6, c.Entries, unaryAsk)
	load.WaitFor(c, 150)
	c.Kill(c.Agents[0])
	load.WaitFor(c, 50)
	c.Restart(c.Agents[0])
	near := c.Entries[0] // in the agent's failure domain, so it has copies
	c.Eventually("the copies are handed in", func() bool {
		counts := c.Copies(near)
		return counts.Orphans == 0 && counts.HandedIn > 0
	})
	load.Stop()
	c.Kill(near)
	c.Verify()
}
