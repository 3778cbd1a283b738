package gateway

import (
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
)

// applyNotices applies what an upstream announces about itself in the head of its answer.
// sent is when the request was sent, on the boot clock. An announced departure or rate
// limit is accepted only from an answer that certainly belongs to the request, because a
// faulty upstream may send anything.
func (g *Gateway) applyNotices(q *request, p selection, head exchange.Answer, sent time.Duration, now time.Time) {
	fields := func(more ...zap.Field) []zap.Field {
		return q.fields(append(more, zap.String("upstream", p.up.ID), zap.Int64("born", p.up.Born))...)
	}
	own := head.ID == q.call.ID && (head.Sealed || head.NotRun)
	if own && !head.Misdirected {
		g.applyLimit(q, p, head.Limit, sent)
	}
	if own && head.Leaving && g.notices.Leave(p.up, true) {
		g.log.Event(component, "upstream says it leaves", fields()...)
	}
	if head.RestFor > 0 {
		g.notices.PauseUntil(p.up, now.Add(head.RestFor))
		g.log.Event(component, "upstream wants rest", fields(zap.Duration("forMs", head.RestFor))...)
	}
}

// maxGossipLeaving bounds the leaving upstreams in one gossip message; far fewer leave at
// a time.
const maxGossipLeaving = 200

// addLeaving adds the upstreams that have announced to this gateway that they leave.
func (g *Gateway) addLeaving(n *gossipv1.News) {
	view := g.fleet.Load()
	if view == nil {
		return
	}
	for _, ups := range view.byService {
		for _, u := range g.notices.AnnouncedLeaving(ups) {
			if len(n.Leaving) < maxGossipLeaving {
				n.Leaving = append(n.Leaving, peers.HashBoot(u.ID, u.Born))
			}
		}
	}
}

// receiveLeaving applies the departures that upstreams have announced to a peer.
func (g *Gateway) receiveLeaving(from string, boots []uint32) {
	view := g.fleet.Load()
	if view == nil {
		return // the next gossip message repeats it
	}
	leave := make(map[uint32]bool, len(boots))
	for _, b := range boots {
		leave[b] = true
	}
	for _, ups := range view.byService {
		for _, u := range ups {
			if leave[peers.HashBoot(u.ID, u.Born)] && g.notices.Leave(u, false) {
				g.log.Event(component, "upstream leaves, a peer says", zap.String("upstream", u.ID), zap.Int64("born", u.Born),
					zap.String("peer", from))
			}
		}
	}
}
