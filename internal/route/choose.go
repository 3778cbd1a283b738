package route

import (
	"math"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Plan chooses the steps for a request. rnd is a random 64-bit number.
//
// It fails with UnknownModel when the target does not exist, ModelNotAllowed
// when the organisation may use none of the target's versions, VersionDraining
// or VersionWithdrawn when every allowed version is draining or withdrawn, and
// NoUpstream when the remaining versions are in Unavailable or Held. A session never
// moves to another version: Plan fails with VersionWithdrawn when the session's
// version is withdrawn, and with Quarantined while it is held. All these errors
// have the outcome "not run".
func (p *Planner) Plan(req Request, now time.Time, rnd uint64) (Plan, error) {
	org, ok := p.organisations[req.Organisation]
	if !ok {
		return Plan{}, result.New(result.ModelNotAllowed, "organisation %q is not known", req.Organisation)
	}
	r, row := p.rule(org, req.Class)
	plan := newPlan(&req, r, now)
	if row != otherClass {
		plan.Class = req.Class
	}
	if req.Session != "" {
		return p.planSession(&req, org, plan)
	}
	options, ok := p.targets[req.Target]
	if !ok {
		return Plan{}, result.New(result.UnknownModel, "no model, version or cascade is named %q", req.Target)
	}
	if r != nil && len(r.options) > 0 {
		options = r.options
	}
	c := selector{
		scorer:    p.newScorer(&req, row),
		req:       &req,
		org:       org,
		objective: plan.Objective,
		remaining: remainingTime(plan.Deadline, now),
		excluded:  -1,
		held:      -1,
		rnd:       randomSource(rnd),
	}
	if r != nil {
		c.ruleTarget = r.target
	}
	c.evaluateAll(options)
	if c.best < 0 {
		return Plan{}, c.refusalError()
	}
	c.fillPlan(&plan, options)
	return plan, nil
}

// rule returns the rule for the class, or nil, and the class's row of estimates.
// A rule of the organisation takes precedence over the general one.
func (p *Planner) rule(org *organisation, name string) (r *rule, row int) {
	c, known := p.classes[name]
	if !known {
		return nil, otherClass
	}
	if own := org.rules[name]; own != nil {
		return own, c.index
	}
	return c.rule, c.index
}

// newPlan returns a plan without steps that has the rule's objective and the
// earlier of the request's and the rule's deadlines.
func newPlan(req *Request, r *rule, now time.Time) Plan {
	plan := Plan{Deadline: req.Deadline, Objective: catalog.ObjectiveCost}
	if r == nil {
		return plan
	}
	plan.Objective = r.objective
	if r.deadline == 0 {
		return plan
	}
	limit := now.Add(r.deadline)
	if plan.Deadline.IsZero() || limit.Before(plan.Deadline) {
		plan.Deadline = limit
	}
	return plan
}

// noDeadline is the remaining time of a request without a deadline.
const noDeadline = time.Duration(math.MaxInt64)

func remainingTime(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return noDeadline
	}
	return deadline.Sub(now)
}

// planSession plans the session's own version, or fails when it cannot be used.
func (p *Planner) planSession(req *Request, org *organisation, plan Plan) (Plan, error) {
	i, ok := p.versionIndex[req.Session]
	if !ok || p.versions[i].state == catalog.VersionWithdrawn {
		return Plan{}, result.New(result.VersionWithdrawn, "version %q of the session is withdrawn", req.Session)
	}
	if !org.allowed[i] {
		return Plan{}, result.New(result.ModelNotAllowed, "version %q is not allowed to organisation %q", req.Session, req.Organisation)
	}
	if slices.Contains(req.Held, req.Session) {
		return Plan{}, result.New(result.Quarantined, "version %q of the session is held back on suspicion", req.Session)
	}
	if slices.Contains(req.Unavailable, req.Session) {
		return Plan{}, result.New(result.NoUpstream, "version %q of the session cannot take work now", req.Session)
	}
	plan.Chain = singleStepChain(&p.versions[i])
	return plan, nil
}

// singleStepChain returns the chain that consists of v alone.
func singleStepChain(v *version) Chain {
	c := Chain{count: 1}
	c.steps[0] = Step{Version: v.name, RollingOut: v.rolloutOnly}
	return c
}

// refusalReasons is the set of reasons why versions were not usable.
type refusalReasons uint8

const (
	refusedByState refusalReasons = 1 << iota
	refusedDraining
	refusedUnavailable
)

// selector evaluates the options for one request and keeps the best.
type selector struct {
	scorer
	req       *Request
	org       *organisation
	objective string
	// ruleTarget is the rule's quality target, or 0 to use each option's own.
	ruleTarget float64
	remaining  time.Duration

	best           int
	bestScore      score
	bestRank       int
	bestCandidates [MaxSteps]*candidate
	bestTarget     float64

	// unproven holds the options that do not meet their target yet.
	unproven      [maxUnproven]unprovenOption
	unprovenCount int

	// toExplore is the index in unproven of the option to explore, or -1.
	toExplore int
	rnd       randomSource

	// excluded is the version left out while a standby is selected, or -1.
	excluded int
	// held is one of the versions that were not usable because they are held,
	// or -1. heldCount is the number of versions it was sampled from.
	held      int
	heldCount uint64
	// minTarget is the lowest quality target of the options.
	minTarget float64

	reasons refusalReasons
}

// Ranks of an option, best first.
const (
	rankFirst = iota
	rankSecond
	rankThird
	rankLast
)

// rank orders options by whether they meet the quality target and the deadline.
// An option that meets only one of the two ranks higher by meeting the deadline
// under the latency objective, and by meeting the target under the others.
func rank(meets, inTime bool, objective string) int {
	switch {
	case meets && inTime:
		return rankFirst
	case !meets && !inTime:
		return rankLast
	case inTime == (objective == catalog.ObjectiveLatency):
		return rankSecond
	}
	return rankThird
}

// evaluateAll selects the best option and collects the unproven ones.
func (c *selector) evaluateAll(options []option) {
	c.best, c.toExplore, c.unprovenCount = -1, -1, 0
	c.minTarget = 1
	for i := range options {
		c.minTarget = min(c.minTarget, orDefault(c.ruleTarget, options[i].target))
	}
	for i := range options {
		c.evaluate(options, i)
	}
}

// evaluate scores option i and keeps it if it is the best so far.
func (c *selector) evaluate(options []option, i int) {
	o := &options[i]
	if c.req.NewSession && len(o.stages) > 1 {
		return
	}
	var candidates [MaxSteps]*candidate
	if !c.selectCandidates(o, &candidates) {
		return
	}
	sc := c.score(o, &candidates)
	target := orDefault(c.ruleTarget, o.target)
	meets := sc.bound(c.objective) >= target
	r := rank(meets, sc.slow <= c.remaining, c.objective)
	if c.replacesBest(&sc, r, meets) {
		c.best, c.bestScore, c.bestRank = i, sc, r
		c.bestCandidates, c.bestTarget = candidates, target
	}
	if !meets && sc.slow <= c.remaining && c.unprovenCount < maxUnproven {
		c.unproven[c.unprovenCount] = unprovenOption{option: i, score: sc, candidates: candidates, target: target}
		c.unprovenCount++
	}
}

// replacesBest reports whether an option with score sc and rank r is better than
// the best so far. meets reports whether the option meets its target.
func (c *selector) replacesBest(sc *score, r int, meets bool) bool {
	if c.best < 0 || r != c.bestRank {
		return c.best < 0 || r < c.bestRank
	}
	if meets {
		return c.better(sc, &c.bestScore)
	}
	return higherQuality(sc, &c.bestScore)
}

// selectCandidates selects a candidate for each stage. It reports whether every
// stage has a usable one.
func (c *selector) selectCandidates(o *option, selected *[MaxSteps]*candidate) bool {
	for i := range o.stages {
		selected[i] = c.bestCandidate(o.stages[i].candidates, o.named)
		if selected[i] == nil {
			return false
		}
	}
	return true
}

// bestCandidate returns the usable candidate whose quality has the highest lower
// bound, or nil. named reports whether the request names the version itself.
func (c *selector) bestCandidate(candidates []candidate, named bool) (best *candidate) {
	low := -1.0
	for i := range candidates {
		cd := &candidates[i]
		if !c.usable(cd.version, named) {
			continue
		}
		if e := &c.estimates[cd.slot]; e.Low > low {
			best, low = cd, e.Low
		}
	}
	return best
}

// usable reports whether version i can take the request, and records the reason
// if its state, Held or Unavailable rules it out.
func (c *selector) usable(i int, named bool) bool {
	v := &c.planner.versions[i]
	if !c.org.allowed[i] || (v.rolloutOnly && !named) || i == c.excluded {
		return false
	}
	if v.state != catalog.VersionActive {
		c.reasons |= refusedByState
		if v.state == catalog.VersionDraining {
			c.reasons |= refusedDraining
		}
		return false
	}
	if slices.Contains(c.req.Held, v.name) {
		c.sampleHeld(i)
		c.reasons |= refusedUnavailable
		return false
	}
	if slices.Contains(c.req.Unavailable, v.name) {
		c.reasons |= refusedUnavailable
		return false
	}
	return true
}

// sampleHeld keeps one of the held versions, chosen uniformly at random. It skips
// a version that is known to miss the target for the class, because its ratings
// there would not show a change in its quality.
func (c *selector) sampleHeld(i int) {
	e := &c.estimates[c.planner.versions[i].singleSlot]
	if e.Ratings >= minRatings && e.Mean < c.minTarget {
		return
	}
	c.heldCount++
	if c.rnd.uintN(c.heldCount) == 0 {
		c.held = i
	}
}

// refusalError returns the error for a request without a usable option.
func (c *selector) refusalError() error {
	target := c.req.Target
	switch {
	case c.reasons&refusedUnavailable != 0:
		return result.New(result.NoUpstream, "no version for %q can take work now", target)
	case c.reasons&refusedDraining != 0:
		return result.New(result.VersionDraining, "every allowed version for %q is draining or withdrawn", target)
	case c.reasons&refusedByState != 0:
		return result.New(result.VersionWithdrawn, "every allowed version for %q is withdrawn", target)
	}
	return result.New(result.ModelNotAllowed, "organisation %q may use no version for %q", c.req.Organisation, target)
}

// fillPlan writes the best option, or the one to explore, into the plan.
func (c *selector) fillPlan(plan *Plan, options []option) {
	plan.Target = c.bestTarget
	plan.Cost, plan.Latency = c.bestScore.cost, c.bestScore.latency
	plan.Chain = c.chain(&options[c.best], &c.bestCandidates, true)
	if c.shouldExplore() {
		c.explore(plan, options)
	} else if c.shouldExploreStandby() {
		c.exploreStandby(plan, options)
	}
	if c.held >= 0 && c.mayShadow() && c.rnd.fraction() < c.planner.settings.ShadowHeld {
		plan.Shadow = singleStepChain(&c.planner.versions[c.held])
	}
}

// chain returns the steps of the option. Rollouts do not apply to explored
// options, whose bad answers would count against the new version.
func (c *selector) chain(o *option, candidates *[MaxSteps]*candidate, rollout bool) Chain {
	out := Chain{count: len(o.stages)}
	for i := range o.stages {
		out.steps[i] = c.step(candidates[i].version, rollout && !o.named)
		out.steps[i].Via = o.stages[i].via
		out.steps[i].Escalate = o.stages[i].escalate
	}
	return out
}

// mayShadow reports whether the plan may have a shadow. A shadow is of use only
// while the rating service supplies ratings.
func (c *selector) mayShadow() bool {
	return c.planner.settings.Shadow && c.planner.estimates.fresh
}

// step returns the step for version i, or for the new version of its rollout.
func (c *selector) step(i int, rollout bool) Step {
	v := &c.planner.versions[i]
	if rollout && v.rolloutTo >= 0 && fraction(c.req.Sticky) < v.rolloutShare && c.usable(v.rolloutTo, true) {
		v = &c.planner.versions[v.rolloutTo]
	}
	return Step{Version: v.name, RollingOut: v.rolloutOnly}
}

// fraction maps a random 64-bit number to [0, 1).
func fraction(rnd uint64) float64 { return float64(rnd>>11) / (1 << 53) }

// randomSource derives random numbers from the one given to Plan, by SplitMix64.
type randomSource uint64

func (d *randomSource) next() uint64 {
	*d += 0x9e3779b97f4a7c15
	z := uint64(*d)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (d *randomSource) fraction() float64 { return fraction(d.next()) }

// uintN returns a number in [0, n).
func (d *randomSource) uintN(n uint64) uint64 { return d.next() % n }
