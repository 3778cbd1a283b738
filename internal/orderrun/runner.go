// Package orderrun gives engine orders. The daemon that holds the lease for
// orders plans them from the reports of agents and the demand it sees, within
// the rate of the weight store, and sends each under the lease's fencing
// number. Agents refuse the orders of a holder that has lost the lease.
package orderrun

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/order"
	"tarragonbay.example/tarragonbay/internal/ports"
)

// Item is the work item of engine orders.
const Item = "orders"

// planEvery is the pause between two plans.
const planEvery = 5 * time.Second

// freshFor is how long a report of an engine counts.
const freshFor = time.Minute

// Sender sends an order to an agent. It is implemented by link.Client.
type Sender interface {
	Order(ctx context.Context, addr string, req *linkv1.OrderRequest) (*linkv1.OrderResponse, error)
}

// Options configure a Runner.
type Options struct {
	Leases  *lease.Manager
	Sender  Sender
	Weights ports.Weights
	// Set returns the configuration in force, or nil.
	Set func() *catalog.Set
	// Demand returns what runs and waits for each target at this entry.
	Demand func() []admission.TargetState
	// Entries is the number of entries, over which demand is spread evenly.
	Entries int
	Now     func() time.Time
	Log     *zap.Logger
}

// report is the last that was heard of an engine.
type report struct {
	loaded []catalog.VersionName
	away   bool
	at     time.Time
}

// Runner plans and sends orders. Heard may be called from any goroutine.
type Runner struct {
	options Options

	mu      sync.Mutex
	reports map[string]report
}

// New returns a runner.
func New(o Options) *Runner {
	return &Runner{options: o, reports: map[string]report{}}
}

// Heard takes an agent's report.
func (r *Runner) Heard(resp *linkv1.ReportResponse) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range resp.GetUpstreams() {
		rep := report{away: resp.GetLeaving() || !u.GetHealthy() || u.GetLoad().GetLeaving(), at: now}
		for _, v := range u.GetVersions() {
			rep.loaded = append(rep.loaded, catalog.VersionName(v))
		}
		r.reports[u.GetName()] = rep
	}
	r.forgetGone()
}

// forgetGone drops the reports of engines that have left the configuration once
// they are as many as the others. The caller holds the lock.
func (r *Runner) forgetGone() {
	set := r.options.Set()
	if set == nil || len(r.reports) <= 2*len(set.Upstreams) {
		return
	}
	maps.DeleteFunc(r.reports, func(name string, _ report) bool { return set.Upstreams[name] == nil })
}

// Run competes for the lease and gives orders while it is held, until ctx
// ends.
func (r *Runner) Run(ctx context.Context) error {
	return r.options.Leases.Run(ctx, Item, func(ctx context.Context, held *lease.Held) error {
		planner := order.NewPlanner()
		tick := time.NewTicker(planEvery)
		defer tick.Stop()
		for {
			r.give(ctx, held, planner)
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
}

// give plans once and sends the orders.
func (r *Runner) give(ctx context.Context, held *lease.Held, planner *order.Planner) {
	set := r.options.Set()
	if set == nil {
		return
	}
	in := r.input(set)
	in.Fence = held.Fence()
	for _, o := range planner.Plan(in, r.options.Now()) {
		if held.Check() != nil {
			return
		}
		if keepsRoom(set, o) {
			continue
		}
		if !r.reserve(ctx, o) {
			continue
		}
		r.send(ctx, set, o)
	}
}

// keepsRoom reports whether the order unloads a version only to make room. An
// engine may hold every version it is configured for, so nothing is gained,
// and requests would meet an engine that has to load the version again.
func keepsRoom(set *catalog.Set, o order.Order) bool {
	v := set.Versions[o.Version]
	return o.Action == order.Unload && v != nil && v.State != catalog.VersionWithdrawn
}

// reserve asks the weight store for a place before a load.
func (r *Runner) reserve(ctx context.Context, o order.Order) bool {
	if o.Action != order.Load {
		return true
	}
	err := r.options.Weights.Reserve(ctx, string(o.Version))
	if err != nil {
		r.options.Log.Info("load waits for the weight store", zap.String("upstream", o.Upstream), zap.Error(err))
	}
	return err == nil
}

// send gives the order to the agent of its engine. An order that is lost is
// planned again from the next reports.
func (r *Runner) send(ctx context.Context, set *catalog.Set, o order.Order) {
	u := set.Upstreams[o.Upstream]
	if u == nil {
		return
	}
	resp, err := r.options.Sender.Order(ctx, u.Agent, &linkv1.OrderRequest{
		OrderId:  o.ID,
		Upstream: o.Upstream,
		Action:   string(o.Action),
		Version:  string(o.Version),
		Role:     o.Role,
		Lease:    Item,
		Fence:    o.Fence,
	})
	r.options.Log.Info("order given", zap.String("upstream", o.Upstream), zap.String("action", string(o.Action)),
		zap.String("version", string(o.Version)), zap.Uint64("fence", o.Fence),
		zap.Uint32("code", resp.GetCode()), zap.Error(err))
}

// loadsAtOnce bounds the loads of one plan.
const loadsAtOnce = 4

// input is the state on which a plan is made. An engine that has not been
// heard of lately counts as away: nothing is ordered blindly.
func (r *Runner) input(set *catalog.Set) order.Input {
	in := order.Input{Loads: loadsAtOnce, Demands: r.demands(set)}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for name, u := range set.Upstreams {
		if u.Service != "" {
			continue
		}
		rep, heard := r.reports[name]
		replica := order.Replica{
			Upstream:  name,
			Domain:    u.Domain,
			Slots:     u.Slots,
			MaxLoaded: len(u.Versions),
			Loaded:    rep.loaded,
			Away:      !heard || rep.away || u.Leaving || now.Sub(rep.at) > freshFor,
		}
		if replica.Slots == 0 {
			replica.Slots = catalog.DefaultSlots
		}
		for _, v := range u.Versions {
			replica.Serves = append(replica.Serves, catalog.VersionName(v))
		}
		in.Replicas = append(in.Replicas, replica)
	}
	slices.SortFunc(in.Replicas, func(a, b order.Replica) int { return strings.Compare(a.Upstream, b.Upstream) })
	return in
}

// Replicas and failure domains that each active version keeps.
const (
	minReplicas = 2
	minDomains  = 2
)

// demands returns what each version needs, from what runs and waits here: all
// entries are taken to be as busy.
func (r *Runner) demands(set *catalog.Set) []order.Demand {
	slots := map[string]float64{}
	for _, t := range r.options.Demand() {
		slots[t.Target] = float64((t.Running + t.Waiting) * r.options.Entries)
	}
	var out []order.Demand
	for name, v := range set.Versions {
		d := order.Demand{
			Version:     name,
			Slots:       slots[string(name)],
			MinReplicas: minReplicas,
			MinDomains:  minDomains,
			Withdrawn:   v.State == catalog.VersionWithdrawn,
		}
		if d.Withdrawn {
			d.MinReplicas, d.MinDomains = 0, 0
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b order.Demand) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
