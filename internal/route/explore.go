package route

import "tarragonbay.example/tarragonbay/internal/catalog"

// maxUnproven is the maximum number of unproven options considered per request.
const maxUnproven = 16

// unprovenOption is an option whose ratings do not show that it meets the target.
type unprovenOption struct {
	option     int
	score      score
	candidates [MaxSteps]*candidate
	target     float64
	// probability is the probability that the option meets the target.
	probability float64
}

// selectExploration selects the option to explore among those that would be better
// than the best if they met the target: the one with the highest product of that
// probability and its saving. A random factor ensures that every option is explored
// at times.
func (c *selector) selectExploration() {
	maxExpected := 0.0
	for i := range c.unprovenCount {
		u := &c.unproven[i]
		if u.option == c.best || !c.better(&u.score, &c.bestScore) {
			continue
		}
		u.probability = u.score.probabilityOfMeeting(u.target)
		expected := max(u.probability, minProbability) * c.savingShare(&u.score) * (1 + c.rnd.fraction())
		if c.toExplore < 0 || expected > maxExpected {
			c.toExplore, maxExpected = i, expected
		}
	}
}

// savingShare returns the share of the best option's cost that the option would
// save, or of its latency if that is more and the objective is latency.
func (c *selector) savingShare(sc *score) float64 {
	saved := 0.0
	if c.bestScore.cost > 0 {
		saved = 1 - sc.cost/c.bestScore.cost
	}
	if c.objective == catalog.ObjectiveLatency && c.bestScore.latency > 0 {
		saved = max(saved, 1-float64(sc.latency)/float64(c.bestScore.latency))
	}
	return max(0, saved)
}

// savingPerCost returns the cost that the option would save per request, relative
// to its own cost.
func (c *selector) savingPerCost(sc *score) float64 {
	if sc.cost <= 0 {
		return 1
	}
	return max(0, c.bestScore.cost-sc.cost) / sc.cost
}

// explore adds the option to explore to the plan: as the shadow under the exposure
// objective, and otherwise in place of the best option.
func (c *selector) explore(plan *Plan, options []option) {
	u := &c.unproven[c.toExplore]
	chain := c.chain(&options[u.option], &u.candidates, false)
	plan.Exploring = true
	if c.objective == catalog.ObjectiveExposure {
		plan.Shadow = chain
		return
	}
	plan.Chain = chain
	plan.Cost, plan.Latency = u.score.cost, u.score.latency
}

// shouldExplore selects an option to explore and decides at random whether this
// request explores it.
func (c *selector) shouldExplore() bool {
	if !c.mayExplore() {
		return false
	}
	c.selectExploration()
	return c.toExplore >= 0 && c.rnd.fraction() < c.explorationRate()
}

// shouldExploreStandby decides at random whether this request explores a standby.
func (c *selector) shouldExploreStandby() bool {
	return c.mayExplore() && c.bestRank == rankFirst && c.rnd.fraction() < c.planner.settings.ExploreStandby
}

// exploreStandby explores an option among those that do not use the first version
// of the best option.
func (c *selector) exploreStandby(plan *Plan, options []option) {
	held := c.held
	c.excluded = c.bestCandidates[0].version
	c.evaluateAll(options)
	c.held = held
	if c.best < 0 {
		return
	}
	c.selectExploration()
	if c.toExplore >= 0 && c.unproven[c.toExplore].probability >= minProbability {
		c.explore(plan, options)
	}
}

// mayExplore reports whether exploration is allowed. Without current ratings
// exploration yields no information.
func (c *selector) mayExplore() bool {
	if c.objective == catalog.ObjectiveExposure {
		return c.mayShadow()
	}
	return c.planner.estimates.fresh
}

// minProbability is the probability of meeting the target below which an option
// counts as known to miss it.
const minProbability = 0.05

// explorationRate returns the share of requests that explore the option. A shadow
// costs the callers no quality, but adds its own cost. An option explored in place
// of the best is cheaper than it, and may cost the callers a share of the quality
// that the best has above the target.
func (c *selector) explorationRate() float64 {
	s := &c.planner.settings
	u := &c.unproven[c.toExplore]
	if u.probability < minProbability {
		return s.ExploreKnown
	}
	if c.objective == catalog.ObjectiveExposure {
		return s.ExploreShadow * min(1, square(2*u.probability*c.savingPerCost(&u.score)))
	}
	rate := s.ExploreMax
	if loss := c.bestScore.mean - u.score.mean; loss > 0 && u.score.mean < u.target {
		surplus := max(0, c.bestScore.mean-c.bestTarget)
		rate = min(rate, s.ExploreSurplus*surplus/loss)
	}
	return max(s.ExploreKnown, rate)
}
