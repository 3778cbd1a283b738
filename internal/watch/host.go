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
	// heldFor is how long a hold lasts that an entry told of. Entries tell
	// again while it stands.
	heldFor = 30 * time.Second
	// quarantineFor is how long a version that failed on this host alone
	// gets no work here; then it is tried again.
	quarantineFor = 30 * time.Second
	// sessionsFirst is how long a version's new work is refused after one of
	// its sessions found the budget spent. Waiting sessions ask again sooner.
	sessionsFirst = 2 * time.Second
)

// Host follows the versions on one host. It is safe for concurrent use.
type Host struct {
	name string

	mu     sync.Mutex
	meters map[catalog.VersionName]*metered
	// held maps versions that an entry holds back to the end of the hold.
	held map[catalog.VersionName]time.Time
	// local are the detectors of failures on this host.
	local map[catalog.VersionName]*localWatch
}

// metered is a new version whose answers are counted.
type metered struct {
	meter  *rollout.Meter
	budget rollout.Budget
	tally  rollout.Tally
	// rank of this host among those that run the version.
	rank, hosts int
	// marked is set once it is known whether this host answered with the
	// version before this process started. Until then nothing is granted.
	marked bool
	// sessionSpent is when a session last found the budget spent.
	sessionSpent time.Time
}

// NewHost returns the watch of a host.
func NewHost(name string) *Host {
	return &Host{
		name:   name,
		meters: map[catalog.VersionName]*metered{},
		held:   map[catalog.VersionName]time.Time{},
		local:  map[catalog.VersionName]*localWatch{},
	}
}

// SetCatalog takes a new revision. It returns the new versions of which it must
// be found out whether this host ran them before; see Marked.
func (h *Host) SetCatalog(set *catalog.Set) []catalog.VersionName {
	h.mu.Lock()
	defer h.mu.Unlock()
	fresh := newVersions(set)
	var unmarked []catalog.VersionName
	for name := range fresh {
		rank, hosts := h.rank(set, name)
		if rank < 0 {
			continue
		}
		m := h.meters[name]
		if m == nil {
			m = &metered{budget: rollout.NewBudget(set.Versions[name].Exposure)}
			h.meters[name] = m
		}
		m.rank, m.hosts = rank, hosts
		if !m.marked {
			unmarked = append(unmarked, name)
		}
	}
	for name, m := range h.meters {
		if _, ok := fresh[name]; !ok && (m.budget.Unrated == 0 || !aborted(set, name)) {
			delete(h.meters, name)
		}
	}
	slices.Sort(unmarked)
	return unmarked
}

// aborted reports whether a roll-out of the version was aborted. Such a version
// stays bounded, while one whose roll-out is done is new no longer: its answers
// are not all handed in for rating then, and would use a budget up for good.
func aborted(set *catalog.Set, version catalog.VersionName) bool {
	for _, r := range set.Rollouts {
		if catalog.VersionName(r.To) == version && r.State == catalog.RolloutAborted {
			return true
		}
	}
	return false
}

// rank returns the place of this host among those that serve the version, in
// order of name, and their number; -1 when it does not serve it.
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

// Marked tells whether this host ran the version before this process started.
// From then on its share is granted.
func (h *Host) Marked(version catalog.VersionName, ranBefore bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.meters[version]
	if m == nil || m.marked {
		return
	}
	m.marked = true
	m.meter = rollout.NewMeter(m.share(), ranBefore)
}

func (m *metered) share() int {
	return rollout.Share(m.budget.Granted(m.tally), m.rank, m.hosts)
}

// News takes what an entry knows of a version's ratings.
func (h *Host) News(version string, n *linkv1.VersionNews) {
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

// HoldBack takes the versions that an entry holds back everywhere.
func (h *Host) HoldBack(versions []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range versions {
		h.held[catalog.VersionName(v)] = now.Add(heldFor)
	}
}

// Check refuses a version that gets no work here now: held back by an entry,
// quarantined on this host, or with its budget spent. A session's request comes
// before new work. It takes nothing of the budget.
func (h *Host) Check(version string, session bool, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := catalog.VersionName(version)
	if err := h.heldBack(name, now); err != nil {
		return err
	}
	m := h.meters[name]
	if m == nil {
		return nil
	}
	if !m.open(session, now) || m.meter.Left() <= 0 {
		return m.refuse(name, session, now)
	}
	return nil
}

// open reports whether the version's answers are counted here yet and, for new
// work, that no session has been waiting for one.
func (m *metered) open(session bool, now time.Time) bool {
	return m.marked && (session || !now.Before(m.sessionSpent.Add(sessionsFirst)))
}

// refuse notes a session that found the budget spent, so that it comes first
// when more is granted.
func (m *metered) refuse(name catalog.VersionName, session bool, now time.Time) error {
	if session {
		m.sessionSpent = now
	}
	return result.New(result.ExposureSpent, "the budget of unrated answers of %q is spent here", name)
}

func (h *Host) heldBack(name catalog.VersionName, now time.Time) error {
	if until, ok := h.held[name]; ok {
		if now.Before(until) {
			return result.New(result.Quarantined, "version %q is held back", name)
		}
		delete(h.held, name)
	}
	if l := h.local[name]; l != nil && now.Before(l.until) {
		return result.New(result.Quarantined, "version %q fails on this host", name)
	}
	return nil
}

// Take uses one answer of the version's budget right before it is dispatched.
func (h *Host) Take(version string, session bool, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := catalog.VersionName(version)
	if err := h.heldBack(name, now); err != nil {
		return err
	}
	m := h.meters[name]
	if m == nil {
		return nil
	}
	if !m.open(session, now) || !m.meter.Take() {
		return m.refuse(name, session, now)
	}
	return nil
}

// Return gives back what Take used for an answer that was not dispatched.
func (h *Host) Return(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.meters[catalog.VersionName(version)]; m != nil && m.marked {
		m.meter.Return()
	}
}

// Quarantined lists the versions that get no work here now, sorted.
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
		if now.Before(l.until) && !slices.Contains(out, string(name)) {
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
