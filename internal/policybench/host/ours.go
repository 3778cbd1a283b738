package host

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/enginemodel"
)

var target = balance.Target{Version: "planner@1"}

// product is the product's own Picker.
type product struct {
	fleet  *fleet
	rnd    *rand.Rand
	picker *balance.Picker
	index  map[string]int
	// picked holds the choice of each attempt under way.
	picked map[int]balance.Choice
}

func domainName(i int) string { return fmt.Sprintf("domain%d", i) }

func hostName(i int) string { return fmt.Sprintf("host%02d", i) }

func upstreamName(i int) string { return fmt.Sprintf("upstream%02d", i) }

func newOurs(f *fleet, entry int, rnd *rand.Rand) picker {
	p := &product{
		fleet: f, rnd: rnd, index: map[string]int{}, picked: map[int]balance.Choice{},
		picker: balance.New(balance.Settings{
			Entry: fmt.Sprintf("entry%d", entry), Domain: domainName(entry % domains),
		}),
	}
	for i := range replicas {
		p.index[upstreamName(i)] = i
	}
	p.picker.Rebuild(fleetSet(f), f.now())
	return p
}

// fleetSet is the configuration of the fleet and its organisations.
func fleetSet(f *fleet) *catalog.Set {
	var objects []catalog.Object
	add := func(kind catalog.Kind, name string, spec any) {
		data, err := json.Marshal(spec)
		if err != nil {
			panic(err)
		}
		objects = append(objects, catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: data})
	}
	for _, a := range f.agents {
		add(catalog.KindUpstream, upstreamName(a.id), &catalog.Upstream{
			Host: hostName(a.id), Domain: domainName(a.domain), Agent: "127.0.0.1:1", Address: "127.0.0.1:2",
			Versions: []string{string(target.Version)}, Slots: enginemodel.DefaultConfig().Slots,
		})
	}
	for i := range organisations {
		add(catalog.KindOrganisation, orgName(i), &catalog.Organisation{})
	}
	set, err := catalog.NewSet(objects)
	if err != nil {
		panic(err)
	}
	return set
}

func (p *product) pick(r *request, tried []int) (int, bool) {
	req := balance.Request{
		Target: target, Prefix: r.prefix, PromptTokens: r.prompt,
	}
	for _, i := range tried {
		req.Tried.Add(upstreamName(i))
	}
	c, err := p.picker.Pick(&req, p.fleet.now(), p.rnd.Uint64())
	if err != nil {
		return 0, false
	}
	p.picked[r.id] = c
	return p.index[c.Upstream], true
}

func (p *product) started(r *request, _ int) { p.picker.Started(p.picked[r.id]) }

func (p *product) finished(r *request, _ int, rep reply) {
	c := p.picked[r.id]
	delete(p.picked, r.id)
	p.picker.Finished(c, balance.Observation{Outcome: rep.outcome, Load: rep.load}, p.fleet.now())
}

func (p *product) report(to int, l balance.Load) {
	p.picker.Observe(upstreamName(to), l, p.fleet.now())
}

func (p *product) silent(to int) { p.picker.HostSilent(hostName(to), p.fleet.now()) }

func (p *product) back(to int) { p.picker.HostBack(hostName(to), p.fleet.now()) }

func (p *product) slots() int { return p.picker.Slots() }
