package publish

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// The pace of a follower.
const (
	// DefaultPoll is the mean time between two reads of the head. At 320
	// daemons it makes 320 reads a second of the 2,000 there are.
	DefaultPoll = time.Second
	// pollSpread is the share by which a pause is longer or shorter.
	pollSpread = 0.25
	// readTimeout bounds one round of reads from the store.
	readTimeout = 5 * time.Second
	// startPeerWait bounds how long a daemon without a configuration asks its
	// peers before it takes what the store has.
	startPeerWait = 2 * time.Second
	// startPeers is how many peers it asks at a time.
	startPeers = 3
)

// PeerClient pulls from another daemon.
type PeerClient interface {
	Pull(ctx context.Context, address string, req *linkv1.PullRequest) (*linkv1.PullResponse, error)
}

// FollowerOptions configure a Follower. Zero fields take the usual values.
type FollowerOptions struct {
	Store Store
	// Name, Incarnation and Address stand in the envelopes that this daemon
	// sends. Address is where it serves PeerService.
	Name        string
	Incarnation uint64
	Address     string
	// Peers pulls from other daemons; nil leaves them out.
	Peers PeerClient
	// PeerAddresses lists the daemons to ask when this one has nothing or the
	// store is out. It is called by the duties of Run.
	PeerAddresses func() []string
	// Poll is the mean time between two reads of the head.
	Poll time.Duration
	// NoRepair leaves a store alone that was restored from an old backup.
	NoRepair bool
	// Rand returns numbers from 0 up to 1 for jitter; it must be safe for
	// concurrent use.
	Rand func() float64
	Log  *zap.Logger
}

// Follower keeps the configuration of one daemon up to date. Run polls the
// head, pulls from peers that have shown a higher revision, and repairs a
// store that fell behind. The current state is read without a lock.
type Follower struct {
	options FollowerOptions
	current atomic.Pointer[State]
	updates chan State
	pulls   pullQueue
	senders senderBook

	mu     sync.Mutex
	log    Log
	status Status
	// behindPolls counts the polls in a row that found the store behind.
	behindPolls int
}

// NewFollower returns a follower without a configuration.
func NewFollower(o FollowerOptions) *Follower {
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.PeerAddresses == nil {
		o.PeerAddresses = func() []string { return nil }
	}
	return &Follower{options: o, updates: make(chan State, 1), pulls: newPullQueue()}
}

// Current returns the state in force. It returns NoConfiguration while the
// daemon has none; it must serve nothing then.
func (f *Follower) Current() (State, error) {
	s := f.current.Load()
	if s == nil {
		return State{}, result.New(result.NoConfiguration, "no configuration has arrived yet")
	}
	return *s, nil
}

// Set returns the set in force and its revision, or nil and 0.
func (f *Follower) Set() (*catalog.Set, uint64) {
	s := f.current.Load()
	if s == nil {
		return nil, 0
	}
	return s.Set, s.Revision
}

// Revision returns the revision in force, or 0.
func (f *Follower) Revision() uint64 {
	_, r := f.Set()
	return r
}

// Updates returns the channel that carries each new state. It holds one: a
// slow reader misses states in between, never the newest. It has one reader.
func (f *Follower) Updates() <-chan State { return f.updates }

// Stamp returns the short envelope that rides on attempts and answers. It
// leaves out the address, which heartbeats and pulls carry.
func (f *Follower) Stamp() *linkv1.Envelope {
	return &linkv1.Envelope{
		Revision:    f.Revision(),
		Sender:      f.options.Name,
		Incarnation: f.options.Incarnation,
	}
}

// Envelope returns the whole envelope, for heartbeats and pulls.
func (f *Follower) Envelope() *linkv1.Envelope {
	return &linkv1.Envelope{
		Revision:    f.Revision(),
		Sender:      f.options.Name,
		Incarnation: f.options.Incarnation,
		Address:     f.options.Address,
	}
}

// Status returns what a state dump shows.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Run polls the store and pulls from peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	duties.Go(func() { f.runPulls(ctx) })
	f.start(ctx)
	for ctx.Err() == nil {
		f.Poll(ctx)
		if !wait.For(ctx, f.jitter(f.options.Poll)) {
			break
		}
	}
	duties.Wait()
	return nil
}

// start asks some peers before the first read of the store, so that a daemon
// which starts anew does not fall back to a store that is behind.
func (f *Follower) start(ctx context.Context) {
	if f.options.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startPeerWait)
	defer cancel()
	f.askPeers(ctx)
}

// askPeers pulls from some peers picked at random, at the same time.
func (f *Follower) askPeers(ctx context.Context) {
	if f.options.Peers == nil {
		return
	}
	addresses := slices.Clone(f.options.PeerAddresses())
	var asked sync.WaitGroup
	for i := range min(startPeers, len(addresses)) {
		j := i + int(f.options.Rand()*float64(len(addresses)-i))
		addresses[i], addresses[j] = addresses[j], addresses[i]
		asked.Go(func() { _ = f.pull(ctx, addresses[i]) })
	}
	asked.Wait()
}

// Poll reads the head once and takes what is new. Run calls it; a test may
// call it in its place.
func (f *Follower) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, _, err := f.options.Store.Head(ctx)
	if err != nil {
		f.storeFailed(ctx, err)
		return
	}
	switch f.compare(head) {
	case HeadAhead:
		f.catchUp(ctx, head)
	case HeadBehind:
		f.repair(ctx, head)
	case HeadEqual, HeadForeign:
	}
}

// storeFailed notes an outage. The daemon turns to some peers at each failed
// poll, since one that still reaches the store may not send it any message.
func (f *Follower) storeFailed(ctx context.Context, err error) {
	f.mu.Lock()
	first := f.status.StoreError == ""
	f.status.Polls++
	f.status.StoreError = err.Error()
	f.mu.Unlock()
	if first {
		f.options.Log.Warn("publish: the store cannot be read", zap.Error(err))
	}
	f.askPeers(ctx)
}

// compare notes how the head relates to the state in force.
func (f *Follower) compare(head Head) Relation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Polls++
	f.status.StoreError = ""
	f.status.StoreRevision = head.Revision
	relation := f.log.Relate(head)
	f.status.StoreRelation = relation.String()
	if relation == HeadBehind {
		f.behindPolls++
	} else {
		f.behindPolls = 0
	}
	if relation == HeadForeign {
		f.trouble(result.New(result.HistoryReplaced,
			"the store holds revision %d of another history; revision %d stays in force", head.Revision, f.log.Current().Revision))
	}
	if relation == HeadEqual {
		f.status.Trouble = ""
	}
	return relation
}

// trouble notes why the state in force is kept. The caller holds the lock.
func (f *Follower) trouble(err error) {
	if f.status.Trouble != err.Error() {
		f.options.Log.Warn("publish: kept the configuration in force", zap.Error(err))
	}
	f.status.Trouble = err.Error()
}

// The sources of a revision.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

func (f *Follower) append(deltas []*linkv1.Delta, source string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.log.Current().Revision
	if err := f.log.Append(deltas); err != nil {
		return err
	}
	f.announce(before, source)
	return nil
}

func (f *Follower) install(s State, source string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.log.Current().Revision
	if err := f.log.Install(s); err != nil {
		return err
	}
	f.announce(before, source)
	return nil
}

// announce brings the log's state into force. The caller holds the lock.
func (f *Follower) announce(before uint64, source string) {
	s := f.log.Current()
	if s.Revision <= before {
		return
	}
	f.current.Store(&s)
	f.status.Revision = s.Revision
	f.status.Digest = s.Digest
	f.status.History = s.History
	f.status.Source = source
	f.status.Since = time.Now()
	f.status.Trouble = ""
	select {
	case <-f.updates:
	default:
	}
	f.updates <- s
	f.options.Log.Info("publish: revision in force", zap.Uint64("revision", s.Revision), zap.String("source", source))
}

// jitter returns a pause spread around the mean.
func (f *Follower) jitter(mean time.Duration) time.Duration {
	spread := 1 + pollSpread*(2*f.options.Rand()-1)
	return time.Duration(float64(mean) * spread)
}
