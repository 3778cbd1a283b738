package order

import (
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// Replica is a model engine as the last reports show it.
type Replica struct {
	Upstream string
	Domain   string
	// Slots is the number of requests it runs at a time.
	Slots int
	// Serves lists the versions that the configuration lets it serve.
	Serves []catalog.VersionName
	// Loaded lists the versions it holds, Loading those on the way.
	Loaded  []catalog.VersionName
	Loading []catalog.VersionName
	// MaxLoaded bounds the versions it can hold at a time.
	MaxLoaded int
	// Away is set when it is leaving or does not answer.
	Away bool
}

// Demand is what one version needs.
type Demand struct {
	Version catalog.VersionName
	// Slots is the mean number of slots in use and waited for.
	Slots float64
	// MinReplicas and MinDomains are kept whatever the demand.
	MinReplicas int
	MinDomains  int
	// Withdrawn versions are unloaded everywhere at once.
	Withdrawn bool
}

// Input is the state on which a plan is made.
type Input struct {
	Replicas []Replica
	Demands  []Demand
	// Loads is the number of loads that the weight store's rate allows now.
	Loads int
	// Fence is the fencing number of the lease held.
	Fence uint64
}

const (
	// highUse is the share of a version's slots in use from which it gets
	// another replica.
	highUse = 0.8
	// lowUse is the share of the slots that would remain in use after an
	// unload, under which one replica is let go.
	lowUse = 0.5
	// lowFor is how long the use must stay low before an unload.
	lowFor = 10 * time.Minute
	// settleFor is how long a version is left alone after a change.
	settleFor = time.Minute
)

// Planner turns demand into orders. It keeps the times that hysteresis needs;
// a new holder of the lease starts with an empty one and only acts later. It
// is used by one goroutine.
type Planner struct {
	issued   uint64
	fence    uint64
	changed  map[catalog.VersionName]time.Time
	lowSince map[catalog.VersionName]time.Time
}

// NewPlanner returns a Planner without history.
func NewPlanner() *Planner {
	return &Planner{
		changed:  map[catalog.VersionName]time.Time{},
		lowSince: map[catalog.VersionName]time.Time{},
	}
}

// Plan returns the orders to give now, at most one for each replica. Versions
// short of their minimum come first, then those with the most use.
func (p *Planner) Plan(in Input, now time.Time) []Order {
	if in.Fence != p.fence {
		p.fence, p.issued = in.Fence, 0
	}
	w := newWork(in)
	for _, d := range w.byNeed(in.Demands) {
		if d.Withdrawn {
			p.dropAll(w, d)
			continue
		}
		p.fill(w, d, now)
	}
	for _, d := range in.Demands {
		if !d.Withdrawn {
			p.shed(w, d, now)
		}
	}
	return w.orders
}

// fill orders loads while the version is short of replicas.
func (p *Planner) fill(w *work, d Demand, now time.Time) {
	short := w.shortOfMinimum(d)
	if !short && (w.use(d) <= highUse || now.Sub(p.changed[d.Version]) < settleFor) {
		return
	}
	for w.loads > 0 && (w.shortOfMinimum(d) || w.use(d) > highUse) {
		r := w.bestToLoad(d)
		if r == nil {
			p.makeRoom(w, d, now)
			return
		}
		p.order(w, r, Load, d.Version)
		r.Loading = append(slices.Clone(r.Loading), d.Version)
		w.loads--
		p.changed[d.Version] = now
		delete(p.lowSince, d.Version)
	}
}

// makeRoom orders one unload of the version that can best spare a replica on
// an engine that could serve d. The load follows in a later plan.
func (p *Planner) makeRoom(w *work, d Demand, now time.Time) {
	var best spare
	for _, r := range w.replicas {
		if !w.free(r) || holds(r, d.Version) || !slices.Contains(r.Serves, d.Version) {
			continue
		}
		for _, v := range r.Loaded {
			s := spare{replica: r, version: v, use: w.useAfter(v, r)}
			if s.use < lowUse && now.Sub(p.changed[v]) >= settleFor && (best.replica == nil || s.use < best.use) {
				best = s
			}
		}
	}
	if best.replica == nil {
		return
	}
	p.order(w, best.replica, Unload, best.version)
	p.changed[best.version] = now
}

// spare is a version that an engine could let go, and the use it would have
// then.
type spare struct {
	replica *Replica
	version catalog.VersionName
	use     float64
}

// shed orders one unload when the version's use has been low for long.
func (p *Planner) shed(w *work, d Demand, now time.Time) {
	r := w.bestToUnload(d)
	if r == nil || w.useWithout(d, r) >= lowUse {
		delete(p.lowSince, d.Version)
		return
	}
	since, ok := p.lowSince[d.Version]
	if !ok {
		p.lowSince[d.Version] = now
		return
	}
	if now.Sub(since) < lowFor || now.Sub(p.changed[d.Version]) < settleFor {
		return
	}
	p.order(w, r, Unload, d.Version)
	p.changed[d.Version] = now
	delete(p.lowSince, d.Version)
}

func (p *Planner) dropAll(w *work, d Demand) {
	for _, r := range w.replicas {
		if slices.Contains(r.Loaded, d.Version) && w.free(r) {
			p.order(w, r, Unload, d.Version)
		}
	}
}

func (p *Planner) order(w *work, r *Replica, a Action, v catalog.VersionName) {
	p.issued++
	w.busy[r.Upstream] = true
	w.orders = append(w.orders, Order{
		ID: orderID(p.fence, p.issued), Upstream: r.Upstream,
		Action: a, Version: v, Fence: p.fence,
	})
}
