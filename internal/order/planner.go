package order

import (
	"cmp"
	"math"
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
			return
		}
		p.order(w, r, Load, d.Version)
		r.Loading = append(slices.Clone(r.Loading), d.Version)
		w.loads--
		p.changed[d.Version] = now
		delete(p.lowSince, d.Version)
	}
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

// work is one plan in progress.
type work struct {
	replicas []*Replica
	busy     map[string]bool
	loads    int
	orders   []Order
}

func newWork(in Input) *work {
	w := &work{busy: map[string]bool{}, loads: in.Loads}
	for _, r := range in.Replicas {
		w.replicas = append(w.replicas, &r)
	}
	slices.SortFunc(w.replicas, func(a, b *Replica) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return w
}

// free reports whether the replica can get an order: it is there, and none is
// on the way.
func (w *work) free(r *Replica) bool {
	return !r.Away && len(r.Loading) == 0 && !w.busy[r.Upstream]
}

func holds(r *Replica, v catalog.VersionName) bool {
	return !r.Away && (slices.Contains(r.Loaded, v) || slices.Contains(r.Loading, v))
}

// slots is the version's part of all replicas' slots: a replica's slots are
// shared by what it holds.
func (w *work) slots(v catalog.VersionName) float64 {
	total := 0.0
	for _, r := range w.replicas {
		if holds(r, v) {
			total += part(r)
		}
	}
	return total
}

func part(r *Replica) float64 {
	return float64(r.Slots) / float64(max(1, len(r.Loaded)+len(r.Loading)))
}

func (w *work) use(d Demand) float64 { return ratio(d.Slots, w.slots(d.Version)) }

func (w *work) useWithout(d Demand, r *Replica) float64 {
	return ratio(d.Slots, w.slots(d.Version)-part(r))
}

func ratio(need, slots float64) float64 {
	if need <= 0 {
		return 0
	}
	if slots <= 0 {
		return math.Inf(1)
	}
	return need / slots
}

// domains counts the version's replicas in each failure domain.
func (w *work) domains(v catalog.VersionName) map[string]int {
	n := map[string]int{}
	for _, r := range w.replicas {
		if holds(r, v) {
			n[r.Domain]++
		}
	}
	return n
}

func (w *work) shortOfMinimum(d Demand) bool {
	domains := w.domains(d.Version)
	total := 0
	for _, n := range domains {
		total += n
	}
	return total < d.MinReplicas || len(domains) < d.MinDomains
}

// byNeed sorts the demands: withdrawn ones, those short of their minimum,
// then by use.
func (w *work) byNeed(demands []Demand) []Demand {
	rank := func(d Demand) int {
		switch {
		case d.Withdrawn:
			return 0
		case w.shortOfMinimum(d):
			return 1
		}
		return 2
	}
	out := slices.Clone(demands)
	slices.SortStableFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(w.use(b), w.use(a)))
	})
	return out
}

// bestToLoad returns the replica to load the version on: in the domain with
// the fewest, then the one that holds the least.
func (w *work) bestToLoad(d Demand) *Replica {
	domains := w.domains(d.Version)
	var best *Replica
	for _, r := range w.replicas {
		if !w.free(r) || holds(r, d.Version) || !slices.Contains(r.Serves, d.Version) {
			continue
		}
		if len(r.Loaded) >= r.MaxLoaded {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(domains[r.Domain], domains[best.Domain]),
			cmp.Compare(len(r.Loaded), len(best.Loaded)),
		) < 0 {
			best = r
		}
	}
	return best
}

// bestToUnload returns the replica that can let the version go without
// breaking a minimum: in the domain with the most, the one that holds most.
func (w *work) bestToUnload(d Demand) *Replica {
	domains := w.domains(d.Version)
	total := 0
	for _, n := range domains {
		total += n
	}
	if total <= max(1, d.MinReplicas) {
		return nil
	}
	var best *Replica
	for _, r := range w.replicas {
		if !w.free(r) || !slices.Contains(r.Loaded, d.Version) {
			continue
		}
		if domains[r.Domain] == 1 && len(domains) <= d.MinDomains {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(domains[r.Domain], domains[best.Domain]),
			cmp.Compare(len(r.Loaded), len(best.Loaded)),
		) > 0 {
			best = r
		}
	}
	return best
}
