package rolloutrun

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// fakeEvidence returns the same observation for every version.
type fakeEvidence struct {
	mu          sync.Mutex
	observation rollout.Observation
}

func (e *fakeEvidence) set(o rollout.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observation = o
}

func (e *fakeEvidence) Observation(_ catalog.VersionName, now time.Time) rollout.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.observation
	o.Now = now
	return o
}

func newTestObject(t *testing.T, kind catalog.Kind, name string, v any) catalog.Object {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	spec, err := catalog.Canonical(data)
	if err != nil {
		t.Fatal(err)
	}
	return catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: spec}
}

// testPlatform is a fake platform with one published rollout.
type testPlatform struct {
	platform  *fake.Platform
	publisher *publish.Publisher
	evidence  *fakeEvidence
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	s := &testPlatform{platform: fake.New(fake.Options{}), evidence: &fakeEvidence{}}
	s.publisher = publish.NewPublisher(s.store(), publish.PublisherOptions{})
	set, err := catalog.NewSet([]catalog.Object{
		newTestObject(t, catalog.KindModel, "m", catalog.Model{}),
		newTestObject(t, catalog.KindVersion, "m@1", catalog.Version{}),
		newTestObject(t, catalog.KindVersion, "m@2", catalog.Version{}),
		newTestObject(t, catalog.KindRollout, "r", catalog.Rollout{From: "m@1", To: "m@2", Stages: []float64{0.1, 0.5, 1}}),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.publisher.Publish(t.Context(), publish.Change{Author: "test", Want: set}); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *testPlatform) store() publish.Store {
	return publish.Store{Table: s.platform.Table, Objects: s.platform.Objects}
}

// set loads the configuration from the store.
func (s *testPlatform) set() *catalog.Set {
	head, found, err := s.store().Head(context.Background())
	if err != nil || !found {
		return nil
	}
	state, _, err := s.store().Load(context.Background(), head)
	if err != nil {
		return nil
	}
	return state.Set
}

func (s *testPlatform) runner(name string) *Runner {
	return New(Options{
		Leases:    lease.NewManager(lease.Options{Table: s.platform.Table, Name: name}),
		Publisher: publish.NewPublisher(s.store(), publish.PublisherOptions{}),
		Evidence:  s.evidence, Set: s.set, Now: time.Now, Log: zap.NewNop(),
	})
}

// goodObservation returns an observation that lets a stage end.
func goodObservation(rated int) rollout.Observation {
	return rollout.Observation{RatingsFresh: true, Tally: rollout.Tally{Good: rated, Cleared: true}}
}

// TestRolloutContinuesUnderNewLeaseHolder stops the lease holder after the first
// stage. A second one must continue from the saved progress.
func TestRolloutContinuesUnderNewLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPlatform(t)
		first, stopFirst := context.WithCancel(t.Context())
		go func() { _ = s.runner("first").Run(first) }()
		time.Sleep(10 * time.Second)
		s.evidence.set(goodObservation(40))
		time.Sleep(30 * time.Second)
		if got := s.set().Rollouts["r"].Stage; got != 1 {
			t.Errorf("stage %d after 40 ratings, want 1: a stage needs ratings of its own", got)
		}
		stopFirst()
		second, stopSecond := context.WithCancel(t.Context())
		defer stopSecond()
		go func() { _ = s.runner("second").Run(second) }()
		for rated := 80; rated <= 160; rated += 40 {
			time.Sleep(30 * time.Second)
			s.evidence.set(goodObservation(rated))
		}
		time.Sleep(30 * time.Second)
		if got := s.set().Rollouts["r"]; got.State != catalog.RolloutDone || got.Stage != 2 {
			t.Errorf("rollout = %+v, want done", got)
		}
		stopSecond()
		synctest.Wait()
	})
}

func TestAbortAndWithdrawalArePublishedInOneRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPlatform(t)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = s.runner("first").Run(ctx) }()
		s.evidence.set(rollout.Observation{Verdict: rollout.Withdraw})
		time.Sleep(30 * time.Second)
		set := s.set()
		if set.Rollouts["r"].State != catalog.RolloutAborted || set.Versions["m@2"].State != catalog.VersionWithdrawn {
			t.Errorf("rollout %+v, version %+v, want aborted and withdrawn", set.Rollouts["r"], set.Versions["m@2"])
		}
		head, _, err := s.store().Head(ctx)
		if err != nil || head.Revision != 2 {
			t.Errorf("revision %d, %v, want 2", head.Revision, err)
		}
		stop()
		synctest.Wait()
	})
}

// TestOperatorPauseIsKept guards against a runner that continues a rollout on good
// ratings although an operator paused it.
func TestOperatorPauseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPlatform(t)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = s.runner("first").Run(ctx) }()
		time.Sleep(10 * time.Second)
		_, err := s.publisher.Edit(ctx, "operator", func(current publish.State) (catalog.Delta, error) {
			paused := *current.Set.Rollouts["r"]
			paused.State = catalog.RolloutPaused
			return catalog.Delta{Puts: []catalog.Object{newTestObject(t, catalog.KindRollout, "r", paused)}}, nil
		})
		if err != nil {
			t.Fatal(err)
		}
		s.evidence.set(goodObservation(500))
		time.Sleep(time.Minute)
		if got := s.set().Rollouts["r"]; got.State != catalog.RolloutPaused || got.Stage != 0 {
			t.Errorf("the rollout advanced to %+v after an operator paused it", got)
		}
		stop()
		synctest.Wait()
	})
}

// TestExpiredLeaseHolderCannotPublish lets a second holder acquire the lease while
// the first is suspended right before it publishes. The first must not publish
// when it continues.
func TestExpiredLeaseHolderCannotPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPlatform(t)
		s.evidence.set(goodObservation(40))
		old := acquireLease(t, s, "first")
		time.Sleep(time.Minute)
		acquireLease(t, s, "second")
		err := s.runner("first").publish(t.Context(), rollout.New("r", &catalog.Rollout{
			From: "m@1", To: "m@2", Stages: []float64{0.1, 0.5, 1}, Stage: 2,
		}, time.Now()), "", old)
		if !result.Is(err, result.LeaseLost) {
			t.Errorf("publish: %v, want LeaseLost", err)
		}
		if got := s.set().Rollouts["r"].Stage; got != 0 {
			t.Errorf("the expired holder moved the rollout to stage %d", got)
		}
	})
}

// acquireLease acquires the rollout's lease, waiting for an earlier one to expire,
// and never renews it.
func acquireLease(t *testing.T, s *testPlatform, name string) *lease.Held {
	t.Helper()
	m := lease.NewManager(lease.Options{Table: s.platform.Table, Name: name})
	for range 100 {
		held, err := m.TryAcquire(t.Context(), Item("r"))
		if err == nil {
			return held
		}
		time.Sleep(time.Second)
	}
	t.Fatalf("%s cannot acquire the lease", name)
	return nil
}

func TestWithdrawIsIdempotent(t *testing.T) {
	s := newTestPlatform(t)
	for range 2 {
		if err := s.runner("first").Withdraw(t.Context(), "m@2"); err != nil {
			t.Fatal(err)
		}
	}
	head, _, err := s.store().Head(t.Context())
	if err != nil || head.Revision != 2 {
		t.Errorf("revision %d, %v, want 2: the second withdrawal changes nothing", head.Revision, err)
	}
	set := s.set()
	if set.Versions["m@2"].State != catalog.VersionWithdrawn || set.Rollouts["r"].State != catalog.RolloutAborted {
		t.Errorf("version %+v, rollout %+v, want withdrawn and aborted", set.Versions["m@2"], set.Rollouts["r"])
	}
}

func TestLeaseRowsOfEndedRolloutsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestPlatform(t)
		ctx, stop := context.WithCancel(t.Context())
		r := s.runner("first")
		go func() { _ = r.Run(ctx) }()
		time.Sleep(time.Minute)
		rows := func() int {
			found, err := s.platform.Table.Scan(t.Context(), "lease/rollout/", "lease/rollout0", 100)
			if err != nil {
				t.Fatal(err)
			}
			return len(found)
		}
		other := s.runner("second")
		_ = other.RetireOnce(ctx)
		if n := rows(); n != 4 {
			t.Errorf("an active rollout has %d rows, want owner, beat, note and tenure", n)
		}
		s.evidence.set(rollout.Observation{Verdict: rollout.Withdraw})
		time.Sleep(time.Minute)
		if err := other.RetireOnce(ctx); err != nil || rows() != 0 {
			t.Errorf("%d rows are left of an ended rollout, %v", rows(), err)
		}
		stop()
		synctest.Wait()
	})
}
