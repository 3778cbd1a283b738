package version

import (
	"time"

	"github.com/alitto/pond/v2"
	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/policybench"
	"tarragonbay.example/tarragonbay/internal/quality"
)

// benchName is the group of the rows.
const benchName = "version"

// The names of the policies in the rows.
const (
	policyProduct     = "tarragonbay"
	policyBest        = "always best"
	policyCheapest    = "always cheapest"
	policyRandom      = "random"
	policyRoundRobin  = "round robin"
	policyClairvoyant = "clairvoyant"
)

var policyNames = []string{
	policyProduct, policyClairvoyant, policyBest, policyCheapest, policyRandom, policyRoundRobin,
}

// workers is the number of runs at a time.
const workers = 4

// Run runs every policy under every load at both sites and returns a row for
// each. The product runs with the settings of the site: latency first at
// Kusinang, exposure first at Lemnotrat. quick ends each load soon after what
// happens in it.
func Run(seed uint64, quick bool) ([]policybench.Row, error) {
	results, err := runAll(seed, quick)
	if err != nil {
		return nil, err
	}
	rows := make([]policybench.Row, len(results))
	for i, r := range results {
		rows[i] = r.row(seed)
	}
	return rows, nil
}

// outcome is what a run measured.
type outcome struct {
	site    *site
	load    load
	policy  string
	learned []quality.Record
	figures
}

func runAll(seed uint64, quick bool) ([]outcome, error) {
	pool := pond.NewPool(workers)
	defer pool.StopAndWait()
	sites := []*site{kusinang(), lemnotrat()}
	weeks := make([]outcome, len(sites))
	group := pool.NewGroup()
	for i, s := range sites {
		weeks[i] = outcome{site: s, load: coldStart(), policy: policyProduct}
		group.SubmitErr(func() error { return weeks[i].measure(seed) })
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Trace(err)
	}
	var todo []outcome
	for i, s := range sites {
		for _, l := range loads(quick) {
			for _, name := range policyNames {
				todo = append(todo, outcome{site: s, load: l, policy: name, learned: weeks[i].learned})
			}
		}
	}
	group = pool.NewGroup()
	for i := range todo {
		if todo[i].isWeek() {
			todo[i] = weeks[i/(len(todo)/len(sites))]
			continue
		}
		group.SubmitErr(func() error { return todo[i].measure(seed) })
	}
	return todo, errors.Trace(group.Wait())
}

// isWeek reports whether the run is the quiet week that the others learn from.
func (o *outcome) isWeek() bool { return o.policy == policyProduct && o.load.learned == 0 }

// measure runs the policy under the load. It leaves what the product learned
// in learned.
func (o *outcome) measure(seed uint64) error {
	r := newRun(o.site, &o.load, seed)
	if err := r.setPolicy(o.policy, seed); err != nil {
		return errors.Annotatef(err, "policy %q", o.policy)
	}
	p, isProduct := r.policy.(*product)
	if isProduct && o.load.learned > 0 {
		p.learn(o.learned)
	}
	r.execute()
	o.figures = r.figures
	if isProduct {
		o.learned = p.book.Export()
	}
	return nil
}

func (r *run) setPolicy(name string, seed uint64) (err error) {
	switch name {
	case policyProduct:
		r.policy, err = newProduct(r, seed)
	case policyBest:
		r.policy = &always{run: r, version: dear}
	case policyCheapest:
		r.policy = &always{run: r, version: cheap}
	case policyRandom:
		r.policy = &random{run: r, rnd: newRand(seed)}
	case policyRoundRobin:
		r.policy = &roundRobin{run: r}
	case policyClairvoyant:
		r.policy = &clairvoyant{run: r}
	default:
		err = errors.NotFoundf("policy %q", name)
	}
	return err
}

func (o *outcome) row(seed uint64) policybench.Row {
	return policybench.Row{
		Bench:            benchName,
		Load:             o.site.name + ", " + o.load.name,
		Policy:           o.policy,
		Seed:             seed,
		Requests:         o.requests,
		Answered:         o.answered,
		Refused:          o.refused,
		CostPerAnswer:    o.costPerAnswer(),
		AtQuality:        o.atQuality(),
		P50:              o.quantile(50),
		P95:              o.quantile(95),
		P99:              o.quantile(99),
		DeadlineMisses:   o.late,
		Exposed:          o.exposed,
		FalseWithdrawals: o.falseWithdrawals,
		Goodput:          float64(o.onTime) / o.load.length.Seconds(),
	}
}

func (f *figures) costPerAnswer() float64 { return f.cost / float64(max(1, f.answered)) }

func (f *figures) atQuality() float64 {
	good := 0
	for _, n := range f.good {
		good += n
	}
	return float64(good) / float64(max(1, f.answered))
}

func (f *figures) quantile(q float64) time.Duration {
	return time.Duration(f.latency.ValueAtQuantile(q)) * time.Microsecond
}
