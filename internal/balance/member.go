package balance

import (
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// member is an upstream's place in the pool of one target: what is known of
// the upstream as a whole, and what holds for this target only.
type member struct {
	*replica
	target Target
	// faults is the health as told by errors of the upstream's own. They may
	// be the version's, so they speak against this target alone; health, as
	// told by connections, is the whole upstream's.
	faults health
	// ramp is the slow start after an ejection for this target; that of the
	// replica is the whole upstream's.
	ramp ramp
}

// takesWork reports whether the upstream stays and is not ejected.
func (m *member) takesWork() bool { return m.replica.takesWork() && !m.faults.ejected() }

// suspect reports whether the last attempt failed.
func (m *member) suspect() bool { return m.health.suspect() || m.faults.suspect() }

// sound reports whether the upstream takes work and did not fail last.
func (m *member) sound() bool { return m.takesWork() && !m.suspect() }

// takeProbe lets one caller through while the upstream is unwell and may be
// probed.
func (m *member) takeProbe(now int64) bool {
	if m.health.well() {
		return !m.faults.well() && m.faults.takeProbe(now)
	}
	if m.faults.well() {
		return m.health.takeProbe(now)
	}
	return m.faults.probeable(now) && m.health.takeProbe(now)
}

// probed notes the end of a probe and lets another one through. An answer that
// told no speed, short or not streamed, is no reason to stay slow.
func (m *member) probed(o Outcome) {
	m.health.probeUntil.Store(0)
	m.faults.probeUntil.Store(0)
	if o == Answered && m.tokenTime.Load() == 0 {
		m.slow.Store(false)
	}
}

// succeeded notes an answer. What comes back from an ejection starts slowly.
func (m *member) succeeded(now int64) {
	m.replica.succeeded(now)
	if m.faults.succeeded() {
		m.ramp.begin(now)
	}
}

// capacity is the number of slots, less during a slow start.
func (m *member) capacity(now int64, slowStart time.Duration) float64 {
	slots := float64(max(1, m.slots.Load()))
	share := min(m.ramp.share(now, slowStart), m.replica.ramp.share(now, slowStart))
	return max(1, slots*share)
}

// member returns the upstream's place for the target, made when missing.
// Callers hold Picker.mu.
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

// forgetTargets drops the places of targets that the upstream serves no more.
func (r *replica) forgetTargets(u *catalog.Upstream) {
	r.members = slices.DeleteFunc(r.members, func(m *member) bool {
		if m.target.Service != "" {
			return m.target.Service != u.Service
		}
		return !slices.Contains(u.Versions, string(m.target.Version))
	})
}
