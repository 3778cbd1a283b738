package route

import (
	"math"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Plan chooses the steps for a request. rnd is a random number of 64 bits.
//
// It fails with UnknownModel when the target does not exist, ModelNotAllowed
// when the organisation may use nothing that could answer, VersionWithdrawn or
// VersionDraining when all it may use takes no new work, and NoUpstream when
// the rest is in Without or Held. A session never moves to another version: it
// fails with VersionWithdrawn, or with Quarantined while its version is held.
// All of these are "not run".
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
	c := chooser{
		scoring:   p.newScoring(&req, row),
		req:       &req,
		org:       org,
		objective: plan.Objective,
		left:      timeLeft(plan.Deadline, now),
		barred:    -1,
		held:      -1,
		rnd:       draw(rnd),
	}
	if r != nil {
		c.target = r.target
	}
	c.considerAll(options)
	if c.best < 0 {
		return Plan{}, c.refusal()
	}
	c.finish(&plan, options)
	return plan, nil
}

// rule returns the rule for the class, if any, and the row of its estimates.
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

// noDeadline is the time left of a request that may take for ever.
const noDeadline = time.Duration(math.MaxInt64)

func timeLeft(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return noDeadline
	}
	return deadline.Sub(now)
}

// planSession keeps the session on its version or refuses it.
func (p *Planner) planSession(req *Request, org *organisation, plan Plan) (Plan, error) {
	i, ok := p.index[req.Session]
	if !ok || p.versions[i].state == catalog.VersionWithdrawn {
		return Plan{}, result.New(result.VersionWithdrawn, "version %q of the session is withdrawn", req.Session)
	}
	if !org.allowed[i] {
		return Plan{}, result.New(result.ModelNotAllowed, "version %q is not allowed to organisation %q", req.Session, req.Organisation)
	}
	if slices.Contains(req.Held, req.Session) {
		return Plan{}, result.New(result.Quarantined, "version %q of the session is held back on suspicion", req.Session)
	}
	if slices.Contains(req.Without, req.Session) {
		return Plan{}, result.New(result.NoUpstream, "version %q of the session cannot take work now", req.Session)
	}
	plan.Chain = single(&p.versions[i])
	return plan, nil
}

func single(v *version) Chain {
	c := Chain{count: 1}
	c.steps[0] = Step{Version: v.name, RollingOut: v.reserved}
	return c
}

// refused is the set of reasons why versions were passed over.
type refused uint8

const (
	refusedState refused = 1 << iota
	refusedDraining
	refusedNow
)

// chooser goes through the options of one request.
type chooser struct {
	scoring
	req       *Request
	org       *organisation
	objective string
	// target is the rule's quality target, or 0 for the option's own.
	target float64
	left   time.Duration

	best       int
	bestScore  score
	bestRank   int
	bestFilled [MaxSteps]*candidate
	bestTarget float64

	// open holds the options that do not meet the target yet.
	open      [maxOpen]unproven
	openCount int

	// try is the index in open of the option to try, or -1.
	try int
	rnd draw

	// barred is a version passed over while a standby is looked for, or -1.
	barred int
	// held is a version passed over because it is held back, or -1, of the
	// heldSeen that were.
	held     int
	heldSeen uint64
	// lowestTarget is the least target of the options.
	lowestTarget float64

	reasons refused
}

// The ranks of an option, the best first.
const (
	rankMeets = iota
	rankSecond
	rankThird
	rankLast
)

// rank weighs quality and deadline. With the latency objective an answer in
// time goes before a likelier good one.
func rank(meets, inTime bool, objective string) int {
	switch {
	case meets && inTime:
		return rankMeets
	case !meets && !inTime:
		return rankLast
	case inTime == (objective == catalog.ObjectiveLatency):
		return rankSecond
	}
	return rankThird
}

func (c *chooser) considerAll(options []option) {
	c.best, c.try, c.openCount = -1, -1, 0
	c.lowestTarget = 1
	for i := range options {
		c.lowestTarget = min(c.lowestTarget, orDefault(c.target, options[i].target))
	}
	for i := range options {
		c.consider(options, i)
	}
}

// consider scores option i and keeps it when it is the best so far.
func (c *chooser) consider(options []option, i int) {
	o := &options[i]
	if c.req.NewSession && len(o.stages) > 1 {
		return
	}
	var filled [MaxSteps]*candidate
	if !c.fill(o, &filled) {
		return
	}
	sc := c.score(o, &filled)
	target := orDefault(c.target, o.target)
	meets := sc.bound(c.objective) >= target
	r := rank(meets, sc.slow <= c.left, c.objective)
	if c.beats(&sc, r, meets) {
		c.best, c.bestScore, c.bestRank = i, sc, r
		c.bestFilled, c.bestTarget = filled, target
	}
	if !meets && sc.slow <= c.left && c.openCount < maxOpen {
		c.open[c.openCount] = unproven{option: i, score: sc, filled: filled, target: target}
		c.openCount++
	}
}

func (c *chooser) beats(sc *score, r int, meets bool) bool {
	if c.best < 0 || r != c.bestRank {
		return c.best < 0 || r < c.bestRank
	}
	if meets {
		return c.better(sc, &c.bestScore)
	}
	return likelier(sc, &c.bestScore)
}

// fill picks a candidate for each stage and reports whether there is one.
func (c *chooser) fill(o *option, filled *[MaxSteps]*candidate) bool {
	for i := range o.stages {
		filled[i] = c.pick(o.stages[i].candidates, o.named)
		if filled[i] == nil {
			return false
		}
	}
	return true
}

// pick returns the usable candidate with the best known quality, or nil.
func (c *chooser) pick(candidates []candidate, named bool) (best *candidate) {
	low := -1.0
	for i := range candidates {
		cd := &candidates[i]
		if !c.usable(cd.version, named) {
			continue
		}
		if e := &c.row[cd.slot]; e.Low > low {
			best, low = cd, e.Low
		}
	}
	return best
}

func (c *chooser) usable(i int, named bool) bool {
	v := &c.planner.versions[i]
	if !c.org.allowed[i] || (v.reserved && !named) || i == c.barred {
		return false
	}
	if v.state != catalog.VersionActive {
		c.reasons |= refusedState
		if v.state == catalog.VersionDraining {
			c.reasons |= refusedDraining
		}
		return false
	}
	if slices.Contains(c.req.Held, v.name) {
		c.noteHeld(i)
		c.reasons |= refusedNow
		return false
	}
	if slices.Contains(c.req.Without, v.name) {
		c.reasons |= refusedNow
		return false
	}
	return true
}

// noteHeld keeps one of the held versions, drawn at random. A class for which
// the version is known to miss the target says nothing about a change of it.
func (c *chooser) noteHeld(i int) {
	e := &c.row[c.planner.versions[i].alone]
	if e.Ratings >= minJudged && e.Mean < c.lowestTarget {
		return
	}
	c.heldSeen++
	if c.rnd.below(c.heldSeen) == 0 {
		c.held = i
	}
}

func (c *chooser) refusal() error {
	target := c.req.Target
	switch {
	case c.reasons&refusedNow != 0:
		return result.New(result.NoUpstream, "no version for %q can take work now", target)
	case c.reasons&refusedDraining != 0:
		return result.New(result.VersionDraining, "every allowed version for %q is draining or withdrawn", target)
	case c.reasons&refusedState != 0:
		return result.New(result.VersionWithdrawn, "every allowed version for %q is withdrawn", target)
	}
	return result.New(result.ModelNotAllowed, "organisation %q may use no version for %q", c.req.Organisation, target)
}

// finish writes the choice, or the try in its place, into the plan.
func (c *chooser) finish(plan *Plan, options []option) {
	plan.Target = c.bestTarget
	plan.Cost, plan.Latency = c.bestScore.cost, c.bestScore.latency
	plan.Chain = c.chain(&options[c.best], &c.bestFilled, true)
	if c.explores() {
		c.explore(plan, options)
	} else if c.drills() {
		c.drill(plan, options)
	}
	if c.held >= 0 && c.mayShadow() && c.rnd.fraction() < c.planner.settings.ShadowHeld {
		plan.Shadow = single(&c.planner.versions[c.held])
	}
}

// chain fills the steps. Roll-outs apply to choices, not to tries, whose bad
// answers would speak against the new version.
func (c *chooser) chain(o *option, filled *[MaxSteps]*candidate, rollOut bool) Chain {
	out := Chain{count: len(o.stages)}
	for i := range o.stages {
		out.steps[i] = c.step(filled[i].version, rollOut && !o.named)
		out.steps[i].Via = o.stages[i].via
		out.steps[i].Escalate = o.stages[i].escalate
	}
	return out
}

// mayShadow reports whether a request may be tried beside, which needs a
// rating service that answers.
func (c *chooser) mayShadow() bool {
	return c.planner.settings.Shadow && c.planner.estimates.fresh
}

// step applies the roll-out, if any, to a version.
func (c *chooser) step(i int, rollOut bool) Step {
	v := &c.planner.versions[i]
	if rollOut && v.next >= 0 && fraction(c.req.Sticky) < v.share && c.usable(v.next, true) {
		v = &c.planner.versions[v.next]
	}
	return Step{Version: v.name, RollingOut: v.reserved}
}

// fraction maps a random number to 0 <= x < 1.
func fraction(rnd uint64) float64 { return float64(rnd>>11) / (1 << 53) }

// draw makes several random numbers out of the one of a plan, by the steps of
// SplitMix64.
type draw uint64

func (d *draw) next() uint64 {
	*d += 0x9e3779b97f4a7c15
	z := uint64(*d)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (d *draw) fraction() float64 { return fraction(d.next()) }

// below returns a number from 0 to n-1.
func (d *draw) below(n uint64) uint64 { return d.next() % n }
