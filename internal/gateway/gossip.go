package gateway

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
)

// maxSessionsTold bounds the sessions on each version in one datagram.
const maxGossipSessions = 400

// news is what this gateway tells its peers.
func (g *Gateway) gossipMessage() *gossipv1.News {
	now := time.Now()
	n := &gossipv1.News{}
	n.OldSessions, n.NewSessions = g.shifts.pinnedSessions(now, maxGossipSessions)
	g.loads.addTo(n)
	g.addLeaving(n)
	g.addLimits(n)
	for _, o := range g.shifts.openOrders() {
		n.Sightings = append(n.Sightings, peers.Sightings(o.Service, o.Rev, g.localEvidence(o))...)
	}
	return n
}

// tell adds what is under way.
func (b *loadTracker) addTo(n *gossipv1.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.ups {
		if t.running > 0 {
			n.Upstreams = append(n.Upstreams, peers.Hash(id))
			n.Running = append(n.Running, uint32(t.running))
			n.Waiting = append(n.Waiting, uint32(len(t.awaitingFirst)))
			n.UnreadMs = append(n.UnreadMs, uint32(max(0, t.pendingPromptMS)))
		}
	}
}

// heldSessions returns the sessions that must stay on the old and on the new
// version of an open shift.
func (b *shiftTracker) pinnedSessions(now time.Time, limit int) (onOld, onNew []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.sessions {
		s := b.shift(p.service)
		if !s.ordered || now.Sub(p.at) > sessionPinTime || (s.stateCurrent() && s.state.Ended()) {
			continue
		}
		switch {
		case p.version == s.order.To && len(onNew) < limit:
			onNew = append(onNew, peers.Hash(name))
		case p.version != s.order.To && len(onOld) < limit && (!s.stateCurrent() || s.state.FirstHalf(b.storeNow(now))):
			onOld = append(onOld, peers.Hash(name))
		}
	}
	return onOld, onNew
}
