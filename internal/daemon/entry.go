package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/claim"
	"tarragonbay.example/tarragonbay/internal/entry"
	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/membership"
	"tarragonbay.example/tarragonbay/internal/orderrun"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/rolloutrun"
	"tarragonbay.example/tarragonbay/internal/session"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// entryRole takes callers' requests.
type entryRole struct {
	daemon   *Daemon
	entry    *entry.Entry
	claims   *claim.Book
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
	signer, err := d.signer()
	if err != nil {
		return nil, err
	}
	s := d.settings
	linkClient := d.linkClient()
	claims := claim.NewBook(claim.Options{
		Table:  d.ports.Table,
		Settle: entry.Settle(linkClient.Settle),
		Now:    time.Now,
		NewID:  uuid.NewString,
	})
	var e *entry.Entry
	copies := ledger.NewCopies(func(ctx context.Context, charges []*linkv1.Charge) (int, error) {
		return e.HandIn(ctx, charges)
	}, ledger.HandInEvery)
	e = entry.New(entry.Options{
		Name:        s.Name,
		Domain:      s.Domain,
		Config:      d.follower,
		Link:        linkClient,
		Claims:      claims,
		Incarnation: d.incarnation,
		Sessions:    signer,
		Copies:      copies,
		InFlight:    s.Limits.InFlight,
		Queue:       s.Limits.QueueLength,
		Log:         d.log.Part("entry"),
		Metrics:     d.metrics,
	})
	leases := lease.NewManager(lease.Options{Table: d.ports.Table, Name: s.Name, Log: d.log.Part("lease")})
	orders := orderrun.New(orderrun.Options{
		Leases:  leases,
		Sender:  linkClient,
		Weights: d.ports.Weights,
		Set:     func() *catalog.Set { set, _ := d.follower.Set(); return set },
		Demand:  e.Demand,
		Entries: 1,
		Now:     time.Now,
		Log:     d.log.Part("orders"),
	})
	members := membership.NewRunner(membership.Options{
		Settings: membership.Settings{Entry: s.Name},
		Reporter: entry.HeldReporter{Entry: e},
		Hosts:    d.ports.Hosts,
		OnEvent:  e.HostChanged,
		OnReport: func(host membership.Host, resp *linkv1.ReportResponse) {
			e.HostReported(host, resp)
			orders.Heard(resp)
		},
		Log: d.log.Part("members"),
	})
	e.SetMembers(members)
	d.dumps.Register("entry", e)
	d.dumps.Register("members", telemetry.DumperFunc(func() any {
		hosts, cost := members.Dump()
		return membersState{Hosts: hosts, Cost: cost}
	}))
	rollouts := rolloutrun.New(rolloutrun.Options{
		Leases:    leases,
		Publisher: publish.NewPublisher(publish.Store{Table: d.ports.Table, Objects: d.ports.Objects}, publish.PublisherOptions{}),
		Evidence:  e.Fleet(),
		Set:       func() *catalog.Set { set, _ := d.follower.Set(); return set },
		Now:       time.Now,
		Log:       d.log.Part("rollout"),
	})
	d.dumps.Register("versions", e.Fleet())
	d.dumps.Register("copies", telemetry.DumperFunc(func() any { return copies.Counts() }))
	d.dumps.Register("leases", telemetry.DumperFunc(func() any { return leases.Dump() }))
	handler := callerapi.NewHandler(callerapi.Options{
		Router:   e,
		Set:      func() *catalog.Set { set, _ := d.follower.Set(); return set },
		Limits:   s.Limits,
		Timeouts: s.Timeouts,
		Metrics:  d.metrics,
		Log:      d.log.Part("callers"),
	})
	caller, err := callerapi.Listen(s, handler)
	if err != nil {
		return nil, err
	}
	return d, d.setRole(&entryRole{daemon: d, entry: e, claims: claims, members: members, copies: copies, leases: leases, rollouts: rollouts, orders: orders, caller: caller})
}

// membersState is membership's part of the state dump.
type membersState struct {
	Hosts []membership.Line `json:"hosts"`
	Cost  membership.Stats  `json:"cost"`
}

func (d *Daemon) signer() (*session.Signer, error) {
	var keys []session.Key
	for _, k := range d.settings.SessionKeys {
		keys = append(keys, session.Key{Name: k.Name, Secret: []byte(k.Secret)})
	}
	return session.NewSigner(keys, d.settings.Timeouts.Session)
}

func (r *entryRole) mount(*http.ServeMux) {}

func (r *entryRole) duties() []duty {
	return []duty{
		{"entry", r.entry.Run},
		{"admission", r.entry.Admit},
		{"capacity", r.entry.Measure},
		{"claims", r.claims.Run},
		{"members", r.members.Run},
		{"learner", r.entry.Learn},
		{"copies", r.copies.Run},
		{"orders", r.orders.Run},
		{"rollouts", r.rollouts.Run},
		{"judge", func(ctx context.Context) error { return r.entry.Judge(ctx, r.rollouts) }},
		{"fold", r.daemon.fold(r.leases)},
		{"ratings", func(ctx context.Context) error { return r.entry.Rate(ctx, r.daemon.ports.Ratings) }},
		{"callers", r.caller.Run},
	}
}

func (r *entryRole) ready() error { return r.entry.Ready() }

func (r *entryRole) drain(ctx context.Context) error {
	r.entry.Drain()
	left := r.entry.Wait(ctx)
	r.handInAll(ctx)
	if left > 0 {
		return result.New(result.Stopping, "%d requests were cut at the end of the drain time", left)
	}
	return nil
}

// handInTimeout bounds handing in the copies of charges at a stop; handInPause
// is the pause after a failed try.
const (
	handInTimeout = 10 * time.Second
	handInPause   = 100 * time.Millisecond
)

// handInAll hands in the copies of all charges that are not known to be
// durable, since their agents may die after this entry.
func (r *entryRole) handInAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handInTimeout)
	defer cancel()
	r.copies.GoneAll()
	for r.copies.Counts().Orphans > 0 && ctx.Err() == nil {
		if !r.copies.HandInOnce(ctx) {
			sleep(ctx, handInPause)
		}
	}
	if left := r.copies.Counts().Orphans; left > 0 {
		r.daemon.log.Part("ledger").Warn("copies of charges not handed in", zap.Int("charges", left))
	}
}

func (r *entryRole) addresses(a *Addresses) { a.Caller = r.caller.Addr().String() }
