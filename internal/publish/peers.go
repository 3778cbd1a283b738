package publish

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/link/linkv1/linkv1connect"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// The pace of pulls between daemons.
const (
	// pullEvery is the least time between two pulls of a daemon.
	pullEvery = 100 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 2 * time.Second
	// keptCandidates bounds the peers remembered for the next pull.
	keptCandidates = 4
	// snapshotsPerSecond bounds the whole states that a daemon sends, so that
	// a failure domain which returns does not swamp it.
	snapshotsPerSecond = 4
)

// pullQueue holds the peers that have shown a higher revision. It is safe for
// concurrent use.
type pullQueue struct {
	mu    *sync.Mutex
	peers map[string]uint64
	wake  chan struct{}
}

func newPullQueue() pullQueue {
	return pullQueue{mu: &sync.Mutex{}, peers: map[string]uint64{}, wake: make(chan struct{}, 1)}
}

// add remembers a peer and wakes the duty that pulls. Peers beyond the bound
// are let go; they will show their revision again.
func (q pullQueue) add(address string, revision uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.peers[address]; !known && len(q.peers) >= keptCandidates {
		return
	}
	q.peers[address] = max(q.peers[address], revision)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the peer with the highest revision above one.
func (q pullQueue) take(above uint64) (address string, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	best := above
	for a, r := range q.peers {
		switch {
		case r <= above:
			delete(q.peers, a)
		case r > best:
			address, best = a, r
		}
	}
	delete(q.peers, address)
	return address, best > above
}

// Saw takes a revision that rode on a message of the daemon at the address.
// It does not block, and costs one atomic read when the revision is not new.
func (f *Follower) Saw(address string, revision uint64) {
	if revision <= f.Revision() || address == "" || f.options.Peers == nil {
		return
	}
	f.pulls.add(address, revision)
}

// SawEnvelope is Saw for a message that came in. A whole envelope says where
// its sender can be reached; for a stamp the address is remembered from one
// seen before.
func (f *Follower) SawEnvelope(e *linkv1.Envelope) {
	if e.GetAddress() != "" {
		f.senders.learn(e.GetSender(), e.GetAddress())
	}
	if e.GetRevision() <= f.Revision() {
		return
	}
	f.Saw(f.senders.address(e), e.GetRevision())
}

// keptSenders bounds the senders whose addresses are remembered.
const keptSenders = 1024

// senderBook remembers where senders can be reached. It is safe for
// concurrent use; a known address costs one read without a lock.
type senderBook struct {
	addresses sync.Map
	size      atomic.Int64
}

func (b *senderBook) learn(sender, address string) {
	if known, ok := b.addresses.Load(sender); ok {
		if known != address {
			b.addresses.Store(sender, address)
		}
		return
	}
	if b.size.Add(1) > keptSenders {
		b.addresses.Clear()
		b.size.Store(1)
	}
	b.addresses.Store(sender, address)
}

// Senders returns the addresses of at most n daemons that sent messages to this
// one, in no order.
func (f *Follower) Senders(n int) []string {
	var out []string
	f.senders.addresses.Range(func(_, address any) bool {
		out = append(out, address.(string))
		return true
	})
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (b *senderBook) address(e *linkv1.Envelope) string {
	if e.GetAddress() != "" {
		return e.GetAddress()
	}
	known, ok := b.addresses.Load(e.GetSender())
	if !ok {
		return ""
	}
	return known.(string)
}

// runPulls pulls from the peers that have shown a higher revision, one pull
// at a time.
func (f *Follower) runPulls(ctx context.Context) {
	for {
		select {
		case <-f.pulls.wake:
		case <-ctx.Done():
			return
		}
		for {
			address, ok := f.pulls.take(f.Revision())
			if !ok {
				break
			}
			_ = f.pull(ctx, address)
			if !wait.For(ctx, f.jitter(pullEvery)) {
				return
			}
		}
	}
}

// pull asks one peer for what is new there and takes it.
func (f *Follower) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	f.mu.Lock()
	f.status.Pulls++
	asked := f.log.Current()
	f.mu.Unlock()
	req := &linkv1.PullRequest{Envelope: f.Envelope(), History: asked.History}
	req.Envelope.Revision = asked.Revision
	resp, err := f.options.Peers.Pull(ctx, address, req)
	if err != nil {
		return err
	}
	err = f.take(ctx, asked, resp)
	if err != nil && !result.Is(err, result.RevisionBehind) {
		f.mu.Lock()
		f.trouble(err)
		f.mu.Unlock()
	}
	return err
}

// take applies a peer's answer to what was asked with the state then in force.
func (f *Follower) take(ctx context.Context, asked State, resp *linkv1.PullResponse) error {
	if len(resp.GetDeltas()) > 0 {
		return f.append(resp.GetDeltas(), sourcePeer)
	}
	if resp.GetSnapshot() == nil {
		return nil
	}
	state, err := fromSnapshot(resp.GetSnapshot(), resp.GetHistory())
	if err != nil {
		return err
	}
	if err := f.provePeer(ctx, asked, state, resp.GetDigestStart()); err != nil {
		return err
	}
	return f.install(state, sourcePeer)
}

// PeerHandler serves PeerService for a follower.
type PeerHandler struct {
	follower  *Follower
	snapshots *rate.Limiter
}

var _ linkv1connect.PeerServiceHandler = (*PeerHandler)(nil)

// maxPullBytes bounds a decoded request, which names a revision.
const maxPullBytes = 64 << 10

// NewPeerHandler returns the path and the handler to mount.
func NewPeerHandler(f *Follower, opts ...connect.HandlerOption) (string, http.Handler) {
	return linkv1connect.NewPeerServiceHandler(newPeerHandler(f), append(opts, connect.WithReadMaxBytes(maxPullBytes))...)
}

func newPeerHandler(f *Follower) *PeerHandler {
	return &PeerHandler{
		follower:  f,
		snapshots: rate.NewLimiter(snapshotsPerSecond, snapshotsPerSecond),
	}
}

// Pull answers with the deltas after the requester's revision, with a whole
// snapshot when they are no longer kept, or with the envelope alone when the
// requester is up to date. ResourceExhausted means that too many snapshots
// are asked for.
func (h *PeerHandler) Pull(_ context.Context, req *connect.Request[linkv1.PullRequest]) (*connect.Response[linkv1.PullResponse], error) {
	resp, err := h.answer(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(resp), nil
}

func (h *PeerHandler) answer(req *linkv1.PullRequest) (*linkv1.PullResponse, error) {
	f := h.follower
	f.SawEnvelope(req.GetEnvelope())
	resp := &linkv1.PullResponse{Envelope: f.Envelope()}
	f.mu.Lock()
	current := f.log.Current()
	deltas, kept := f.log.Since(req.GetEnvelope().GetRevision())
	start := f.log.DigestStart(req.GetEnvelope().GetRevision())
	f.mu.Unlock()
	if current.Set == nil || current.Revision <= req.GetEnvelope().GetRevision() {
		return resp, nil
	}
	resp.History = current.History
	if kept && req.GetHistory() == current.History {
		resp.Deltas = deltas
		return resp, nil
	}
	if !h.snapshots.Allow() {
		return nil, result.New(result.RateLimited, "too many snapshots are asked for").WithRetryAfter(time.Second)
	}
	resp.Snapshot = snapshotOf(current)
	resp.DigestStart = start
	return resp, nil
}

// Dial returns the HTTP client and base URL for a daemon's address.
type Dial func(address string) (client connect.HTTPClient, baseURL string)

// ConnectPeers is the PeerClient over connect-go.
type ConnectPeers struct{ Dial Dial }

var _ PeerClient = ConnectPeers{}

// maxPulledBytes bounds what a daemon sends of a configuration. A packed snapshot of the target
// size has 29 KB (docs/CAPACITY.md).
const maxPulledBytes = 32 << 20

// Pull calls PeerService.Pull at the address.
func (p ConnectPeers) Pull(ctx context.Context, address string, req *linkv1.PullRequest) (*linkv1.PullResponse, error) {
	client, baseURL := p.Dial(address)
	resp, err := linkv1connect.NewPeerServiceClient(client, baseURL, connect.WithReadMaxBytes(maxPulledBytes)).Pull(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
