package learned

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/platform"
	"tarragonbay.example/tarragonbay/internal/quality"
)

const (
	// askTimeout bounds one round of asking.
	askTimeout = 2 * time.Second
	// askedPeers is how many peers are asked in a round.
	askedPeers = 4
)

// Source is where an entry that starts looks for what was learned before.
type Source struct {
	Table platform.Table
	// Self is the address of this entry, which is not asked.
	Self string
	// Peers lists daemons that may be entries; others do not answer.
	Peers []string
	Ask   Ask
	Now   func() time.Time
	Log   *zap.Logger
}

// Recall asks the platform's copy, the entry that wrote it, and some peers, and
// returns what they know. What cannot be reached or read is left out.
func (s *Source) Recall(ctx context.Context) []quality.Memory {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := slices.Clone(s.Peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var memories []quality.Memory
	copied, found, err := s.Table.Get(ctx, RowKey)
	if found && err == nil {
		address, m, err := readRow(copied.Value, s.Now())
		memories = s.keep(memories, "platform", m, err)
		if address != "" {
			peers = slices.Insert(peers, 0, address)
		}
	}
	return append(memories, s.askPeers(ctx, peers)...)
}

// askPeers asks some peers at the same time.
func (s *Source) askPeers(ctx context.Context, peers []string) []quality.Memory {
	asked := map[string]bool{s.Self: true}
	var mu sync.Mutex
	var memories []quality.Memory
	var calls sync.WaitGroup
	for _, p := range peers {
		if asked[p] || len(asked) > askedPeers {
			continue
		}
		asked[p] = true
		calls.Go(func() {
			packed, err := s.Ask(ctx, p)
			if err != nil || len(packed) == 0 {
				return
			}
			m, err := Unpack(packed, s.Now())
			mu.Lock()
			defer mu.Unlock()
			memories = s.keep(memories, p, m, err)
		})
	}
	calls.Wait()
	return memories
}

// keep adds a memory, or says why it is dropped.
func (s *Source) keep(memories []quality.Memory, from string, m quality.Memory, err error) []quality.Memory {
	if err != nil {
		s.Log.Warn("a copy of what was learned is dropped", zap.String("from", from), zap.Error(err))
		return memories
	}
	return append(memories, m)
}
