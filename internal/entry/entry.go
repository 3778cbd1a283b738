// Package entry is the duty of the thin entry hosts: it admits each request,
// chooses a version and an upstream, runs the attempts, judges the drafts of a
// cascade and assembles the answer.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/retry"
	"tarragonbay.example/tarragonbay/internal/route"
	"tarragonbay.example/tarragonbay/internal/session"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// Configuration is the entry's view of the configuration in force. It is
// implemented by publish.Follower.
type Configuration interface {
	Set() (*catalog.Set, uint64)
	Updates() <-chan publish.State
	Saw(address string, revision uint64)
}

// Copies keeps the charges of answers until the agent says that they are
// durable. It is implemented by ledger.Copies.
type Copies interface {
	// Add records the charge of an answer from the agent at the address.
	Add(agent string, c *linkv1.Charge)
	// Observe tells that the agent has this incarnation, and that its
	// charges up to the number are durable.
	Observe(agent string, incarnation, durable uint64)
	// MarkAgentGone records that an agent is dead; its copies are handed in elsewhere.
	MarkAgentGone(agent string)
}

// Options configure an Entry.
type Options struct {
	Name     string
	Domain   string
	Config   Configuration
	Link     *link.Client
	Sessions *session.Signer
	Copies   Copies
	Claims   Claims
	// Incarnation of this process.
	Incarnation uint64
	// InFlight and Queue bound what one entry takes.
	InFlight int
	Queue    int
	// Entries is the number of entries that share each organisation's limits.
	Entries int
	Route   route.Settings
	Log     *zap.Logger
	Metrics *telemetry.Metrics
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}

// Entry implements callerapi.Router. It is safe for concurrent use.
type Entry struct {
	name     string
	config   Configuration
	link     *link.Client
	sessions *session.Signer
	copies   Copies
	claims   Claims
	agents   agentLives
	// incarnation of this process.
	incarnation uint64
	route       route.Settings
	entries     int
	log         *zap.Logger
	now         func() time.Time

	// planMu is held while the planner is replaced.
	planMu  sync.Mutex
	planner atomic.Pointer[route.Planner]
	members Members
	picker  *balance.Picker
	limiter *admission.Limiter
	retries *retry.Policy
	learner *learner
	cancels pond.Pool
	// ratings bounds the answers handed in for rating.
	ratings *rate.Limiter
	fleet   *watch.Fleet
	unrated unrated
	held    atomic.Pointer[[]catalog.VersionName]
	spent   resting
	shadows shadowSlots
	// sessionWaits bounds the sessions that wait for a new version.
	sessionWaits sessionWaits
	stopping     atomic.Bool
	running      atomic.Int64
	metrics      counters
}

// New returns an entry that refuses everything until Run has seen a revision.
func New(o Options) *Entry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Entries == 0 {
		o.Entries = 1
	}
	e := &Entry{
		name:         o.Name,
		config:       o.Config,
		link:         o.Link,
		sessions:     o.Sessions,
		copies:       o.Copies,
		claims:       o.Claims,
		incarnation:  o.Incarnation,
		route:        o.Route,
		entries:      o.Entries,
		log:          o.Log,
		now:          o.Now,
		picker:       balance.New(balance.Settings{Entry: o.Name, Domain: o.Domain}),
		retries:      retry.New(retry.Settings{}, o.Now()),
		shadows:      make(shadowSlots, maxShadows),
		sessionWaits: make(sessionWaits, maxSessionWaits),
		fleet:        watch.NewFleet(),
		ratings:      newRatedLimiter(o.Entries),
		cancels:      pond.NewPool(cancelWorkers, pond.WithQueueSize(cancelQueue), pond.WithNonBlocking(true)),
		metrics:      newCounters(o.Metrics),
	}
	e.learner = newLearner(o.Now, e.useView, o.Metrics)
	e.limiter = admission.NewLimiter(admission.NewController(admission.Settings{
		// The slots of the upstreams bound each target from the start; the
		// limit shrinks from there when they show queues.
		Limit:    o.InFlight,
		MaxLimit: o.InFlight,
		Queue:    o.Queue,
		FullCode: result.QueueFull,
		Random:   rand.Float64,
	}), o.Now)
	return e
}

// SetMembers gives the entry its membership. It is called once, before Run.
func (e *Entry) SetMembers(m Members) { e.members = m }

// Run follows the configuration until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	if set, _ := e.config.Set(); set != nil {
		e.apply(set)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-e.config.Updates():
			e.apply(state.Set)
			e.log.Info("configuration in force", zap.Uint64("revision", state.Revision))
		}
	}
}

func (e *Entry) apply(set *catalog.Set) {
	e.members.SetCatalog(set)
	e.picker.Rebuild(set, e.now())
	e.fleet.SetCatalog(set, e.now())
	e.limiter.Configure(set, 1/float64(e.entries))
	e.limiter.SetCapacity(slotsOf(set))
	e.setCapacities(set)
	e.planMu.Lock()
	defer e.planMu.Unlock()
	e.planner.Store(route.Compile(set, e.route).WithView(e.learner.view()))
}

// useView gives the planner new estimates.
func (e *Entry) useView(view *quality.View) {
	e.fleet.SetView(view, e.now())
	e.planMu.Lock()
	defer e.planMu.Unlock()
	if p := e.planner.Load(); p != nil {
		e.planner.Store(p.WithView(view))
	}
}

// slotsOf returns how many requests all upstreams can run at a time.
func slotsOf(set *catalog.Set) int {
	n := 0
	for _, u := range set.Upstreams {
		if u.Slots == 0 {
			n += catalog.DefaultSlots
			continue
		}
		n += u.Slots
	}
	return n
}

// capacityHeadroom is how many requests an entry lets run for each slot of its
// share of a target's upstreams, so that agents have a next one at hand.
const capacityHeadroom = 1.25

// setCapacities bounds the requests of each version and service by the slots
// of the upstreams that take work now.
func (e *Entry) setCapacities(set *catalog.Set) {
	for v := range set.Versions {
		e.setCapacity(string(v), balance.Target{Version: v})
	}
	for name := range set.Services {
		e.setCapacity(name, balance.Target{Service: name})
	}
}

func (e *Entry) setCapacity(name string, t balance.Target) {
	slots := capacityHeadroom * float64(e.picker.TargetSlots(t)) / float64(e.entries)
	e.limiter.SetTargetCapacity(name, max(1, int(math.Ceil(slots))))
}

// capacityEvery is the pause between two readings of the targets' slots.
const capacityEvery = time.Second

// Measure keeps the targets' capacities up to date until ctx ends.
func (e *Entry) Measure(ctx context.Context) error {
	tick := time.NewTicker(capacityEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if set, _ := e.config.Set(); set != nil {
				e.setCapacities(set)
			}
		}
	}
}

// limiterTick is the pause between two checks of waiting requests.
const limiterTick = 100 * time.Millisecond

// Admit ticks the admission until ctx ends.
func (e *Entry) Admit(ctx context.Context) error {
	tick := time.NewTicker(limiterTick)
	defer tick.Stop()
	return e.limiter.Run(ctx, tick.C)
}

// Learn folds answers and ratings into the estimates until ctx ends.
func (e *Entry) Learn(ctx context.Context) error { return e.learner.run(ctx) }

// Demand returns what runs and waits for each version and service.
func (e *Entry) Demand() []admission.TargetState { return e.limiter.State().Targets }

// Fleet returns the watch over all versions.
func (e *Entry) Fleet() *watch.Fleet { return e.fleet }

// Ready implements callerapi.Router.
func (e *Entry) Ready() error {
	if e.stopping.Load() {
		return result.New(result.Stopping, "this entry is stopping")
	}
	if e.planner.Load() == nil {
		return result.New(result.NoConfiguration, "this entry has no configuration yet")
	}
	return nil
}

// Drain refuses new requests from now on.
func (e *Entry) Drain() {
	if !e.stopping.Swap(true) {
		e.log.Info("refusing new requests")
	}
}

// random returns a fresh random number for a decision.
func (e *Entry) random() uint64 { return rand.Uint64() }

// drainTick is the pause between two looks at what still runs.
const drainTick = 20 * time.Millisecond

// Wait returns when nothing runs any more, or ctx ends. It returns the number
// of requests left.
func (e *Entry) Wait(ctx context.Context) int64 {
	tick := time.NewTicker(drainTick)
	defer tick.Stop()
	for e.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return e.running.Load()
		case <-tick.C:
		}
	}
	return 0
}
