package gateway

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
)

// maxSessionsTold bounds the sessions in one datagram.
const maxSessionsTold = 400

// news is what this gateway tells its peers.
func (g *Gateway) news() *gossipv1.News {
	now := time.Now()
	n := &gossipv1.News{OldSessions: g.shifts.oldSessions(now, maxSessionsTold)}
	g.loads.tell(n)
	for _, o := range g.shifts.open() {
		n.Sightings = append(n.Sightings, peers.Sightings(o.Service, o.Rev, g.ownEvidence(o))...)
	}
	return n
}

// tell adds what is under way.
func (b *loadBook) tell(n *gossipv1.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.ups {
		if t.running > 0 {
			n.Upstreams = append(n.Upstreams, peers.Hash(id))
			n.Running = append(n.Running, uint32(t.running))
			n.UnreadMs = append(n.UnreadMs, uint32(max(0, t.unreadMS)))
		}
	}
}

// oldSessions returns the sessions that must stay on an old version.
func (b *shiftBook) oldSessions(now time.Time, most int) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []uint32
	for name, p := range b.sessions {
		s := b.of(p.service)
		if len(out) < most && s.ordered && p.version != s.order.To && now.Sub(p.at) <= sessionKept &&
			(!s.current() || s.state.FirstHalf(b.storeNow(now))) {
			out = append(out, peers.Hash(name))
		}
	}
	return out
}
