package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/retrywindow"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// picked is where a request goes next.
type selection struct {
	up     fleet.Upstream
	choice placement.Choice
	// grant is the right to send to an upstream that names a limit.
	grant sharedrate.Grant
}

// pick chooses an upstream that the request has not been sent to, and counts
// that it is tried.
func (g *Gateway) selectUpstream(q *request, now time.Time) (selection, *result.Error) {
	for range maxSelectAttempts {
		p, err := g.findUpstream(q, g.models(q), now)
		if err != nil {
			return p, err
		}
		// Another request may have used the last grant since the look.
		if grant, ok := g.rateLimits.acquire(p.up); ok {
			p.grant = grant
			q.tried[p.up.ID] = true
			return p, nil
		}
	}
	return selection{}, result.New(result.UpstreamBusy, "other requests were faster at the limits of %s", q.service).
		WithRetryAfter(jitter(shortRetryDelay))
}

// mostLooks bounds the looks of a request whose grant goes to another one each time.
const maxSelectAttempts = 5

// look chooses an upstream and one of the models without counting it.
func (g *Gateway) findUpstream(q *request, models []placement.Model, now time.Time) (selection, *result.Error) {
	view := g.fleet.Load()
	if view == nil {
		return selection{}, result.New(result.NoConfiguration, "no list of upstreams yet").WithRetryAfter(jitter(shortRetryDelay))
	}
	job := placement.Job{
		Affinity: q.affinity, Shared: q.sharedTokens, Tokens: q.promptTokens, Models: models,
		Target: q.route.Target, Left: q.timeLeft(now), Domain: g.settings().Domain,
		Lagging: g.gossip != nil && g.gossip.Lags(),
	}
	open, rest := g.notices.Open(view.byService[q.service], now)
	if len(open) == 0 && rest > 0 {
		return selection{}, result.New(result.UpstreamBusy, "all upstreams of %s want nothing for now", q.service).
			WithRetryAfter(jitterUp(rest))
	}
	ups, loads, limited := g.candidates(q, &job, open, now)
	if len(ups) == 0 && len(limited) > 0 {
		return selection{}, g.refuseLimited(q, limited, now)
	}
	if len(ups) == 0 {
		return selection{}, result.New(result.NoUpstream, "no upstream of %s can take the request", q.service).
			WithRetryAfter(jitter(shortRetryDelay))
	}
	var c placement.Choice
	if q.route.Kind == routetable.Stream {
		c = placement.Engine(job, loads)
	} else {
		c = placement.Plain(job, loads, plainRequestMS)
	}
	if c.Index < 0 {
		return selection{}, result.New(result.QueueFull, "%s cannot answer before the caller leaves", q.service).
			WithRetryAfter(jitter(c.Wait))
	}
	return selection{up: ups[c.Index], choice: c}, nil
}

// candidates returns the upstreams that may take the request, with their loads, and those
// that could but for the limits that they name. It notes in the job whether they should be
// filled.
func (g *Gateway) candidates(q *request, job *placement.Job, all []fleet.Upstream, now time.Time) (
	ups []fleet.Upstream, loads []placement.Load, limited []fleet.Upstream,
) {
	peerState := peerShiftState{sessions: g.peerSessionVersions}
	if o, ok := g.shifts.openOrder(q.service); ok {
		peerState.evidence = g.peerEvidence(o, now)
	}
	var allowed []fleet.Upstream
	limitedNow := g.limitedBoots(q, all)
	allowed, job.Fill = g.shifts.allowedUpstreams(shiftQuery{
		service: q.service, session: q.call.Session, point: q.sessionPoint(), short: job.Fills(), retried: len(q.tried) > 0,
		limited: limitedNow,
	}, all, now, peerState)
	ups = make([]fleet.Upstream, 0, len(allowed))
	for _, u := range allowed {
		if !q.tried[u.ID] {
			ups = append(ups, u)
		}
	}
	ups, limited = limitedNow.split(ups)
	rand.Shuffle(len(ups), func(i, j int) { ups[i], ups[j] = ups[j], ups[i] })
	loads = g.loads.snapshot(ups, now)
	g.addPeerLoads(loads, now)
	job.FillAny = job.Fill && job.Lagging
	if job.Fill {
		markFailing(loads, g.shifts.evidence(q.service, now).Add(peerState.evidence))
	}
	return ups, loads, limited
}

// plainWorkMS is the usual time of a request at a plain service.
const plainRequestMS = 20.0

// addPeers adds what other gateways have under way at the upstreams.
func (g *Gateway) addPeerLoads(loads []placement.Load, now time.Time) {
	if g.gossip == nil {
		return
	}
	others := g.gossip.Book.Loads(now)
	for i := range loads {
		o := others[peers.Hash(loads[i].ID)]
		loads[i].Running += o.Running
		loads[i].Waiting += o.Waiting
		loads[i].UnreadMS += o.UnreadMS
	}
}

// passFailing marks the upstreams of a new version that have failed often enough.
func markFailing(loads []placement.Load, seen versionshift.Seen) {
	for i := range loads {
		loads[i].Passed = seen.Failing(peers.Hash(loads[i].ID))
	}
}

// elsewhere tells what peers know of a session (see peers.Book.Versions).
func (g *Gateway) peerSessionVersions(session string) (onOld, onNew bool) {
	if g.gossip == nil {
		return false, false
	}
	return g.gossip.Book.Versions(session)
}

// models returns the models to choose from now: the smallest until its answer
// was dropped, then the largest, or the smallest where that would be late.
func (g *Gateway) models(q *request) []placement.Model {
	if !q.cascades() {
		return []placement.Model{{
			MSPerToken: promptTokenMS * g.speeds.factor(q.service, q.call.Model), Late: g.loads.latencyRatio(latencyGroup{service: q.service}),
		}}
	}
	small, large := g.model(q, 0), g.model(q, len(q.route.Models)-1)
	if q.escalated {
		return []placement.Model{small, large}
	}
	return []placement.Model{small}
}

// cascades reports whether the gateway chooses the model.
func (q *request) cascades() bool {
	return q.call.Model == exchange.AnyModel && len(q.route.Models) > 0
}

// model returns one of the route's models with its speed. Until it is learned,
// larger ones read more slowly by a half for each step.
func (g *Gateway) model(q *request, i int) placement.Model {
	name := q.route.Models[i]
	steps := len(q.route.Models) - 1 - i
	return placement.Model{
		Name: name, MSPerToken: promptTokenMS / float64(int(1)<<steps) * g.speeds.factor(q.service, name),
		Late: g.loads.latencyRatio(latencyGroup{q.service, name}),
	}
}

// readMS is the time of a large model for one prompt token, in milliseconds.
const promptTokenMS = 0.045

// escalate reports whether a small model's answer is dropped, and for which
// upstream. It draws on the budget for repeats when it is.
func (g *Gateway) escalate(q *request, p selection, confidence int, now time.Time) bool {
	last := len(q.route.Models) - 1
	if !q.cascades() || p.choice.Model == q.route.Models[last] || q.sent >= q.route.MaxAttempts {
		return false
	}
	// The upstream that gave the answer has not failed and may run the larger
	// model as well.
	delete(q.tried, p.up.ID)
	larger, err := g.findUpstream(q, []placement.Model{g.model(q, last)}, now)
	if err != nil {
		return false
	}
	drop := placement.Escalate(placement.Opinion{
		Confidence: confidence, Larger: larger.choice, Target: q.route.Target - now.Sub(q.arrived), Left: q.timeLeft(now),
	})
	if !drop || !g.mayEscalate(q) {
		return false
	}
	g.counters.escalated.Inc(1)
	g.log.Routine(component, "escalated", q.fields(zap.String("from", p.choice.Model), zap.Int("confidence", confidence),
		zap.String("upstream", p.up.ID), zap.Duration("expectedMs", larger.choice.Expected))...)
	return true
}

// sessionPoint is a number in [0, 1) that all requests of a session share, at
// every gateway.
func (q *request) sessionPoint() float64 {
	name := q.call.Session
	if name == "" {
		name = q.call.ID
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// mayRepeat asks the service's budget for one more send after a failure.
func (g *Gateway) mayRetry(q *request) bool { return g.drawRetry(q, (*retrywindow.Window).Extra) }

// mayChooseAgain asks it for one more send to a larger model.
func (g *Gateway) mayEscalate(q *request) bool { return g.drawRetry(q, (*retrywindow.Window).Choice) }

func (g *Gateway) drawRetry(q *request, ask func(*retrywindow.Window, time.Duration, retrywindow.Bound) bool) bool {
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	now := time.Since(g.started)
	ok := ask(g.retryBudget(q.service), now, g.retryBound(now))
	if !ok {
		g.counters.budgetSpent.Inc(1)
		g.log.Event(component, "repeat denied", q.fields(zap.String("service", q.service))...)
	}
	return ok
}

// countRequest adds the request to its service's budget.
func (g *Gateway) countRequest(q *request) {
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	g.retryBudget(q.service).Request(time.Since(g.started))
}

func (g *Gateway) retryBudget(service string) *retrywindow.Window {
	w := g.retryBudgets[service]
	if w == nil {
		w = retrywindow.New(g.settings().RepeatWindow)
		g.retryBudgets[service] = w
	}
	return w
}

// repeatBound is this gateway's part of the budget that all gateways share. The
// caller holds the lock of the budgets.
func (g *Gateway) retryBound(now time.Duration) retrywindow.Bound {
	sharers := 1 // a gateway without an address for news is the only one
	if g.gossip != nil {
		sharers = g.budgetSharers.Most(g.gossip.Gateways(), now, g.settings().RepeatWindow)
	}
	return retrywindow.Part(retrywindow.Bound{Ratio: g.settings().RepeatRatio, Slack: g.settings().RepeatSlack}, sharers)
}
