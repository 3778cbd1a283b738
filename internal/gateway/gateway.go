// Package gateway is the daemon that takes callers' requests on the users' platform and
// forwards them directly to upstreams. It follows the configuration and the list of
// upstreams in the store, and holds no state that must survive a restart.
//
// Each background task runs in one goroutine. The tasks publish what requests need as
// immutable values behind atomic pointers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"tarragonbay.example/tarragonbay/internal/domaindrain"
	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/gctune"
	"tarragonbay.example/tarragonbay/internal/graceperiod"
	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// Protocol is the part of the adapter that translates requests and answers.
type Protocol interface {
	exchange.Protocol
	// ResponseHeaders returns the headers of an upstream's answer that are passed to the caller.
	ResponseHeaders(h http.Header) http.Header
	// EventID returns the id of a complete event of a stream.
	EventID(event []byte) string
}

// Documents is the part of the adapter that decodes and encodes rows of the store.
type Documents interface {
	OperatorTable() string
	UpstreamTable() string
	Routing(r store.Row) (spec routetable.Spec, ok bool, err error)
	Shift(r store.Row) (order versionshift.Order, ok bool, err error)
	DomainDrain(r store.Row) (domain string, ok bool)
	ShiftStatus(service, to string, phase versionshift.Phase) (store.Row, error)
	Upstream(r store.Row) (fleet.Upstream, error)
}

// Options configures a gateway.
type Options struct {
	Settings settings.Gateway
	// SettingsFile is read again when it changes or on SIGHUP.
	SettingsFile string
	Protocol     Protocol
	Documents    Documents
	Store        store.Store
	Log          *eventlog.Log
	Metrics      *telemetry.Metrics
	// LimitRuntime sets the memory limit of the runtime, which the whole process shares.
	LimitRuntime bool
	// BootClock is bootclock.Now outside tests.
	BootClock func() time.Duration
}

// Gateway is one gateway process.
type Gateway struct {
	currentSettings atomic.Pointer[settings.Gateway]
	settingsFile    string
	proto           Protocol
	docs            Documents
	store           store.Store
	log             *eventlog.Log
	bootClock       func() time.Duration
	started         time.Time
	runtimeLimited  bool
	// startedOnBootClock is the same on the boot clock.
	startedOnBootClock time.Duration

	pool       *h1.Pool
	intake     *intakes
	routeTable atomic.Pointer[routetable.Table]
	fleet      atomic.Pointer[fleetView]
	// drainedDomains holds the failure domains that the operator has drained.
	drainedDomains atomic.Pointer[domaindrain.Set]
	storeContact   storeContact
	// notices holds what upstreams have announced about themselves in their answers.
	notices    fleet.Notices
	rateLimits rateLimits
	loads      *loadTracker
	speeds     *speedTracker
	values     *valueTracker
	rooms      *rooms
	runTimes   *runTimes
	crossings  *crossings
	shifts     *shiftTracker
	// peerEvidenceCache holds the evidence of peers on open shifts.
	peerEvidenceCache evidenceCache
	crashes           *crashTracker
	conns             *connTracker
	// gossip is nil when no address for gossip messages is set.
	gossip *peers.Gossip
	// speedsSent is when the speeds of upstreams were last sent; only the sender of gossip
	// uses it.
	speedsSent time.Time
	// stopPlan is set once the gateway has been told to stop.
	stopPlan atomic.Pointer[graceperiod.Plan]
	// ending is cancelled, by endRequests, when a stop requires every request to be answered.
	ending      context.Context
	endRequests context.CancelFunc
	// cut is true once a stop has closed the connections that were left.
	cut      atomic.Bool
	counters *counters

	// followers receive the reads of peers, by table.
	followersMu sync.Mutex
	followers   map[string]*tableFollower

	// retryBudgets holds the retry budgets by the hash of the service.
	retryBudgetsMu    sync.Mutex
	retryBudgets      map[uint32]*retrywindow.Fleet
	retryGatewayCount retrywindow.GatewayCount
}

// dialTimeout bounds the opening of a connection to an upstream. A lost SYN is sent again
// after one second, which is too long for a plain request.
const dialTimeout = 800 * time.Millisecond

// New returns a gateway; nothing is opened before Run.
func New(o Options) *Gateway {
	g := &Gateway{
		settingsFile: o.SettingsFile, proto: o.Protocol, docs: o.Documents, store: o.Store, log: o.Log,
		bootClock: o.BootClock, runtimeLimited: o.LimitRuntime, started: time.Now(), startedOnBootClock: o.BootClock(),
		pool:         h1.NewPool(dialTimeout),
		intake:       newIntakes(),
		loads:        newLoadTracker(),
		speeds:       newSpeedTracker(),
		values:       newValueTracker(),
		rooms:        newRooms(),
		runTimes:     newRunTimes(),
		crossings:    newCrossings(),
		shifts:       newShiftTracker(o.Settings.ExposeShare),
		crashes:      newCrashTracker(),
		conns:        newConnTracker(),
		counters:     newCounters(o.Metrics),
		retryBudgets: map[uint32]*retrywindow.Fleet{}, followers: map[string]*tableFollower{},
	}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.currentSettings.Store(&o.Settings)
	g.applyPlan(o.Settings)
	g.storeContact.reset()
	o.Metrics.GaugeFunc(component, "connections_opened", g.pool.Opened)
	o.Metrics.GaugeFunc(component, "callers_connected", g.conns.openCount)
	return g
}

// settings returns the settings in force.
func (g *Gateway) settings() settings.Gateway { return *g.currentSettings.Load() }

// component names the daemon in metrics and log lines.
const component = "gateway"

// Run serves until ctx ends, then drains: it reports the gateway unready, serves the
// requests that still arrive, and returns when no request runs or the grace period is
// over.
func (g *Gateway) Run(ctx context.Context) error {
	// The tasks outlive ctx, so that requests arriving during the drain are served.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	servers, err := g.listen()
	if err != nil {
		return err
	}
	tasks := []func(context.Context) error{
		g.followOperator, g.followUpstreams, g.followShifts, g.stepShifts, g.followHolds, g.saveHolds, g.prune, g.followSettings, g.log.Run, g.rooms.queue.RunPaced, g.followSpeeds,
		gctune.New(heapFloor(g.settings())).Run,
	}
	if g.settings().PeerListen != "" {
		if g.gossip, err = g.openGossip(); err != nil {
			return err
		}
		tasks = append(tasks, g.gossip.Register, g.gossip.Send, g.gossip.Receive, g.reportCrashes, g.repeatCrashes)
	}
	for _, task := range tasks {
		group.Go(func() error { return task(taskCtx) })
	}
	for _, s := range servers {
		group.Go(func() error { return s.serve(taskCtx) })
	}
	g.log.Event(component, "started", zap.String("name", g.settings().Name), zap.String("domain", g.settings().Domain),
		zap.String("listen", g.settings().Listen))
	select {
	case <-taskCtx.Done():
	case <-ctx.Done():
		g.drain(servers)
	}
	g.log.Event(component, "stopped", zap.Int64("callers", g.conns.openCount()))
	stop()
	return errors.Trace(group.Wait())
}

// gateways returns the number of known gateways, including this one.
func (g *Gateway) gateways() int {
	if g.gossip == nil {
		return 1
	}
	return max(1, g.gossip.Gateways())
}

// reachableGateways returns the number of gateways that exchange gossip messages,
// including this one.
func (g *Gateway) reachableGateways() int {
	if g.gossip == nil {
		return 1
	}
	return 1 + g.gossip.Peers.FreshCount(time.Now())
}

// openGossip opens the socket for gossip messages.
func (g *Gateway) openGossip() (*peers.Gossip, error) {
	return peers.Listen(peers.Options{
		Name: g.settings().Name, Domain: g.settings().Domain, Address: g.settings().PeerListen, Incarnation: uint64(g.started.UnixNano()),
		Store: g.store, Log: g.log, Message: g.gossipMessage, TableUpdate: g.receiveRead,
		Leaving: g.receiveLeaving, Limits: g.receiveLimits, Budgets: g.receiveBudgets, Crashes: g.receiveCrashes,
	})
}

// heapFloor is the heap size below which no garbage is collected: a twelfth of the
// process's memory.
func heapFloor(s settings.Gateway) int64 { return int64(s.MemoryMB) << 20 / 12 }

// jitter varies d by up to a quarter either way, so that gateways and callers that got the
// same value do not act at the same moment.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// jitterUp lengthens d by up to a half, so that callers that got the same value do not
// return together; none returns before d.
func jitterUp(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + rand.Float64()/2))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
