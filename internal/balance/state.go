package balance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// State is what a Picker knows about one upstream, for the state dump.
type State struct {
	Upstream     string    `json:"upstream"`
	Host         string    `json:"host"`
	Domain       string    `json:"domain"`
	Slots        int       `json:"slots"`
	OwnInFlight  int       `json:"ownInFlight"`
	EstimatedAll float64   `json:"estimatedInFlight"`
	Leaving      bool      `json:"leaving,omitempty"`
	Failures     int       `json:"failuresInARow,omitempty"`
	EjectedUntil time.Time `json:"ejectedUntil,omitzero"`
	// TokenTimeMs is the reported time between tokens; Slow is set while it
	// counts as slow.
	TokenTimeMs float64 `json:"tokenTimeMs,omitempty"`
	Slow        bool    `json:"slow,omitempty"`
	// Faulty lists the targets for which the upstream returned errors.
	Faulty []TargetState `json:"faulty,omitempty"`
}

// TargetState is the failure state of an upstream for one target only.
type TargetState struct {
	Target       string    `json:"target"`
	Failures     int       `json:"failuresInARow,omitempty"`
	EjectedUntil time.Time `json:"ejectedUntil,omitzero"`
}

// States returns the state of every known upstream, sorted by name.
func (p *Picker) States(now time.Time) []State {
	v := p.view.Load()
	faulty := v.faulty()
	out := make([]State, 0, len(v.byName))
	for _, r := range v.byName {
		s := r.state(now.UnixNano())
		s.Faulty = faulty[r]
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// faulty returns the failure states of upstreams for single targets.
func (v *view) faulty() map[*replica][]TargetState {
	out := map[*replica][]TargetState{}
	for _, pl := range v.pools {
		for _, m := range pl.members {
			if !m.targetHealth.healthy() {
				out[m.replica] = append(out[m.replica], m.state())
			}
		}
	}
	for _, states := range out {
		slices.SortFunc(states, func(a, b TargetState) int { return strings.Compare(a.Target, b.Target) })
	}
	return out
}

func (m *member) state() TargetState {
	return TargetState{
		Target:       cmp.Or(string(m.target.Version), m.target.Service),
		Failures:     int(m.targetHealth.failures.Load()),
		EjectedUntil: m.targetHealth.end(),
	}
}

func (r *replica) state(now int64) State {
	id := r.id.Load()
	return State{
		Upstream: id.name, Host: id.host, Domain: id.domain,
		Slots:        int(r.slots.Load()),
		OwnInFlight:  int(r.own.Load()),
		EstimatedAll: r.inFlight(now),
		Leaving:      r.leaving(),
		Failures:     int(r.health.failures.Load()),
		EjectedUntil: r.health.end(),
		TokenTimeMs:  float64(r.tokenTime.Load()) / float64(time.Millisecond),
		Slow:         r.slow.Load(),
	}
}

// TargetSlots returns the slots of the target's upstreams that take work now,
// for the target's admission limit.
func (p *Picker) TargetSlots(t Target) int {
	pl, ok := p.view.Load().pools[t]
	if !ok {
		return 0
	}
	total := 0
	for _, list := range [][]*member{pl.members, pl.otherRegions} {
		for _, m := range list {
			if m.takesWork() {
				total += int(m.slots.Load())
			}
		}
	}
	return total
}

// Slots returns the slots of all upstreams that take work now, for the
// admission capacity limit.
func (p *Picker) Slots() int {
	total := 0
	for _, r := range p.view.Load().byName {
		if r.takesWork() {
			total += int(r.slots.Load())
		}
	}
	return total
}
