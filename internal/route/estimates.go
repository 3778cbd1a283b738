package route

import "tarragonbay.example/tarragonbay/internal/quality"

// slotKey names the estimate of a version inside a chain.
type slotKey struct {
	via     string
	version int
}

// estimates is a quality.View laid out by class and slot, so that a plan
// looks nothing up by name.
type estimates struct {
	rows    [][]quality.Estimate
	classes []quality.ClassEstimate
	fresh   bool
}

// With returns a planner for the same configuration and another view of the
// estimates. The entry calls it for each new view, about once a second.
func (p *Planner) With(view *quality.View) *Planner {
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

// successorRatings is the weight up to which a version that took over the work
// of another is trusted on the ratings of the other.
const successorRatings = 400

// row lays out the estimates of a class.
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

func (p *Planner) estimate(view *quality.View, class string, k slotKey) (quality.Estimate, bool) {
	v := &p.versions[k.version]
	key := quality.Key{Class: class, Via: k.via, Version: string(v.name)}
	if v.replaces < 0 {
		return view.Get(key)
	}
	return view.Successor(key, string(p.versions[v.replaces].name), successorRatings)
}
