package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
	"tarragonbay.example/tarragonbay/internal/standin/service"
)

// streamPace makes answers of the stand-in long enough to be hit by a fault:
// 40 tokens 20 ms apart.
var streamPace = engine.Behaviour{FirstTokenMs: 20, TokenMs: 20, Tokens: 40}

func streamAsk(int, int) harness.Ask { return harness.Ask{Stream: true} }

func unaryAsk(int, int) harness.Ask { return harness.Ask{MaxTokens: 8} }

// wholeReplies fails for each reply that is not a whole answer to its own
// request.
func wholeReplies(t *testing.T, replies []harness.Reply) {
	t.Helper()
	if len(replies) == 0 {
		t.Error("no request was made")
	}
	for _, r := range replies {
		if !r.Whole || !strings.HasPrefix(r.Text, "answer "+r.RequestID) || !strings.HasSuffix(r.Text, " end") {
			t.Errorf("not a whole answer to its own request: %+v", r)
		}
	}
}

func TestPlannedStopOfAnAgentCutsNothing(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: streamPace})
	load := c.StartLoad(12, c.Entries, streamAsk)
	load.WaitFor(c, 12)
	if code := c.Stop(c.Agents[0]); code != 0 {
		t.Errorf("exit code %d", code)
	}
	load.WaitFor(c, 24)
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestPlannedStopOfAnEntryCutsNothing(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: streamPace})
	load := c.StartLoad(12, c.Entries, streamAsk)
	load.WaitFor(c, 12)
	stopped := make(chan int, 1)
	go func() { stopped <- c.Stop(c.Entries[0]) }()
	c.Eventually("the entry shows itself unready", func() bool {
		s, err := c.Status(c.Entries[0])
		return err != nil || !s.Ready
	})
	// The balancer takes the entry out now; what runs must end whole.
	replies := load.Stop()
	if code := <-stopped; code != 0 {
		t.Errorf("exit code %d", code)
	}
	whole := 0
	for _, r := range replies {
		if r.Whole {
			whole++
		}
	}
	if whole == 0 {
		t.Error("no request was answered")
	}
	c.Verify()
}

func TestSilentConnectionsResumeWithoutTheCallerNoticing(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: engine.Behaviour{FirstTokenMs: 20, TokenMs: 100, Tokens: 60}})
	load := c.StartLoad(8, c.Entries, streamAsk)
	c.Eventually("streams run", func() bool { return runningAttempts(c) >= 8 })
	for _, a := range c.Agents {
		a.Link.SilenceOpen(t)
	}
	load.WaitFor(c, 8)
	wholeReplies(t, load.Stop())
	c.Verify()
}

// runningAttempts counts the calls that reached the engines.
func runningAttempts(c *harness.Cluster) int {
	n := 0
	for _, a := range c.Agents {
		n += len(c.EngineRuns(a))
	}
	return n
}

func TestCutLinkIsResumedOrRetried(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: streamPace})
	load := c.StartLoad(8, c.Entries, streamAsk)
	load.WaitFor(c, 8)
	c.Agents[0].Link.Cut()
	time.Sleep(300 * time.Millisecond) // the length of the fault
	c.Agents[0].Link.Restore(t)
	load.WaitFor(c, 16)
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestResetAndDelayedLinks(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: engine.Behaviour{TokenMs: 1, Tokens: 8}})
	load := c.StartLoad(8, c.Entries, unaryAsk)
	load.WaitFor(c, 20)
	c.Agents[0].Link.Reset(t)
	c.Agents[1].Link.Delay(t, 50)
	load.WaitFor(c, 100)
	c.Agents[0].Link.Heal()
	c.Agents[1].Link.Heal()
	load.WaitFor(c, 50)
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestKilledAgentLosesNoUnaryRequest(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: engine.Behaviour{FirstTokenMs: 10, Tokens: 8}})
	load := c.StartLoad(12, c.Entries, unaryAsk)
	load.WaitFor(c, 50)
	c.Kill(c.Agents[0])
	load.WaitFor(c, 200)
	c.Restart(c.Agents[0])
	load.WaitFor(c, 100)
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestKilledAgentEndsItsStreamsWithAnError(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 1, Engine: engine.Behaviour{TokenMs: 50, Tokens: 200}})
	load := c.StartLoad(4, c.Entries, streamAsk)
	c.Eventually("streams run", func() bool { return runningAttempts(c) >= 4 })
	c.Kill(c.Agents[0])
	replies := load.Stop()
	for _, r := range replies {
		if r.Whole || r.Code == 0 {
			t.Errorf("a stream of a dead agent ended without an error: %+v", r)
		}
	}
	c.Verify()
}

func TestFrozenAgentIsLeftForAnother(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 3, Engine: engine.Behaviour{FirstTokenMs: 5, Tokens: 8}})
	load := c.StartLoad(8, c.Entries, unaryAsk)
	load.WaitFor(c, 40)
	c.Pause(c.Agents[0])
	load.WaitFor(c, 200)
	c.Agents[0].Proc.Resume()
	load.WaitFor(c, 100)
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestCutEngineAnswerIsNeverAWholeOne(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Engine: engine.Behaviour{Tokens: 12}})
	c.SetEngine(c.Agents[0], engine.Behaviour{Tokens: 12, CutAfter: 5})
	caller := c.Caller()
	cut := 0
	for range 20 {
		r := caller.Do(c.Entries[0], harness.Ask{Stream: true})
		if r.Whole && !strings.HasSuffix(r.Text, " end") {
			t.Errorf("an answer that was cut passed for whole: %+v", r)
		}
		if !r.Whole {
			cut++
			if r.Code != int(result.AnswerCut) || r.Outcome != "ran" {
				t.Errorf("a cut answer ended with %+v", r)
			}
		}
	}
	if cut == 0 {
		t.Error("no answer was cut")
	}
	c.Verify()
}

func TestSlowCallerAndGoneCallerCancelTheWork(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 1, Engine: engine.Behaviour{TokenMs: 20, Tokens: 500}})
	r := c.Caller().Do(c.Entries[0], harness.Ask{Stream: true, Timeout: 500 * time.Millisecond})
	if r.Whole {
		t.Fatalf("the caller should have gone away: %+v", r)
	}
	c.Eventually("the engine's work is cancelled", func() bool {
		runs := c.EngineRuns(c.Agents[0])
		return len(runs) == 1 && runs[0].Cancelled
	})
	c.Verify()
}

// TestTwoFaultsAtOnce kills an agent while the connections to another go
// silent and the store is out.
func TestTwoFaultsAtOnce(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Engine: engine.Behaviour{FirstTokenMs: 5, Tokens: 8}})
	load := c.StartLoad(8, c.Entries, unaryAsk)
	load.WaitFor(c, 40)
	c.SetFaults(outage())
	c.Agents[1].Link.SilenceOpen(t)
	c.Kill(c.Agents[0])
	load.WaitFor(c, 200)
	c.SetFaults(healthy())
	c.Restart(c.Agents[0])
	load.WaitFor(c, 100)
	wholeReplies(t, load.Stop())
	c.Verify()
}

func TestServiceCallsThatMayBeRepeatedAreRepeated(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2, Service: service.Behaviour{DelayMs: 2}})
	c.SetService(c.Agents[0], service.Behaviour{DieBeforeAnswer: true})
	caller := c.Caller()
	for i := range 20 {
		r := caller.Do(c.Entries[0], harness.Ask{Method: http.MethodGet, Path: fmt.Sprintf("/stock/%d", i)})
		if !r.Whole {
			t.Errorf("a lookup failed: %+v", r)
		}
	}
	c.Verify()
}
