package learned

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/quality"
)

const (
	// loadTimeout bounds one call of Source.Load.
	loadTimeout = 2 * time.Second
	// maxPeersPerRound is how many peers are queried concurrently in one round.
	maxPeersPerRound = 4
)

// Source loads learned state for an entry that starts.
type Source struct {
	// Table holds the stored copy.
	Table ports.Table
	// Self is the address of this entry, which is never queried.
	Self string
	// Peers are the addresses of daemons of any role. Agents return the addresses of
	// entries, which are queried next.
	Peers []string
	// Fetch requests the learned state from one peer.
	Fetch FetchFunc
	Now   func() time.Time
	Log   *zap.Logger
}

// Load returns the learned states of the stored copy, of the entry that wrote it, of
// some peers, and of some entries whose addresses those peers return. It omits sources
// that cannot be reached and states that cannot be decoded.
func (s *Source) Load(ctx context.Context) []quality.Snapshot {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	peers := slices.Clone(s.Peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var memories []quality.Snapshot
	stored, found, err := s.Table.Get(ctx, RowKey)
	if found && err == nil {
		address, m, err := readRow(stored.Value, s.Now())
		memories = s.appendValid(memories, "platform", m, err)
		if address != "" {
			peers = slices.Insert(peers, 0, address)
		}
	}
	queried := map[string]bool{s.Self: true}
	fromPeers, senders := s.queryPeers(ctx, peers, queried)
	fromSenders, _ := s.queryPeers(ctx, senders, queried)
	return slices.Concat(memories, fromPeers, fromSenders)
}

// queryPeers queries up to maxPeersPerRound peers concurrently and adds them to queried;
// it skips those already in it. It returns the learned states and the addresses of
// further entries that the peers sent.
func (s *Source) queryPeers(ctx context.Context, peers []string, queried map[string]bool) (memories []quality.Snapshot, senders []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	remaining := maxPeersPerRound
	for _, p := range peers {
		if queried[p] || remaining == 0 {
			continue
		}
		queried[p] = true
		remaining--
		calls.Go(func() {
			resp, err := s.Fetch(ctx, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			senders = append(senders, resp.GetSenders()...)
			if len(resp.GetPacked()) > 0 {
				m, err := Unpack(resp.GetPacked(), s.Now())
				memories = s.appendValid(memories, p, m, err)
			}
		})
	}
	calls.Wait()
	return memories, senders
}

// appendValid appends m to memories, or logs err if m was rejected.
func (s *Source) appendValid(memories []quality.Snapshot, source string, m quality.Snapshot, err error) []quality.Snapshot {
	if err != nil {
		s.Log.Warn("learned state rejected", zap.String("from", source), zap.Error(err))
		return memories
	}
	return append(memories, m)
}
