package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// shiftBook holds what this gateway knows of shifts to new versions: orders,
// their state as last read, what it has seen of the answers, and the versions
// that recent sessions run on.
type shiftTracker struct {
	// exposure is the part of a service's requests that a bad version may get.
	maxExposure float64

	mu       sync.Mutex
	services map[string]*serviceShift
	sessions map[string]sessionPin
	wakeup   chan struct{}
	// clock is the store's clock less this process's, from the last read of
	// the states; it is not known before.
	clockOffset time.Duration
	clockKnown  bool
	// era is that of the store as the operator's table shows it.
	era uint64
}

type serviceShift struct {
	order   versionshift.Order
	ordered bool
	state   versionshift.State
	known   bool
	// rev is the revision of the state's row, whose number is zero when there is none.
	rev uint64
	// unsaved is true while the row may not hold the state any more, since the store came
	// back older.
	unsaved bool
	// verdict is the withdrawal that this gateway has decided on and that the table may not
	// hold yet.
	withdrawal *versionshift.State
	// past holds earlier orders; again is the revision at which the present one was written
	// once more in the present era.
	pastOrders   []versionshift.Order
	rewrittenRev uint64
	// born is when each version was first seen; established versions were
	// there with the first list or were never announced by an order.
	firstSeen map[string]time.Time
	evidence  evidence
	baselines map[baselineKey]*latencyBaseline
}

// pinned is the version that a session's last request ran on.
type sessionPin struct {
	service, version string
	at               time.Time
}

// Times of versions and sessions.
const (
	// unannounced is how long a version that no order names is held back: its
	// order may still be on the way.
	newVersionHold = 3 * time.Second
	// maxSessions bounds the sessions that are remembered.
	maxSessions = 20_000
)

func newShiftTracker(exposure float64) *shiftTracker {
	return &shiftTracker{
		maxExposure: exposure,
		services:    map[string]*serviceShift{}, sessions: map[string]sessionPin{},
		wakeup: make(chan struct{}, 1),
	}
}

func (b *shiftTracker) shift(service string) *serviceShift {
	s := b.services[service]
	if s == nil {
		s = &serviceShift{firstSeen: map[string]time.Time{}, baselines: map[baselineKey]*latencyBaseline{}}
		b.services[service] = s
	}
	return s
}

// order takes in an order; it reports whether it is a new one.
func (b *shiftTracker) applyOrder(o versionshift.Order, removed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(o.Service)
	if removed || (s.ordered && s.order.Rev >= o.Rev) || s.isKnownOrder(o) {
		return false
	}
	if s.ordered {
		s.pastOrders = append(s.pastOrders[max(0, len(s.pastOrders)-maxPastOrders+1):], s.order)
	}
	s.order, s.ordered = o, true
	s.evidence = evidence{}
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
	return true
}

// seen notes the versions in the fleet. Those of the first list are
// established.
func (b *shiftTracker) recordVersions(byService map[string][]fleet.Upstream, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, ups := range byService {
		s := b.shift(service)
		first := len(s.firstSeen) == 0
		for _, u := range ups {
			if _, ok := s.firstSeen[u.Version]; ok {
				continue
			}
			s.firstSeen[u.Version] = now
			if first {
				s.firstSeen[u.Version] = now.Add(-newVersionHold)
			}
		}
	}
}

// tellTime is how long a trial waits for peers to tell which sessions they run
// on the old version.
const sessionGossipTime = 1200 * time.Millisecond

// peersNews is what peers have told of a shift.
type peerShiftState struct {
	// sessions tells the versions on which peers run a session.
	sessions func(session string) (onOld, onNew bool)
	evidence versionshift.Seen
}

// seeker is a request that looks for an upstream.
type shiftQuery struct {
	service, session string
	// point is the place of the session among all, in [0, 1).
	point float64
	// short is true for a prompt that fills an upstream without keeping it busy
	// reading.
	short bool
	// again is true once an upstream failed: any of the version's may take the
	// request then.
	retried bool
	// busy are the upstreams that their limits close to the request.
	limited limitedBoots
}

// allowed returns the upstreams whose version may take the request; fill tells
// that the fullest of them should be filled.
func (b *shiftTracker) allowedUpstreams(q shiftQuery, ups []fleet.Upstream, now time.Time, peerState peerShiftState) (take []fleet.Upstream, fill bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(q.service)
	if !s.ordered {
		if ok := s.established(ups, now); len(ok) > 0 {
			return ok, false
		}
		return ups, false
	}
	var to, from []fleet.Upstream
	for _, u := range ups {
		if u.Version == s.order.To {
			to = append(to, u)
		} else {
			from = append(from, u)
		}
	}
	takesNew, stays := b.takesNew(s, q, len(to), now, peerState)
	switch {
	case s.known && s.state.Phase == versionshift.Withdrawn, s.isWithdrawn() && !s.state.Ended() && len(from) > 0:
		return from, false
	case takesNew && len(to) > 0 && q.retried:
		return to, false
	case takesNew && len(to) > 0:
		some := b.newSubset(s, to, q.short)
		if !q.limited.all(some) {
			return some, q.short && s.state.Fills()
		}
		// Their limits keep them from taking their share, which is no reason to refuse.
		if len(from) > 0 && !stays {
			return from, false
		}
		return to, false
	case len(from) > 0:
		return from, false
	}
	return to, false
}

// takesNew reports whether the new version's share takes a request, and whether that has
// to stay there because its session has run there before.
func (b *shiftTracker) takesNew(s *serviceShift, q shiftQuery, upstreams int, now time.Time, peerState peerShiftState) (takes, stays bool) {
	at := b.storeNow(now)
	inShare := s.stateCurrent() && s.state.Takes(q.point, q.short, b.maxExposure, upstreams)
	if p, ok := b.sessions[q.session]; ok && q.session != "" && p.service == q.service {
		inShare = b.pin(s, p, inShare, now)
		if p.version == s.order.To {
			return inShare, inShare
		}
	}
	onOld, onNew := false, false
	if q.session != "" {
		onOld, onNew = peerState.sessions(q.session)
	}
	switch {
	case onNew && s.stateCurrent():
		ok := s.state.Phase != versionshift.Withdrawn
		return ok, ok
	case !inShare:
		return false, false
	case q.session != "" && s.state.FirstHalf(at) && (onOld || at-s.state.Started <= sessionGossipTime):
		return false, false
	}
	sent := versionshift.Evidence{Sent: s.evidence.sent, SentNew: s.evidence.sentNew}.Add(peerState.evidence[""])
	return !s.state.Spent(sent, b.maxExposure, at), false
}

// few returns the upstreams of the new version that take its share of the work,
// in the same order at every gateway.
func (b *shiftTracker) newSubset(s *serviceShift, to []fleet.Upstream, short bool) []fleet.Upstream {
	n := s.state.Upstreams(b.maxExposure, len(to))
	if short {
		n = min(n, s.state.Pressed(len(to)))
	}
	slices.SortFunc(to, func(a, b fleet.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return to[:n]
}

func (s *serviceShift) established(ups []fleet.Upstream, now time.Time) []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(ups))
	for _, u := range ups {
		if now.Sub(s.firstSeen[u.Version]) >= newVersionHold {
			out = append(out, u)
		}
	}
	return out
}

// current reports whether the state is that of the order.
func (s *serviceShift) stateCurrent() bool { return s.known && s.state.Of(s.order) }

// sessionKept is how long after its last request a session keeps its version.
const sessionPinTime = 10 * time.Second

// pin keeps a session on its version: on the old one in the first half of a
// shift, on the new one until it is withdrawn.
func (b *shiftTracker) pin(s *serviceShift, p sessionPin, takesNew bool, now time.Time) bool {
	if now.Sub(p.at) > sessionPinTime || !s.stateCurrent() {
		return takesNew
	}
	if p.version == s.order.To {
		return true
	}
	return takesNew && !s.state.FirstHalf(b.storeNow(now))
}

// listed notes the store's clock at a read of the states, which also means that
// all states are known.
func (b *shiftTracker) statesRead(storeNow time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clockOffset, b.clockKnown = storeNow-now.Sub(processStart), true
}

// processStart is the origin of this process's steady clock.
var processStart = time.Now()

// storeNow is the store's clock, from the time that has passed here since the
// last read.
func (b *shiftTracker) storeNow(now time.Time) time.Duration {
	return b.clockOffset + now.Sub(processStart)
}

// stateOf returns the state of a service's last shift and the store's clock;
// ok is false until the states were read.
func (b *shiftTracker) stateOf(o versionshift.Order, now time.Time) (versionshift.State, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shift(o.Service).state, b.storeNow(now), b.clockKnown
}

// openOrder returns the order of a service whose shift is not settled yet.
func (b *shiftTracker) openOrder(service string) (versionshift.Order, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(service)
	return s.order, s.unsettled()
}

// unsettled reports whether something of the service's shift is left to do.
func (s *serviceShift) unsettled() bool {
	return s.ordered && (!s.stateCurrent() || !s.state.Ended() || s.unsaved)
}

// revOf returns the revision of a service's state, zero when there is none.
func (b *shiftTracker) revOf(service string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shift(service).rev
}

// ran notes a send and the version that a session's request runs on.
func (b *shiftTracker) recordSend(session, service, version string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.shift(service); s.ordered {
		s.evidence.sent++
		if version == s.order.To {
			s.evidence.sentNew++
		}
	}
	if session == "" {
		return
	}
	if len(b.sessions) >= maxSessions {
		for k, p := range b.sessions {
			if now.Sub(p.at) > sessionPinTime {
				delete(b.sessions, k)
			}
		}
	}
	if len(b.sessions) < maxSessions {
		b.sessions[session] = sessionPin{service: service, version: version, at: now}
	}
}

// open returns the orders that are not settled yet.
func (b *shiftTracker) openOrders() []versionshift.Order {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []versionshift.Order
	for _, s := range b.services {
		if s.unsettled() {
			out = append(out, s.order)
		}
	}
	return out
}

// adopt takes in a state as read from or written to the store; it reports
// whether the phase changed.
func (b *shiftTracker) applyState(st versionshift.State, rev uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shift(st.Service)
	if s.known && rev <= s.rev {
		return false
	}
	if s.known && (s.unsaved || store.Era(rev) > store.Era(s.rev)) && st.Behind(s.state) {
		s.rev, s.unsaved = rev, true
		return false
	}
	s.unsaved = false
	if s.ordered && st.Of(s.order) && st.Order < s.order.Rev {
		s.order.Rev = st.Order // all gateways name a shift by its first order
	}
	changed := !s.known || s.state.Phase != st.Phase || s.state.Order != st.Order
	s.state, s.known, s.rev = st, true, rev
	return changed
}
