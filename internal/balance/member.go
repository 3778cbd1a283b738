package balance

import (
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// member is an upstream in the pool of one target: the state of the upstream as
// a whole (replica) and its state for this target only.
type member struct {
	*replica
	target Target
	// targetHealth is the health derived from error responses. The version may
	// cause them, so they count for this target alone; replica.health, derived
	// from connection failures, covers the whole upstream.
	targetHealth health
	// ramp is the slow start after an ejection for this target; replica.ramp
	// covers the whole upstream.
	ramp ramp
}

// takesWork reports whether the upstream is neither leaving nor ejected.
func (m *member) takesWork() bool { return m.replica.takesWork() && !m.targetHealth.ejected() }

// suspect reports whether the last attempt failed.
func (m *member) suspect() bool { return m.health.suspect() || m.targetHealth.suspect() }

// ready reports whether the upstream takes work and its last attempt did not
// fail.
func (m *member) ready() bool { return m.takesWork() && !m.suspect() }

// acquireProbe reports whether the caller may send a probe. It grants one at a
// time, while the upstream is unhealthy and may be probed.
func (m *member) acquireProbe(now int64) bool {
	if m.health.healthy() {
		return !m.targetHealth.healthy() && m.targetHealth.acquireProbe(now)
	}
	if m.targetHealth.healthy() {
		return m.health.acquireProbe(now)
	}
	return m.targetHealth.probeable(now) && m.health.acquireProbe(now)
}

// finishProbe records the end of a probe, so that another may be sent. An answer
// without a reported speed, since it was short or not streamed, clears the slow
// state.
func (m *member) finishProbe(o Outcome) {
	m.health.probeUntil.Store(0)
	m.targetHealth.probeUntil.Store(0)
	if o == Answered && m.tokenTime.Load() == 0 {
		m.slow.Store(false)
	}
}

// recordSuccess records an answer. An upstream that returns from an ejection
// begins a slow start.
func (m *member) recordSuccess(now int64) {
	m.replica.recordSuccess(now)
	if m.targetHealth.recordSuccess() {
		m.ramp.begin(now)
	}
}

// capacity returns the number of slots, reduced during a slow start.
func (m *member) capacity(now int64, slowStart time.Duration) float64 {
	slots := float64(max(1, m.slots.Load()))
	share := min(m.ramp.share(now, slowStart), m.replica.ramp.share(now, slowStart))
	return max(1, slots*share)
}

// member returns the upstream's member for the target and creates it when
// missing. Callers hold Picker.mu.
func (r *replica) member(t Target) *member {
	for _, m := range r.members {
		if m.target == t {
			return m
		}
	}
	m := &member{replica: r, target: t}
	r.members = append(r.members, m)
	return m
}

// removeStaleTargets removes the members of targets that the upstream no longer
// serves.
func (r *replica) removeStaleTargets(u *catalog.Upstream) {
	r.members = slices.DeleteFunc(r.members, func(m *member) bool {
		if m.target.Service != "" {
			return m.target.Service != u.Service
		}
		return !slices.Contains(u.Versions, string(m.target.Version))
	})
}
