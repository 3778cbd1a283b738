package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/claim"
	"tarragonbay.example/tarragonbay/internal/entry"
	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/learned"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/membership"
	"tarragonbay.example/tarragonbay/internal/orderrun"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/rolloutrun"
	"tarragonbay.example/tarragonbay/internal/route"
	"tarragonbay.example/tarragonbay/internal/session"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// entryRole takes callers' requests.
type entryRole struct {
	daemon   *Daemon
	link     *link.Client
	entry    *entry.Entry
	claims   *claim.Registry
	members  *membership.Runner
	copies   *ledger.Copies
	leases   *lease.Manager
	rollouts *rolloutrun.Runner
	orders   *orderrun.Runner
	caller   *httpserver.Server
}

// NewEntry composes an entry.
func NewEntry(o Options) (*Daemon, error) {
	d, err := newDaemon(o)
	if err != nil {
		return nil, err
	}
	r := &entryRole{daemon: d, link: d.linkClient()}
	r.leases = lease.NewManager(lease.Options{Table: d.ports.Table, Name: d.settings.Name, Log: d.log.Part("lease")})
	r.copies = ledger.NewCopies(func(ctx context.Context, charges []*linkv1.Charge) (int, error) {
		return r.entry.HandIn(ctx, charges)
	}, ledger.HandInInterval)
	r.claims = claim.NewRegistry(claim.Options{
		Table:  d.ports.Table,
		Settle: entry.Settle(r.link.Settle),
		Fetch:  entry.Fetch(r.link.Fetch, r.copies),
		Now:    time.Now,
		NewID:  uuid.NewString,
	})
	if err := r.composeEntry(); err != nil {
		return nil, err
	}
	r.composeRunners()
	r.composeMembers()
	r.registerDumps()
	if err := r.listen(); err != nil {
		return nil, err
	}
	return d, d.setRole(r)
}

func (r *entryRole) composeEntry() error {
	d := r.daemon
	s := d.settings
	signer, err := d.signer()
	if err != nil {
		return err
	}
	r.entry = entry.New(entry.Options{
		Name:        s.Name,
		Domain:      s.Domain,
		Incarnation: d.incarnation,
		Config:      d.follower,
		Link:        r.link,
		Claims:      r.claims,
		Sessions:    signer,
		Copies:      r.copies,
		Route:       route.Settings{Shadow: true},
		Entries:     s.Limits.Entries,
		InFlight:    s.Limits.InFlight,
		Queue:       s.Limits.QueueLength,
		Log:         d.log.Part("entry"),
		Metrics:     d.metrics,
	})
	return nil
}

// set returns the configuration in force, or nil.
func (d *Daemon) set() *catalog.Set {
	set, _ := d.follower.Set()
	return set
}

func (r *entryRole) composeRunners() {
	d := r.daemon
	r.orders = orderrun.New(orderrun.Options{
		Leases:  r.leases,
		Sender:  r.link,
		Weights: d.ports.Weights,
		Set:     d.set,
		Demand:  r.entry.Demand,
		Entries: d.settings.Limits.Entries,
		Now:     time.Now,
		Log:     d.log.Part("orders"),
	})
	store := publish.Store{Table: d.ports.Table, Objects: d.ports.Objects}
	r.rollouts = rolloutrun.New(rolloutrun.Options{
		Leases:    r.leases,
		Publisher: publish.NewPublisher(store, publish.PublisherOptions{}),
		Evidence:  r.entry.Fleet(),
		Set:       d.set,
		Now:       time.Now,
		Log:       d.log.Part("rollout"),
	})
}

func (r *entryRole) composeMembers() {
	d := r.daemon
	r.members = membership.NewRunner(membership.Options{
		Settings: membership.Settings{Entry: d.settings.Name},
		Reporter: entry.HeldReporter{Entry: r.entry},
		Hosts:    d.ports.Hosts,
		OnEvent:  r.entry.HostChanged,
		OnReport: func(host membership.Host, resp *linkv1.ReportResponse) {
			r.entry.HostReported(host, resp)
			r.orders.Heard(resp)
		},
		Log: d.log.Part("members"),
	})
	r.entry.SetMembers(r.members)
}

func (r *entryRole) registerDumps() {
	dumps := r.daemon.dumps
	dumps.Register("entry", r.entry)
	dumps.Register("versions", r.entry.Fleet())
	dumps.Register("members", telemetry.DumperFunc(func() any {
		hosts, cost := r.members.Dump()
		return membersState{Hosts: hosts, Cost: cost}
	}))
	dumps.Register("copies", telemetry.DumperFunc(func() any { return r.copies.Counts() }))
	dumps.Register("leases", telemetry.DumperFunc(func() any { return r.leases.Dump() }))
}

func (r *entryRole) listen() (err error) {
	d := r.daemon
	handler := callerapi.NewHandler(callerapi.Options{
		Router:   r.entry,
		Set:      d.set,
		Limits:   d.settings.Limits,
		Timeouts: d.settings.Timeouts,
		Metrics:  d.metrics,
		Log:      d.log.Part("callers"),
	})
	r.caller, err = callerapi.Listen(d.settings, d.admission("callers", d.callerLimits()), handler)
	return err
}

// membersState is membership's part of the state dump.
type membersState struct {
	Hosts []membership.HostStatus `json:"hosts"`
	Cost  membership.Stats        `json:"cost"`
}

func (d *Daemon) signer() (*session.Signer, error) {
	var keys []session.Key
	for _, k := range d.settings.SessionKeys {
		keys = append(keys, session.Key{Name: k.Name, Secret: []byte(k.Secret)})
	}
	return session.NewSigner(keys, d.settings.Timeouts.Session)
}

func (r *entryRole) mount(mux *http.ServeMux) {
	mux.Handle(learned.NewHandler(r.entry.Memory))
}

func (r *entryRole) duties() []duty {
	return []duty{
		{"entry", r.entry.Run},
		{"admission", r.entry.Admit},
		{"capacity", r.entry.Measure},
		{"claims", r.claims.Run},
		{"members", r.members.Run},
		{"learner", r.entry.Learn},
		{"copies", r.copies.Run},
		{"orders", r.untilStop(r.orders.Run)},
		{"rollouts", r.untilStop(r.rollouts.Run)},
		{"retire", r.untilStop(r.rollouts.Retire)},
		{"judge", func(ctx context.Context) error { return r.entry.Judge(ctx, r.rollouts) }},
		{"fold", r.untilStop(r.daemon.fold(r.leases))},
		{"collect", r.untilStop(r.daemon.collect(r.leases))},
		{"ratings", r.rate},
		{"learned", r.untilStop(r.saveLearned)},
		{"callers", r.caller.Run},
	}
}

// untilStop ends a duty that takes leases when the daemon begins to stop, so
// that another daemon goes on at once.
func (r *entryRole) untilStop(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-r.daemon.draining:
				cancel()
			case <-ctx.Done():
			}
		}()
		return run(ctx)
	}
}

func (r *entryRole) ready() error { return r.entry.Ready() }

func (r *entryRole) addresses(a *Addresses) { a.Caller = r.caller.Addr().String() }
