// Package peers lets gateways tell one another, in datagrams, what each has
// under way: loads of upstreams, evidence of shifts and the versions of
// sessions. Gateways find one another in a table of the store. News only ever
// improves a decision; a gateway that hears nobody works with what it knows.
package peers

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// fresh is how old a peer's news may be: four of the longest pauses between
// two datagrams.
const fresh = 2500 * time.Millisecond

// Hash names an upstream or a session in datagrams.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Load is what peers have under way at one upstream.
type Load struct {
	Running  int
	UnreadMS float64
}

// Book holds the latest news of each peer. It is safe for concurrent use.
type Book struct {
	mu    sync.RWMutex
	peers map[string]*heard
}

type heard struct {
	news     *gossipv1.News
	at       time.Time
	sessions map[uint32]bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{peers: map[string]*heard{}} }

// Take takes in news; it reports whether they were new. Older datagrams of
// the same incarnation are ignored, and so are older incarnations while the
// newer one is heard: the time of day, of which an incarnation is made, may have
// gone back over a restart.
func (b *Book) Take(n *gossipv1.News, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.peers[n.GetGateway()]
	if old != nil && now.Sub(old.at) <= fresh && (n.GetIncarnation() < old.news.GetIncarnation() ||
		(n.GetIncarnation() == old.news.GetIncarnation() && n.GetNumber() <= old.news.GetNumber())) {
		return false
	}
	h := &heard{news: n, at: now, sessions: make(map[uint32]bool, len(n.GetOldSessions()))}
	for _, s := range n.GetOldSessions() {
		h.sessions[s] = true
	}
	b.peers[n.GetGateway()] = h
	return true
}

// Forget drops peers that are not in the table any more.
func (b *Book) Forget(listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.peers {
		if !listed[name] {
			delete(b.peers, name)
		}
	}
}

// Loads sums what all peers have under way, by the hash of the upstream's ID.
func (b *Book) Loads(now time.Time) map[uint32]Load {
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := map[uint32]Load{}
	for _, h := range b.peers {
		n := h.news
		if now.Sub(h.at) > fresh || len(n.GetRunning()) != len(n.GetUpstreams()) || len(n.GetUnreadMs()) != len(n.GetUpstreams()) {
			continue
		}
		for i, id := range n.GetUpstreams() {
			l := out[id]
			l.Running += int(n.GetRunning()[i])
			l.UnreadMS += float64(n.GetUnreadMs()[i])
			out[id] = l
		}
	}
	return out
}

// Evidence sums what peers have seen of the shift that an order asks for.
func (b *Book) Evidence(service string, order uint64, now time.Time) versionshift.Seen {
	b.mu.RLock()
	defer b.mu.RUnlock()
	sum := versionshift.Seen{}
	for _, h := range b.peers {
		if now.Sub(h.at) > fresh {
			continue
		}
		for _, s := range h.news.GetSightings() {
			if s.GetService() == service && s.GetOrder() == order {
				sum[s.GetRoute()] = sum[s.GetRoute()].Add(evidence(s))
			}
		}
	}
	return sum
}

func evidence(s *gossipv1.Sighting) versionshift.Evidence {
	return versionshift.Evidence{
		Judged:  int(s.GetJudged()),
		NewGood: int(s.GetNewGood()), NewBad: int(s.GetNewBad()),
		NewUpstreams: int(s.GetNewUpstreams()), BadUpstreams: int(s.GetBadUpstreams()),
		OldGood: int(s.GetOldGood()), OldBad: int(s.GetOldBad()), OldRunning: int(s.GetOldRunning()),
	}
}

// Sightings encodes this gateway's evidence, route by route.
func Sightings(service string, order uint64, seen versionshift.Seen) []*gossipv1.Sighting {
	out := make([]*gossipv1.Sighting, 0, len(seen))
	for route, e := range seen {
		out = append(out, &gossipv1.Sighting{
			Service: service, Order: order, Route: route, Judged: uint32(e.Judged),
			NewGood: uint32(e.NewGood), NewBad: uint32(e.NewBad),
			NewUpstreams: uint32(e.NewUpstreams), BadUpstreams: uint32(e.BadUpstreams),
			OldGood: uint32(e.OldGood), OldBad: uint32(e.OldBad), OldRunning: uint32(e.OldRunning),
		})
	}
	return out
}

// OnOldVersion reports whether a peer runs the session on the old version of a
// shift in its first half.
func (b *Book) OnOldVersion(session string) bool {
	hash := Hash(session)
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, h := range b.peers {
		if h.sessions[hash] {
			return true
		}
	}
	return false
}

// Heard returns how many peers have been heard of late.
func (b *Book) Heard(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, h := range b.peers {
		if now.Sub(h.at) <= fresh {
			n++
		}
	}
	return n
}
