package route

import "tarragonbay.example/tarragonbay/internal/catalog"

// maxOpen bounds the options among which a try is looked for.
const maxOpen = 16

// unproven is an option that does not meet the target, by what is known.
type unproven struct {
	option int
	score  score
	filled [MaxSteps]*candidate
	target float64
	// chance is the probability that the option meets the target.
	chance float64
}

// findTry keeps the option that promises most of those that would beat the
// best: the chance that it meets the target times what it would save. A random
// factor sees to it that none is forgotten.
func (c *chooser) findTry() {
	most := 0.0
	for i := range c.openCount {
		u := &c.open[i]
		if u.option == c.best || !c.better(&u.score, &c.bestScore) {
			continue
		}
		u.chance = u.score.chance(u.target)
		promise := max(u.chance, littleChance) * c.saving(&u.score) * (1 + c.rnd.fraction())
		if c.try < 0 || promise > most {
			c.try, most = i, promise
		}
	}
}

// saving returns the share of the cost that the option would save against the
// best, or of the latency where it saves that.
func (c *chooser) saving(sc *score) float64 {
	saved := 0.0
	if c.bestScore.cost > 0 {
		saved = 1 - sc.cost/c.bestScore.cost
	}
	if c.objective == catalog.ObjectiveLatency && c.bestScore.latency > 0 {
		saved = max(saved, 1-float64(sc.latency)/float64(c.bestScore.latency))
	}
	return max(0, saved)
}

// worth returns what a request would save for each unit that the try costs.
func (c *chooser) worth(sc *score) float64 {
	if sc.cost <= 0 {
		return 1
	}
	return max(0, c.bestScore.cost-sc.cost) / sc.cost
}

// explore puts the try beside the choice, or in its place.
func (c *chooser) explore(plan *Plan, options []option) {
	u := &c.open[c.try]
	chain := c.chain(&options[u.option], &u.filled, false)
	plan.Exploring = true
	if c.objective == catalog.ObjectiveExposure {
		plan.Shadow = chain
		return
	}
	plan.Chain = chain
	plan.Cost, plan.Latency = u.score.cost, u.score.latency
}

// explores draws whether the request is spent on the try.
func (c *chooser) explores() bool {
	if !c.mayTry() {
		return false
	}
	c.findTry()
	return c.try >= 0 && c.rnd.fraction() < c.tryRate()
}

// drills draws whether the request is spent on a standby.
func (c *chooser) drills() bool {
	return c.mayTry() && c.bestRank == rankMeets && c.rnd.fraction() < c.planner.settings.ExploreStandby
}

// drill looks for a try among what would be left without the first version of
// the best choice.
func (c *chooser) drill(plan *Plan, options []option) {
	held := c.held
	c.barred = c.bestFilled[0].version
	c.considerAll(options)
	c.held = held
	if c.best < 0 {
		return
	}
	c.findTry()
	if c.try >= 0 && c.open[c.try].chance >= littleChance {
		c.explore(plan, options)
	}
}

// mayTry reports whether tries are made at all. While no ratings come nothing
// can be learned.
func (c *chooser) mayTry() bool {
	if c.objective == catalog.ObjectiveExposure {
		return c.mayShadow()
	}
	return c.planner.estimates.fresh
}

// littleChance is the chance under which an option counts as known to miss the
// target.
const littleChance = 0.05

// tryRate returns the share of requests that the try is worth. A try beside
// the request costs callers nothing, but is paid for on top. One in its place
// is cheaper than the best choice, and may cost a share of the quality that
// the best choice has above the target.
func (c *chooser) tryRate() float64 {
	s := &c.planner.settings
	u := &c.open[c.try]
	if u.chance < littleChance {
		return s.ExploreKnown
	}
	if c.objective == catalog.ObjectiveExposure {
		return s.ExploreShadow * min(1, square(2*u.chance*c.worth(&u.score)))
	}
	rate := s.ExploreMost
	if loss := c.bestScore.mean - u.score.mean; loss > 0 && u.score.mean < u.target {
		surplus := max(0, c.bestScore.mean-c.bestTarget)
		rate = min(rate, s.ExploreSurplus*surplus/loss)
	}
	return max(s.ExploreKnown, rate)
}
