package claim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// inFlightClaim is a claim that an entry holds.
type inFlightClaim struct {
	claim *Claim
	sent  time.Time
	// arrived is set when the attempt has reached the agent.
	arrived bool
	ran     bool
}

// model drives two entries, an agent that restarts and a failing table
// service in random order, on one key.
type model struct {
	*fixture
	n       int
	flights []*inFlightClaim
	runs    int
}

func (m *model) take(t *rapid.T) {
	m.n++
	id := fmt.Sprint("a", m.n)
	c, answer, err := m.registries[m.n%2].Acquire(context.Background(), call("k", "body"), m.bind(id))
	if c != nil {
		m.flights = append(m.flights, &inFlightClaim{claim: c})
		return
	}
	if answer == nil && err == nil {
		t.Fatal("neither claim, answer nor error")
	}
	if answer != nil && m.runs != 1 {
		t.Fatalf("an answer was replayed after %d runs", m.runs)
	}
}

func (m *model) pick(t *rapid.T) *inFlightClaim {
	if len(m.flights) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.flights).Draw(t, "flight")
}

// send delivers the attempt to the agent, at once or much later. An entry
// does not send after its caller's deadline.
func (m *model) send(t *rapid.T) {
	f := m.pick(t)
	if f == nil || f.arrived {
		return
	}
	if f.sent.IsZero() {
		if !time.Now().Before(f.claim.rec.Deadline) {
			return
		}
		f.sent = time.Now()
		if rapid.Bool().Draw(t, "delayed") {
			return
		}
	}
	f.arrived = true
	if m.dispatch(f.claim.Binding(), f.sent) != nil {
		return
	}
	f.ran = true
	m.runs++
	if m.runs > 1 {
		t.Fatal("the call ran twice")
	}
}

func (m *model) finish(t *rapid.T) {
	f := m.pick(t)
	if f == nil {
		return
	}
	m.flights = without(m.flights, f)
	ctx := context.Background()
	switch {
	case f.ran && rapid.Bool().Draw(t, "entry dead"):
		_ = m.reg.Finish(time.Now(), f.claim.Binding().Attempt, result.Ran)
		m.buffered[f.claim.Binding().Attempt] = NewAnswer(200, "x", []byte("booked"))
	case f.ran && rapid.Bool().Draw(t, "answered"):
		_ = m.reg.Finish(time.Now(), f.claim.Binding().Attempt, result.Ran)
		f.claim.Complete(ctx, NewAnswer(200, "x", []byte("booked")))
	case !f.sent.IsZero():
		// The attempt has left the entry and its answer was not seen.
		f.claim.Fail(ctx, result.Unknown)
	default:
		f.claim.Release(ctx)
	}
}

func without(all []*inFlightClaim, f *inFlightClaim) []*inFlightClaim {
	var out []*inFlightClaim
	for _, g := range all {
		if g != f {
			out = append(out, g)
		}
	}
	return out
}

func (m *model) fault(t *rapid.T) {
	m.table.SetFaults(fake.TableFaults{
		Outage:       rapid.Bool().Draw(t, "outage"),
		LoseReplies:  rapid.IntRange(0, 3).Draw(t, "replies"),
		LoseRequests: rapid.IntRange(0, 60).Draw(t, "requests"),
	})
}

func (m *model) pending(*rapid.T) {
	for _, b := range m.registries {
		for range b.Pending() {
			pw := <-b.pending
			if !b.writeOnce(context.Background(), pw) {
				b.enqueue(pw)
			}
		}
	}
}

// TestACallRunsAtMostOnce guards against a second run of a call under random sequences of
// requests, crashes and faults of the agent and the table service.
func TestACallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		withVirtualClock(t, func() {
			m := &model{fixture: newFixture()}
			rt.Repeat(map[string]func(*rapid.T){
				"take":          m.take,
				"take2":         m.take,
				"send":          m.send,
				"send2":         m.send,
				"finish":        m.finish,
				"crash":         func(t *rapid.T) { m.flights = without(m.flights, m.pick(t)) },
				"agent restart": func(*rapid.T) { m.restartAgent() },
				"agent away":    func(*rapid.T) { m.agentDown = !m.agentDown },
				"fault":         m.fault,
				"heal":          func(*rapid.T) { m.table.SetFaults(fake.TableFaults{}) },
				"pending":       m.pending,
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 1200).Draw(t, "seconds")) * time.Second)
				},
			})
		})
	})
}

// withVirtualClock runs f under a virtual clock and passes on its panic, since
// rapid ends a case by a panic.
func withVirtualClock(t *testing.T, f func()) {
	var caught any
	synctest.Test(t, func(*testing.T) {
		defer func() { caught = recover() }()
		f()
	})
	if caught != nil {
		panic(caught)
	}
}
