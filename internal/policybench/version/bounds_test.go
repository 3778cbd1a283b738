package version

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/alitto/pond/v2"

	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// boundsSeed is the seed of the runs behind the bounds.
const boundsSeed = 1

// quickRuns runs every policy under every quick load once for all tests.
var quickRuns = sync.OnceValues(func() ([]outcome, error) { return runAll(boundsSeed, true) })

// group is the outcomes of all policies under one load at one site.
type group map[string]*outcome

func groups(t *testing.T) []group {
	t.Helper()
	all, err := quickRuns()
	if err != nil {
		t.Fatal(err)
	}
	var out []group
	for i := range all {
		if i%len(policyNames) == 0 {
			out = append(out, group{})
		}
		out[len(out)-1][all[i].policy] = &all[i]
	}
	return out
}

func (g group) name() string { return g[policyProduct].site.name + ", " + g[policyProduct].load.name }

// meetsTargets reports whether every class got its quality target.
func (o *outcome) meetsTargets() bool {
	for i, c := range o.site.classes {
		if o.quality(i) < c.target {
			return false
		}
	}
	return true
}

func (o *outcome) quality(class int) float64 {
	return float64(o.good[class]) / float64(max(1, o.byClass[class]))
}

func (o *outcome) onTimeShare() float64 { return float64(o.onTime) / float64(max(1, o.requests)) }

func TestBoundsQualityAtTarget(t *testing.T) {
	for _, g := range groups(t) {
		p := g[policyProduct]
		for i, c := range p.site.classes {
			if q := p.quality(i); q < c.target {
				t.Errorf("%s: %s has quality %.4f, target %.2f", g.name(), c.name, q, c.target)
			}
		}
	}
}

func TestBoundsCostOfClairvoyant(t *testing.T) {
	for _, g := range groups(t) {
		if !g[policyProduct].load.combined {
			checkCost(t, g.name(), boundsSeed, g[policyProduct], g[policyClairvoyant])
		}
	}
}

// The numbers of seeds, from 0, of the loads that the cost is checked in. One
// fault at a time has many more loads than two.
const (
	combinedSeeds = 5
	singleSeeds   = 3
)

// TestBoundsCostOfClairvoyantCombined checks the loads with two faults at a
// time, with several seeds.
func TestBoundsCostOfClairvoyantCombined(t *testing.T) {
	checkCostOfSeeds(t, combinedSeeds, func(l *load) bool { return l.combined })
}

// TestBoundsCostOfClairvoyantSeeds checks the loads with one fault with
// several seeds.
func TestBoundsCostOfClairvoyantSeeds(t *testing.T) {
	checkCostOfSeeds(t, singleSeeds, func(l *load) bool { return !l.combined && l.learned > 0 })
}

// manySeeds is the number of seeds of the loads in which a mistaken hold of the
// other cheap version costs most.
const manySeeds = 16

// TestBoundsCostOfClairvoyantManySeeds checks the loads in which a version in
// use turns bad with many seeds.
func TestBoundsCostOfClairvoyantManySeeds(t *testing.T) {
	checkCostOfSeeds(t, manySeeds, func(l *load) bool { return strings.HasPrefix(l.name, "version in use turns") })
}

func checkCostOfSeeds(t *testing.T, seeds int, match func(*load) bool) {
	t.Helper()
	pool := pond.NewPool(workers)
	defer pool.StopAndWait()
	for _, g := range groups(t) {
		l := g[policyProduct].load
		if !match(&l) {
			continue
		}
		s := g[policyProduct].site
		p, c := make([]outcome, seeds), make([]outcome, seeds)
		tasks := pool.NewGroup()
		for seed := range p {
			p[seed] = outcome{site: s, load: l, policy: policyProduct, learned: learnedAt(t, s.name)}
			c[seed] = outcome{site: s, load: l, policy: policyClairvoyant}
			tasks.SubmitErr(func() error {
				return errors.Join(p[seed].measure(uint64(seed)), c[seed].measure(uint64(seed)))
			})
		}
		if err := tasks.Wait(); err != nil {
			t.Fatal(err)
		}
		for seed := range p {
			checkCost(t, g.name(), uint64(seed), &p[seed], &c[seed])
		}
	}
}

func checkCost(t *testing.T, name string, seed uint64, p, clairvoyant *outcome) {
	t.Helper()
	cost, least := p.costPerAnswer(), clairvoyant.costPerAnswer()
	t.Logf("%s, seed %d: %.3f of the clairvoyant cost", name, seed, cost/least)
	if cost > maxCostOfClairvoyant*least {
		t.Errorf("%s, seed %d: %.1f per answer, clairvoyant %.1f, at most %.2f of it",
			name, seed, cost, least, maxCostOfClairvoyant)
	}
}

func TestBoundsCostOfAlwaysBest(t *testing.T) {
	for _, g := range groups(t) {
		cost, best := g[policyProduct].costPerAnswer(), g[policyBest].costPerAnswer()
		if cost > maxCostOfBest*best {
			t.Errorf("%s: %.1f per answer, always best %.1f, at most %.2f of it", g.name(), cost, best, maxCostOfBest)
		}
	}
}

func TestBoundsOnTime(t *testing.T) {
	for _, g := range groups(t) {
		best := 0.0
		for name, o := range g {
			if name != policyProduct && name != policyClairvoyant && o.meetsTargets() {
				best = max(best, o.onTimeShare())
			}
		}
		if got := g[policyProduct].onTimeShare(); got < minOnTime*best {
			t.Errorf("%s: %.4f of the requests on time, best baseline %.4f", g.name(), got, best)
		}
	}
}

func TestBoundsFalseWithdrawals(t *testing.T) {
	withdrawals, days := 0, 0.0
	for _, g := range groups(t) {
		p := g[policyProduct]
		withdrawals += p.falseWithdrawals
		days += (p.load.warm + p.load.length).Hours() / 24 * float64(len(p.site.models))
	}
	t.Logf("%d in %.0f version-days", withdrawals, days)
	if float64(withdrawals) > maxFalseWithdrawals*days {
		t.Errorf("%d false withdrawals in %.0f version-days", withdrawals, days)
	}
}

// TestBoundsExposure runs the loads in which a version turns bad with many
// seeds.
func TestBoundsExposure(t *testing.T) {
	const seeds = 10
	pool := pond.NewPool(workers)
	defer pool.StopAndWait()
	for _, s := range []*site{kusinang(), lemnotrat()} {
		learned := learnedAt(t, s.name)
		for _, l := range badLoads() {
			most := maxExposed(l.wrong)
			if most == 0 {
				continue
			}
			l.learned, l.warm = quietWeek, warmTime
			runs := make([]outcome, seeds)
			tasks := pool.NewGroup()
			for seed := range runs {
				runs[seed] = outcome{site: s, load: l, policy: policyProduct, learned: learned}
				tasks.SubmitErr(func() error { return runs[seed].measure(uint64(seed)) })
			}
			if err := tasks.Wait(); err != nil {
				t.Fatal(err)
			}
			worst, sum := 0, 0
			for seed := range runs {
				n := runs[seed].exposed
				worst, sum = max(worst, n), sum+n
				if n > most {
					t.Errorf("%s, %s, seed %d: %d exposed, at most %d", s.name, l.name, seed, n, most)
				}
			}
			t.Logf("%s, %s: mean %.1f, worst %d of %d seeds", s.name, l.name, float64(sum)/seeds, worst, seeds)
		}
	}
}

// learnedAt returns what the product knows after the quiet week of a site.
func learnedAt(t *testing.T, site string) []quality.Record {
	t.Helper()
	for _, g := range groups(t) {
		if p := g[policyProduct]; p.site.name == site && p.load.learned == 0 {
			return p.learned
		}
	}
	t.Fatalf("no cold start at %s", site)
	return nil
}

// maxExposed returns the bound for a share of wrong answers, 0 for none.
func maxExposed(wrong float64) int {
	switch wrong {
	case 0.2:
		return maxExposedFifth
	case 1:
		return maxExposedAll
	}
	return 0
}

// TestRolloutsEndWhereTheyShould follows each roll-out to its end: that of a
// good version goes on after nobody stepped it for an hour, that of a bad one
// is aborted.
func TestRolloutsEndWhereTheyShould(t *testing.T) {
	for _, g := range groups(t) {
		p := g[policyProduct]
		if !p.load.rollout {
			continue
		}
		t.Logf("%s: %s at stage %d by %s", g.name(), p.rollout.Status, p.rollout.Stage, p.rollout.Reason)
		switch {
		case p.load.wrong >= 0.2 && !p.rollout.Withdraws():
			t.Errorf("%s: the roll-out of the bad version is %s", g.name(), p.rollout.Status)
		case p.load.wrong == 0 && p.rollout.Status != rollout.Done:
			t.Errorf("%s: the roll-out is %s at stage %d", g.name(), p.rollout.Status, p.rollout.Stage)
		}
	}
}

// TestSameSeedSameFigures runs a flood and a bad version twice.
func TestSameSeedSameFigures(t *testing.T) {
	for _, l := range []load{
		{name: "flood", length: 40 * 60e9, floodAt: 5 * 60e9, floodFor: 10 * 60e9},
		badLoads()[4],
	} {
		first := outcome{site: lemnotrat(), load: l, policy: policyProduct}
		second := first
		for _, o := range []*outcome{&first, &second} {
			if err := o.measure(7); err != nil {
				t.Fatal(err)
			}
		}
		if first.row(7) != second.row(7) {
			t.Errorf("%s: %+v, then %+v", l.name, first.row(7), second.row(7))
		}
	}
}
