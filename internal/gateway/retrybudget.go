package gateway

import (
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
)

// mayRetry draws one more send after a failure from the service's retry budget.
func (g *Gateway) mayRetry(q *request) bool { return g.drawRetry(q, false) }

// mayEscalate draws one more send to a larger model from the budget.
func (g *Gateway) mayEscalate(q *request) bool { return g.drawRetry(q, true) }

func (g *Gateway) drawRetry(q *request, optional bool) bool {
	now := g.sinceStart()
	g.retryBudgetsMu.Lock()
	demand := g.retryDemand(now)
	demand.Optional = optional
	budget := g.retryBudget(peers.Hash(q.service))
	ok := budget.Extra(now, demand)
	var state retrywindow.State
	if !ok {
		state = budget.State(now, demand)
	}
	g.retryBudgetsMu.Unlock()
	if !ok {
		g.counters.retryBudgetSpent.Inc(1)
		g.log.Event(component, "repeat denied", q.fields(zap.String("service", q.service), zap.Bool("optional", optional),
			zap.Int("gateways", demand.Gateways), zap.Int("requests", state.Requests), zap.Int("extra", state.Extra),
			zap.Float64("left", state.Left), zap.Float64("share", state.Share), zap.Bool("wholeWindow", state.WholeWindow),
			zap.Bool("told", state.Peers), zap.Float64("toldLeft", state.Told))...)
	}
	return ok
}

// sinceStart returns the time since the start of the process, which includes the time in
// which the machine was suspended: upstreams count that too.
func (g *Gateway) sinceStart() time.Duration { return g.bootClock() - g.startedOnBootClock }

// retryDemand returns what a retry after a failure asks of a budget. The caller holds
// retryBudgetsMu.
func (g *Gateway) retryDemand(now time.Duration) retrywindow.Demand {
	demand := retrywindow.Demand{
		All:      retrywindow.Bound{Ratio: g.settings().RepeatRatio, Slack: g.settings().RepeatSlack},
		Gateways: 1, // a gateway without a gossip address assumes that it is the only one
	}
	if g.gossip != nil {
		demand.Gateways = g.retryGatewayCount.Max(g.gossip.Gateways(), now, g.settings().RepeatWindow)
		demand.Round = peers.RoundInterval(demand.Gateways - 1)
	}
	return demand
}

// countRequest adds the request to its service's retry budget.
func (g *Gateway) countRequest(q *request) {
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	g.retryBudget(peers.Hash(q.service)).Request(g.sinceStart())
}

// retryBudget returns the budget of a service. The caller holds retryBudgetsMu.
func (g *Gateway) retryBudget(service uint32) *retrywindow.Fleet {
	b := g.retryBudgets[service]
	if b == nil {
		b = retrywindow.NewFleet(g.settings().RepeatWindow, 0)
		g.retryBudgets[service] = b
	}
	return b
}

// addBudgets adds what this gateway has counted for its budgets to a gossip message.
func (g *Gateway) addBudgets(n *gossipv1.News) {
	now := g.sinceStart()
	g.retryBudgetsMu.Lock()
	demand := g.retryDemand(now)
	totals, heard := make(map[uint32]retrywindow.Totals, len(g.retryBudgets)), map[string]bool{}
	for service, b := range g.retryBudgets {
		totals[service] = b.Totals(now, demand)
		for _, name := range b.HeardPeers(now, demand) {
			heard[name] = true
		}
	}
	g.retryBudgetsMu.Unlock()
	peers.AddBudgets(n, totals, heard)
}

// receiveBudgets adds what a peer has counted to the budgets.
func (g *Gateway) receiveBudgets(from string, incarnation uint64, totals map[uint32]retrywindow.Totals) {
	now, round := g.sinceStart(), peers.RoundInterval(g.gateways()-1)
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	for service, t := range totals {
		g.retryBudget(service).Heard(from, incarnation, t, now, round)
	}
}
