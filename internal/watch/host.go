package watch

import (
	"slices"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

const (
	// holdDuration is how long a hold received from an entry lasts. Entries
	// resend it while the version is held.
	holdDuration = 30 * time.Second
	// quarantineDuration is how long a version that failed on this host alone
	// is refused here before it is retried.
	quarantineDuration = 30 * time.Second
	// sessionPriorityWindow is how long requests without a session are refused
	// after a session was refused for a spent budget. It is longer than the
	// interval at which waiting sessions retry.
	sessionPriorityWindow = 2 * time.Second
)

// Host monitors the versions on one host. It is safe for concurrent use.
type Host struct {
	name string

	mu     sync.Mutex
	meters map[catalog.VersionName]*meteredVersion
	// held maps versions that an entry holds back to the time the hold ends.
	held map[catalog.VersionName]time.Time
	// local holds the failure detector of each version on this host.
	local map[catalog.VersionName]*localFailures
}

// meteredVersion is a new version whose answers are counted against a budget.
type meteredVersion struct {
	meter  *rollout.Meter
	budget rollout.Budget
	tally  rollout.Tally
	// rank is the index of this host among the hosts that run the version, and
	// hosts is their number.
	rank, hosts int
	// marked is set once it is known whether this host served the version
	// before this process started. Until then no answers are granted.
	marked bool
	// sessionRefusedAt is when a session was last refused for a spent budget.
	sessionRefusedAt time.Time
}

// NewHost returns a Host for the named host, without versions.
func NewHost(name string) *Host {
	return &Host{
		name:   name,
		meters: map[catalog.VersionName]*meteredVersion{},
		held:   map[catalog.VersionName]time.Time{},
		local:  map[catalog.VersionName]*localFailures{},
	}
}

// SetCatalog applies a new revision of the catalogue. It returns the new versions
// for which the caller must look up whether this host ran them before; see SetRanBefore.
func (h *Host) SetCatalog(set *catalog.Set) []catalog.VersionName {
	h.mu.Lock()
	defer h.mu.Unlock()
	inRollout := newVersions(set)
	var unmarked []catalog.VersionName
	for name := range inRollout {
		rank, hosts := h.rank(set, name)
		if rank < 0 {
			continue
		}
		m := h.meters[name]
		if m == nil {
			m = &meteredVersion{budget: rollout.NewBudget(set.Versions[name].Exposure)}
			h.meters[name] = m
		}
		m.rank, m.hosts = rank, hosts
		if !m.marked {
			unmarked = append(unmarked, name)
		}
	}
	for name, m := range h.meters {
		if _, ok := inRollout[name]; !ok && (m.budget.MaxUnrated == 0 || !aborted(set, name)) {
			delete(h.meters, name)
		}
	}
	slices.Sort(unmarked)
	return unmarked
}

// aborted reports whether a rollout of the version was aborted. Such a version
// keeps its budget. A version whose rollout is done has none: not all its answers
// are submitted for rating any more, so they would use up a budget for good.
func aborted(set *catalog.Set, version catalog.VersionName) bool {
	for _, r := range set.Rollouts {
		if catalog.VersionName(r.To) == version && r.State == catalog.RolloutAborted {
			return true
		}
	}
	return false
}

// rank returns the index of this host among the hosts that serve the version,
// sorted by name, and their number. The rank is -1 if this host does not serve it.
func (h *Host) rank(set *catalog.Set, version catalog.VersionName) (rank, hosts int) {
	var names []string
	for _, u := range set.Upstreams {
		if slices.Contains(u.Versions, string(version)) && !slices.Contains(names, u.Host) {
			names = append(names, u.Host)
		}
	}
	slices.Sort(names)
	return slices.Index(names, h.name), len(names)
}

// SetRanBefore sets whether this host ran the version before this process started.
// The host's share of the budget is granted from then on.
func (h *Host) SetRanBefore(version catalog.VersionName, ranBefore bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.meters[version]
	if m == nil || m.marked {
		return
	}
	m.marked = true
	m.meter = rollout.NewMeter(m.share(), ranBefore)
}

// share returns this host's part of the granted budget.
func (m *meteredVersion) share() int {
	return rollout.Share(m.budget.Granted(m.tally), m.rank, m.hosts)
}

// MergeRatingCounts merges rating counts that an entry sent. Counts never decrease, so late or
// repeated messages do no harm.
func (h *Host) MergeRatingCounts(version string, n *linkv1.VersionNews) {
	if n == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.meters[catalog.VersionName(version)]
	if m == nil {
		return
	}
	m.tally.Good = max(m.tally.Good, int(n.GetGood()))
	m.tally.Bad = max(m.tally.Bad, int(n.GetBad()))
	m.tally.Lost = max(m.tally.Lost, int(n.GetLost()))
	m.tally.Unserved = max(m.tally.Unserved, int(n.GetUnserved()))
	m.tally.Cleared = m.tally.Cleared || n.GetCleared()
	if m.marked {
		m.meter.Raise(m.share())
	}
}

// HoldBack records the versions that an entry holds back on all hosts.
func (h *Host) HoldBack(versions []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range versions {
		h.held[catalog.VersionName(v)] = now.Add(holdDuration)
	}
}

// Check returns an error if the version must not be used here now: it is held back
// by an entry, quarantined on this host, or its budget is spent. Requests of
// sessions have priority over others. Check uses none of the budget.
func (h *Host) Check(version string, session bool, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := catalog.VersionName(version)
	if err := h.checkHeld(name, now); err != nil {
		return err
	}
	m := h.meters[name]
	if m == nil {
		return nil
	}
	if !m.mayTake(session, now) || m.meter.Left() <= 0 {
		return m.refuse(name, session, now)
	}
	return nil
}

// mayTake reports whether the version's share is known and, for a request without
// a session, whether no session was refused within sessionPriorityWindow.
func (m *meteredVersion) mayTake(session bool, now time.Time) bool {
	return m.marked && (session || !now.Before(m.sessionRefusedAt.Add(sessionPriorityWindow)))
}

// refuse returns the error for a spent budget. It records the refusal of a session,
// so that sessions have priority when more is granted.
func (m *meteredVersion) refuse(name catalog.VersionName, session bool, now time.Time) error {
	if session {
		m.sessionRefusedAt = now
	}
	return result.New(result.ExposureSpent, "the budget of unrated answers of %q is spent here", name)
}

// checkHeld returns an error if the version is held back or quarantined. The caller
// holds h.mu.
func (h *Host) checkHeld(name catalog.VersionName, now time.Time) error {
	if until, ok := h.held[name]; ok {
		if now.Before(until) {
			return result.New(result.Quarantined, "version %q is held back", name)
		}
		delete(h.held, name)
	}
	if l := h.local[name]; l != nil && now.Before(l.quarantinedUntil) {
		return result.New(result.Quarantined, "version %q fails on this host", name)
	}
	return nil
}

// Take uses one answer of the version's budget, right before the request is
// dispatched. It refuses the same requests as Check.
func (h *Host) Take(version string, session bool, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := catalog.VersionName(version)
	if err := h.checkHeld(name, now); err != nil {
		return err
	}
	m := h.meters[name]
	if m == nil {
		return nil
	}
	if !m.mayTake(session, now) || !m.meter.Take() {
		return m.refuse(name, session, now)
	}
	return nil
}

// Return gives back the answer that Take used for a request that was not dispatched.
func (h *Host) Return(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.meters[catalog.VersionName(version)]; m != nil && m.marked {
		m.meter.Return()
	}
}

// Quarantined returns the versions that are held back or quarantined here, sorted.
func (h *Host) Quarantined(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for name, until := range h.held {
		if now.Before(until) {
			out = append(out, string(name))
		}
	}
	for name, l := range h.local {
		if now.Before(l.quarantinedUntil) && !slices.Contains(out, string(name)) {
			out = append(out, string(name))
		}
	}
	slices.Sort(out)
	return out
}

// MeterLine is one metered version in the state dump.
type MeterLine struct {
	Version catalog.VersionName `json:"version"`
	Marked  bool                `json:"marked"`
	Left    int                 `json:"left"`
	Tally   rollout.Tally       `json:"tally"`
}

// Meters returns the metered versions for the state dump, sorted.
func (h *Host) Meters() []MeterLine {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []MeterLine
	for name, m := range h.meters {
		line := MeterLine{Version: name, Marked: m.marked, Tally: m.tally}
		if m.marked {
			line.Left = m.meter.Left()
		}
		out = append(out, line)
	}
	slices.SortFunc(out, func(a, b MeterLine) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return out
}
