package publish

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// cluster is some followers that reach one another in memory, and one fake
// platform. It counts the messages between them.
type cluster struct {
	t        testing.TB
	platform *fake.Platform
	store    Store

	mu       sync.Mutex
	handlers map[string]*PeerHandler
	running  map[string]context.CancelFunc
	done     sync.WaitGroup
	cut      bool
	pulls    int
	bytes    int
	history  map[string][]uint64
}

func newCluster(t testing.TB, o fake.Options) *cluster {
	p := fake.New(o)
	c := &cluster{
		t: t, platform: p,
		store:    Store{Table: p.Table, Objects: p.Objects},
		handlers: map[string]*PeerHandler{},
		running:  map[string]context.CancelFunc{},
		history:  map[string][]uint64{},
	}
	t.Cleanup(c.stopAll)
	return c
}

// Pull is the PeerClient of every follower.
func (c *cluster) Pull(_ context.Context, address string, req *linkv1.PullRequest) (*linkv1.PullResponse, error) {
	c.mu.Lock()
	h := c.handlers[address]
	cut := c.cut
	c.mu.Unlock()
	if h == nil || cut {
		return nil, result.New(result.AdminAway, "%s does not answer", address)
	}
	resp, err := h.answer(req)
	c.mu.Lock()
	c.pulls++
	c.bytes += proto.Size(req) + proto.Size(resp)
	c.mu.Unlock()
	return resp, err
}

func (c *cluster) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cluster) pullCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pulls
}

func (c *cluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.handlers))
}

// start runs a follower that has forgotten everything.
func (c *cluster) start(name string) *Follower {
	f := NewFollower(FollowerOptions{Store: c.store, Name: name, Address: name, Peers: c, PeerAddresses: c.addresses})
	ctx, cancel := context.WithCancel(c.t.Context())
	c.mu.Lock()
	c.handlers[name] = newPeerHandler(f)
	c.running[name] = cancel
	c.mu.Unlock()
	c.done.Go(func() { _ = f.Run(ctx) })
	c.done.Go(func() { c.record(ctx, name, f) })
	return f
}

// record keeps the revisions that came into force, for the check that none
// went back.
func (c *cluster) record(ctx context.Context, name string, f *Follower) {
	for {
		select {
		case s := <-f.Updates():
			c.mu.Lock()
			c.history[name] = append(c.history[name], s.Revision)
			c.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[name]()
	delete(c.running, name)
	delete(c.handlers, name)
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	for _, cancel := range c.running {
		cancel()
	}
	c.mu.Unlock()
	c.done.Wait()
}

// checkNoRevert fails when any daemon, over all its restarts, went back.
func (c *cluster) checkNoRevert() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, revisions := range c.history {
		if !slices.IsSorted(revisions) {
			c.t.Errorf("%s went back: %v", name, revisions)
		}
	}
}

// publish changes one upstream and returns the new revision.
func (c *cluster) publish(n int) State {
	c.t.Helper()
	out, err := NewPublisher(c.store, PublisherOptions{}).Edit(c.t.Context(), "test", putUpstream(n))
	if err != nil {
		c.t.Fatal(err)
	}
	return out.State
}

func putUpstream(slots int) EditFunc {
	return func(s State) (catalog.Delta, error) {
		d := catalog.Delta{Puts: []catalog.Object{upstreamObject("u", slots)}}
		if s.Set.Len() == 0 {
			d.Puts = append(d.Puts, smallObjects()...)
		}
		return d, nil
	}
}

func upstreamObject(name string, slots int) catalog.Object {
	spec := fmt.Sprintf(`{"address":"127.0.0.1:2","agent":"127.0.0.1:1","domain":"a","host":"h1","slots":%d,"versions":["m@1"]}`, slots)
	return catalog.Object{Key: catalog.Key{Kind: catalog.KindUpstream, Name: name}, Spec: []byte(spec)}
}

func smallObjects() []catalog.Object {
	return []catalog.Object{
		{Key: catalog.Key{Kind: catalog.KindModel, Name: "m"}, Spec: []byte(`{}`)},
		{Key: catalog.Key{Kind: catalog.KindVersion, Name: "m@1"}, Spec: []byte(`{"inputMicros":1,"outputMicros":1}`)},
	}
}

// wantRevision waits the time and fails unless the follower has the revision.
func wantRevision(t testing.TB, f *Follower, revision uint64, after time.Duration) {
	t.Helper()
	time.Sleep(after)
	if got := f.Revision(); got != revision {
		t.Errorf("revision %d is in force, want %d (status %+v)", got, revision, f.Status())
	}
}

func wantCode(t testing.TB, err error, code result.Code) {
	t.Helper()
	if !result.Is(err, code) {
		t.Errorf("got %v, want %v", err, code)
	}
}

func fixedFloor(revision uint64) func(context.Context) (uint64, error) {
	return func(context.Context) (uint64, error) { return revision, nil }
}
