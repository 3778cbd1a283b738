package daemon

import (
	"context"
	"net/http"
	"time"

	"tarragonbay.example/tarragonbay/internal/agent"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/platform"
	"tarragonbay.example/tarragonbay/internal/result"
)

// agentRole runs beside the upstreams of one host.
type agentRole struct {
	daemon *Daemon
	agent  *agent.Agent
}

// NewAgent composes an agent.
func NewAgent(o Options) (*Daemon, error) {
	d, err := newDaemon(o)
	if err != nil {
		return nil, err
	}
	a := agent.New(agent.Options{
		Host:        d.settings.Name,
		Incarnation: d.incarnation,
		Config:      d.follower,
		Charger:     d.charger(),
		Timing:      d.timing(),
		Log:         d.log.Part("agent"),
		Metrics:     d.metrics,
	})
	d.dumps.Register("agent", a)
	return d, d.setRole(&agentRole{daemon: d, agent: a})
}

func (r *agentRole) mount(mux *http.ServeMux) {
	mux.Handle(link.NewHandler(r.agent, r.agent.Logs()))
}

func (r *agentRole) duties() []duty {
	return []duty{
		{"agent", r.agent.Run},
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
	if left := r.agent.Stop(ctx); left > 0 {
		return result.New(result.Stopping, "%d attempts were cut at the end of the drain time", left)
	}
	return nil
}

func (r *agentRole) addresses(*Addresses) {}
