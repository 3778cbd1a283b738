package entry

import (
	metrics "github.com/rcrowley/go-metrics"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// counters are the entry's metrics.
type counters struct {
	chats      metrics.Counter
	services   metrics.Counter
	answered   metrics.Counter
	refused    metrics.Counter
	unknown    metrics.Counter
	failed     metrics.Counter
	retries    metrics.Counter
	escalated  metrics.Counter
	cancelLost metrics.Counter
	shadows    metrics.Counter
}

func newCounters(m *telemetry.Metrics) counters {
	return counters{
		chats:      m.Counter("entry", "chats"),
		services:   m.Counter("entry", "service_calls"),
		answered:   m.Counter("entry", "answered"),
		refused:    m.Counter("entry", "refused"),
		unknown:    m.Counter("entry", "unknown"),
		failed:     m.Counter("entry", "failed"),
		retries:    m.Counter("entry", "retries"),
		escalated:  m.Counter("entry", "escalated"),
		cancelLost: m.Counter("entry", "cancels_lost"),
		shadows:    m.Counter("entry", "shadows"),
	}
}

// State is the entry's part of the state dump.
type State struct {
	Name      string                `json:"name"`
	Revision  uint64                `json:"revision"`
	Stopping  bool                  `json:"stopping"`
	Running   int64                 `json:"running"`
	Admission admission.State       `json:"admission"`
	Link      link.Counts           `json:"link"`
	Held      []catalog.VersionName `json:"held,omitempty"`
	Estimates int                   `json:"estimates"`
	Upstreams []balance.State       `json:"upstreams"`
}

// Dump implements telemetry.Dumper.
func (e *Entry) Dump() any {
	_, revision := e.config.Set()
	return State{
		Name:      e.name,
		Revision:  revision,
		Stopping:  e.stopping.Load(),
		Running:   e.running.Load(),
		Admission: e.limiter.State(),
		Link:      e.link.Counts(),
		Held:      e.heldVersions(),
		Estimates: e.learner.view().Len(),
		Upstreams: e.picker.States(e.now()),
	}
}
