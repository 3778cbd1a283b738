package daemon

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/agent"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/learned"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/membership"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// agentRole runs beside the upstreams of one host.
type agentRole struct {
	daemon  *Daemon
	agent   *agent.Agent
	sampler *watch.Sampler
	charger *ledger.Charger
}

// NewAgent composes an agent.
func NewAgent(o Options) (*Daemon, error) {
	d, err := newDaemon(o)
	if err != nil {
		return nil, err
	}
	charger := d.newCharger()
	sampler := watch.NewSampler(d.ports.Ratings)
	a := agent.New(agent.Options{
		Host:        d.settings.Name,
		Incarnation: d.incarnation,
		Config:      d.follower,
		Charger:     charger,
		Watch:       watch.NewHost(d.settings.Name),
		Sampler:     sampler,
		Marks:       d.ports.Table,
		Timing:      d.timing(),
		Log:         d.log.Part("agent"),
		Metrics:     d.metrics,
	})
	d.dumps.Register("agent", a)
	d.dumps.Register("charges", telemetry.DumperFunc(func() any { return charger.Counts() }))
	return d, d.setRole(&agentRole{daemon: d, agent: a, sampler: sampler, charger: charger})
}

func (r *agentRole) mount(mux *http.ServeMux) {
	mux.Handle(link.NewHandler(r.agent, r.agent.Logs()))
	mux.Handle(learned.NewAgentHandler(r.daemon.follower.Senders))
}

func (r *agentRole) duties() []duty {
	return []duty{
		{"agent", r.agent.Run},
		{"charges", r.charger.Run},
		{"probe", r.agent.Probe},
		{"hosts", r.listWatch().Run},
	}
}

// listWatch reads the host list at a bounded rate: it tells the agent what the
// list says of its own host, and other hosts what it has just begun to say of
// them.
func (r *agentRole) listWatch() *membership.ListWatch {
	d := r.daemon
	client := d.linkClient()
	return membership.NewListWatch(membership.ListOptions{
		Self:  d.settings.Name,
		Hosts: d.ports.Hosts,
		OnRead: func(list []ports.HostState, _ int, err error) {
			if err == nil {
				r.agent.SetLeaving(isLeaving(list, d.settings.Name))
			}
		},
		Notify: func(ctx context.Context, host string, leaving bool) {
			addr := agentOf(d.set(), host)
			if addr == "" {
				return
			}
			req := &linkv1.ReportRequest{HostLeaving: &leaving}
			if _, err := client.Report(ctx, addr, req); err != nil {
				d.log.Part("hosts").Info("host not told", zap.String("host", host), zap.Error(err))
			}
		},
	})
}

// agentOf returns the address of a host's agent, or "".
func agentOf(set *catalog.Set, host string) string {
	if set == nil {
		return ""
	}
	for _, u := range set.Upstreams {
		if u.Host == host {
			return u.Agent
		}
	}
	return ""
}

// isLeaving reports whether the list says that the host leaves. A host that is
// not on the list is taken to stay: the list lags.
func isLeaving(list []ports.HostState, name string) bool {
	for _, h := range list {
		if h.Name == name {
			return h.Leaving
		}
	}
	return false
}

func (r *agentRole) ready() error {
	_, err := r.daemon.follower.Current()
	return err
}

func (r *agentRole) drain(ctx context.Context) error {
	left := r.agent.Stop(ctx)
	r.sampler.Close()
	if left > 0 {
		return result.New(result.Stopping, "%d attempts were cut at the end of the drain time", left)
	}
	return nil
}

func (r *agentRole) addresses(*Addresses) {}
