// Package peers implements the gossip between gateways. Each gateway sends
// datagrams with the load it puts on upstreams, its evidence on shifts, the
// versions that its sessions run on and the limits that upstreams report.
// Gateways discover one another in a table of the store. Gossip only improves
// decisions: a gateway that receives none works with its local data.
package peers

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// A peer's gossip message stays fresh for freshRounds intervals between two rounds,
// which grow with the number of peers, and for minFreshness at least.
const (
	minFreshness = 2500 * time.Millisecond
	freshRounds  = 4
)

// freshFor returns how long a peer's gossip message stays fresh. The caller holds b.mu.
func (b *PeerTable) freshFor() time.Duration {
	return max(minFreshness, freshRounds*RoundInterval(len(b.peers)))
}

// Hash returns the identifier of an upstream, a service or a session in gossip messages.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// HashBoot returns the identifier of one boot of an upstream in gossip messages; born
// is the start of the upstream in Unix milliseconds.
func HashBoot(id string, born int64) uint32 { return Hash(id + "@" + strconv.FormatInt(born, 10)) }

// Load is the load that peers put on one upstream.
type Load struct {
	// Running counts the requests in flight.
	Running int
	// Waiting counts the requests in flight that have had no event yet.
	Waiting int
	// PendingWorkMS is the prompt work that the upstream has not processed yet, in
	// milliseconds of its time.
	PendingWorkMS float64
	// ResidentTokens is what the requests hold in the upstream's memory.
	ResidentTokens float64
}

// ResidentUnit is the unit of tokens in gossip messages.
const ResidentUnit = 64

// PeerTable holds the latest gossip message of each peer. It is safe for concurrent use.
type PeerTable struct {
	mu    sync.RWMutex
	peers map[string]*peerState
}

// peerState is the latest gossip message of a peer and the additions to it.
type peerState struct {
	message *gossipv1.News
	at      time.Time // when the message was received
	// The hashes of sessions that run on the old and on the new version of a shift.
	oldSessions, newSessions map[uint32]bool
	// former are the sessions of the peer's process before this one.
	former formerSessions
	// speeds is the peer's last report on the speeds of upstreams, which is not in every
	// message.
	speeds speedReport
	// added holds requests that the peer has sent to upstreams since the message.
	added []addedRequest
}

// formerSessions are the sessions in the last message of a process that has ended.
type formerSessions struct {
	at       time.Time
	old, new map[uint32]bool
}

// formerSessionTime is how long the sessions of an ended process count, which is as long as a
// gateway keeps a session on its version.
const formerSessionTime = 10 * time.Second

// addedRequest is a request that a peer has sent to an upstream since its last full message.
type addedRequest struct {
	upstream uint32
	workMS   float64
	at       time.Time
}

// maxAdded bounds the additional requests kept for one peer between two of its full
// messages.
const maxAdded = 1000

// NewPeerTable returns an empty PeerTable.
func NewPeerTable() *PeerTable { return &PeerTable{peers: map[string]*peerState{}} }

// Record records a gossip message and reports whether it was recorded. While the latest
// message of the peer is fresh, older messages of its incarnation and messages of older
// incarnations are ignored. Later they are accepted: incarnations derive from the wall
// clock, which may have gone back over a restart.
func (b *PeerTable) Record(n *gossipv1.News, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.peers[n.GetGateway()]
	if n.GetAddition() {
		return old != nil && old.add(n, now)
	}
	if old != nil && now.Sub(old.at) <= b.freshFor() && (n.GetIncarnation() < old.message.GetIncarnation() ||
		(n.GetIncarnation() == old.message.GetIncarnation() && n.GetNumber() <= old.message.GetNumber())) {
		return false
	}
	h := &peerState{message: n, at: now, oldSessions: hashSet(n.GetOldSessions()), newSessions: hashSet(n.GetNewSessions())}
	if r, ok := decodeSpeeds(n, now); ok {
		h.speeds = r
	} else if old != nil {
		h.speeds = old.speeds
	}
	switch {
	case old == nil:
	case old.message.GetIncarnation() != n.GetIncarnation():
		h.former = formerSessions{at: old.at, old: old.oldSessions, new: old.newSessions}
	case now.Sub(old.former.at) <= formerSessionTime:
		h.former = old.former
	}
	b.peers[n.GetGateway()] = h
	return true
}

// add records the requests of an additional message and reports whether it did. It
// ignores a message that belongs to another incarnation or precedes the latest full one,
// has columns of different lengths, or would exceed maxAdded. A duplicated datagram
// counts twice until the next full message.
func (h *peerState) add(n *gossipv1.News, now time.Time) bool {
	all := len(n.GetUpstreams())
	if n.GetIncarnation() != h.message.GetIncarnation() || n.GetNumber() < h.message.GetNumber() ||
		len(n.GetUnreadMs()) != all || len(h.added)+all > maxAdded {
		return false
	}
	for i, id := range n.GetUpstreams() {
		h.added = append(h.added, addedRequest{upstream: id, workMS: float64(n.GetUnreadMs()[i]), at: now})
	}
	return true
}

func hashSet(hashes []uint32) map[uint32]bool {
	out := make(map[uint32]bool, len(hashes))
	for _, h := range hashes {
		out[h] = true
	}
	return out
}

// Forget removes peers that are no longer listed in the gateway table.
func (b *PeerTable) Forget(listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.peers {
		if !listed[name] {
			delete(b.peers, name)
		}
	}
}

// Loads returns the total load of all fresh peers by the hash of the upstream's ID, less
// the prompt work that each upstream has processed since the messages were received.
func (b *PeerTable) Loads(now time.Time) map[uint32]Load {
	b.mu.RLock()
	defer b.mu.RUnlock()
	sums := map[uint32]loadSum{}
	for _, h := range b.peers {
		n := h.message
		all := len(n.GetUpstreams())
		if now.Sub(h.at) > b.freshFor() || len(n.GetRunning()) != all || len(n.GetWaiting()) != all || len(n.GetUnreadMs()) != all {
			continue
		}
		age := millis(now.Sub(h.at))
		resident := n.GetResident()
		for i, id := range n.GetUpstreams() {
			if len(resident) == all { // older gateways send none
				s := sums[id]
				s.ResidentTokens += ResidentUnit * float64(resident[i])
				sums[id] = s
			}
			sums[id] = sums[id].add(int(n.GetRunning()[i]), int(n.GetWaiting()[i]), float64(n.GetUnreadMs()[i]), age)
		}
		for _, r := range h.added {
			age, waiting := millis(now.Sub(r.at)), 1
			if age >= r.workMS {
				waiting = 0
			}
			sums[r.upstream] = sums[r.upstream].add(1, waiting, r.workMS, age)
		}
	}
	out := make(map[uint32]Load, len(sums))
	for id, s := range sums {
		out[id] = s.load()
	}
	return out
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// loadSum accumulates the load that peers report for one upstream.
type loadSum struct {
	Load
	// workAge is the sum of each prompt work times the age of its report, in ms².
	workAge float64
}

// add returns the sum with one report added.
func (s loadSum) add(running, waiting int, unreadMS, ageMS float64) loadSum {
	s.Running += running
	s.Waiting += waiting
	s.PendingWorkMS += unreadMS
	s.workAge += unreadMS * ageMS
	return s
}

// load returns the load less the work that the upstream has done since the mean time of
// the reports, weighted by their work. An upstream processes one prompt at a time.
func (s loadSum) load() Load {
	if s.PendingWorkMS > 0 {
		s.PendingWorkMS = max(0, s.PendingWorkMS-s.workAge/s.PendingWorkMS)
	}
	return s.Load
}

// CountBefore returns the number of peers with a fresh message whose names sort before the
// given one.
func (b *PeerTable) CountBefore(name string, now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for peer, h := range b.peers {
		if peer < name && now.Sub(h.at) <= b.freshFor() {
			n++
		}
	}
	return n
}

// Evidence sums what fresh peers have observed of the shift that an order requests.
func (b *PeerTable) Evidence(service string, order uint64, now time.Time) versionshift.EvidenceByClass {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var sum versionshift.EvidenceSum
	for _, h := range b.peers {
		if now.Sub(h.at) > b.freshFor() {
			continue
		}
		for _, s := range h.message.GetSightings() {
			if s.GetService() == service && s.GetOrder() == order {
				sum.Add(s.GetClass(), decodeEvidence(s))
			}
		}
	}
	return sum.ByClass()
}

func decodeEvidence(s *gossipv1.Sighting) versionshift.Evidence {
	e := versionshift.Evidence{
		GoodTotal: int(s.GetJudged()),
		OldGood:   int(s.GetOldGood()), OldBad: int(s.GetOldBad()), OldRunning: int(s.GetOldRunning()),
		Sent: int(s.GetSent()), SentNew: int(s.GetSentNew()),
	}
	ids, good, bad := s.GetUpstreams(), s.GetGood(), s.GetBad()
	if len(good) != len(ids) || len(bad) != len(ids) {
		return e // columns differ in length
	}
	e.New = make(map[uint32]versionshift.Tally, len(ids))
	for i, id := range ids {
		e.New[id] = versionshift.Tally{Good: int(good[i]), Bad: int(bad[i])}
	}
	return e
}

// EncodeEvidence encodes this gateway's evidence on a shift, one Sighting for each class.
func EncodeEvidence(service string, order uint64, seen versionshift.EvidenceByClass) []*gossipv1.Sighting {
	out := make([]*gossipv1.Sighting, 0, len(seen))
	for class, e := range seen {
		s := &gossipv1.Sighting{
			Service: service, Order: order, Class: class, Judged: uint32(e.GoodTotal),
			OldGood: uint32(e.OldGood), OldBad: uint32(e.OldBad), OldRunning: uint32(e.OldRunning),
			Sent: uint32(e.Sent), SentNew: uint32(e.SentNew),
		}
		for id, t := range e.New {
			s.Upstreams = append(s.Upstreams, id)
			s.Good = append(s.Good, uint32(t.Good))
			s.Bad = append(s.Bad, uint32(t.Bad))
		}
		out = append(out, s)
	}
	return out
}

// SessionVersions reports whether any peer runs the session on the old version of a shift that
// is in its first half, and whether any runs it on the new version of a shift in progress.
func (b *PeerTable) SessionVersions(session string) (onOld, onNew bool) {
	hash := Hash(session)
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, h := range b.peers {
		onOld = onOld || h.oldSessions[hash] || h.former.old[hash]
		onNew = onNew || h.newSessions[hash] || h.former.new[hash]
	}
	return onOld, onNew
}

// isFresh reports whether the message of the named peer is fresh.
func (b *PeerTable) isFresh(name string, now time.Time) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	h := b.peers[name]
	return h != nil && now.Sub(h.at) <= b.freshFor()
}

// FreshCount returns the number of peers whose message is fresh.
func (b *PeerTable) FreshCount(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, h := range b.peers {
		if now.Sub(h.at) <= b.freshFor() {
			n++
		}
	}
	return n
}
