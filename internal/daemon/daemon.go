// Package daemon composes the duties of each role into one process: settings,
// platform clients, configuration, listeners, and the graceful stop. It holds
// no rule of its own.
package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/gctune"
	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/membership"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/client"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// Ports are the platform's services as one daemon uses them.
type Ports struct {
	Table   ports.Table
	Objects ports.Objects
	Hosts   ports.Hosts
	Ratings ports.Ratings
	Weights ports.Weights
}

// connectPlatform returns clients of the services named in the settings.
func connectPlatform(s settings.Settings) Ports {
	at := func(url string) *client.Client {
		return client.New(client.Options{BaseURL: url, Timeout: s.Timeouts.Platform})
	}
	return Ports{
		Table:   at(s.Platform.Table).Table,
		Objects: at(s.Platform.Objects).Objects,
		Hosts:   at(s.Platform.Hosts).Hosts,
		Ratings: at(s.Platform.Ratings).Ratings,
		Weights: at(s.Platform.Weights).Weights,
	}
}

// Options configure a daemon of any role.
type Options struct {
	Settings settings.Settings
	// LogTo receives the log lines.
	LogTo io.Writer
	// Ports replace the clients that the settings name, when set.
	Ports *Ports
	// Link is the open listener of the link; when nil one is opened at the
	// address of the settings. The daemon closes it.
	Link net.Listener
}

// Addresses are where a running daemon listens.
type Addresses struct {
	Caller string `json:"caller,omitempty"`
	Link   string `json:"link,omitempty"`
	Admin  string `json:"admin,omitempty"`
}

// Daemon is what all roles share.
type Daemon struct {
	settings    settings.Settings
	incarnation uint64
	ports       Ports
	log         *telemetry.Log
	metrics     *telemetry.Metrics
	dumps       *telemetry.Dumps
	follower    *publish.Follower
	// serverTLS and clientTLS are the two ends of mutual TLS between daemons;
	// nil when it is off.
	serverTLS  *tls.Config
	clientTLS  *tls.Config
	linkServer *http.Server
	linkLn     net.Listener
	admin      *httpserver.Server
	// plan is what the process may hold for others.
	plan holding.Plan

	drainOnce sync.Once
	draining  chan struct{}
	role      role
}

// role is what distinguishes an entry from an agent.
type role interface {
	// mount adds the role's handlers to the link listener.
	mount(mux *http.ServeMux)
	// duties are run until the process ends.
	duties() []duty
	// ready reports whether the role takes work.
	ready() error
	// drain refuses new work and returns when nothing runs any more, or ctx
	// ends. It returns what was left.
	drain(ctx context.Context) error
	addresses(a *Addresses)
}

// duty is one goroutine of the process. One that returns an error ends the
// process.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// newDaemon opens the listeners. Nothing is served before Run.
func newDaemon(o Options) (*Daemon, error) {
	s := o.Settings
	log, err := telemetry.NewLog(o.LogTo, s.Log.Level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Daemon{
		settings:    s,
		incarnation: membership.NewIncarnation(time.Now(), rand.Uint64()),
		log:         log,
		metrics:     telemetry.NewMetrics(),
		dumps:       &telemetry.Dumps{},
		draining:    make(chan struct{}),
		plan:        holding.NewPlan(s.Limits.Memory, intake.Descriptors(s.Limits.Descriptors)),
	}
	if err := d.loadTLS(); err != nil {
		return nil, err
	}
	if d.linkLn, err = linkListener(o); err != nil {
		return nil, err
	}
	if s.Link.Advertise == "" {
		d.settings.Link.Advertise = d.linkLn.Addr().String()
	}
	d.ports = connectPlatform(s)
	if o.Ports != nil {
		d.ports = *o.Ports
	}
	d.follower = publish.NewFollower(publish.FollowerOptions{
		Store:         publish.Store{Table: d.ports.Table, Objects: d.ports.Objects},
		Name:          s.Name,
		Incarnation:   d.incarnation,
		Address:       d.settings.Link.Address(),
		Peers:         publish.ConnectPeers{Dial: d.dial()},
		PeerAddresses: d.peerAddresses,
		Rand:          rand.Float64,
		Log:           log.Part("config"),
	})
	d.dumps.Register("config", telemetry.DumperFunc(func() any { return d.follower.Status() }))
	return d, nil
}

// setRole gives the daemon its role and opens the admin listener.
func (d *Daemon) setRole(r role) error {
	d.role = r
	mux := http.NewServeMux()
	mux.Handle(publish.NewPeerHandler(d.follower))
	r.mount(mux)
	d.linkServer = link.NewHTTPServer(intake.Handler(mux), nil)
	d.linkServer.ConnContext = intake.ConnContext
	d.linkLn = d.admitLinks()
	if d.settings.Admin.Listen == "" {
		return nil
	}
	var err error
	d.admin, err = adminapi.Listen(d.settings, d.admission("operators", d.plan.Operators), adminapi.NewHandler(adminapi.Options{
		KeyHash: d.settings.Admin.KeyHash,
		Log:     d.log,
		Metrics: d.metrics,
		Dumps:   d.dumps,
		Status:  d.status,
		Config:  d.follower.Set,
		Drain:   d.Drain,
	}))
	return err
}

func (d *Daemon) status() adminapi.Status {
	st := adminapi.Status{
		Name:        d.settings.Name,
		Role:        string(d.settings.Role),
		Domain:      d.settings.Domain,
		Incarnation: d.incarnation,
		Leaving:     d.isDraining(),
	}
	if state, err := d.follower.Current(); err == nil {
		st.Revision = state.Revision
		st.Digest = state.Digest
	}
	if err := d.readiness(); err != nil {
		st.Reason = err.Error()
		return st
	}
	st.Ready = true
	return st
}

// RuntimeLimit is the memory limit for the runtime of the process, in bytes.
func (d *Daemon) RuntimeLimit() int64 { return d.plan.Runtime }

// Ready returns nil while the daemon takes work.
func (d *Daemon) Ready() error { return d.readiness() }

func (d *Daemon) readiness() error {
	if d.isDraining() {
		return result.New(result.Stopping, "the process is stopping")
	}
	return d.role.ready()
}

// Drain starts a graceful stop; Run returns when it is over.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.draining) }) }

func (d *Daemon) isDraining() bool {
	select {
	case <-d.draining:
		return true
	default:
		return false
	}
}

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses {
	a := Addresses{Link: d.linkLn.Addr().String()}
	if d.admin != nil {
		a.Admin = d.admin.Addr().String()
	}
	d.role.addresses(&a)
	return a
}

// Run serves until ctx ends or Drain is called, then stops gracefully: it shows
// itself unready, refuses new work, finishes what runs and flushes what must
// last. It returns an error when a duty failed or something was cut.
func (d *Daemon) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	failed := make(chan error, 1)
	wait := d.start(life, failed)
	var err error
	select {
	case <-ctx.Done():
	case <-d.draining:
	case err = <-failed:
	}
	d.Drain()
	if err == nil {
		err = d.shutDown(life)
	}
	end()
	wait()
	d.log.Sync()
	return err
}

// start runs each duty in a goroutine and returns the function that waits for
// all of them.
func (d *Daemon) start(ctx context.Context, failed chan<- error) (wait func()) {
	duties := append(d.role.duties(),
		duty{"config", d.follower.Run},
		duty{"collector", gctune.New(d.settings.Limits.HeapFloor).Run},
		duty{"link", func(context.Context) error { return link.Serve(d.linkServer, d.linkLn) }},
	)
	if d.admin != nil {
		duties = append(duties, duty{"admin", d.admin.Run})
	}
	var wg sync.WaitGroup
	for _, x := range duties {
		wg.Go(func() {
			if err := x.run(ctx); err != nil && ctx.Err() == nil {
				select {
				case failed <- errors.Annotatef(err, "duty %s", x.name):
				default:
				}
			}
		})
	}
	return func() {
		_ = d.linkServer.Close()
		wg.Wait()
	}
}

// unreadyFor is how long a stopping daemon shows itself unready before it
// refuses new work, so that the balancer looks first.
const unreadyFor = time.Second

func (d *Daemon) shutDown(ctx context.Context) error {
	log := d.log.Part("daemon")
	log.Info("stopping", zap.Duration("within", d.settings.Timeouts.Drain))
	ctx, cancel := context.WithTimeout(ctx, d.settings.Timeouts.Drain)
	defer cancel()
	if d.settings.Role == settings.RoleEntry {
		wait.For(ctx, unreadyFor)
	}
	err := d.role.drain(ctx)
	if shutErr := d.linkServer.Shutdown(ctx); err == nil {
		err = shutErr
	}
	if err != nil {
		log.Error("stopped with work left", zap.Error(err))
		return err
	}
	log.Info("stopped")
	return nil
}
