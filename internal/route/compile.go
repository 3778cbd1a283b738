package route

import (
	"slices"
	"strconv"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// version is a catalog version in compiled form.
type version struct {
	name   catalog.VersionName
	state  catalog.VersionState
	input  float64
	output float64
	prior  float64
	// alone is the slot of its estimate as a single version.
	alone int
	// next is the new version of a roll-out away from this one, or -1.
	next int
	// share of the new work that goes to next, 0 to 1.
	share float64
	// replacedBy is the new version of a roll-out that is done, or -1, and
	// replaces is the reverse.
	replacedBy int
	replaces   int
	// reserved is set for the new version of a roll-out that is not done:
	// it takes work only through the roll-out or by its own name.
	reserved bool
}

// candidate is a version that may fill a stage, with the slots of its estimate
// in the stage and on its own.
type candidate struct {
	version int
	slot    int
	alone   int
}

// stage is one step of an option.
type stage struct {
	candidates []candidate
	escalate   float64
	// via names what came before and whether more comes after; see
	// quality.Key.
	via string
}

// option is one way to answer: a version, or a chain of a cascade.
type option struct {
	stages []stage
	target float64
	// named is set when the option is a version by its own name.
	named bool
}

// rule is a catalog rule in compiled form.
type rule struct {
	options   []option
	target    float64
	deadline  time.Duration
	objective string
}

// organisation holds what one organisation may use and its own rules.
type organisation struct {
	allowed []bool
	rules   map[string]*rule
}

// class is a configured request class. Its index tells the row of estimates.
type class struct {
	index int
	rule  *rule
}

// otherClass is the row of the requests of no configured class.
const otherClass = 0

// Planner makes plans from one revision of the configuration and one view of
// the estimates. It is immutable and safe for use by several goroutines.
type Planner struct {
	settings      Settings
	versions      []version
	index         map[catalog.VersionName]int
	targets       map[string][]option
	organisations map[string]*organisation
	// classes holds the configured classes, so that a plan never names one
	// that only a caller made up.
	classes map[string]*class

	slots     map[slotKey]int
	estimates estimates
}

// Compile builds a planner from a checked set, with nothing known of quality
// yet.
func Compile(set *catalog.Set, s Settings) *Planner {
	p := &Planner{
		settings:      s.withDefaults(),
		index:         map[catalog.VersionName]int{},
		targets:       map[string][]option{},
		organisations: map[string]*organisation{},
		classes:       map[string]*class{},
		slots:         map[slotKey]int{},
	}
	p.compileVersions(set)
	p.compileRollouts(set)
	p.compileTargets(set)
	p.compileOrganisations(set)
	p.compileRules(set)
	return p.With(quality.EmptyView)
}

func (p *Planner) compileVersions(set *catalog.Set) {
	names := make([]catalog.VersionName, 0, len(set.Versions))
	for name := range set.Versions {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		v := set.Versions[name]
		p.index[name] = i
		p.versions = append(p.versions, version{
			name:   name,
			state:  orDefault(v.State, catalog.VersionActive),
			input:  float64(v.InputMicros),
			output: float64(v.OutputMicros),
			prior:  orDefault(v.PriorQuality, catalog.DefaultPriorQuality),
			next:   -1,
			alone:  p.slot("", i),

			replacedBy: -1,
			replaces:   -1,
		})
	}
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (p *Planner) compileRollouts(set *catalog.Set) {
	for _, name := range sortedNames(set.Rollouts) {
		r := set.Rollouts[name]
		from, okFrom := p.index[catalog.VersionName(r.From)]
		to, okTo := p.index[catalog.VersionName(r.To)]
		if !okFrom || !okTo {
			continue
		}
		p.compileRollout(r, from, to)
	}
}

func (p *Planner) compileRollout(r *catalog.Rollout, from, to int) {
	switch r.State {
	case catalog.RolloutAborted:
		p.versions[to].reserved = true
	case catalog.RolloutDone:
		p.versions[from].replacedBy = to
		p.versions[to].replaces = from
	default:
		p.versions[to].reserved = true
		p.versions[from].next = to
		if r.Stage >= 0 && r.Stage < len(r.Stages) {
			p.versions[from].share = r.Stages[r.Stage]
		}
	}
}

func (p *Planner) compileTargets(set *catalog.Set) {
	for name, m := range set.Models {
		p.targets[name] = p.modelOptions(set, name, orDefault(m.QualityTarget, catalog.DefaultQualityTarget))
	}
	for name := range set.Versions {
		target := catalog.DefaultQualityTarget
		if m, ok := set.Models[name.Model()]; ok {
			target = orDefault(m.QualityTarget, target)
		}
		p.targets[string(name)] = []option{{
			stages: []stage{{candidates: p.named(p.index[name])}},
			target: target,
			named:  true,
		}}
	}
	for name, c := range set.Cascades {
		p.targets[name] = p.cascadeOptions(set, name, c)
	}
}

func (p *Planner) modelOptions(set *catalog.Set, model string, target float64) []option {
	var out []option
	for _, v := range set.VersionsOf(model) {
		out = append(out, p.single(p.index[v], target))
	}
	return out
}

func (p *Planner) single(version int, target float64) option {
	return option{stages: []stage{{candidates: p.candidates("", version)}}, target: target}
}

// current returns the version that stands in for v: its replacement, as long
// as that is active.
func (p *Planner) current(v int) int {
	next := p.versions[v].replacedBy
	if next < 0 || p.versions[next].state != catalog.VersionActive {
		return v
	}
	return next
}

// candidates returns the current version of each for a step.
func (p *Planner) candidates(via string, versions ...int) []candidate {
	out := make([]candidate, len(versions))
	for i, v := range versions {
		out[i] = p.candidate(via, p.current(v))
	}
	return out
}

// named returns the version itself: a request that names it gets no other.
func (p *Planner) named(v int) []candidate { return []candidate{p.candidate("", v)} }

func (p *Planner) candidate(via string, v int) candidate {
	return candidate{version: v, slot: p.slot(via, v), alone: p.slot("", v)}
}

// slot returns the slot of a version's estimate, a new one for a new key.
func (p *Planner) slot(via string, v int) int {
	k := slotKey{via, v}
	slot, ok := p.slots[k]
	if !ok {
		slot = len(p.slots)
		p.slots[k] = slot
	}
	return slot
}

// cascadeOptions returns every chain that keeps some of the cascade's steps in
// their order: a step is skipped where it does not pay.
func (p *Planner) cascadeOptions(set *catalog.Set, name string, c *catalog.Cascade) []option {
	steps := p.cascadeSteps(set, c)
	var out []option
	for mask := 1; mask < 1<<len(steps); mask++ {
		kept := keptSteps(mask, len(steps))
		if len(kept) > 1 {
			out = append(out, p.chainOption(name, steps, kept, c))
			continue
		}
		for _, v := range steps[kept[0]] {
			out = append(out, p.single(v, c.QualityTarget))
		}
	}
	return out
}

// keptSteps returns the indexes of the bits set in mask.
func keptSteps(mask, n int) []int {
	var kept []int
	for i := range n {
		if mask&(1<<i) != 0 {
			kept = append(kept, i)
		}
	}
	return kept
}

// lastStep marks the estimates of answers that no later step may replace.
const lastStep = "/last"

func (p *Planner) chainOption(name string, steps [][]int, kept []int, c *catalog.Cascade) option {
	o := option{target: c.QualityTarget}
	via := name
	for i, step := range kept {
		st := stage{via: via}
		if i == len(kept)-1 {
			st.via += lastStep
		} else {
			st.escalate = orDefault(c.Escalate, catalog.DefaultEscalate)
		}
		st.candidates = p.candidates(st.via, steps[step]...)
		o.stages = append(o.stages, st)
		via += "~" + strconv.Itoa(step)
	}
	return o
}

// cascadeSteps resolves each step to its versions.
func (p *Planner) cascadeSteps(set *catalog.Set, c *catalog.Cascade) [][]int {
	var steps [][]int
	for _, name := range c.Steps {
		var versions []int
		if v, ok := p.index[catalog.VersionName(name)]; ok {
			versions = append(versions, v)
		}
		for _, v := range set.VersionsOf(name) {
			versions = append(versions, p.index[v])
		}
		if len(versions) > 0 {
			steps = append(steps, versions)
		}
	}
	if len(steps) > MaxSteps {
		steps = append(slices.Clone(steps[:MaxSteps-1]), steps[len(steps)-1])
	}
	return steps
}

func (p *Planner) compileOrganisations(set *catalog.Set) {
	for name := range set.Organisations {
		o := &organisation{
			allowed: make([]bool, len(p.versions)),
			rules:   map[string]*rule{},
		}
		for i := range p.versions {
			o.allowed[i] = set.Allowed(name, p.versions[i].name)
		}
		p.organisations[name] = o
	}
}

// compileRules binds each class to its rule. Of several rules for the same
// class the first by name holds.
func (p *Planner) compileRules(set *catalog.Set) {
	for _, name := range sortedNames(set.Rules) {
		r := set.Rules[name]
		c, ok := p.classes[r.Class]
		if !ok {
			c = &class{index: otherClass + 1 + len(p.classes)}
			p.classes[r.Class] = c
		}
		compiled := p.compileRule(r)
		if r.Organisation == "" && c.rule == nil {
			c.rule = compiled
		}
		o, ok := p.organisations[r.Organisation]
		if ok && o.rules[r.Class] == nil {
			o.rules[r.Class] = compiled
		}
	}
}

func (p *Planner) compileRule(r *catalog.Rule) *rule {
	out := &rule{
		target:    r.QualityTarget,
		deadline:  time.Duration(r.DeadlineMs) * time.Millisecond,
		objective: orDefault(r.Objective, catalog.ObjectiveCost),
	}
	for _, name := range r.Use {
		out.options = append(out.options, p.targets[name]...)
	}
	return out
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
