package version

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/rollout"
	"tarragonbay.example/tarragonbay/internal/route"
)

const (
	// viewEvery is the time between two readings of the estimates, and
	// referenceEvery between two readings that baselines are taken from.
	viewEvery      = 10 * time.Second
	referenceEvery = 30 * time.Minute
	// publishTime is how long a withdrawal takes to be in force everywhere.
	// Agents hold the version meanwhile.
	publishTime = 3 * time.Second
	// unratedBudget is the catalog's exposure of the new version.
	unratedBudget = 50
	// agentsAsked is how many agents an entry asks for a part of the budget
	// before it plans without the version.
	agentsAsked = 3

	organisationName = "caller"
	cascadeName      = "auto"
)

// product is the policy of the daemons: the same packages, fed by the run.
type product struct {
	run       *run
	rnd       *rand.Rand
	book      *quality.Estimator
	planner   *route.Planner
	reference *quality.View
	monitors  []*rollout.Monitor
	meters    []*rollout.Meter
	held      []catalog.VersionName
	withdrawn []bool
	compiled  rollout.State

	viewed, referenced time.Duration
}

func newProduct(r *run, seed uint64) (*product, error) {
	p := &product{
		run:       r,
		rnd:       rand.New(rand.NewPCG(seed, 2)),
		book:      quality.NewEstimator(quality.Settings{}),
		reference: quality.EmptyView,
		withdrawn: make([]bool, len(r.site.models)),
	}
	for v := range r.site.models {
		p.monitors = append(p.monitors, rollout.NewMonitor(rollout.DetectorSettings{HoldLevel: r.site.holdLevel},
			rollout.NewBudget(unratedBudget), v == fresh, epoch))
	}
	for i := range r.site.replicas {
		share := rollout.Share(p.monitors[fresh].Granted(), i, r.site.replicas)
		p.meters = append(p.meters, rollout.NewMeter(share, false))
	}
	return p, p.compile()
}

// learn takes over a book of an earlier run, as a daemon does from a peer.
func (p *product) learn(records []quality.Record) {
	p.book.Import(records)
	p.reference = p.book.View(epoch)
	p.planner = p.planner.WithView(p.reference)
}

// compile makes the planner for the configuration in force.
func (p *product) compile() error {
	set, err := p.configuration()
	if err != nil {
		return errors.Trace(err)
	}
	p.compiled = p.run.rollout
	p.planner = route.Compile(set, route.Settings{Shadow: true}).WithView(p.book.View(p.run.time()))
	return nil
}

// configuration builds the objects that an operator of the site would publish.
func (p *product) configuration() (*catalog.Set, error) {
	s := p.run.site
	b := builder{}
	org := catalog.Organisation{}
	cascade := catalog.Cascade{QualityTarget: catalog.DefaultQualityTarget}
	for v := range s.models {
		m := &s.models[v]
		version := catalog.Version{InputMicros: m.price, OutputMicros: m.price, PriorQuality: m.prior}
		if p.withdrawn[v] {
			version.State = catalog.VersionWithdrawn
		}
		if v == fresh {
			version.Exposure = unratedBudget
		}
		b.add(catalog.KindVersion, string(m.name), version)
		org.Allow = append(org.Allow, string(m.name))
		if v != fresh {
			cascade.Steps = append(cascade.Steps, string(m.name))
		}
	}
	b.add(catalog.KindOrganisation, organisationName, org)
	b.add(catalog.KindCascade, cascadeName, cascade)
	for _, c := range s.classes {
		b.add(catalog.KindRule, c.name, catalog.Rule{
			Class: c.name, Use: []string{cascadeName}, QualityTarget: c.target,
			DeadlineMs: c.deadline.Milliseconds(), Objective: s.objective,
		})
	}
	if p.run.rollout.Name != "" {
		b.add(catalog.KindRollout, p.run.rollout.Name, p.run.rollout.Publish(""))
	}
	if b.err != nil {
		return nil, b.err
	}
	return catalog.NewSet(b.objects)
}

// builder collects objects and the first error.
type builder struct {
	objects []catalog.Object
	err     error
}

func (b *builder) add(kind catalog.Kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil && b.err == nil {
		b.err = err
	}
	b.objects = append(b.objects, catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: raw})
}

func (p *product) replans() bool { return true }

func (p *product) choose(r *request) (choice, bool) {
	s := p.run.site
	c := &s.classes[r.class]
	req := route.Request{
		Organisation: organisationName,
		Target:       cascadeName,
		Class:        c.name,
		Sticky:       r.sticky,
		PromptTokens: c.prompt,
		Held:         p.held,
	}
	for _, v := range r.without {
		req.Unavailable = append(req.Unavailable, s.models[v].name)
	}
	plan, err := p.planner.Plan(req, p.run.time(), p.rnd.Uint64())
	if err != nil {
		return choice{}, false
	}
	var out choice
	for i := range plan.Len() {
		out.steps = append(out.steps, p.step(plan.Step(i), plan.Key(i)))
	}
	for i := range plan.Shadow.Len() {
		out.shadow = append(out.shadow, p.step(plan.Shadow.Step(i), plan.ShadowKey(i)))
	}
	return out, true
}

func (p *product) step(st route.Step, k quality.Key) step {
	v := p.version(st.Version)
	return step{version: v, key: k}
}

func (p *product) version(name catalog.VersionName) int {
	return slices.IndexFunc(p.run.site.models, func(m model) bool { return m.name == name })
}

// admit asks agents that run the new version for a part of its budget.
func (p *product) admit(version int) bool {
	if p.monitors[version].Verdict() != rollout.Trusted {
		return false
	}
	if version != fresh {
		return true
	}
	first := p.rnd.IntN(len(p.meters))
	for i := range agentsAsked {
		if p.meters[(first+i)%len(p.meters)].Take() {
			return true
		}
	}
	return false
}

func (p *product) drafted(k quality.Key, escalated bool) {
	p.book.Add(k, quality.DraftDelta(escalated), p.run.time())
	if v := p.version(catalog.VersionName(k.Version)); v == fresh && escalated {
		p.monitors[v].AddUnserved(1)
		p.raise()
	}
}

func (p *product) answered(k quality.Key, latency time.Duration, output int) {
	pool := p.run.pools[p.version(catalog.VersionName(k.Version))]
	backlog := quality.Backlog(len(pool.queue), pool.capacity())
	p.book.Add(k, quality.AnswerDelta(latency, uint64(output), backlog), p.run.time())
}

func (p *product) rated(k quality.Key, class int, good, shadow bool) {
	now := p.run.time()
	p.book.Add(k, quality.RatingDelta(good), now)
	v := p.version(catalog.VersionName(k.Version))
	baseline, ok := p.baseline(k, v, p.run.site.classes[class].target)
	m := p.monitors[v]
	switch {
	case !ok:
		m.RecordWithoutBaseline(good, shadow)
	case shadow:
		m.ShadowRating(good, baseline, now)
	default:
		m.RecordRating(good, baseline, now)
	}
	p.afterRating(v)
}

// baseline returns the bad rate that is tolerated of a version.
func (p *product) baseline(k quality.Key, version int, target float64) (rate float64, ok bool) {
	if version != fresh {
		reference, _ := p.reference.Get(k)
		return rollout.RatingBaseline(reference, target)
	}
	k.Version = string(p.run.site.models[cheap].name)
	reference, _ := p.reference.Get(k)
	return rollout.NewVersionBaseline(reference, target)
}

// afterRating acts on the verdict and renews the budget.
func (p *product) afterRating(version int) {
	m := p.monitors[version]
	if version == fresh {
		p.raise()
	}
	p.hold()
	if m.Verdict() == rollout.Withdraw && !p.withdrawn[version] {
		p.withdrawn[version] = true
		if !p.run.load.isBad(version, p.run.sinceWarm()) {
			p.run.figures.falseWithdrawals++
		}
		p.run.clock.After(publishTime, p.mustCompile)
	}
}

// raise gives each agent its share of what the new version may answer.
func (p *product) raise() {
	granted := p.monitors[fresh].Granted()
	for i, meter := range p.meters {
		meter.Raise(rollout.Share(granted, i, len(p.meters)))
	}
}

// hold lists the versions that agents hold.
func (p *product) hold() {
	p.held = p.held[:0]
	for v, m := range p.monitors {
		if m.Verdict() == rollout.Hold || (m.Verdict() == rollout.Withdraw && !p.withdrawn[v]) {
			p.held = append(p.held, p.run.site.models[v].name)
		}
	}
}

// mustCompile compiles a configuration that compiled before.
func (p *product) mustCompile() {
	if err := p.compile(); err != nil {
		panic(err)
	}
}

func (p *product) tick() {
	now := p.run.clock.Now()
	if p.run.rollout.Status != p.compiled.Status || p.run.rollout.Stage != p.compiled.Stage || p.run.rollout.Name != p.compiled.Name {
		p.mustCompile()
	}
	if now-p.viewed < viewEvery {
		return
	}
	p.viewed = now
	view := p.book.View(p.run.time())
	p.planner = p.planner.WithView(view)
	if now-p.referenced >= referenceEvery {
		p.referenced, p.reference = now, view
	}
}

// observation is what the roll-out's duty knows of the new version.
func (p *product) observation() rollout.Observation {
	m := p.monitors[fresh]
	return rollout.Observation{
		Now:          p.run.time(),
		Verdict:      m.Verdict(),
		Tally:        m.Tally(),
		RatingsFresh: p.book.View(p.run.time()).Fresh(),
	}
}
