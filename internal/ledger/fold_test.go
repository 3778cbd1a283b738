package ledger

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

func contextWithCancel(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithCancel(t.Context())
}

// handInTo returns a HandInFunc that calls the charger.
func handInTo(c *Charger) HandInFunc {
	return func(_ context.Context, charges []*linkv1.Charge) (int, error) { return c.HandIn(charges), nil }
}

// TestDeadAgentsChargesAreHandedIn guards against charges that are lost or
// billed twice when an agent dies after writing a part of them, and a hand-in
// loses its reply.
func TestDeadAgentsChargesAreHandedIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		dead, alive := b.charger("agent-1", 7), b.charger("agent-2", 9)
		copies := NewCopies(handInTo(alive), HandInInterval)
		for i := range uint64(1000) {
			if i == 600 {
				dead.Flush(t.Context())
			}
			ch := charge("trace~"+testRequestID(i), 0, 1)
			dead.Charge(ch)
			copies.Add("127.0.0.1:1", ch)
		}
		copies.Observe("127.0.0.1:1", 7, dead.Durable()-100)
		copies.Observe("127.0.0.1:1", 8, 0)
		b.Table.SetFaults(fake.TableFaults{Outage: true})
		if copies.HandInOnce(t.Context()) {
			t.Error("a hand-in was accepted during an outage")
		}
		b.Table.SetFaults(fake.TableFaults{LoseReplies: 1})
		for copies.HandInOnce(t.Context()) {
			continue
		}
		got := b.foldAll(t)
		if len(got) != 1000 || b.billedCharges(t) != 1000 || copies.Counts().Held != 0 {
			t.Errorf("%d requests billed, %d charges in the sums, copies %+v", len(got), b.billedCharges(t), copies.Counts())
		}
	})
}

// TestHandInsAtTheSameTimeLoseNothing guards against concurrent hand-ins that
// remove charges which no agent has accepted.
func TestHandInsAtTheSameTimeLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted := map[string]bool{}
		copies := NewCopies(func(_ context.Context, charges []*linkv1.Charge) (int, error) {
			time.Sleep(time.Second)
			for _, c := range charges {
				accepted[c.GetRequestId()] = true
			}
			return len(charges), nil
		}, HandInInterval)
		const n = 4 * handInBatchSize
		for i := range uint64(n) {
			copies.Add("127.0.0.1:1", charge(testRequestID(i), 0, 1))
		}
		copies.MarkAgentGone("127.0.0.1:1")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- copies.Run(ctx) }()
		for copies.Counts().Held > 0 {
			copies.HandInOnce(t.Context())
		}
		cancel()
		if err := <-done; err != nil || len(accepted) != n {
			t.Errorf("%d of %d charges were accepted, %v", len(accepted), n, err)
		}
	})
}

// TestHandInOfChargesCountedInSumsIsIgnored guards against billing a charge
// twice: it is compacted into a sum during an outage, and an entry hands in
// its copy later.
func TestHandInOfChargesCountedInSumsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		dead, alive := b.charger("agent-1", 7), b.charger("agent-2", 9)
		copies := NewCopies(handInTo(alive), HandInInterval)
		b.Table.SetFaults(fake.TableFaults{Outage: true})
		b.Objects.SetFaults(fake.ObjectFaults{Outage: true})
		n := uint64(0)
		for ; dead.Counts().Compacted == 0; n++ {
			ch := charge(testRequestID(n), 0, 1)
			dead.Charge(ch)
			copies.Add("127.0.0.1:1", ch)
			if n%MaxBlockCharges == 0 {
				dead.Flush(t.Context())
			}
		}
		b.Table.SetFaults(fake.TableFaults{})
		b.Objects.SetFaults(fake.ObjectFaults{})
		dead.Flush(t.Context())
		copies.MarkAgentGone("127.0.0.1:1")
		for copies.HandInOnce(t.Context()) {
			continue
		}
		b.foldAll(t)
		if total := b.billedCharges(t); total != n {
			t.Errorf("billed %d of %d", total, n)
		}
	})
}

// TestUncertainBlockIsNotCountedInSums guards against billing a block twice:
// the reply to its write is lost right before a long outage of both stores,
// and interrupted passes fold it afterwards.
func TestUncertainBlockIsNotCountedInSums(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		c := b.charger("agent-1", 7)
		n := uint64(0)
		for ; n < MaxBlockCharges; n++ {
			c.Charge(charge(testRequestID(n), 0, 1))
		}
		b.Table.SetFaults(fake.TableFaults{LoseReplies: 1})
		done := make(chan bool, 1)
		go func() { done <- c.Flush(t.Context()) }()
		synctest.Wait()
		b.Table.SetFaults(fake.TableFaults{Outage: true})
		b.Objects.SetFaults(fake.ObjectFaults{Outage: true})
		if <-done {
			t.Fatal("flushed during an outage")
		}
		for ; c.Counts().Compacted == 0; n++ {
			c.Charge(charge(testRequestID(n), 0, 1))
			if n%MaxBlockCharges == 0 {
				c.Flush(t.Context())
			}
		}
		b.Table.SetFaults(fake.TableFaults{})
		b.Objects.SetFaults(fake.ObjectFaults{})
		c.Flush(t.Context())
		for range 2 {
			writes := 2
			_, _ = b.folder().FoldDue(t.Context(), func() error {
				writes--
				if writes < 0 {
					return errors.New("lease lost")
				}
				return nil
			})
		}
		b.foldAll(t)
		if total := b.billedCharges(t); total != n {
			t.Errorf("billed %d of %d", total, n)
		}
	})
}

// TestFoldStopsWhenTheLeaseIsLostAndAnotherGoesOn guards against lost or
// repeated charges when a pass loses its lease between two writes and another
// folder continues.
func TestFoldStopsWhenTheLeaseIsLostAndAnotherGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		c := b.charger("agent-1", 7)
		for i := range uint64(500) {
			c.Charge(charge(testRequestID(i), uint32(i%2), 1))
		}
		c.Flush(t.Context())
		lost := errors.New("lease lost")
		for writes := range shards {
			left := writes
			_, err := b.folder().FoldDue(t.Context(), func() error {
				if left == 0 {
					return lost
				}
				left--
				return nil
			})
			if writes < shards-1 && !errors.Is(err, lost) {
				t.Fatalf("after %d writes: %v", writes, err)
			}
		}
		if got := b.foldAll(t); len(got) != 500 || b.billedCharges(t) != 500 {
			t.Errorf("%d requests billed, %d charges in the sums", len(got), b.billedCharges(t))
		}
	})
}

func TestSumsAndReconcile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		c := b.charger("agent-1", 7)
		for i := range uint64(10) {
			ch := charge(testRequestID(i), 0, 5)
			if i < 4 {
				ch.Version, ch.Service = "", "desk"
			}
			c.Charge(ch)
		}
		c.Flush(t.Context())
		b.foldAll(t)
		got, err := b.folder().Sums(t.Context(), time.Now(), time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		want := []Sum{
			{Organisation: "org", Version: "m@1", Charges: 6, InputTokens: 30, OutputTokens: 60, Micros: 90},
			{Organisation: "org", Service: "desk", Charges: 4, InputTokens: 20, OutputTokens: 40, Micros: 60},
		}
		if d := Reconcile(got, want); len(d) != 0 || got[0].Model() != "m" {
			t.Errorf("got %+v, differences %v", got, d)
		}
		want[1].Charges++
		if d := Reconcile(got, want); len(d) != 1 || d[0].Ledger.Service != "desk" || d[0].Counted.Charges != 5 {
			t.Errorf("differences %v", d)
		}
	})
}

func TestExpireKeepsSums(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		c := b.charger("agent-1", 7)
		start := time.Now()
		c.Charge(charge(testRequestID(1), 0, 5))
		c.Flush(t.Context())
		b.foldAll(t)
		time.Sleep(Retention + time.Hour)
		n, err := b.folder().Expire(t.Context(), 24*time.Hour)
		if err != nil || n != 1 || len(b.Objects.Names()) != 0 {
			t.Errorf("expired %d, %v, left %v", n, err, b.Objects.Names())
		}
		sums, err := b.folder().Sums(t.Context(), start, start.Add(time.Minute))
		if err != nil || len(sums) != 1 || sums[0].Charges != 1 {
			t.Errorf("sums %+v, %v", sums, err)
		}
	})
}

func TestDamagedBlockIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		key := blockKey(minuteOf(time.Now()), "x", 1, 1, 1)
		txn := createRowsTxn("op", []blockRow{{key: key, value: []byte("no block")}})
		if err := b.Table.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
		got, err := b.folder().FoldDue(t.Context(), leaseHeld)
		if _, there, _ := b.Table.Get(t.Context(), key); err != nil || got.Damaged != 1 || !there {
			t.Errorf("folded %+v, %v, still there: %v", got, err, there)
		}
	})
}

// ledgerModel runs agents that die, entries that hand in charges, folders and
// a failing table service in random order. Every charge has a copy.
type ledgerModel struct {
	*fixture
	rt       *rapid.T
	n        uint64
	agents   []*Charger
	copies   *Copies
	requests map[string]bool
	history  []string
	ctx      context.Context
}

func (m *ledgerModel) agent(i int) string { return fmt.Sprint("127.0.0.1:", i) }

func (m *ledgerModel) pickAgent(t *rapid.T) int {
	return rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")
}

// charge adds a charge, sometimes for the request of an earlier one.
func (m *ledgerModel) charge(t *rapid.T) {
	i := m.pickAgent(t)
	m.n++
	request := testRequestID(m.n)
	if len(m.history) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		request = rapid.SampledFrom(m.history).Draw(t, "request")
	}
	ch := charge(request, 0, 1)
	m.agents[i].Charge(ch)
	m.copies.Add(m.agent(i), ch)
	m.requests[request] = true
	m.history = append(m.history, request)
}

func (m *ledgerModel) flush(t *rapid.T) { m.agents[m.pickAgent(t)].Flush(m.ctx) }

func (m *ledgerModel) killAgent(t *rapid.T) {
	i := m.pickAgent(t)
	m.agents[i] = m.charger(fmt.Sprint("agent-", i), m.agents[i].opts.Incarnation+1)
}

func (m *ledgerModel) report(t *rapid.T) {
	i := m.pickAgent(t)
	m.copies.Observe(m.agent(i), m.agents[i].opts.Incarnation, m.agents[i].Durable())
}

func (m *ledgerModel) handIn(*rapid.T) { m.copies.HandInOnce(m.ctx) }

func (m *ledgerModel) pass(t *rapid.T) {
	writes := rapid.IntRange(0, 8).Draw(t, "writes")
	_, _ = m.folder().FoldDue(m.ctx, func() error {
		writes--
		if writes < 0 {
			return errors.New("lease lost")
		}
		return nil
	})
}

func (m *ledgerModel) faults(t *rapid.T) {
	m.Table.SetFaults(fake.TableFaults{
		Outage:       rapid.Bool().Draw(t, "outage"),
		LoseReplies:  rapid.IntRange(0, 3).Draw(t, "replies"),
		LoseRequests: rapid.IntRange(0, 3).Draw(t, "requests"),
	})
}

// finish ends all faults and checks that each request is billed once.
func (m *ledgerModel) finish(t *testing.T) {
	m.Table.SetFaults(fake.TableFaults{})
	for i, a := range m.agents {
		if !a.Flush(m.ctx) {
			m.rt.Fatal("flush failed after the faults ended")
		}
		m.copies.Observe(m.agent(i), a.opts.Incarnation, a.Durable())
	}
	for m.copies.HandInOnce(m.ctx) {
		continue
	}
	got := m.foldAll(t)
	for request := range m.requests {
		if got[request] != 1 {
			m.rt.Fatalf("request %s is billed %d times", request, got[request])
		}
	}
	if len(got) != len(m.requests) || m.billedCharges(t) != uint64(len(m.requests)) {
		m.rt.Fatalf("%d requests, %d billed, %d charges in the sums", len(m.requests), len(got), m.billedCharges(t))
	}
}

// TestEachRequestIsBilledOnce guards against lost and repeated charges under
// random sequences of agent deaths, hand-ins, interrupted passes and table
// faults.
func TestEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var caught any
		synctest.Test(t, func(t *testing.T) {
			defer func() { caught = recover() }()
			b := newFixture()
			m := &ledgerModel{fixture: b, rt: rt, requests: map[string]bool{}, ctx: t.Context(),
				agents: []*Charger{b.charger("agent-0", 1), b.charger("agent-1", 1), b.charger("agent-2", 1)}}
			m.copies = NewCopies(func(_ context.Context, charges []*linkv1.Charge) (int, error) {
				return m.agents[0].HandIn(charges), nil
			}, HandInInterval)
			rt.Repeat(map[string]func(*rapid.T){
				"charge": m.charge, "charge2": m.charge, "charge3": m.charge,
				"flush": m.flush, "die": m.killAgent, "report": m.report, "hand in": m.handIn,
				"pass": m.pass, "faults": m.faults,
				"heal": func(*rapid.T) { m.Table.SetFaults(fake.TableFaults{}) },
				"wait": func(*rapid.T) { time.Sleep(40 * time.Second) },
			})
			m.finish(t)
		})
		if caught != nil {
			panic(caught)
		}
	})
}
