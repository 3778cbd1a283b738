package route

import (
	"slices"
	"strconv"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// version is a compiled catalog version.
type version struct {
	name         catalog.VersionName
	state        catalog.VersionState
	inputMicros  float64
	outputMicros float64
	prior        float64
	// singleSlot is the slot of the version's estimate outside a chain.
	singleSlot int
	// rolloutTo is the new version of an unfinished rollout from this one, or -1.
	rolloutTo int
	// rolloutShare is the share of new work that goes to rolloutTo, 0 to 1.
	rolloutShare float64
	// replacedBy is the new version of a finished rollout from this one, or -1.
	// replaces is the old version of a finished rollout to this one, or -1.
	replacedBy int
	replaces   int
	// rolloutOnly is set for the new version of an unfinished or aborted rollout.
	// It takes only work that the rollout sends it or that names it.
	rolloutOnly bool
}

// candidate is a version that may run a stage, with the slots of its estimate in
// that stage and as a single version.
type candidate struct {
	version    int
	slot       int
	singleSlot int
}

// stage is one step of an option.
type stage struct {
	candidates []candidate
	escalate   float64
	// via encodes the earlier stages and whether the stage is the last; see
	// quality.Key.
	via string
}

// option is one way to answer a request: a version, or a chain of a cascade.
type option struct {
	stages []stage
	target float64
	// named is set when the request names the version itself.
	named bool
}

// rule is a compiled catalog rule.
type rule struct {
	options   []option
	target    float64
	deadline  time.Duration
	objective string
}

// organisation holds the versions that an organisation may use, and its own rules.
type organisation struct {
	allowed []bool
	rules   map[string]*rule
}

// class is a configured request class. index is its row of estimates, and rule is
// the rule for organisations without their own, or nil.
type class struct {
	index int
	rule  *rule
}

// otherClass is the row of estimates for requests without a configured class.
const otherClass = 0

// Planner makes plans from one revision of the configuration and one view of the
// estimates. It is immutable and safe for concurrent use.
type Planner struct {
	settings      Settings
	versions      []version
	versionIndex  map[catalog.VersionName]int
	targets       map[string][]option
	organisations map[string]*organisation
	// classes holds the configured classes. Plan.Class is never a class that a
	// caller sent but no rule configures.
	classes map[string]*class

	slots     map[slotKey]int
	estimates estimates
}

// Compile builds a planner from a validated set, without quality estimates.
func Compile(set *catalog.Set, s Settings) *Planner {
	p := &Planner{
		settings:      s.withDefaults(),
		versionIndex:  map[catalog.VersionName]int{},
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
	return p.WithView(quality.EmptyView)
}

func (p *Planner) compileVersions(set *catalog.Set) {
	names := make([]catalog.VersionName, 0, len(set.Versions))
	for name := range set.Versions {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		v := set.Versions[name]
		p.versionIndex[name] = i
		p.versions = append(p.versions, version{
			name:         name,
			state:        orDefault(v.State, catalog.VersionActive),
			inputMicros:  float64(v.InputMicros),
			outputMicros: float64(v.OutputMicros),
			prior:        orDefault(v.PriorQuality, catalog.DefaultPriorQuality),
			rolloutTo:    -1,
			singleSlot:   p.slot("", i),

			replacedBy: -1,
			replaces:   -1,
		})
	}
}

// orDefault returns v, or def if v is zero.
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
		from, okFrom := p.versionIndex[catalog.VersionName(r.From)]
		to, okTo := p.versionIndex[catalog.VersionName(r.To)]
		if !okFrom || !okTo {
			continue
		}
		p.compileRollout(r, from, to)
	}
}

func (p *Planner) compileRollout(r *catalog.Rollout, from, to int) {
	switch r.State {
	case catalog.RolloutAborted:
		p.versions[to].rolloutOnly = true
	case catalog.RolloutDone:
		p.versions[from].replacedBy = to
		p.versions[to].replaces = from
	default:
		p.versions[to].rolloutOnly = true
		p.versions[from].rolloutTo = to
		if r.Stage >= 0 && r.Stage < len(r.Stages) {
			p.versions[from].rolloutShare = r.Stages[r.Stage]
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
			stages: []stage{{candidates: p.namedCandidates(p.versionIndex[name])}},
			target: target,
			named:  true,
		}}
	}
	for name, c := range set.Cascades {
		p.targets[name] = p.cascadeOptions(set, name, c)
	}
}

// modelOptions returns an option for each version of the model.
func (p *Planner) modelOptions(set *catalog.Set, model string, target float64) []option {
	var out []option
	for _, v := range set.VersionsOf(model) {
		out = append(out, p.singleOption(p.versionIndex[v], target))
	}
	return out
}

func (p *Planner) singleOption(version int, target float64) option {
	return option{stages: []stage{{candidates: p.currentCandidates("", version)}}, target: target}
}

// currentVersion returns the version that replaced v, if it is active, or v.
func (p *Planner) currentVersion(v int) int {
	next := p.versions[v].replacedBy
	if next < 0 || p.versions[next].state != catalog.VersionActive {
		return v
	}
	return next
}

// currentCandidates returns a candidate for the current version of each of versions.
func (p *Planner) currentCandidates(via string, versions ...int) []candidate {
	out := make([]candidate, len(versions))
	for i, v := range versions {
		out[i] = p.candidate(via, p.currentVersion(v))
	}
	return out
}

// namedCandidates returns v as the only candidate. A request that names a version
// is never served by its replacement.
func (p *Planner) namedCandidates(v int) []candidate { return []candidate{p.candidate("", v)} }

func (p *Planner) candidate(via string, v int) candidate {
	return candidate{version: v, slot: p.slot(via, v), singleSlot: p.slot("", v)}
}

// slot returns the slot of a version's estimate, and allocates it for a new key.
func (p *Planner) slot(via string, v int) int {
	k := slotKey{via, v}
	slot, ok := p.slots[k]
	if !ok {
		slot = len(p.slots)
		p.slots[k] = slot
	}
	return slot
}

// cascadeOptions returns a chain for every non-empty subsequence of the cascade's
// steps, so that a step can be skipped where it does not pay.
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
			out = append(out, p.singleOption(v, c.QualityTarget))
		}
	}
	return out
}

// keptSteps returns the indexes of the bits set in the low n bits of mask.
func keptSteps(mask, n int) []int {
	var kept []int
	for i := range n {
		if mask&(1<<i) != 0 {
			kept = append(kept, i)
		}
	}
	return kept
}

// lastStepSuffix marks the estimates of a chain's last step, whose answers are
// never replaced by a later step.
const lastStepSuffix = "/last"

// chainOption returns the chain of the kept steps of the cascade.
func (p *Planner) chainOption(name string, steps [][]int, kept []int, c *catalog.Cascade) option {
	o := option{target: c.QualityTarget}
	via := name
	for i, step := range kept {
		st := stage{via: via}
		if i == len(kept)-1 {
			st.via += lastStepSuffix
		} else {
			st.escalate = orDefault(c.Escalate, catalog.DefaultEscalate)
		}
		st.candidates = p.currentCandidates(st.via, steps[step]...)
		o.stages = append(o.stages, st)
		via += "~" + strconv.Itoa(step)
	}
	return o
}

// cascadeSteps resolves each step to its versions. Steps without a version are
// left out, and a cascade with more than MaxSteps keeps its first ones and its last.
func (p *Planner) cascadeSteps(set *catalog.Set, c *catalog.Cascade) [][]int {
	var steps [][]int
	for _, name := range c.Steps {
		var versions []int
		if v, ok := p.versionIndex[catalog.VersionName(name)]; ok {
			versions = append(versions, v)
		}
		for _, v := range set.VersionsOf(name) {
			versions = append(versions, p.versionIndex[v])
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

// compileRules assigns each class its rule. If several rules apply to the same
// class, the first by name is used.
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
