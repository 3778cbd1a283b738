package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/service"
)

// slowBooking makes a booking last long enough to be hit by a fault.
var slowBooking = service.Behaviour{DelayMs: 1200}

// shortPatience is the deadline of a booking whose outcome is settled by a
// repeat after the deadline.
const shortPatience = 3 * time.Second

// startBooking makes the call with the key "k1" in the background and waits
// until it runs.
func startBooking(c *harness.Cluster, entry *harness.Node) <-chan harness.Reply {
	c.T.Helper()
	done := make(chan harness.Reply, 1)
	ask := booking("k1", "{}")
	ask.Timeout = shortPatience
	go func() { done <- c.Caller().Do(entry, ask) }()
	c.Eventually("the booking runs", func() bool { return bookings(c)["k1"] > 0 })
	return done
}

// repeatUntil repeats the key until a reply is as wanted, and returns it.
func repeatUntil(c *harness.Cluster, entry *harness.Node, key, what string, ok func(harness.Reply) bool) harness.Reply {
	c.T.Helper()
	caller := c.Caller()
	var last harness.Reply
	c.Eventually(fmt.Sprintf("the repeated key %s gets %s", key, what), func() bool {
		last = caller.Do(entry, booking(key, "{}"))
		return ok(last)
	})
	return last
}

// settledWithoutAnswer is a reply to a repeated key whose call ran, or may
// have run, and whose answer is lost.
func settledWithoutAnswer(r harness.Reply) bool {
	return r.Code == int(result.AnswerCut) || r.Code == int(result.OutcomeUnknown)
}

func replayed(r harness.Reply) bool { return r.Whole && r.Replayed }

// ranOnce fails for each key that did not run exactly once.
func ranOnce(c *harness.Cluster, keys ...string) {
	c.T.Helper()
	runs := bookings(c)
	for _, key := range keys {
		if runs[key] != 1 {
			c.T.Errorf("key %s ran %d times, want 1", key, runs[key])
		}
	}
}

func TestBookingWhoseAgentIsKilledIsNotRepeated(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Service: slowBooking})
	first := startBooking(c, c.Entries[0])
	holder := c.Agents[0]
	if len(c.ServiceRuns(holder)) == 0 {
		holder = c.Agents[1]
	}
	c.Kill(holder)
	if r := <-first; r.Whole || r.Outcome == result.NotRun.String() {
		t.Errorf("the call of a killed agent ended with %+v", r)
	}
	repeatUntil(c, c.Entries[1], "k1", "unknown or ran", settledWithoutAnswer)
	c.Restart(holder)
	repeatUntil(c, c.Entries[0], "k1", "unknown or ran after the restart", settledWithoutAnswer)
	ranOnce(c, "k1")
	c.Verify()
}

// TestBookingWhoseEntryIsKilledIsAnsweredToARepeat kills the entry while the
// service runs the call. Repeats at the other two get what the agent holds.
func TestBookingWhoseEntryIsKilledIsAnsweredToARepeat(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 3, Agents: 2, Service: slowBooking})
	first := startBooking(c, c.Entries[0])
	c.Kill(c.Entries[0])
	if r := <-first; r.Whole {
		t.Errorf("the caller of a killed entry got %+v", r)
	}
	again := repeatUntil(c, c.Entries[1], "k1", "the first answer", func(r harness.Reply) bool {
		if !r.Whole && r.Code != int(result.InProgress) {
			t.Errorf("a repeat got %+v, want the answer or that it runs", r)
		}
		return replayed(r)
	})
	for _, a := range c.Agents {
		c.Kill(a)
		c.Restart(a)
	}
	other := c.Caller().Do(c.Entries[2], booking("k1", "{}"))
	if !replayed(other) || other.Body != again.Body {
		t.Errorf("the claim keeps %+v, want %+v", other, again)
	}
	ranOnce(c, "k1")
	c.Verify()
}

func TestBookingWhoseEntryAndAgentAreKilledIsNotRepeated(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 1, Service: slowBooking})
	first := startBooking(c, c.Entries[0])
	c.Kill(c.Entries[0])
	c.Kill(c.Agents[0])
	<-first
	c.Restart(c.Agents[0])
	r := repeatUntil(c, c.Entries[1], "k1", "unknown", settledWithoutAnswer)
	if r.Code != int(result.OutcomeUnknown) {
		t.Errorf("no one knows whether the call ran, the repeat got %+v", r)
	}
	ranOnce(c, "k1")
	c.Verify()
}

func TestSameKeysAtTwoEntriesAtOnceRunOnce(t *testing.T) {
	t.Parallel()
	const keys = 60
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Service: service.Behaviour{DelayMs: 5}})
	replies := make([][2]harness.Reply, keys)
	var callers sync.WaitGroup
	for i := range keys {
		for side, entry := range c.Entries {
			callers.Go(func() {
				replies[i][side] = c.Caller().Do(entry, booking(fmt.Sprint("k", i), "{}"))
			})
		}
	}
	callers.Wait()
	for i, pair := range replies {
		key := fmt.Sprint("k", i)
		ranOnce(c, key)
		answered := 0
		for _, r := range pair {
			if r.Whole {
				answered++
			} else if r.Code != int(result.InProgress) {
				t.Errorf("key %s got %+v", key, r)
			}
		}
		if answered == 0 {
			t.Errorf("no caller of key %s has its answer: %+v", key, pair)
		}
		repeatUntil(c, c.Entries[i%2], key, "the first answer", replayed)
	}
	c.Verify()
}

func TestLostTableRepliesDoNotRepeatABooking(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2})
	var keys []string
	for i, faults := range []fake.TableFaults{
		{LoseReplies: 1}, {LoseReplies: 4}, {LoseRequests: 1}, {LoseRequests: 2, LoseReplies: 2}, {LoseReplies: 8},
	} {
		key := fmt.Sprint("k", i)
		keys = append(keys, key)
		c.SetFaults(fake.Faults{Table: faults})
		first := c.Caller().Do(c.Entries[0], booking(key, "{}"))
		c.SetFaults(healthy())
		if !first.Whole && first.Outcome != result.NotRun.String() {
			t.Errorf("%+v: the first call got %+v", faults, first)
		}
		again := repeatUntil(c, c.Entries[1], key, "an answer", func(r harness.Reply) bool { return r.Whole })
		if first.Whole && (!again.Replayed || again.Body != first.Body) {
			t.Errorf("%+v: the repeat got %+v, want the first answer", faults, again)
		}
	}
	ranOnce(c, keys...)
	c.Verify()
}

func TestBookingDuringATableOutageDoesNotRun(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2})
	c.SetFaults(outage())
	for i := range 4 {
		r := c.Caller().Do(c.Entries[i%2], booking("k1", "{}"))
		if r.Whole || r.Outcome != result.NotRun.String() {
			t.Errorf("a booking in the outage got %+v", r)
		}
	}
	if n := bookings(c)["k1"]; n != 0 {
		t.Errorf("the booking ran %d times without a claim", n)
	}
	c.SetFaults(healthy())
	repeatUntil(c, c.Entries[0], "k1", "an answer after the outage", func(r harness.Reply) bool { return r.Whole })
	repeatUntil(c, c.Entries[1], "k1", "the first answer", replayed)
	ranOnce(c, "k1")
	c.Verify()
}

func TestBookingThatRunsWhenTheTableGoesAwayIsAnsweredOnce(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Service: slowBooking})
	running := startBooking(c, c.Entries[0])
	c.SetFaults(outage())
	first := <-running
	if !first.Whole {
		t.Errorf("the running call got %+v", first)
	}
	if r := c.Caller().Do(c.Entries[1], booking("k1", "{}")); r.Whole {
		t.Errorf("a repeat without the table got %+v", r)
	}
	c.SetFaults(healthy())
	again := repeatUntil(c, c.Entries[1], "k1", "the first answer", replayed)
	if again.Body != first.Body {
		t.Errorf("the repeat got %q, want %q", again.Body, first.Body)
	}
	ranOnce(c, "k1")
	c.Verify()
}

// TestSilentConnectionsDoNotRepeatABooking is not parallel: arming the silence
// is common to all proxies.
func TestSilentConnectionsDoNotRepeatABooking(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Service: slowBooking})
	var keys []string
	var running []<-chan harness.Reply
	for i := range 8 {
		key := fmt.Sprint("k", i)
		keys = append(keys, key)
		done := make(chan harness.Reply, 1)
		go func() { done <- c.Caller().Do(c.Entries[0], booking(key, "{}")) }()
		running = append(running, done)
	}
	c.Eventually("the bookings run", func() bool { return len(bookings(c)) == len(keys) })
	for _, a := range c.Agents {
		a.Link.SilenceOpen(t)
	}
	for i, done := range running {
		first := <-done
		if !first.Whole {
			t.Errorf("the call was not resumed: %+v", first)
		}
		again := repeatUntil(c, c.Entries[1], keys[i], "the first answer", replayed)
		if again.Body != first.Body {
			t.Errorf("the repeat got %q, want %q", again.Body, first.Body)
		}
	}
	ranOnce(c, keys...)
	c.Verify()
}

func TestBookingWhoseServiceDiesBeforeItsAnswerIsNotRepeated(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Service: service.Behaviour{DieBeforeAnswer: true}})
	keys := []string{"k0", "k1", "k2", "k3"}
	for _, key := range keys {
		r := c.Caller().Do(c.Entries[0], booking(key, "{}"))
		if r.Whole || r.Code == 0 || r.Outcome == result.NotRun.String() {
			t.Errorf("key %s: got %+v", key, r)
		}
	}
	for _, a := range c.Agents {
		c.SetService(a, service.Behaviour{})
		c.Kill(a)
		c.Restart(a)
	}
	for _, key := range keys {
		repeatUntil(c, c.Entries[1], key, "unknown or ran", settledWithoutAnswer)
	}
	ranOnce(c, keys...)
	c.Verify()
}

// TestBookingsUnderManyFaultsRunAtMostOnce asks each key at both entries while
// agents die, tables lose replies and links are reset.
func TestBookingsUnderManyFaultsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Service: service.Behaviour{DelayMs: 10}})
	load := c.StartLoad(8, c.Entries, func(worker, round int) harness.Ask {
		ask := booking(fmt.Sprintf("w%d-%d", worker, round/2), "{}")
		ask.Timeout = shortPatience
		return ask
	})
	for i := range 4 {
		load.WaitFor(c, 40)
		agent := c.Agents[i%len(c.Agents)]
		c.SetFaults(fake.Faults{Table: fake.TableFaults{LoseReplies: 5, LoseRequests: 5}})
		c.Agents[(i+1)%len(c.Agents)].Link.Reset(t)
		c.Kill(agent)
		load.WaitFor(c, 40)
		c.Agents[(i+1)%len(c.Agents)].Link.Heal()
		c.SetFaults(healthy())
		c.Restart(agent)
	}
	load.WaitFor(c, 100)
	whole := 0
	for _, r := range load.Stop() {
		if r.Whole {
			whole++
		}
	}
	if whole < 100 {
		t.Errorf("only %d bookings were answered", whole)
	}
	for key, n := range bookings(c) {
		if n != 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	c.Verify()
}
