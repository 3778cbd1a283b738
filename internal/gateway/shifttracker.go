package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// shiftTracker holds the state of shifts to new versions as known to this gateway: orders,
// their last read state, the observed answers, and the versions that recent sessions run
// on.
type shiftTracker struct {
	// maxExposure is the share of a service's requests that a bad version may receive.
	maxExposure float64

	mu       sync.Mutex
	services map[string]*serviceShift
	// sessions are those of the last seconds, by sessionKey.
	sessions map[uint64]sessionPin
	wakeup   chan struct{}
	// clockOffset is the store's clock minus this process's, as of the last read of the
	// states; it is valid once clockKnown is set.
	clockOffset time.Duration
	clockKnown  bool
	// era is the store's era as seen in the operator's table.
	era uint64
}

// serviceShift is the last ordered shift of one service.
type serviceShift struct {
	order   versionshift.Order
	ordered bool
	state   versionshift.State
	known   bool
	// rev is the revision of the state's row; zero when the row does not exist.
	rev uint64
	// unsaved is true while the row may lack the state because the store was restored from
	// an older copy.
	unsaved bool
	// withdrawal is the withdrawal that this gateway has decided on and that the table may
	// not hold yet.
	withdrawal *versionshift.State
	// rejected holds the versions that were withdrawn and not ordered again. States that an
	// earlier build writes do not name them.
	rejected map[string]bool
	// pastOrders holds earlier orders. rewrittenRev is the revision at which the current
	// order was written again in the current era.
	pastOrders   []versionshift.Order
	rewrittenRev uint64
	// firstSeen is when each version was first seen. Established versions were in the
	// first list, or no order has announced them within newVersionHold.
	firstSeen map[string]time.Time
	evidence  evidence
	baselines map[baselineKey]*latencyBaseline
}

// sessionPin is the version that a session's last request ran on.
type sessionPin struct {
	service, version string
	// hash identifies the session in gossip messages.
	hash uint32
	at   time.Time
}

// Limits on versions and sessions.
const (
	// newVersionHold is how long a version without an order gets no requests: its order
	// may still be on the way.
	newVersionHold = 3 * time.Second
	// maxSessions bounds the remembered sessions.
	maxSessions = 20_000
)

func newShiftTracker(exposure float64) *shiftTracker {
	return &shiftTracker{
		maxExposure: exposure,
		services:    map[string]*serviceShift{}, sessions: map[uint64]sessionPin{},
		wakeup: make(chan struct{}, 1),
	}
}

func (tr *shiftTracker) shift(service string) *serviceShift {
	s := tr.services[service]
	if s == nil {
		s = &serviceShift{firstSeen: map[string]time.Time{}, rejected: map[string]bool{}, baselines: map[baselineKey]*latencyBaseline{}}
		tr.services[service] = s
	}
	return s
}

// applyOrder applies an order; it reports whether the order is new.
func (tr *shiftTracker) applyOrder(o versionshift.Order, removed bool) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(o.Service)
	if removed || (s.ordered && s.order.Rev >= o.Rev) || s.isKnownOrder(o) {
		return false
	}
	if s.ordered {
		s.pastOrders = append(s.pastOrders[max(0, len(s.pastOrders)-maxPastOrders+1):], s.order)
	}
	withdrawn := s.isWithdrawn()
	s.order, s.ordered = o, true
	delete(s.rejected, o.To)
	if s.known {
		s.reject(s.state)
	}
	if withdrawn {
		s.reject(*s.withdrawal)
	}
	s.evidence = evidence{}
	select {
	case tr.wakeup <- struct{}{}:
	default:
	}
	return true
}

// recordVersions records the versions in the list of upstreams. Those of the first list
// are established.
func (tr *shiftTracker) recordVersions(byService map[string][]fleet.Upstream, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for service, ups := range byService {
		s := tr.shift(service)
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

// sessionGossipTime is how long a trial waits for gossip messages about sessions that
// peers run on the old version.
const sessionGossipTime = 1200 * time.Millisecond

// peerShiftState is what peers have sent about a shift.
type peerShiftState struct {
	// sessions reports the versions on which peers run a session.
	sessions func(session string) (onOld, onNew bool)
	evidence versionshift.EvidenceByClass
}

// shiftQuery describes a request for which an upstream is selected.
type shiftQuery struct {
	service, session string
	// sessionPoint is the hash of the session, in [0, 1).
	sessionPoint float64
	// shortPrompt is true for a prompt that occupies a slot of an upstream without keeping it
	// busy processing the prompt.
	shortPrompt bool
	// retried is true once an upstream has failed: then any upstream of the version may
	// take the request.
	retried bool
	// limited are the upstreams that their rate limits close to the request.
	limited limitedBoots
}

// allowedUpstreams returns the upstreams whose version may take the request. fill reports
// whether the fullest of them should be filled first.
func (tr *shiftTracker) allowedUpstreams(q shiftQuery, ups []fleet.Upstream, now time.Time, peerState peerShiftState) (allowed []fleet.Upstream, fill bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(q.service)
	if !s.ordered {
		if ok := s.established(ups, now); len(ok) > 0 {
			return ok, false
		}
		return ups, false
	}
	var newUps, oldUps []fleet.Upstream
	for _, u := range ups {
		switch {
		case u.Version == s.order.To:
			newUps = append(newUps, u)
		case !s.rejected[u.Version]:
			oldUps = append(oldUps, u)
		}
	}
	takesNew, stays := tr.takesNew(s, q, len(newUps), now, peerState)
	switch {
	case s.known && s.state.Phase == versionshift.Withdrawn, s.isWithdrawn() && !s.state.Ended() && len(oldUps) > 0:
		return oldUps, false
	case takesNew && len(newUps) > 0 && q.retried:
		return newUps, false
	case takesNew && len(newUps) > 0:
		subset := tr.newSubset(s, newUps, q.shortPrompt)
		if !q.limited.all(subset) {
			return subset, q.shortPrompt && s.state.FillsUpstreams()
		}
		// The selected upstreams are at their limits, which is no reason to refuse the
		// request.
		if len(oldUps) > 0 && !stays {
			return oldUps, false
		}
		return newUps, false
	case len(oldUps) > 0:
		return oldUps, false
	}
	return newUps, false
}

// reject records the versions that a state names as withdrawn, unless the version is ordered
// now.
func (s *serviceShift) reject(st versionshift.State) {
	for _, v := range st.RejectedVersions() {
		if !s.ordered || v != s.order.To {
			s.rejected[v] = true
		}
	}
}

// takesNew reports whether the request belongs to the new version's share, and whether it
// must stay there because its session has run there before.
func (tr *shiftTracker) takesNew(s *serviceShift, q shiftQuery, upstreams int, now time.Time, peerState peerShiftState) (takes, stays bool) {
	at := tr.storeNow(now)
	inShare := s.stateCurrent() && s.state.Takes(q.sessionPoint, q.shortPrompt, tr.maxExposure, upstreams)
	if p, ok := tr.sessions[sessionKey(q.session)]; ok && q.session != "" && p.service == q.service {
		inShare = tr.pin(s, p, inShare, now)
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
	case q.session != "" && s.state.KeepsOldSessions(at) && (onOld || at-s.state.Started <= sessionGossipTime):
		return false, false
	}
	sent := versionshift.Evidence{Sent: s.evidence.sent, SentNew: s.evidence.sentNew}.Add(peerState.evidence[""])
	return !s.state.ExposureExhausted(sent, tr.maxExposure, at), false
}

// newSubset returns the upstreams of the new version that take its share of the requests,
// the same ones at every gateway.
func (tr *shiftTracker) newSubset(s *serviceShift, newUps []fleet.Upstream, shortPrompt bool) []fleet.Upstream {
	n := s.state.Upstreams(tr.maxExposure, len(newUps))
	if shortPrompt {
		n = min(n, s.state.LoadTestUpstreams(len(newUps)))
	}
	slices.SortFunc(newUps, func(a, tr fleet.Upstream) int { return strings.Compare(a.ID, tr.ID) })
	return newUps[:n]
}

// established returns the upstreams whose version may get requests without an order.
func (s *serviceShift) established(ups []fleet.Upstream, now time.Time) []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(ups))
	for _, u := range ups {
		if now.Sub(s.firstSeen[u.Version]) >= newVersionHold {
			out = append(out, u)
		}
	}
	return out
}

// stateCurrent reports whether the state belongs to the order.
func (s *serviceShift) stateCurrent() bool { return s.known && s.state.BelongsTo(s.order) }

// sessionPinTime is how long after its last request a session stays on its version.
const sessionPinTime = 10 * time.Second

// pin reports whether a session with a recent request goes to the new version: a session
// on the old version stays there in the first half of a shift, one on the new version
// until it is withdrawn.
func (tr *shiftTracker) pin(s *serviceShift, p sessionPin, takesNew bool, now time.Time) bool {
	if now.Sub(p.at) > sessionPinTime || !s.stateCurrent() {
		return takesNew
	}
	if p.version == s.order.To {
		return true
	}
	return takesNew && !s.state.KeepsOldSessions(tr.storeNow(now))
}

// statesRead records the store's clock at a read of the states. From then on all states
// are known.
func (tr *shiftTracker) statesRead(storeNow time.Duration, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.clockOffset, tr.clockKnown = storeNow-now.Sub(processStart), true
}

// processStart is the origin of this process's monotonic clock.
var processStart = time.Now()

// storeNow returns the store's clock, extrapolated from the last read with the local
// monotonic clock.
func (tr *shiftTracker) storeNow(now time.Time) time.Duration {
	return tr.clockOffset + now.Sub(processStart)
}

// stateOf returns the state of a service's last shift and the store's clock; ok is false
// until the states have been read.
func (tr *shiftTracker) stateOf(o versionshift.Order, now time.Time) (versionshift.State, time.Duration, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.shift(o.Service).state, tr.storeNow(now), tr.clockKnown
}

// openOrder returns the order of a service and whether its shift is still unsettled.
func (tr *shiftTracker) openOrder(service string) (versionshift.Order, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(service)
	return s.order, s.unsettled()
}

// unsettled reports whether the service's shift is unfinished or its state must be written
// again.
func (s *serviceShift) unsettled() bool {
	return s.ordered && (!s.stateCurrent() || !s.state.Ended() || s.unsaved)
}

// revOf returns the revision of a service's state; zero when there is none.
func (tr *shiftTracker) revOf(service string) uint64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.shift(service).rev
}

// recordSend counts a send and records the version that the session runs on.
func (tr *shiftTracker) recordSend(session, service, version string, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if s := tr.shift(service); s.ordered {
		s.evidence.sent++
		if version == s.order.To {
			s.evidence.sentNew++
		}
	}
	if session == "" {
		return
	}
	if len(tr.sessions) >= maxSessions {
		for k, p := range tr.sessions {
			if now.Sub(p.at) > sessionPinTime {
				delete(tr.sessions, k)
			}
		}
	}
	if len(tr.sessions) < maxSessions {
		tr.sessions[sessionKey(session)] = sessionPin{service: service, version: version, hash: peers.Hash(session), at: now}
	}
}

// sessionKey identifies a session. Callers name their sessions, at any length, so the names
// are not kept.
func sessionKey(session string) uint64 { return xxhash.Sum64String(session) }

// openOrders returns the orders whose shifts are not settled yet.
func (tr *shiftTracker) openOrders() []versionshift.Order {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []versionshift.Order
	for _, s := range tr.services {
		if s.unsettled() {
			out = append(out, s.order)
		}
	}
	return out
}

// applyState applies a state that was read from or written to the store; it reports
// whether the phase changed.
func (tr *shiftTracker) applyState(st versionshift.State, rev uint64) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(st.Service)
	if s.known && rev <= s.rev {
		return false
	}
	if s.known && (s.unsaved || store.Era(rev) > store.Era(s.rev)) && st.OlderThan(s.state) {
		s.rev, s.unsaved = rev, true
		return false
	}
	s.unsaved = false
	if s.ordered && st.BelongsTo(s.order) && st.Order < s.order.Rev {
		s.order.Rev = st.Order // all gateways identify a shift by its first order
	}
	s.reject(st)
	changed := !s.known || s.state.Phase != st.Phase || s.state.Order != st.Order
	s.state, s.known, s.rev = st, true, rev
	return changed
}
