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
	// askTimeout bounds one round of asking.
	askTimeout = 2 * time.Second
	// askedPeers is how many peers are asked in a round.
	askedPeers = 4
)

// Source is where an entry that starts looks for what was learned before.
type Source struct {
	Table ports.Table
	// Self is the address of this entry, which is not asked.
	Self string
	// Peers lists daemons of any role. Agents name entries that are asked next.
	Peers []string
	Ask   Ask
	Now   func() time.Time
	Log   *zap.Logger
}

// Recall asks the platform's copy, the entry that wrote it, some peers, and some
// entries that agents among them name, and returns what they know. What cannot be reached or read is left out.
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
	asked := map[string]bool{s.Self: true}
	near, senders := s.askPeers(ctx, peers, asked)
	far, _ := s.askPeers(ctx, senders, asked)
	return slices.Concat(memories, near, far)
}

// askPeers asks some peers at the same time that were not asked yet. It returns
// what they know, and daemons that they name.
func (s *Source) askPeers(ctx context.Context, peers []string, asked map[string]bool) (memories []quality.Memory, senders []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	left := askedPeers
	for _, p := range peers {
		if asked[p] || left == 0 {
			continue
		}
		asked[p] = true
		left--
		calls.Go(func() {
			resp, err := s.Ask(ctx, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			senders = append(senders, resp.GetSenders()...)
			if len(resp.GetPacked()) > 0 {
				m, err := Unpack(resp.GetPacked(), s.Now())
				memories = s.keep(memories, p, m, err)
			}
		})
	}
	calls.Wait()
	return memories, senders
}

// keep adds a memory, or says why it is dropped.
func (s *Source) keep(memories []quality.Memory, from string, m quality.Memory, err error) []quality.Memory {
	if err != nil {
		s.Log.Warn("a copy of what was learned is dropped", zap.String("from", from), zap.Error(err))
		return memories
	}
	return append(memories, m)
}
