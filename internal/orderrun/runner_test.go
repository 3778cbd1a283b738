package orderrun

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/order"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

// site is three empty engines that may load one version.
type site struct {
	platform *fake.Platform
	set      *catalog.Set
	now      time.Time
	sent     []*linkv1.OrderRequest
	runner   *Runner
	held     *lease.Held
}

// Order implements Sender.
func (s *site) Order(_ context.Context, _ string, req *linkv1.OrderRequest) (*linkv1.OrderResponse, error) {
	s.sent = append(s.sent, req)
	return &linkv1.OrderResponse{}, nil
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{platform: fake.New(fake.Options{}), now: time.Unix(1_796_000_000, 0)}
	objects := []catalog.Object{
		{Key: catalog.Key{Kind: catalog.KindModel, Name: "m"}, Spec: []byte(`{}`)},
		{Key: catalog.Key{Kind: catalog.KindVersion, Name: "m@1"}, Spec: []byte(`{"inputMicros":1,"outputMicros":1}`)},
	}
	for i := range 3 {
		objects = append(objects, catalog.Object{Key: catalog.Key{Kind: catalog.KindUpstream, Name: engine(i)}, Spec: fmt.Appendf(nil,
			`{"host":"h%d","domain":"d%d","agent":"127.0.0.1:1","address":"127.0.0.1:2","versions":["m@1"]}`, i, i)})
	}
	var err error
	if s.set, err = catalog.NewSet(objects); err != nil {
		t.Fatal(err)
	}
	leases := lease.NewManager(lease.Options{Table: s.platform.Table, Name: "a"})
	if s.held, err = leases.TryAcquire(t.Context(), Item); err != nil {
		t.Fatal(err)
	}
	s.runner = New(Options{
		Leases: leases, Sender: s, Weights: s.platform.Weights, Set: func() *catalog.Set { return s.set },
		Demand: func() []admission.TargetState { return nil }, Entries: 1,
		Now: func() time.Time { return s.now }, Log: zap.NewNop(),
	})
	return s
}

func engine(i int) string { return fmt.Sprintf("u%d", i) }

// hear reports all engines as healthy and empty.
func (s *site) hear(names ...string) {
	for _, n := range names {
		s.runner.Heard(&linkv1.ReportResponse{Upstreams: []*linkv1.UpstreamReport{{Name: n, Healthy: true}}})
	}
}

func (s *site) give(t *testing.T) int {
	before := len(s.sent)
	s.runner.give(t.Context(), s.held, order.NewPlanner())
	return len(s.sent) - before
}

func TestEnginesNotHeardOfLatelyGetNoOrder(t *testing.T) {
	s := newSite(t)
	if n := s.give(t); n != 0 {
		t.Errorf("%d orders to engines that were never heard of", n)
	}
	s.hear(engine(0), engine(1))
	s.now = s.now.Add(freshFor + time.Second)
	if n := s.give(t); n != 0 {
		t.Errorf("%d orders on old reports", n)
	}
}

func TestOrdersCarryTheFencingNumber(t *testing.T) {
	s := newSite(t)
	s.hear(engine(0), engine(1), engine(2))
	if s.give(t) == 0 {
		t.Fatal("nothing is loaded for a version that must run")
	}
	for _, o := range s.sent {
		if o.GetFence() != s.held.Fence() || o.GetLease() != Item || o.GetAction() != string(order.Load) {
			t.Errorf("got %v", o)
		}
	}
	if used := s.platform.Weights.Usage(); int(used.Reads) != len(s.sent) {
		t.Errorf("%d places in the weight store for %d loads", used.Reads, len(s.sent))
	}
}

func TestLoadsWaitForTheWeightStore(t *testing.T) {
	s := newSite(t)
	s.platform.Weights.SetFaults(fake.WeightFaults{Limited: true})
	s.hear(engine(0), engine(1), engine(2))
	if n := s.give(t); n != 0 {
		t.Errorf("%d loads without a place in the weight store", n)
	}
	s.platform.Weights.SetFaults(fake.WeightFaults{})
	if s.give(t) == 0 {
		t.Error("nothing is loaded once there is a place")
	}
}

func TestReportsOfGoneEnginesAreForgotten(t *testing.T) {
	s := newSite(t)
	for i := range 100 {
		s.hear("gone-" + engine(i))
	}
	s.hear(engine(0))
	if n := len(s.runner.reports); n > 2*len(s.set.Upstreams) {
		t.Errorf("%d reports are kept of %d engines", n, len(s.set.Upstreams))
	}
	if _, ok := s.runner.reports[engine(0)]; !ok {
		t.Error("the report of an engine that is there is forgotten")
	}
}
