package balance

import (
	"slices"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// member is an upstream's place in the pool of one target: what is known of
// the upstream as a whole, and what holds for this target only.
type member struct {
	*replica
	target Target
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
