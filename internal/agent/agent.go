// Package agent is the duty of the process beside the upstreams of one host.
// It is the only way to them: it checks each attempt against its own revision
// of the configuration, waits for a slot, records the dispatch, calls the
// upstream and keeps the answer until the entry has it.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/order"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// Configuration is the agent's view of the configuration in force. It is
// implemented by publish.Follower.
type Configuration interface {
	Set() (*catalog.Set, uint64)
	Updates() <-chan publish.State
	Envelope() *linkv1.Envelope
	SawEnvelope(e *linkv1.Envelope)
}

// Charger takes the charge of each attempt that ran. It is implemented by
// ledger.Charger.
type Charger interface {
	// Charge numbers the charge and keeps it until it is durable.
	Charge(c *linkv1.Charge)
	// Durable returns the highest number up to which all charges are durable.
	Durable() uint64
	// HandIn takes copies of charges made by an agent that died.
	HandIn(charges []*linkv1.Charge) int
}

// Sampler hands answers in for rating. It is implemented by watch.Sampler.
type Sampler interface {
	Submit(sample ports.Sample)
}

// Options configure an Agent.
type Options struct {
	// Host is the name of this host in the configuration.
	Host        string
	Incarnation uint64
	Config      Configuration
	Charger     Charger
	Watch       *watch.Host
	Sampler     Sampler
	// Marks is the table service, where the host remembers which new versions
	// it ran and reads the highest fencing numbers.
	Marks   ports.Table
	Timing  link.Timing
	Log     *zap.Logger
	Metrics *telemetry.Metrics
	// MaxJobs bounds the attempts that run or wait at a time.
	MaxJobs int
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}

// defaultMaxJobs bounds the attempts that run or wait on one host.
const defaultMaxJobs = 8192

// Agent implements link.Agent. It is safe for concurrent use.
type Agent struct {
	host        string
	incarnation uint64
	config      Configuration
	charger     Charger
	gate        *order.Gate
	watch       *watch.Host
	sampler     Sampler
	marks       ports.Table
	log         *zap.Logger
	now         func() time.Time

	registry *attempt.Registry
	logs     *link.Logs
	hosted   hosted
	jobs     pond.Pool
	stopping atomic.Bool

	// applied is the revision that hosted and watch stand at. applyMu guards
	// moving them on.
	applied atomic.Uint64
	applyMu sync.Mutex
	// marking is the life of the goroutines that look up which new versions
	// this host ran before.
	marking     context.Context
	stopMarking context.CancelFunc

	// leaving is what the host list says about this host.
	leaving atomic.Bool
	metrics counters

	mu sync.Mutex
	// running holds the cancel function of each attempt that is not over.
	running map[string]context.CancelCauseFunc
}

// New returns an agent that knows no upstream until Run has seen a revision.
func New(o Options) *Agent {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxJobs == 0 {
		o.MaxJobs = defaultMaxJobs
	}
	revision := func() uint64 {
		_, r := o.Config.Set()
		return r
	}
	a := &Agent{
		host:        o.Host,
		incarnation: o.Incarnation,
		config:      o.Config,
		charger:     o.Charger,
		gate:        order.NewGate(),
		watch:       o.Watch,
		sampler:     o.Sampler,
		marks:       o.Marks,
		log:         o.Log,
		now:         o.Now,
		registry:    attempt.NewRegistry(o.Incarnation, attempt.DefaultLimits()),
		logs:        link.NewLogs(o.Incarnation, revision, o.Timing),
		jobs:        pond.NewPool(o.MaxJobs),
		running:     map[string]context.CancelCauseFunc{},
		metrics:     newCounters(o.Metrics),
	}
	a.hosted.init(o.Host, o.Now)
	a.marking, a.stopMarking = context.WithCancel(context.Background())
	return a
}

// Logs returns the answer logs, for the link handler.
func (a *Agent) Logs() *link.Logs { return a.logs }

// Run follows the configuration until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.stopMarking()
	a.current()
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-a.config.Updates():
			a.apply(state.Set, state.Revision)
			a.log.Info("configuration in force", zap.Uint64("revision", state.Revision))
		}
	}
}

// current returns the set in force, nil without one. The upstreams and the
// watch of this host stand at its revision or a later one.
func (a *Agent) current() (*catalog.Set, uint64) {
	set, revision := a.config.Set()
	if set != nil {
		a.apply(set, revision)
	}
	return set, revision
}

// apply takes a new set. An attempt may meet a revision before Run does, so
// both bring it in. New versions on this host give no answer before the table
// service has told whether the host ran them before.
func (a *Agent) apply(set *catalog.Set, revision uint64) {
	if a.applied.Load() >= revision {
		return
	}
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if a.applied.Load() >= revision {
		return
	}
	a.hosted.rebuild(set)
	for _, v := range a.watch.SetCatalog(set) {
		go watch.Mark(a.marking, a.marks, a.watch, v)
	}
	a.applied.Store(revision)
}

// Probe asks the upstreams for their state until ctx ends.
func (a *Agent) Probe(ctx context.Context) error {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		a.hosted.probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// SetLeaving takes what the host list says about this host.
func (a *Agent) SetLeaving(leaving bool) {
	if a.leaving.Swap(leaving) != leaving {
		a.log.Info("host list changed", zap.Bool("leaving", leaving))
	}
}

// unreadFor is how long a stop waits for entries to take the ends of answers:
// long enough to find a silent connection and resume over a new one.
const unreadFor = 8 * time.Second

// Stop refuses new attempts from now on and waits until those that run are
// over and their answers are taken, or ctx ends. An answer that no entry takes
// in unreadFor belongs to one that died. It returns the number of attempts
// that were left.
func (a *Agent) Stop(ctx context.Context) int {
	a.stopping.Store(true)
	a.log.Info("stopping", zap.Int("running", a.Running()))
	tick := time.NewTicker(drainTick)
	defer tick.Stop()
	for a.Running() > 0 {
		select {
		case <-ctx.Done():
			return a.Running()
		case <-tick.C:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, unreadFor)
	defer cancel()
	for a.logs.Unread() > 0 && ctx.Err() == nil {
		<-tick.C
	}
	return 0
}

// Running returns the number of attempts that are not over.
func (a *Agent) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running)
}

// Pauses of the agent's duties.
const (
	gateTick   = 200 * time.Millisecond
	probeEvery = time.Second
	drainTick  = 20 * time.Millisecond
)
