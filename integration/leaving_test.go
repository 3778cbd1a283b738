package integration

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/history"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// leavesWith records that the agent's upstreams of the names leave.
func leavesWith(c *harness.Cluster, upstreams ...string) {
	for _, name := range upstreams {
		c.History.Record(history.Event{Kind: history.Leaving, Upstream: name})
	}
}

// idleAfterLeaving waits until the host gets no more work while the load goes
// on. That it got none later than 3 s after it said that it leaves is checked
// with the history.
func idleAfterLeaving(c *harness.Cluster, load *harness.Load, runs func() int) {
	c.T.Helper()
	c.Eventually("the host gets no work", func() bool {
		before := runs()
		load.WaitFor(c, 100)
		return runs() == before
	})
	before := runs()
	load.WaitFor(c, 600)
	if after := runs(); after != before {
		c.T.Errorf("%d calls of a host that leaves", after-before)
	}
}

// untilTold lets the load go on past the time in which a leaving must be known
// everywhere, so that a late call is seen by the check of the history.
func untilTold(c *harness.Cluster, load *harness.Load, since time.Time) {
	c.T.Helper()
	c.Eventually("the time to be told is over", func() bool {
		load.WaitFor(c, 20)
		return time.Since(since) > history.InForceWithin+2*time.Second
	})
}

func TestEngineThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: quick})
	load := c.StartLoad(6, c.Entries, unaryAsk)
	load.WaitFor(c, 100)
	leaving := quick
	leaving.Leaving = true
	c.SetEngine(c.Agents[0], leaving)
	since := time.Now()
	leavesWith(c, "host-0-engine")
	untilTold(c, load, since)
	idleAfterLeaving(c, load, func() int { return len(c.EngineRuns(c.Agents[0])) })
	c.SetEngine(c.Agents[0], quick)
	c.History.Record(history.Event{Kind: history.Returned, Upstream: "host-0-engine"})
	before := len(c.EngineRuns(c.Agents[0]))
	c.Eventually("the engine gets work again", func() bool { return len(c.EngineRuns(c.Agents[0])) > before })
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestHostThatTheListSaysLeavesGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: quick})
	for _, name := range []string{"host-0", "host-1", "host-2"} {
		c.SetHost(ports.HostState{Name: name})
	}
	load := c.StartLoad(6, c.Entries, unaryAsk)
	load.WaitFor(c, 100)
	c.SetHost(ports.HostState{Name: "host-0", Leaving: true})
	since := time.Now()
	leavesWith(c, "host-0-engine", "host-0-desk")
	untilTold(c, load, since)
	idleAfterLeaving(c, load, func() int { return len(c.EngineRuns(c.Agents[0])) })
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestUpstreamThatAnOperatorDrainsFinishesAndGetsNoNewWork(t *testing.T) {
	t.Parallel()
	long := engine.Behaviour{FirstTokenMs: 2, TokenMs: 20, Tokens: 40}
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: long})
	load := c.StartLoad(8, c.Entries, streamAsk)
	load.WaitFor(c, 8)
	c.Objects.Upstreams["host-0-engine"].Leaving = true
	c.WaitRevision(c.Publish(), c.Nodes()...)
	leavesWith(c, "host-0-engine")
	load.WaitFor(c, 8) // what ran before is over
	before := len(c.EngineRuns(c.Agents[0]))
	load.WaitFor(c, 40)
	if after := len(c.EngineRuns(c.Agents[0])); after != before {
		t.Errorf("%d calls of a drained upstream", after-before)
	}
	wholeReplies(t, load.Stop())
	c.Verify()
}
