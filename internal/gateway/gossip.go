package gateway

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
)

// maxGossipSessions bounds the sessions on each version in one datagram.
const maxGossipSessions = 400

// gossipMessage returns the message that this gateway sends to its peers.
func (g *Gateway) gossipMessage() *gossipv1.News {
	now := time.Now()
	n := &gossipv1.News{}
	n.OldSessions, n.NewSessions = g.shifts.pinnedSessions(now, maxGossipSessions)
	g.loads.addTo(n)
	if !g.settings().EngineMemory {
		n.Resident = nil
	}
	g.addLeaving(n)
	g.addLimits(n)
	g.addBudgets(n)
	g.addSpeeds(n, now)
	peers.AddFlows(n, g.rooms.demands(now.Sub(processStart)))
	for _, o := range g.shifts.openOrders() {
		n.Sightings = append(n.Sightings, peers.EncodeEvidence(o.Service, o.Rev, g.localEvidence(o))...)
	}
	return n
}

// addTo adds the requests in flight to a gossip message.
func (tr *loadTracker) addTo(n *gossipv1.News) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, t := range tr.ups {
		if t.running > 0 {
			n.Upstreams = append(n.Upstreams, peers.Hash(id))
			n.Running = append(n.Running, uint32(t.running))
			n.Waiting = append(n.Waiting, uint32(len(t.awaitingFirst)))
			n.UnreadMs = append(n.UnreadMs, uint32(max(0, t.pendingPromptMS)))
			n.Resident = append(n.Resident, uint32(t.residentTokens/peers.ResidentUnit))
		}
	}
}

// pinnedSessions returns up to limit sessions that must stay on the old version of an open
// shift, and up to limit that must stay on the new one.
func (tr *shiftTracker) pinnedSessions(now time.Time, limit int) (onOld, onNew []uint32) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, p := range tr.sessions {
		s := tr.shift(p.service)
		if !s.ordered || now.Sub(p.at) > sessionPinTime || (s.stateCurrent() && s.state.Ended()) {
			continue
		}
		switch {
		case p.version == s.order.To && len(onNew) < limit:
			onNew = append(onNew, p.hash)
		case p.version != s.order.To && len(onOld) < limit && (!s.stateCurrent() || s.state.KeepsOldSessions(tr.storeNow(now))):
			onOld = append(onOld, p.hash)
		}
	}
	return onOld, onNew
}
