package order

import (
	"cmp"
	"math"
	"slices"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// work is one plan in progress.
type work struct {
	replicas []*Replica
	demands  map[catalog.VersionName]Demand
	busy     map[string]bool
	loads    int
	orders   []Order
}

func newWork(in Input) *work {
	w := &work{demands: map[catalog.VersionName]Demand{}, busy: map[string]bool{}, loads: in.Loads}
	for _, d := range in.Demands {
		w.demands[d.Version] = d
	}
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

// useAfter is the use that the version would have without the replica; without
// end when its minimum would be broken or nothing is known of it.
func (w *work) useAfter(v catalog.VersionName, r *Replica) float64 {
	d, known := w.demands[v]
	if !known || !w.canSpare(d, r) {
		return math.Inf(1)
	}
	return w.useWithout(d, r)
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

// canSpare reports whether the replica can let the version go without breaking
// a minimum.
func (w *work) canSpare(d Demand, r *Replica) bool {
	domains := w.domains(d.Version)
	total := 0
	for _, n := range domains {
		total += n
	}
	if total <= max(1, d.MinReplicas) {
		return false
	}
	return domains[r.Domain] > 1 || len(domains) > d.MinDomains
}

// bestToUnload returns the replica that lets the version go: in the domain with
// the most, the one that holds most.
func (w *work) bestToUnload(d Demand) *Replica {
	domains := w.domains(d.Version)
	var best *Replica
	for _, r := range w.replicas {
		if !w.free(r) || !slices.Contains(r.Loaded, d.Version) || !w.canSpare(d, r) {
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
