// Package gateway is the daemon that takes callers' requests on the users'
// platform and sends them straight to upstreams. It follows the configuration
// and the list of upstreams in the store, and keeps nothing that must last.
//
// Each duty is one goroutine; what a request needs is published by the duties
// as immutable values behind atomic pointers.
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

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/gctune"
	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// Protocol is what the gateway needs of the adapter for requests and answers.
type Protocol interface {
	exchange.Protocol
	// Back returns the headers of an upstream's answer that reach the caller.
	Back(h http.Header) http.Header
	// EventID returns the id of a whole event of a stream.
	EventID(event []byte) string
}

// Documents is what the gateway needs of the adapter for rows of the store.
type Documents interface {
	OperatorTable() string
	UpstreamTable() string
	Routing(r store.Row) (spec routetable.Spec, ok bool, err error)
	Shift(r store.Row) (order versionshift.Order, ok bool, err error)
	ShiftStatus(service, to string, phase versionshift.Phase) (store.Row, error)
	Upstream(r store.Row) (fleet.Upstream, error)
}

// Options are what a gateway is made of.
type Options struct {
	Settings settings.Gateway
	// SettingsFile is read again when it changes or the process is told to.
	SettingsFile string
	Protocol     Protocol
	Documents    Documents
	Store        store.Store
	Log          *eventlog.Log
	Metrics      *telemetry.Metrics
	// BootClock is bootclock.Now outside tests.
	BootClock func() time.Duration
}

// Gateway is one daemon.
type Gateway struct {
	currentSettings atomic.Pointer[settings.Gateway]
	settingsFile    string
	proto           Protocol
	docs            Documents
	store           store.Store
	log             *eventlog.Log
	bootClock       func() time.Duration
	started         time.Time

	pool         *h1.Pool
	answerMemory *memoryBudget
	table        atomic.Pointer[routetable.Table]
	fleet        atomic.Pointer[fleetView]
	storeContact storeContact
	// notices is what upstreams have said of themselves in their answers.
	notices    fleet.Notices
	rateLimits rateLimits
	loads      *loadTracker
	speeds     *speedTracker
	shifts     *shiftTracker
	// peersSeen is what peers have seen of open shifts.
	peerEvidenceCache evidenceCache
	conns             *connTracker
	// talk is nil when no address for datagrams is set.
	gossip   *peers.Talk
	stopping atomic.Bool
	// stopSince is when the stop began, after the start on the steady clock.
	stopStarted atomic.Int64
	counters    *counters

	// followers take in the readings of peers, by table.
	followersMu sync.Mutex
	followers   map[string]*tableFollower

	retryBudgetsMu sync.Mutex
	retryBudgets   map[string]*retrywindow.Window
	budgetSharers  retrywindow.Sharers
}

// dialTime bounds the opening of a connection to an upstream: a lost opening
// packet is sent again after one second, which no plain request can wait for.
const dialTimeout = 800 * time.Millisecond

// New returns a gateway; nothing is opened before Run.
func New(o Options) *Gateway {
	g := &Gateway{
		settingsFile: o.SettingsFile, proto: o.Protocol, docs: o.Documents, store: o.Store, log: o.Log,
		bootClock: o.BootClock, started: time.Now(),
		pool:         h1.NewPool(dialTimeout),
		answerMemory: newMemoryBudget(o.Settings.MemoryMB),
		loads:        newLoadTracker(),
		speeds:       newSpeedTracker(),
		shifts:       newShiftTracker(o.Settings.ExposeShare),
		conns:        newConnTracker(),
		counters:     newCounters(o.Metrics),
		retryBudgets: map[string]*retrywindow.Window{}, followers: map[string]*tableFollower{},
	}
	g.currentSettings.Store(&o.Settings)
	g.storeContact.reset()
	o.Metrics.GaugeFunc(component, "connections_opened", g.pool.Opened)
	o.Metrics.GaugeFunc(component, "callers_connected", g.conns.openCount)
	return g
}

// settings returns the settings in force.
func (g *Gateway) settings() settings.Gateway { return *g.currentSettings.Load() }

// part names the daemon in metrics and log lines.
const component = "gateway"

// Run serves until ctx ends, then drains: it reports itself unready, serves
// what still arrives, and returns when nothing runs or the grace is over.
func (g *Gateway) Run(ctx context.Context) error {
	// The duties outlive ctx, so that what arrives while draining is served.
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	servers, err := g.listen()
	if err != nil {
		return err
	}
	tasks := []func(context.Context) error{
		g.followOperator, g.followUpstreams, g.followShifts, g.stepShifts, g.prune, g.followSettings, g.log.Run,
		gctune.New(heapFloor(g.settings())).Run,
	}
	if g.settings().PeerListen != "" {
		if g.gossip, err = g.openGossip(); err != nil {
			return err
		}
		tasks = append(tasks, g.gossip.Enter, g.gossip.Send, g.gossip.Receive)
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

// gateways is how many gateways there are with this one, as far as it knows.
func (g *Gateway) gateways() int {
	if g.gossip == nil {
		return 1
	}
	return max(1, g.gossip.Gateways())
}

// hearing is how many gateways hear one another with this one.
func (g *Gateway) reachableGateways() int {
	if g.gossip == nil {
		return 1
	}
	return 1 + g.gossip.Book.Heard(time.Now())
}

// openTalk opens the socket for news of peers.
func (g *Gateway) openGossip() (*peers.Talk, error) {
	return peers.Listen(peers.Options{
		Name: g.settings().Name, Domain: g.settings().Domain, Address: g.settings().PeerListen, Incarnation: uint64(g.started.UnixNano()),
		Store: g.store, Log: g.log, News: g.gossipMessage, Reading: g.receiveRead,
		Leaving: g.receiveLeaving, Limits: g.receiveLimits,
	})
}

// heapFloor lets the heap grow to a twelfth of the process's memory before it is
// collected.
func heapFloor(s settings.Gateway) int64 { return int64(s.MemoryMB) << 20 / 12 }

// jitter spreads d by a quarter either way, so that gateways and callers that
// were told the same do not act together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// after spreads the return of callers who were told the same time, over half of it
// again; none comes before it.
func jitterUp(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + rand.Float64()/2))
}

// pause waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
