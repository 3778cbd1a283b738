package publish

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

func mustSet(t testing.TB, objects ...catalog.Object) *catalog.Set {
	t.Helper()
	set, err := catalog.NewSet(append(smallObjects(), objects...))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func TestPublishChecksTheWholeSet(t *testing.T) {
	c := newCluster(t, fake.Options{})
	p := NewPublisher(c.store, PublisherOptions{})
	bad := upstreamObject("u", -1)
	_, err := p.Publish(t.Context(), Change{Want: mustSet(t, bad)})
	wantCode(t, err, result.CheckFailed)
	var check *CheckError
	if !errors.As(err, &check) || len(check.Faults) != 1 || check.Faults[0].Object != "upstreams/u" {
		t.Errorf("got %v", err)
	}
	if _, ok, _ := c.store.Head(t.Context()); ok {
		t.Error("a set with faults made a head")
	}
}

func TestPublishOfTheSameSetMakesNoRevision(t *testing.T) {
	c := newCluster(t, fake.Options{})
	p := NewPublisher(c.store, PublisherOptions{})
	for range 2 {
		out, err := p.Publish(t.Context(), Change{Want: mustSet(t)})
		if err != nil || out.State.Revision != 1 {
			t.Errorf("got revision %d, %v", out.State.Revision, err)
		}
	}
}

func TestTwoOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		first := c.publish(1)
		want := func(name string, slots int) Change {
			return Change{Base: first.Revision, Want: mustSet(t, upstreamObject("u", 1), upstreamObject(name, slots))}
		}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				p := NewPublisher(c.store, PublisherOptions{})
				if _, err := p.Publish(t.Context(), want(fmt.Sprintf("other-%d", i), 2)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		head, _, _ := c.store.Head(t.Context())
		state, _, err := c.store.Load(t.Context(), head)
		if err != nil || state.Revision != 9 || len(state.Set.Upstreams) != 9 {
			t.Fatalf("revision %d, %d upstreams, %v", state.Revision, len(state.Set.Upstreams), err)
		}
		p := NewPublisher(c.store, PublisherOptions{})
		_, err = p.Publish(t.Context(), want("other-3", 7))
		var conflict *ConflictError
		if !errors.As(err, &conflict) || len(conflict.Keys) != 1 || conflict.Keys[0].Name != "other-3" {
			t.Errorf("got %v, want a conflict that names upstreams/other-3", err)
		}
		wantCode(t, err, result.PublishConflict)
	})
}

// TestRebaseIsCheckedAgain has two publications that are right alone and
// wrong together.
func TestRebaseIsCheckedAgain(t *testing.T) {
	c := newCluster(t, fake.Options{})
	base := c.publish(1)
	version := catalog.Object{Key: catalog.Key{Kind: catalog.KindVersion, Name: "m@2"}, Spec: []byte(`{"inputMicros":1,"outputMicros":1}`)}
	p := NewPublisher(c.store, PublisherOptions{})
	withVersion, err := p.Publish(t.Context(), Change{Base: base.Revision, Want: mustSet(t, upstreamObject("u", 1), version)})
	if err != nil {
		t.Fatal(err)
	}
	user := upstreamObject("user", 1)
	user.Spec = []byte(`{"address":"127.0.0.1:2","agent":"127.0.0.1:1","domain":"a","host":"h1","versions":["m@2"]}`)
	if _, err := p.Publish(t.Context(), Change{Base: withVersion.State.Revision, Want: mustSet(t, upstreamObject("u", 1), version, user)}); err != nil {
		t.Fatal(err)
	}
	_, err = p.Publish(t.Context(), Change{Base: withVersion.State.Revision, Want: mustSet(t, upstreamObject("u", 1))})
	wantCode(t, err, result.CheckFailed)
}

func TestLostRepliesMakeOneRevisionEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		for i, f := range []fake.TableFaults{{LoseReplies: 1}, {LoseRequests: 1}, {LoseReplies: 1, LoseRequests: 3}} {
			c.platform.Table.SetFaults(f)
			if s := c.publish(i + 1); s.Revision != uint64(i+1) {
				t.Errorf("publication %d made revision %d", i+1, s.Revision)
			}
		}
	})
}

// cutStore fails the n-th call and every later one, as a publisher that is
// killed there. The call itself takes effect or not.
type cutStore struct {
	ports.Table
	ports.Objects
	left   *int
	effect bool
}

func (c cutStore) step(f func() error) error {
	*c.left--
	if *c.left > 0 {
		return f()
	}
	if *c.left == 0 && c.effect {
		_ = f()
	}
	return result.New(result.TableUnavailable, "cut")
}

func (c cutStore) Commit(ctx context.Context, txn ports.Txn) error {
	return c.step(func() error { return c.Table.Commit(ctx, txn) })
}

func (c cutStore) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	return c.step(func() error { return c.Objects.PutIfAbsent(ctx, name, data) })
}

func (c cutStore) Delete(ctx context.Context, name string) error {
	return c.step(func() error { return c.Objects.Delete(ctx, name) })
}

type cutTable struct{ cutStore }

func (c cutTable) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	return c.Table.Get(ctx, key)
}

type cutObjects struct{ cutStore }

func (c cutObjects) Get(ctx context.Context, name string) ([]byte, error) {
	return c.Objects.Get(ctx, name)
}

// TestPublishCutAtEveryStep cuts publications that also make a snapshot,
// commit, and delete an old snapshot. The store must hold the old revision or
// the new one, whole, and take the next publication.
func TestPublishCutAtEveryStep(t *testing.T) {
	for steps := 1; steps <= 5; steps++ {
		for _, effect := range []bool{false, true} {
			t.Run(fmt.Sprintf("step %d effect %v", steps, effect), func(t *testing.T) {
				checkCut(t, steps, effect)
			})
		}
	}
}

func checkCut(t *testing.T, steps int, effect bool) {
	ctx := t.Context()
	c := newCluster(t, fake.Options{})
	p := NewPublisher(c.store, PublisherOptions{})
	for i := range 3*SnapshotEvery - 1 {
		if _, err := p.Edit(ctx, "test", putUpstream(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	before, _, _ := c.store.Head(ctx)
	left := steps
	cut := cutStore{c.store.Table, c.store.Objects, &left, effect}
	p = NewPublisher(Store{Table: cutTable{cut}, Objects: cutObjects{cut}}, PublisherOptions{})
	for i := range steps {
		_, _ = p.Edit(ctx, "cut", putUpstream(1000+i))
	}
	if left > 0 {
		t.Fatalf("the cut was not reached: %d steps left", left)
	}
	head, _, _ := c.store.Head(ctx)
	state, _, err := c.store.Load(ctx, head)
	if err != nil || state.Revision < before.Revision {
		t.Fatalf("after the cut: revision %d, %v", state.Revision, err)
	}
	if next := c.publish(5); next.Revision != state.Revision+1 {
		t.Errorf("next revision %d after %d", next.Revision, state.Revision)
	}
}

func TestCompactionKeepsWhatTheOlderSnapshotNeeds(t *testing.T) {
	c := newCluster(t, fake.Options{})
	p := NewPublisher(c.store, PublisherOptions{})
	ctx := t.Context()
	for i := range 5 * SnapshotEvery {
		if _, err := p.Edit(ctx, "test", putUpstream(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	head, _, _ := c.store.Head(ctx)
	rows, _ := c.platform.Table.Scan(ctx, DeltaKey(0), DeltaKey(head.Revision+1), 0)
	if len(rows) > 3*SnapshotEvery {
		t.Errorf("%d deltas are kept", len(rows))
	}
	if n := len(c.platform.Objects.Names()); n != 2 {
		t.Errorf("%d objects are kept, want 2 snapshots", n)
	}
	for _, damage := range []fake.ObjectFaults{{}, {Missing: []string{head.Snapshots[0].Name}}, {Damaged: []string{head.Snapshots[0].Name}}} {
		c.platform.Objects.SetFaults(damage)
		state, intact, err := c.store.Load(ctx, head)
		if err != nil || state.Digest != head.Digest || intact != (damage.Missing == nil && damage.Damaged == nil) {
			t.Errorf("with %+v: revision %d, intact %v, %v", damage, state.Revision, intact, err)
		}
	}
	c.platform.Objects.SetFaults(fake.ObjectFaults{Damaged: []string{head.Snapshots[0].Name}})
	c.publish(1)
	after, _, _ := c.store.Head(ctx)
	if after.Snapshots[0].Revision != after.Revision {
		t.Error("the next publication did not replace the damaged snapshot")
	}
	if old, err := c.store.At(ctx, after, head.Revision-1); err != nil || old.Revision != head.Revision-1 {
		t.Errorf("an earlier revision: %d, %v", old.Revision, err)
	}
	_, err := c.store.At(ctx, after, 1)
	wantCode(t, err, result.RevisionBehind)
}

func TestGuardStopsAPublication(t *testing.T) {
	c := newCluster(t, fake.Options{})
	c.publish(1)
	p := NewPublisher(c.store, PublisherOptions{})
	_, err := p.Edit(t.Context(), "holder", putUpstream(2), ports.Condition{Key: "lease/x", Version: 4})
	wantCode(t, err, result.LeaseLost)
	head, _, _ := c.store.Head(t.Context())
	if head.Revision != 1 {
		t.Errorf("the head moved to %d", head.Revision)
	}
}

// deafTable goes out with the first commit, which takes effect.
type deafTable struct{ *fake.Table }

func (d deafTable) Commit(ctx context.Context, txn ports.Txn) error {
	err := d.Table.Commit(ctx, txn)
	d.SetFaults(fake.TableFaults{Outage: true})
	return err
}

func TestOutcomeReadsALostPublicationBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		ids := []string{"history", "op-1"}
		next := func() string { id := ids[0]; ids = slices.Delete(ids, 0, 1); return id }
		store := Store{Table: deafTable{c.platform.Table}, Objects: c.platform.Objects}
		c.platform.Table.SetFaults(fake.TableFaults{LoseReplies: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := NewPublisher(store, PublisherOptions{NewID: next}).Edit(ctx, "test", putUpstream(1))
		wantCode(t, err, result.TableUnknown)
		c.platform.Table.SetFaults(fake.TableFaults{})
		for id, want := range map[string]uint64{"op-1": 1, "op-2": 0} {
			if r, applied, err := c.store.Outcome(t.Context(), id); r != want || applied != (want > 0) || err != nil {
				t.Errorf("%s: revision %d, applied %v, %v", id, r, applied, err)
			}
		}
	})
}
