package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// fixture consists of a table service, an agent and the registries of two entries.
type fixture struct {
	table       *fake.Table
	reg         *attempt.Registry
	incarnation uint64
	agentDown   bool
	ids         int
	mu          sync.Mutex
	// buffered holds the answers that the agent still has, by attempt.
	buffered   map[string]Answer
	registries [2]*Registry
}

func newFixture() *fixture {
	b := &fixture{table: fake.New(fake.Options{}).Table, buffered: map[string]Answer{}}
	b.restartAgent()
	for i := range b.registries {
		b.registries[i] = NewRegistry(Options{Table: b.table, Settle: b.settle, Fetch: b.fetch, Now: time.Now, NewID: b.newID})
	}
	return b
}

func (b *fixture) restartAgent() {
	b.incarnation++
	b.reg = attempt.NewRegistry(b.incarnation, attempt.DefaultLimits())
	clear(b.buffered)
}

func (b *fixture) fetch(_ context.Context, bind Binding) (Answer, error) {
	a, ok := b.buffered[bind.Attempt]
	if !ok || b.agentDown {
		return Answer{}, result.New(result.UnknownAttempt, "not held")
	}
	return a, nil
}

// runToCompletion runs the attempt to its end at the agent, which buffers the answer.
func (b *fixture) runToCompletion(t *testing.T, bind Binding, body []byte) {
	t.Helper()
	if err := b.dispatch(bind, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := b.reg.Finish(time.Now(), bind.Attempt, result.Ran); err != nil {
		t.Fatal(err)
	}
	b.buffered[bind.Attempt] = NewAnswer(201, "x", body)
}

func (b *fixture) newID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids++
	return fmt.Sprint("op", b.ids)
}

func (b *fixture) settle(_ context.Context, bind Binding, age time.Duration) (attempt.Settlement, error) {
	if b.agentDown {
		return attempt.Settlement{}, result.New(result.NoUpstream, "away")
	}
	return b.reg.Settle(time.Now(), attempt.Question{AttemptID: bind.Attempt, Incarnation: bind.AgentIncarnation, Age: age}), nil
}

func (b *fixture) bind(id string) Binding {
	return Binding{Request: "r-" + id, Attempt: id, Agent: "127.0.0.1:1", AgentIncarnation: b.incarnation}
}

const callTime = 10 * time.Second

func call(key, body string) Call {
	return Call{Key: Key{"org", "desk", key}, Digest: Digest("POST", "/bookings", "", []byte(body)), Deadline: time.Now().Add(callTime)}
}

// dispatch receives, admits and dispatches the attempt at the agent's registry, as
// an agent does before it sends the call to the upstream.
func (b *fixture) dispatch(bind Binding, sent time.Time) error {
	now := time.Now()
	a := attempt.Arrival{AttemptID: bind.Attempt, Incarnation: bind.AgentIncarnation, SentAt: sent, Budget: callTime}
	if _, err := b.reg.Receive(now, a); err != nil {
		return err
	}
	if err := b.reg.Admit(now, bind.Attempt); err != nil {
		return err
	}
	return b.reg.Dispatch(now, bind.Attempt)
}

func wantCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	if !result.Is(err, code) {
		t.Fatalf("got %v, want code %d", err, code)
	}
}

// TestRepeatedKey guards against a second run, or a wrong code, for a repeat at the
// other entry, for each thing that can happen to the first call.
func TestRepeatedKey(t *testing.T) {
	ctx := context.Background()
	after := func() { time.Sleep(callTime) }
	tests := []repeatCase{
		{"still running", func(*testing.T, *fixture, *Claim) {}, result.InProgress},
		{"refused before it ran", func(_ *testing.T, _ *fixture, c *Claim) { c.Release(ctx) }, result.OK},
		{"answer too large", func(_ *testing.T, _ *fixture, c *Claim) {
			c.Complete(ctx, NewAnswer(200, "x", make([]byte, MaxStoredAnswer+1)))
		}, result.AnswerCut},
		{"upstream ran it and died", func(_ *testing.T, _ *fixture, c *Claim) { c.Fail(ctx, result.Ran) }, result.AnswerCut},
		{"outcome lost with the agent", func(_ *testing.T, b *fixture, c *Claim) {
			b.restartAgent()
			c.Fail(ctx, result.Unknown)
		}, result.OutcomeUnknown},
		{"outcome unknown, agent back and never saw it", func(_ *testing.T, _ *fixture, c *Claim) { c.Fail(ctx, result.Unknown) }, result.OK},
		{"entry died before it sent", func(*testing.T, *fixture, *Claim) { after() }, result.OK},
		{"entry died while it ran", func(t *testing.T, b *fixture, c *Claim) {
			if err := b.dispatch(c.Binding(), time.Now()); err != nil {
				t.Fatal(err)
			}
			after()
		}, result.InProgress},
		{"entry died after it ran", func(t *testing.T, b *fixture, c *Claim) {
			if err := b.dispatch(c.Binding(), time.Now()); err != nil {
				t.Fatal(err)
			}
			_ = b.reg.Finish(time.Now(), c.Binding().Attempt, result.Ran)
			after()
		}, result.AnswerCut},
		{"entry and agent died", func(_ *testing.T, b *fixture, _ *Claim) { b.restartAgent(); after() }, result.OutcomeUnknown},
		{"entry died, agent silent", func(_ *testing.T, b *fixture, _ *Claim) { b.agentDown = true; after() }, result.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { synctest.Test(t, tt.check) })
	}
}

// repeatCase describes what happens to a first call, and what its repeat gets.
type repeatCase struct {
	name  string
	first func(t *testing.T, b *fixture, c *Claim)
	// want is the code of the repeat; OK means that it may run.
	want result.Code
}

func (tt repeatCase) check(t *testing.T) {
	ctx := context.Background()
	b := newFixture()
	first, _, err := b.registries[0].Acquire(ctx, call("k", "body"), b.bind("a1"))
	if err != nil {
		t.Fatal(err)
	}
	sent := time.Now()
	tt.first(t, b, first)
	second, answer, err := b.registries[1].Acquire(ctx, call("k", "body"), b.bind("a2"))
	if tt.want != result.OK {
		wantCode(t, err, tt.want)
		return
	}
	if err != nil || answer != nil || second == nil {
		t.Fatalf("the repeat may run, got %v, %v", answer, err)
	}
	if tt.name != "refused before it ran" && b.dispatch(first.Binding(), sent) == nil {
		t.Error("the first attempt ran after it was superseded")
	}
	if err := first.Rebind(ctx, b.bind("a3")); !result.Is(err, result.InProgress) {
		t.Errorf("the superseded claim could be bound again: %v", err)
	}
}

func TestRepeatGetsTheFirstAnswerForTwoWrites(t *testing.T) {
	b := newFixture()
	ctx := t.Context()
	c, _, err := b.registries[0].Acquire(ctx, call("k", "body"), b.bind("a1"))
	if err != nil {
		t.Fatal(err)
	}
	c.Complete(ctx, NewAnswer(201, "application/json", []byte("booked")))
	if n := b.table.Usage().Writes; n != 2 {
		t.Errorf("a call took %d writes, the bound is 2", n)
	}
	_, answer, err := b.registries[1].Acquire(ctx, call("k", "body"), b.bind("a2"))
	if err != nil || answer.Status != 201 || string(answer.Body) != "booked" {
		t.Errorf("got %+v, %v", answer, err)
	}
	_, _, err = b.registries[1].Acquire(ctx, call("k", "other body"), b.bind("a3"))
	wantCode(t, err, result.KeyReused)
}

// TestSameKeyThroughTwoEntriesAtOnceRunsOnce guards against two claims on one key when
// requests arrive at two entries at the same time.
func TestSameKeyThroughTwoEntriesAtOnceRunsOnce(t *testing.T) {
	b := newFixture()
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	for i := range 20 {
		wg.Go(func() {
			c, _, err := b.registries[i%2].Acquire(t.Context(), call("k", "body"), b.bind(fmt.Sprint("a", i)))
			mu.Lock()
			defer mu.Unlock()
			if c != nil {
				taken++
			} else if !result.Is(err, result.InProgress) {
				t.Errorf("got %v", err)
			}
		})
	}
	wg.Wait()
	if taken != 1 {
		t.Errorf("%d requests may run", taken)
	}
}

// TestTableFaults guards against claims lost to a single lost message, and against a
// wrong outcome when the table service does not accept the claim.
func TestTableFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults fake.TableFaults
		// code of the first Acquire; OK when it must get its claim.
		code result.Code
	}{
		{"reply lost", fake.TableFaults{LoseReplies: 1}, result.OK},
		{"request lost", fake.TableFaults{LoseRequests: 1}, result.OK},
		{"outage", fake.TableFaults{Outage: true}, result.TableUnavailable},
		{"every reply lost", fake.TableFaults{LoseRequests: 1000}, result.TableUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture()
				b.table.SetFaults(tt.faults)
				c, _, err := b.registries[0].Acquire(t.Context(), call("k", "body"), b.bind("a1"))
				if tt.code == result.OK {
					if err != nil || c == nil {
						t.Fatalf("got %v", err)
					}
					return
				}
				wantCode(t, err, tt.code)
				if o := result.From(err).Outcome; o != result.NotRun {
					t.Errorf("outcome %s, nothing was dispatched", o)
				}
			})
		})
	}
}

// TestEndIsWrittenAfterAnOutage guards against an answer that is not recorded when the
// table service is out at the end of the call.
func TestEndIsWrittenAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- b.registries[0].Run(ctx) }()
		c, _, err := b.registries[0].Acquire(ctx, call("k", "body"), b.bind("a1"))
		if err != nil {
			t.Fatal(err)
		}
		b.table.SetFaults(fake.TableFaults{Outage: true})
		c.Complete(ctx, NewAnswer(200, "x", []byte("booked")))
		time.Sleep(time.Minute)
		b.table.SetFaults(fake.TableFaults{LoseReplies: 1})
		time.Sleep(time.Minute)
		_, answer, err := b.registries[1].Acquire(ctx, call("k", "body"), b.bind("a2"))
		if err != nil || string(answer.Body) != "booked" {
			t.Errorf("got %v, %v", answer, err)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func TestCollectDeletesExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture()
		for i := range 300 {
			if _, _, err := b.registries[0].Acquire(t.Context(), call(fmt.Sprint("k", i), ""), b.bind(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(KeyRetention)
		if _, _, err := b.registries[0].Acquire(t.Context(), call("young", ""), b.bind("y")); err != nil {
			t.Fatal(err)
		}
		deleted := 0
		for slice := range Slices {
			got, err := Collect(t.Context(), b.table, slice, time.Now(), b.newID, func(context.Context) error { return nil })
			if err != nil {
				t.Fatal(err)
			}
			deleted += got.Deleted
		}
		rows, err := b.table.Scan(t.Context(), prefix, prefixEnd, 0)
		if err != nil || deleted != 300 || len(rows) != 1 {
			t.Errorf("deleted %d, left %d, %v", deleted, len(rows), err)
		}
	})
}
