package daemon

import (
	"context"
	"net/http"
	"time"

	"tarragonbay.example/tarragonbay/internal/agent"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/platform"
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
}

func (r *agentRole) duties() []duty {
	return []duty{
		{"agent", r.agent.Run},
		{"charges", r.charger.Run},
		{"probe", r.agent.Probe},
		{"hosts", r.watchHosts},
	}
}

// hostListEvery is the pause between two reads of the host list.
const hostListEvery = time.Second

// watchHosts tells the agent what the host list says of its host.
func (r *agentRole) watchHosts(ctx context.Context) error {
	tick := time.NewTicker(hostListEvery)
	defer tick.Stop()
	for {
		list, err := r.daemon.ports.Hosts.List(ctx)
		if err == nil {
			r.agent.SetLeaving(isLeaving(list, r.daemon.settings.Name))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// isLeaving reports whether the list says that the host leaves. A host that is
// not on the list is taken to stay: the list lags.
func isLeaving(list []platform.HostState, name string) bool {
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
