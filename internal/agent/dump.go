package agent

import (
	metrics "github.com/rcrowley/go-metrics"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// counters are the agent's metrics.
type counters struct {
	attempts metrics.Counter
	refused  metrics.Counter
	answered metrics.Counter
	failed   metrics.Counter
	settled  metrics.Counter
}

func newCounters(m *telemetry.Metrics) counters {
	return counters{
		attempts: m.Counter("agent", "attempts"),
		refused:  m.Counter("agent", "refused"),
		answered: m.Counter("agent", "answered"),
		failed:   m.Counter("agent", "failed"),
		settled:  m.Counter("agent", "settled"),
	}
}

// State is the agent's part of the state dump.
type State struct {
	Host        string            `json:"host"`
	Incarnation uint64            `json:"incarnation"`
	Revision    uint64            `json:"revision"`
	Stopping    bool              `json:"stopping"`
	Leaving     bool              `json:"leaving"`
	Running     int               `json:"running"`
	Attempts    attempt.Counts    `json:"attempts"`
	Logs        int               `json:"logs"`
	LogBytes    int64             `json:"logBytes"`
	Upstreams   []UpstreamState   `json:"upstreams"`
	Quarantined []string          `json:"quarantined,omitempty"`
	Metered     []watch.MeterLine `json:"metered,omitempty"`
	Durable     uint64            `json:"durableCharge"`
}

// UpstreamState is one upstream in the state dump.
type UpstreamState struct {
	Name     string          `json:"name"`
	Address  string          `json:"address"`
	Versions []string        `json:"versions,omitempty"`
	Service  string          `json:"service,omitempty"`
	Healthy  bool            `json:"healthy"`
	Leaving  bool            `json:"leaving"`
	Gate     admission.State `json:"gate"`
}

// Dump implements telemetry.Dumper.
func (a *Agent) Dump() any {
	_, revision := a.config.Set()
	s := State{
		Host:        a.host,
		Incarnation: a.incarnation,
		Revision:    revision,
		Stopping:    a.stopping.Load(),
		Leaving:     a.leaving.Load(),
		Running:     a.Running(),
		Attempts:    a.registry.Counts(),
		Durable:     a.charger.Durable(),
	}
	s.Logs, s.LogBytes = a.logs.Held()
	for _, u := range a.hosted.all() {
		s.Upstreams = append(s.Upstreams, UpstreamState{
			Name:     u.name,
			Address:  u.config.Address,
			Versions: u.config.Versions,
			Service:  u.config.Service,
			Healthy:  u.healthy.Load(),
			Leaving:  u.leaving.Load() || u.config.Leaving,
			Gate:     u.gate.State(),
		})
	}
	s.Quarantined = a.watch.Quarantined(a.now())
	s.Metered = a.watch.Meters()
	return s
}
