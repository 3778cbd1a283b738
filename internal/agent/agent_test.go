package agent

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// fixedConfig is a configuration that a test changes by hand.
type fixedConfig struct {
	set      *catalog.Set
	revision uint64
	updates  chan publish.State
}

func (c *fixedConfig) Set() (*catalog.Set, uint64)    { return c.set, c.revision }
func (c *fixedConfig) Updates() <-chan publish.State  { return c.updates }
func (c *fixedConfig) Envelope() *linkv1.Envelope     { return &linkv1.Envelope{Revision: c.revision} }
func (c *fixedConfig) SawEnvelope(e *linkv1.Envelope) {}

// charges collects what the agent charged.
type charges struct{ all []*linkv1.Charge }

func (c *charges) Charge(charge *linkv1.Charge)        { c.all = append(c.all, charge) }
func (c *charges) Durable() uint64                     { return 0 }
func (c *charges) HandIn(charges []*linkv1.Charge) int { return len(charges) }
func (c *charges) Submit(sample ports.Sample)          {}
func object(kind catalog.Kind, name string, v any) catalog.Object {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: data}
}

// bench is an agent before one engine, without a link.
type bench struct {
	agent    *Agent
	config   *fixedConfig
	charges  *charges
	engine   *engine.Engine
	platform *fake.Platform
	address  string
}

func newBench(t *testing.T, checksFence bool) *bench {
	t.Helper()
	e := engine.New(engine.Options{Name: "e", Versions: []string{"m@1"}, ChecksFence: checksFence})
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	b := &bench{engine: e, platform: fake.New(fake.Options{}), charges: &charges{}, address: strings.TrimPrefix(srv.URL, "http://")}
	b.config = &fixedConfig{updates: make(chan publish.State)}
	b.publish(t, catalog.VersionActive, checksFence)
	b.start(t, 7)
	return b
}

func (b *bench) publish(t *testing.T, state catalog.VersionState, checksFence bool) {
	t.Helper()
	set, err := catalog.NewSet([]catalog.Object{
		object(catalog.KindOrganisation, "alpha", catalog.Organisation{Allow: []string{"m"}}),
		object(catalog.KindModel, "m", catalog.Model{}),
		object(catalog.KindVersion, "m@1", catalog.Version{State: state, InputMicros: 1, OutputMicros: 2}),
		object(catalog.KindVersion, "m@2", catalog.Version{InputMicros: 1, OutputMicros: 2}),
		object(catalog.KindUpstream, "u", catalog.Upstream{
			Host: "h", Domain: "d", Agent: "127.0.0.1:1", Address: b.address,
			Versions: []string{"m@1", "m@2"}, ChecksFence: checksFence,
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	b.config.set = set
	b.config.revision++
}

// start makes a new incarnation of the agent.
func (b *bench) start(t *testing.T, incarnation uint64) {
	t.Helper()
	b.agent = New(Options{
		Host: "h", Incarnation: incarnation, Config: b.config, Charger: b.charges,
		Watch: watch.NewHost("h"), Sampler: b.charges, Marks: b.platform.Table,
		Timing: link.DefaultTiming(), Log: zap.NewNop(), Metrics: telemetry.NewMetrics(),
	})
}

func request() *linkv1.AttemptRequest {
	return &linkv1.AttemptRequest{
		Envelope: &linkv1.Envelope{Revision: 1}, RequestId: "r1", AttemptId: "a1", Organisation: "alpha",
		Version: "m@1", Upstream: "u", BudgetMs: 10_000, SentAtMs: time.Now().UnixMilli(),
		Call: &linkv1.Call{
			Method: "POST", Path: "/v1/chat/completions", ContentType: "application/json", Idempotent: true,
			Body: []byte(`{"model":"m@1","messages":[],"max_tokens":4}`),
		},
	}
}

// wait returns once no attempt runs.
func (b *bench) wait(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for b.agent.Running() > 0 {
		if ctx.Err() != nil {
			t.Fatal("an attempt does not end")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAttemptIsCheckedAgainstTheAgentsOwnRevision(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *bench, r *linkv1.AttemptRequest)
		code   result.Code
	}{
		{"allowed", func(*bench, *linkv1.AttemptRequest) {}, result.OK},
		{"withdrawn", func(b *bench, _ *linkv1.AttemptRequest) { b.publish(t, catalog.VersionWithdrawn, false) }, result.VersionWithdrawn},
		{"draining without a session", func(b *bench, _ *linkv1.AttemptRequest) { b.publish(t, catalog.VersionDraining, false) }, result.VersionDraining},
		{"draining in a session", func(b *bench, r *linkv1.AttemptRequest) {
			b.publish(t, catalog.VersionDraining, false)
			r.Session = true
		}, result.OK},
		{"another organisation", func(_ *bench, r *linkv1.AttemptRequest) { r.Organisation = "beta" }, result.ModelNotAllowed},
		{"unknown upstream", func(_ *bench, r *linkv1.AttemptRequest) { r.Upstream = "v" }, result.StaleRevision},
		{"unknown version", func(_ *bench, r *linkv1.AttemptRequest) { r.Version = "m@9" }, result.StaleRevision},
		{"leaving", func(b *bench, _ *linkv1.AttemptRequest) { b.agent.SetLeaving(true) }, result.UpstreamLeaving},
		{"stopping", func(b *bench, _ *linkv1.AttemptRequest) { b.agent.stopping.Store(true) }, result.Stopping},
		{"another incarnation", func(_ *bench, r *linkv1.AttemptRequest) { r.AgentIncarnation = 6 }, result.WrongIncarnation},
		{"no configuration", func(b *bench, _ *linkv1.AttemptRequest) { b.config.set = nil }, result.NoConfiguration},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, false)
			r := request()
			tt.change(b, r)
			_, err := b.agent.Attempt(t.Context(), r)
			b.wait(t)
			ran := len(b.engine.Runs())
			if tt.code == result.OK {
				if err != nil || ran != 1 || len(b.charges.all) != 1 {
					t.Errorf("got %v, %d runs, %d charges", err, ran, len(b.charges.all))
				}
				return
			}
			if e := result.From(err); e.Code != tt.code || e.Outcome != result.NotRun {
				t.Errorf("got %v %v, want %v not run", e, e.Outcome, tt.code)
			}
			if ran != 0 || len(b.charges.all) != 0 {
				t.Errorf("a refused attempt ran %d times and was charged %d times", ran, len(b.charges.all))
			}
		})
	}
}

func TestRepeatedAttemptRunsOnce(t *testing.T) {
	b := newBench(t, false)
	first, err := b.agent.Attempt(t.Context(), request())
	if err != nil {
		t.Fatal(err)
	}
	again, err := b.agent.Attempt(t.Context(), request())
	if err != nil || again != first {
		t.Errorf("the repeated attempt got another answer: %v", err)
	}
	b.wait(t)
	if n := len(b.engine.Runs()); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

func TestSettledAttemptNeverRuns(t *testing.T) {
	b := newBench(t, false)
	s, err := b.agent.Settle(t.Context(), &linkv1.SettleRequest{AttemptId: "a1", AgentIncarnation: 7, AgeMs: 1000})
	if err != nil || s.GetOutcome() != "not_run" {
		t.Fatalf("settled as %v, %v", s, err)
	}
	if _, err := b.agent.Attempt(t.Context(), request()); !result.Is(err, result.Tombstoned) {
		t.Errorf("the late original got %v", err)
	}
	b.wait(t)
	if n := len(b.engine.Runs()); n != 0 {
		t.Errorf("a settled attempt ran %d times", n)
	}
}

// TestOnlyTheCallerPaysForAPartOfAnAnswer ends an answer in each way after its
// first words.
func TestOnlyTheCallerPaysForAPartOfAnAnswer(t *testing.T) {
	tests := []struct {
		name      string
		behaviour engine.Behaviour
		cancel    *linkv1.CancelRequest
		charges   int
	}{
		{"caller gone", engine.Behaviour{TokenMs: 5, Tokens: 2000}, &linkv1.CancelRequest{AttemptId: "a1"}, 1},
		{"superseded", engine.Behaviour{TokenMs: 5, Tokens: 2000}, &linkv1.CancelRequest{AttemptId: "a1", Superseded: true}, 0},
		{"cut by the upstream", engine.Behaviour{CutAfter: 3, Tokens: 8}, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, false)
			b.engine.SetBehaviour(tt.behaviour)
			r := request()
			r.Call.Stream = true
			r.Call.Body = []byte(`{"model":"m@1","messages":[],"stream":true}`)
			log, err := b.agent.Attempt(t.Context(), r)
			if err != nil {
				t.Fatal(err)
			}
			for tt.cancel != nil && log.Held() == 0 {
				time.Sleep(time.Millisecond)
			}
			if tt.cancel != nil {
				if _, err := b.agent.Cancel(t.Context(), tt.cancel); err != nil {
					t.Fatal(err)
				}
			}
			b.wait(t)
			if n := len(b.charges.all); n != tt.charges {
				t.Errorf("%d charges, want %d: %v", n, tt.charges, b.charges.all)
			}
		})
	}
}

// TestOldHolderOrdersNothing takes the lease twice. Orders of the first
// tenure are refused, also by an agent that has restarted and by an engine
// that does not check fencing numbers.
func TestOldHolderOrdersNothing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		b := newBench(t, checks)
		old, now := twoTenures(t, b.platform)
		b.start(t, 8)
		for i, fence := range []uint64{old, now, old} {
			want := result.StaleFence
			if fence == now {
				want = result.OK
			}
			resp, err := b.agent.Order(t.Context(), &linkv1.OrderRequest{
				OrderId: string(rune('a' + i)), Upstream: "u", Action: "load", Version: "m@2", Lease: "orders", Fence: fence,
			})
			if err != nil || resp.GetCode() != uint32(want) {
				t.Errorf("checks %v, fence %d: got %v, %v, want %v", checks, fence, resp.GetCode(), err, want)
			}
		}
		if n := len(b.engine.Orders()); n != 1 {
			t.Errorf("checks %v: the engine carried out %d orders, want 1", checks, n)
		}
	}
}

// twoTenures takes and releases the lease of orders twice and returns both
// fencing numbers.
func twoTenures(t *testing.T, p *fake.Platform) (old, now uint64) {
	t.Helper()
	var fences []uint64
	synctest.Test(t, func(t *testing.T) {
		for _, name := range []string{"first", "second"} {
			ctx, cancel := context.WithCancel(t.Context())
			m := lease.NewManager(lease.Options{Table: p.Table, Name: name})
			err := m.Run(ctx, "orders", func(_ context.Context, held *lease.Held) error {
				fences = append(fences, held.Fence())
				cancel()
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	})
	return fences[0], fences[1]
}

func TestOrdersWaitWhileTheFenceIsUnknown(t *testing.T) {
	b := newBench(t, false)
	b.platform.Table.SetFaults(fake.TableFaults{Outage: true})
	_, err := b.agent.Order(t.Context(), &linkv1.OrderRequest{
		OrderId: "a", Upstream: "u", Action: "load", Version: "m@2", Lease: "orders", Fence: 9,
	})
	if !result.Is(err, result.FenceUnknown) {
		t.Errorf("got %v, want the fence to be unknown", err)
	}
	if n := len(b.engine.Orders()); n != 0 {
		t.Errorf("%d orders reached the engine", n)
	}
}
