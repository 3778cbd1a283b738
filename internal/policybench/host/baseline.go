package host

import (
	"math"
	"math/rand/v2"
	"slices"

	"tarragonbay.example/tarragonbay/internal/balance"
)

// knowledge is what every baseline knows at an entry: the same reports and
// silences as the product, and its own requests in flight.
type knowledge struct {
	rnd    *rand.Rand
	own    []int
	others []int
	stale  []int
	away   []bool
}

func newKnowledge(rnd *rand.Rand) knowledge {
	return knowledge{
		rnd: rnd, own: make([]int, replicas), others: make([]int, replicas),
		stale: make([]int, replicas), away: make([]bool, replicas),
	}
}

func (k *knowledge) started(_ *request, to int) { k.own[to]++ }

func (k *knowledge) finished(_ *request, to int, rep reply) {
	k.own[to]--
	if rep.load != nil {
		k.others[to] = max(0, rep.load.InFlight+rep.load.Queued-k.own[to])
	}
	if rep.outcome == balance.Refused {
		k.away[to] = true
	}
}

func (k *knowledge) report(to int, l balance.Load) {
	k.away[to] = false
	k.stale[to] = l.InFlight + l.Queued
	k.others[to] = max(0, k.stale[to]-k.own[to])
}

func (k *knowledge) silent(to int) { k.away[to] = true }

func (k *knowledge) back(to int) { k.away[to] = false }

func (k *knowledge) load(to int) int { return k.own[to] + k.others[to] }

func (k *knowledge) usable(to int, tried []int) bool {
	return !k.away[to] && !slices.Contains(tried, to)
}

// candidates lists the usable upstreams.
func (k *knowledge) candidates(tried []int) []int {
	out := make([]int, 0, replicas)
	for i := range replicas {
		if k.usable(i, tried) {
			out = append(out, i)
		}
	}
	return out
}

type random struct{ knowledge }

func newRandom(_ *fleet, _ int, rnd *rand.Rand) picker { return &random{newKnowledge(rnd)} }

func (p *random) pick(_ *request, tried []int) (int, bool) {
	c := p.candidates(tried)
	if len(c) == 0 {
		return 0, false
	}
	return c[p.rnd.IntN(len(c))], true
}

type roundRobin struct {
	knowledge
	next int
}

func newRoundRobin(_ *fleet, entry int, rnd *rand.Rand) picker {
	return &roundRobin{newKnowledge(rnd), entry * replicas / entries}
}

func (p *roundRobin) pick(_ *request, tried []int) (int, bool) {
	for range replicas {
		p.next = (p.next + 1) % replicas
		if p.usable(p.next, tried) {
			return p.next, true
		}
	}
	return 0, false
}

// leastLoaded takes the least loaded by the last report.
type leastLoaded struct{ knowledge }

func newLeastLoaded(_ *fleet, _ int, rnd *rand.Rand) picker {
	return &leastLoaded{newKnowledge(rnd)}
}

func (p *leastLoaded) pick(_ *request, tried []int) (int, bool) {
	c := p.candidates(tried)
	if len(c) == 0 {
		return 0, false
	}
	p.rnd.Shuffle(len(c), func(i, j int) { c[i], c[j] = c[j], c[i] })
	return slices.MinFunc(c, func(a, b int) int { return p.stale[a] - p.stale[b] }), true
}

// powerOfTwo takes the less loaded of two at random, by own requests in
// flight and by load that rides on answers and reports.
type powerOfTwo struct{ knowledge }

func newPowerOfTwo(_ *fleet, _ int, rnd *rand.Rand) picker { return &powerOfTwo{newKnowledge(rnd)} }

func (p *powerOfTwo) pick(_ *request, tried []int) (int, bool) {
	c := p.candidates(tried)
	if len(c) == 0 {
		return 0, false
	}
	a, b := c[p.rnd.IntN(len(c))], c[p.rnd.IntN(len(c))]
	if p.load(b) < p.load(a) {
		return b, true
	}
	return a, true
}

// affinity sends a prefix to its highest ranked upstream while that one's load
// is within a bound of the mean (rendezvous hashing with bounded load), to the
// next ranked one otherwise, and falls back to the power of two.
type affinity struct{ powerOfTwo }

const (
	// affinityBound is the load of a home as a multiple of the mean load.
	affinityBound = 1.5
	// affinityRanks is how many ranks are tried.
	affinityRanks = 2
)

func newAffinity(_ *fleet, _ int, rnd *rand.Rand) picker {
	return &affinity{powerOfTwo{newKnowledge(rnd)}}
}

func (p *affinity) pick(r *request, tried []int) (int, bool) {
	c := p.candidates(tried)
	if len(c) == 0 {
		return 0, false
	}
	total := 0
	for _, i := range c {
		total += p.load(i)
	}
	bound := int(math.Ceil(affinityBound * float64(total+1) / float64(len(c))))
	slices.SortFunc(c, func(a, b int) int {
		if rankOf(r.prefix, a) > rankOf(r.prefix, b) {
			return -1
		}
		return 1
	})
	for _, i := range c[:min(affinityRanks, len(c))] {
		if p.load(i) < bound {
			return i, true
		}
	}
	return p.powerOfTwo.pick(r, tried)
}

// rankOf is the rendezvous score of an upstream for a prefix.
func rankOf(prefix uint64, upstream int) uint64 {
	x := prefix*0x9e3779b97f4a7c15 ^ uint64(upstream+1)*0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
