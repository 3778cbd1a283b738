package peers

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/placement"
)

const (
	// maxSpeedsSent bounds the upstreams whose speeds are in one gossip message.
	maxSpeedsSent = 96
	// speedSumScale and speedCountScale are the steps of totals in gossip messages.
	speedSumScale, speedCountScale = 100.0, 10.0
	// maxSpeedAge is how long a peer's speeds count.
	maxSpeedAge = 10 * time.Second
)

// AddSpeeds adds what this gateway has seen of the speeds of upstreams, by the hash of
// their IDs, to a gossip message.
func AddSpeeds(n *gossipv1.News, totals map[uint32]placement.SpeedTotal) {
	for id, t := range totals {
		if len(n.SpeedUpstreams) == maxSpeedsSent {
			return // maps are walked in random order, so the others are sent later
		}
		n.SpeedUpstreams = append(n.SpeedUpstreams, id)
		n.SpeedSums = append(n.SpeedSums, int32(math.Round(speedSumScale*t.Sum)))
		n.SpeedCounts = append(n.SpeedCounts, uint32(math.Round(speedCountScale*t.Count)))
	}
}

// speedReport is what a peer has seen of the speeds of upstreams.
type speedReport struct {
	totals map[uint32]placement.SpeedTotal
	at     time.Time
}

// decodeSpeeds returns the speeds in a gossip message; ok is false if it has none or its
// columns differ in length.
func decodeSpeeds(n *gossipv1.News, now time.Time) (r speedReport, ok bool) {
	ids, sums, counts := n.GetSpeedUpstreams(), n.GetSpeedSums(), n.GetSpeedCounts()
	if len(ids) == 0 || len(sums) != len(ids) || len(counts) != len(ids) {
		return r, false
	}
	r = speedReport{totals: make(map[uint32]placement.SpeedTotal, len(ids)), at: now}
	for i, id := range ids {
		r.totals[id] = placement.SpeedTotal{Sum: float64(sums[i]) / speedSumScale, Count: float64(counts[i]) / speedCountScale}
	}
	return r, true
}

// Speeds returns what all peers have seen of the speeds of upstreams, by the hash of the
// upstream's ID.
func (b *PeerTable) Speeds(now time.Time) map[uint32]placement.SpeedTotal {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := map[uint32]placement.SpeedTotal{}
	for _, h := range b.peers {
		if now.Sub(h.speeds.at) > maxSpeedAge {
			continue
		}
		for id, t := range h.speeds.totals {
			out[id] = out[id].Plus(t)
		}
	}
	return out
}
