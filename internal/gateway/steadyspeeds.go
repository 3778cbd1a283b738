package gateway

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/placement"
)

const (
	// speedRefreshInterval is the interval between two sums of what all gateways have seen
	// of the speeds of upstreams.
	speedRefreshInterval = time.Second
	// minSpeedCount is the decayed number of samples below which an upstream's speed is
	// not sent to peers.
	minSpeedCount = 0.5
	// loggedSpeedChange is the logarithm of a change of speed that is logged, once there
	// are minLoggedSamples.
	loggedSpeedChange = 0.35
	minLoggedSamples  = 25.0
)

// followSpeeds keeps the steady speeds of upstreams current until ctx ends.
func (g *Gateway) followSpeeds(ctx context.Context) error {
	logged := map[string]float64{}
	for ctx.Err() == nil {
		sleep(ctx, jitter(speedRefreshInterval))
		if !g.settings().UpstreamSpeeds {
			g.loads.setSteadyFactors(nil)
			continue
		}
		now := time.Now()
		totals := g.loads.speedTotals(now)
		known := map[uint32]placement.SpeedTotal{}
		if g.gossip != nil {
			known = g.gossip.Peers.Speeds(now)
		}
		factors := map[string]float64{}
		for _, id := range g.listedUpstreams() {
			total := known[peers.Hash(id)].Plus(totals[id])
			if total.Count == 0 {
				continue
			}
			factors[id] = total.Factor()
			if change := math.Log(factors[id]) - logged[id]; math.Abs(change) >= loggedSpeedChange && total.Count >= minLoggedSamples {
				logged[id] = math.Log(factors[id])
				g.log.Event(component, "upstream speed", zap.String("upstream", id), zap.Float64("timesAverage", factors[id]), zap.Float64("samples", total.Count))
			}
		}
		for id := range logged {
			if _, ok := factors[id]; !ok {
				delete(logged, id)
			}
		}
		g.loads.setSteadyFactors(factors)
	}
	return nil
}

// listedUpstreams returns the IDs of all listed upstreams.
func (g *Gateway) listedUpstreams() []string {
	view := g.fleet.Load()
	if view == nil {
		return nil
	}
	var out []string
	for _, ups := range view.byService {
		for _, u := range ups {
			out = append(out, u.ID)
		}
	}
	return out
}

func (tr *loadTracker) setSteadyFactors(factors map[string]float64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.steadyFactors = factors
}

// speedTotals returns what this gateway has seen of the speeds of upstreams.
func (tr *loadTracker) speedTotals(now time.Time) map[string]placement.SpeedTotal {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := map[string]placement.SpeedTotal{}
	for id, t := range tr.ups {
		if total := t.steady.Total(now.Sub(processStart)); total.Count >= minSpeedCount {
			out[id] = total
		}
	}
	return out
}

// addSpeeds adds the speeds of upstreams to a gossip message if they are due.
func (g *Gateway) addSpeeds(n *gossipv1.News, now time.Time) {
	if !g.settings().UpstreamSpeeds || now.Sub(g.speedsSent) < speedRefreshInterval {
		return
	}
	g.speedsSent = now
	byHash := map[uint32]placement.SpeedTotal{}
	for id, t := range g.loads.speedTotals(now) {
		byHash[peers.Hash(id)] = t
	}
	peers.AddSpeeds(n, byHash)
}
