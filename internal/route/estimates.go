package route

import "tarragonbay.example/tarragonbay/internal/quality"

// slotKey identifies the estimate of a version at a position in a chain.
type slotKey struct {
	via     string
	version int
}

// estimates is a quality.View indexed by class and slot, so that planning needs
// no lookups by name.
type estimates struct {
	rows    [][]quality.Estimate
	classes []quality.ClassEstimate
	fresh   bool
}

// WithView returns a planner for the same configuration with the estimates of view.
// The entry calls it for each new view, about once a second.
func (p *Planner) WithView(view *quality.View) *Planner {
	n := len(p.classes) + 1
	e := estimates{
		rows:    make([][]quality.Estimate, n),
		classes: make([]quality.ClassEstimate, n),
		fresh:   view.Fresh(),
	}
	e.rows[otherClass] = p.row("", view)
	e.classes[otherClass] = view.Class("")
	for name, c := range p.classes {
		e.rows[c.index] = p.row(name, view)
		e.classes[c.index] = view.Class(name)
	}
	out := *p
	out.estimates = e
	return &out
}

// successorRatings is the maximum weight of the ratings that a version inherits
// from the version it replaced.
const successorRatings = 400

// row returns the estimates of a class, indexed by slot.
func (p *Planner) row(class string, view *quality.View) []quality.Estimate {
	row := make([]quality.Estimate, len(p.slots))
	for k, slot := range p.slots {
		e, ok := p.estimate(view, class, k)
		if !ok {
			e.High = 1
		}
		row[slot] = e
	}
	return row
}

// estimate returns the estimate for the key. For a version that replaced another
// it includes the ratings of the other.
func (p *Planner) estimate(view *quality.View, class string, k slotKey) (quality.Estimate, bool) {
	v := &p.versions[k.version]
	key := quality.Key{Class: class, Via: k.via, Version: string(v.name)}
	if v.replaces < 0 {
		return view.Get(key)
	}
	return view.Successor(key, string(p.versions[v.replaces].name), successorRatings)
}
