package gateway

import (
	"encoding/json"
	"net/http"
	"runtime"
	runtimemetrics "runtime/metrics"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"tarragonbay.example/tarragonbay/internal/crossing"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// counters are the gateway's metrics.
type counters struct {
	registry *telemetry.Metrics

	requests, answered, refused, callersGone                    metrics.Counter
	failedAttempts, retryBudgetSpent, abortedStreams, escalated metrics.Counter
	limitedSends, limitedRefusals, held, roomRefusals           metrics.Counter
	left, leftBytes                                             metrics.Counter
	configs, storeLost, storeFailures, turnedUnready            metrics.Counter
	answerTime, firstEvent, roomWait                            *telemetry.Timer

	mu    sync.Mutex
	ready bool
}

func newCounters(m *telemetry.Metrics) *counters {
	return &counters{
		registry:         m,
		requests:         m.Counter(component, "requests"),
		answered:         m.Counter(component, "answered"),
		refused:          m.Counter(component, "refused"),
		callersGone:      m.Counter(component, "callers_gone"),
		failedAttempts:   m.Counter(component, "failed_tries"),
		retryBudgetSpent: m.Counter(component, "repeat_budget_spent"),
		abortedStreams:   m.Counter(component, "cut_streams"),
		escalated:        m.Counter(component, "escalated"),
		limitedSends:     m.Counter(component, "limited_sends"),
		held:             m.Counter(component, "held"),
		configs:          m.Counter(component, "configurations"),
		limitedRefusals:  m.Counter(component, "limited_refusals"),
		storeLost:        m.Counter(component, "store_lost"),
		storeFailures:    m.Counter(component, "store_failures"),
		turnedUnready:    m.Counter(component, "turned_unready"),
		answerTime:       m.Timer(component, "answer"),
		firstEvent:       m.Timer(component, "first_event"),
		roomRefusals:     m.Counter(component, "room_refusals"),
		left:             m.Counter(component, "left_domain"),
		leftBytes:        m.Counter(component, "left_domain_bytes"),
		roomWait:         m.Timer(component, "room_wait"),
	}
}

// recordReady records the readiness and reports whether it changed.
func (c *counters) recordReady(ok bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ready == ok {
		return false
	}
	c.ready = ok
	if !ok {
		c.turnedUnready.Inc(1)
	}
	return true
}

func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	limited, full, sampled := g.log.Dropped()
	g.counters.registry.Gauge(component, "log_lines_over_budget").Update(limited)
	g.counters.registry.Gauge(component, "log_lines_queue_full").Update(full)
	g.counters.registry.Gauge(component, "log_lines_sampled_out").Update(sampled)
	g.counters.registry.Gauge(component, "heap_bytes").Update(heapInUse())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := g.counters.registry.WriteText(w); err != nil {
		g.counters.callersGone.Inc(1) // the client has disconnected
	}
}

// heapInUse returns the bytes of heap that hold objects, including dead objects that have
// not been collected yet.
func heapInUse() int64 {
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/unused:bytes"}}
	runtimemetrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}

// dump is the state of the process as served to operators at /dump.
type dump struct {
	Name      string         `json:"name"`
	Ready     bool           `json:"ready"`
	Why       string         `json:"why,omitempty"`
	Version   int64          `json:"configuration"`
	Confirmed time.Duration  `json:"confirmedNanosAgo"`
	Upstreams map[string]int `json:"upstreams"`
	// Limits are the rates in requests per second that upstreams take from all gateways
	// together, as they announced or while they warm up.
	Limits map[string]float64 `json:"limits,omitempty"`
	// DrainedDomains are the failure domains that the operator has drained.
	DrainedDomains []string `json:"drainedDomains,omitempty"`
	// Domains counts what was sent to each failure domain since the start.
	Domains map[string]crossing.Traffic `json:"domains,omitempty"`
	// Rooms describes the capacity of plain services.
	Rooms      map[string]RoomState `json:"rooms,omitempty"`
	Running    int                  `json:"running"`
	Goroutines int                  `json:"goroutines"`
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	d := dump{Name: g.settings().Name, Confirmed: g.storeContact.age(g.bootClock()), Upstreams: map[string]int{},
		Limits: map[string]float64{}, Rooms: g.rooms.dump(), Domains: g.crossings.totals(), Running: g.conns.running(), Goroutines: runtime.NumGoroutine()}
	d.Ready, d.Why = g.ready()
	d.DrainedDomains = g.drainedDomains.Load().Domains(time.Now())
	if t := g.routeTable.Load(); t != nil {
		d.Version = t.Version()
	}
	if v := g.fleet.Load(); v != nil {
		for s, ups := range v.byService {
			d.Upstreams[s] = len(ups)
			g.rateLimits.dump(ups, g.bootClock(), d.Limits)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		g.counters.callersGone.Inc(1) // the client has disconnected
	}
}
