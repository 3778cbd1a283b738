package version

import (
	"math/rand/v2"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/quality"
)

// step is one version of a chain and the key under which its answers count.
type step struct {
	version int
	key     quality.Key
}

// choice is what a policy decides for a request.
type choice struct {
	steps  []step
	shadow []step
}

// request is one caller's request on its way.
type request struct {
	class    int
	arrived  time.Duration
	output   int
	sticky   uint64
	luck     uint64
	without  []int
	attempts int
}

// policy chooses versions. The product and each baseline implement it.
type policy interface {
	// choose returns the chain for a request, or false to refuse it.
	choose(r *request) (choice, bool)
	// admit reports whether the version may give a caller one more answer.
	admit(version int) bool
	// replans reports whether a request that a version cannot take now is
	// planned again without it.
	replans() bool
	// drafted tells of a draft that was kept or handed on.
	drafted(k quality.Key, escalated bool)
	// answered tells of an answer of a version.
	answered(k quality.Key, latency time.Duration, output int)
	// rated tells of a rating; shadow is set when no caller got the answer.
	rated(k quality.Key, class int, good, shadow bool)
	// tick runs once a second.
	tick()
}

// plain is the part that the baselines share: they learn nothing, and whatever
// they choose runs as it is.
type plain struct{}

func (plain) admit(int) bool                           { return true }
func (plain) replans() bool                            { return false }
func (plain) drafted(quality.Key, bool)                {}
func (plain) answered(quality.Key, time.Duration, int) {}
func (plain) rated(quality.Key, int, bool, bool)       {}
func (plain) tick()                                    {}
func only(version int) choice                          { return choice{steps: []step{{version: version}}} }

// always takes one version for everything.
type always struct {
	plain
	run     *run
	version int
}

func (p *always) choose(*request) (choice, bool) { return only(p.run.rolledOut(p.version)), true }

// random takes any version.
type random struct {
	plain
	run *run
	rnd *rand.Rand
}

func (p *random) choose(*request) (choice, bool) {
	return only(p.run.rolledOut(p.rnd.IntN(dear + 1))), true
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// roundRobin takes the versions in turn.
type roundRobin struct {
	plain
	run  *run
	next int
}

func (p *roundRobin) choose(*request) (choice, bool) {
	p.next = (p.next + 1) % (dear + 1)
	return only(p.run.rolledOut(p.next)), true
}

// clairvoyant knows the true quality of every version at every time and takes
// the cheapest chain that meets the target within the deadline.
type clairvoyant struct {
	plain
	run *run
}

func (p *clairvoyant) replans() bool { return true }

func (p *clairvoyant) choose(r *request) (choice, bool) {
	var best []int
	bestCost, found := 0.0, false
	for _, chain := range chains() {
		cost, ok := p.weigh(r, chain)
		if ok && (!found || cost < bestCost) {
			best, bestCost, found = chain, cost, true
		}
	}
	if !found {
		return p.fallback(r)
	}
	return chainOf(best), true
}

// fallback takes the best version that has capacity.
func (p *clairvoyant) fallback(r *request) (choice, bool) {
	for v := dear; v >= 0; v-- {
		if !p.run.pools[v].full() && !slices.Contains(r.without, v) && !p.run.load.isBad(v, p.run.sinceWarm()) {
			return only(v), true
		}
	}
	return choice{}, false
}

// weigh returns the expected cost of a chain, and whether it may be taken.
func (p *clairvoyant) weigh(r *request, chain []int) (cost float64, ok bool) {
	s, reach, good := p.run.site, 1.0, 0.0
	c := &s.classes[r.class]
	var slow time.Duration
	for i, v := range chain {
		if p.run.pools[v].full() || slices.Contains(r.without, v) {
			return 0, false
		}
		fault := p.run.load.faulty(v, p.run.sinceWarm())
		q := s.models[v].good[r.class] * (1 - fault)
		cost += reach * s.models[v].cost(c)
		slow += p.run.pools[v].wait() + s.models[v].service(r.output)
		if i == len(chain)-1 {
			good += reach * q
			break
		}
		kept := (q+fault)*confidentWhenGood + (1-q-fault)*confidentWhenBad
		good += reach * q * confidentWhenGood
		reach *= 1 - kept
	}
	return cost, good >= c.target && p.run.clock.Now()-r.arrived+slow <= c.deadline
}

// chains returns every chain of the versions in use, cheap to dear.
func chains() [][]int {
	return [][]int{{cheap}, {middle}, {dear}, {cheap, middle}, {cheap, dear}, {middle, dear}, {cheap, middle, dear}}
}

func chainOf(versions []int) choice {
	var c choice
	for _, v := range versions {
		c.steps = append(c.steps, step{version: v})
	}
	return c
}
