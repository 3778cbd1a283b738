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
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// selection is the upstream that a request is sent to next.
type selection struct {
	up     fleet.Upstream
	choice placement.Choice
	// grant is the permission to send to an upstream with a rate limit.
	grant sharedrate.Grant
	// unpaced is true for an upstream that takes the request without a grant, since it is
	// only suspected to be cold and no other can take it.
	unpaced bool
	// minSaving is the time that another failure domain had to save.
	minSaving time.Duration
}

// selectUpstream chooses an upstream that has not been tried for the request, and marks it
// as tried.
func (g *Gateway) selectUpstream(q *request, now time.Time) (selection, *result.Error) {
	for range maxSelectAttempts {
		p, err := g.findUpstream(q, g.models(q), now)
		if err != nil {
			return p, err
		}
		// Another request may have used the last grant since findUpstream.
		grant, ok := g.rateLimits.acquire(p.up)
		if ok {
			p.grant = grant
		}
		if ok || p.unpaced {
			q.triedUpstreams[p.up.ID] = true
			return p, nil
		}
	}
	return selection{}, result.New(result.UpstreamBusy, "other requests have used up the rate limits of %s", q.service).
		WithRetryAfter(jitter(shortRetryDelay))
}

// maxSelectAttempts bounds how often an upstream is selected for a request whose grant is
// taken by another request each time.
const maxSelectAttempts = 5

// findUpstream chooses an upstream and one of the models without marking the upstream as
// tried.
func (g *Gateway) findUpstream(q *request, models []placement.Model, now time.Time) (selection, *result.Error) {
	c, err := g.findCandidates(q, models, now)
	if err != nil {
		return selection{}, err
	}
	return g.choose(q, c)
}

// candidateSet is what a placement chooses from.
type candidateSet struct {
	job   placement.Job
	ups   []fleet.Upstream
	loads []placement.Load
	// unpaced is true when the upstreams take the request without a grant.
	unpaced bool
}

// findCandidates returns the upstreams that may take the request now.
func (g *Gateway) findCandidates(q *request, models []placement.Model, now time.Time) (candidateSet, *result.Error) {
	view := g.fleet.Load()
	if view == nil {
		return candidateSet{}, result.New(result.NoConfiguration, "no list of upstreams yet").WithRetryAfter(jitter(shortRetryDelay))
	}
	available, err := g.availableUpstreams(q, view, now)
	if err != nil {
		return candidateSet{}, err
	}
	job := placement.Job{
		Affinity: q.affinity, Shared: q.sharedTokens, Tokens: q.promptTokens, Models: models,
		Target: q.route.Target, TimeLeft: q.timeLeft(now), Domain: g.settings().Domain,
		GossipLags: g.gossip != nil && g.gossip.LimitsAdditionsToDomain(),
		MinSaving:  g.minSaving(q, now),
	}
	if err := g.addMemory(q, &job); err != nil {
		return candidateSet{}, err
	}
	ups, loads, limited := g.candidates(q, &job, available, now)
	unpaced := false
	if len(ups) == 0 {
		ups, loads = g.suspectedOnly(limited)
		unpaced = len(ups) > 0
	}
	if len(ups) == 0 && len(limited.ups) > 0 {
		return candidateSet{}, g.refuseLimited(q, limited.ups, now)
	}
	if len(ups) == 0 {
		return candidateSet{}, result.New(result.NoUpstream, "no upstream of %s can take the request", q.service).
			WithRetryAfter(jitter(shortRetryDelay))
	}
	if q.route.Kind != routetable.Stream && g.rooms.contended(q.service) {
		job.Spread = &[2]float64{rand.Float64(), rand.Float64()}
	}
	return candidateSet{job: job, ups: ups, loads: loads, unpaced: unpaced}, nil
}

// choose chooses among the candidates.
func (g *Gateway) choose(q *request, set candidateSet) (selection, *result.Error) {
	var c placement.Choice
	if q.route.Kind == routetable.Stream {
		c = placement.Engine(set.job, set.loads)
	} else {
		c = placement.Plain(set.job, set.loads, g.plainWorkMS(q.service))
	}
	if c.Index < 0 {
		return selection{}, result.New(result.QueueFull, "%s cannot answer before the deadline", q.service).
			WithRetryAfter(jitter(c.Wait))
	}
	return selection{up: set.ups[c.Index], choice: c, unpaced: set.unpaced, minSaving: set.job.MinSaving}, nil
}

// availableUpstreams returns the upstreams of the request's service outside of drained
// domains that neither leave nor have asked for a pause.
func (g *Gateway) availableUpstreams(q *request, view *fleetView, now time.Time) ([]fleet.Upstream, *result.Error) {
	listed := view.byService[q.service]
	open := g.drainedDomains.Load().Open(listed, now)
	if len(open) == 0 && len(listed) > 0 {
		return nil, result.New(result.DomainDrained, "every upstream of %s is in a drained failure domain", q.service).
			WithRetryAfter(jitterUp(drainedRetryDelay))
	}
	available, pause := g.notices.Available(open, now)
	if len(available) == 0 && pause > 0 {
		return nil, result.New(result.UpstreamBusy, "all upstreams of %s have asked for no requests for now", q.service).
			WithRetryAfter(jitterUp(pause))
	}
	return available, nil
}

// candidates returns the upstreams that may take the request, with their loads, and those
// that only rate limits exclude. It sets in the job whether upstreams should be
// filled one after another.
func (g *Gateway) candidates(q *request, job *placement.Job, all []fleet.Upstream, now time.Time) (
	ups []fleet.Upstream, loads []placement.Load, limited limitedUpstreams,
) {
	peerState := peerShiftState{sessions: g.peerSessionVersions}
	if o, ok := g.shifts.openOrder(q.service); ok {
		peerState.evidence = g.peerEvidence(o, now)
	}
	var allowed []fleet.Upstream
	limitedNow := g.limitedBoots(q, all)
	allowed, job.Fill = g.shifts.allowedUpstreams(shiftQuery{
		service: q.service, session: q.call.Session, sessionPoint: q.sessionPoint(), shortPrompt: job.Fills(), retried: len(q.triedUpstreams) > 0,
		limited: limitedNow,
	}, all, now, peerState)
	ups = make([]fleet.Upstream, 0, len(allowed))
	for _, u := range allowed {
		if !q.triedUpstreams[u.ID] {
			ups = append(ups, u)
		}
	}
	rand.Shuffle(len(ups), func(i, j int) { ups[i], ups[j] = ups[j], ups[i] })
	loads = g.loads.snapshot(ups, now)
	g.addPeerLoads(loads, now)
	if !q.explained {
		limitedNow = g.suspectIdle(q.service, ups, loads, limitedNow, job.GossipLags)
	}
	ups, loads, limited = limitedNow.split(ups, loads)
	job.FillAny = job.Fill && job.GossipLags
	if job.Fill {
		markFailing(loads, g.shifts.evidence(q.service, now).Add(peerState.evidence))
	}
	return ups, loads, limited
}

// plainRequestMS is the assumed time of a request at a plain service until it is learned.
const plainRequestMS = 20.0

// addPeerLoads adds the requests of other gateways that are in flight at the upstreams.
func (g *Gateway) addPeerLoads(loads []placement.Load, now time.Time) {
	if g.gossip == nil {
		return
	}
	others := g.gossip.Peers.Loads(now)
	for i := range loads {
		o := others[peers.Hash(loads[i].ID)]
		loads[i].Running += o.Running
		loads[i].Waiting += o.Waiting
		loads[i].UnreadMS += o.PendingWorkMS
		loads[i].ResidentTokens += o.ResidentTokens
	}
}

// markFailing marks the upstreams of a new version that have failed often enough to be
// avoided.
func markFailing(loads []placement.Load, observed versionshift.EvidenceByClass) {
	for i := range loads {
		loads[i].ExcludeFromFill = observed.Failing(peers.Hash(loads[i].ID))
	}
}

// peerSessionVersions reports the versions on which peers run a session (see
// peers.PeerTable.SessionVersions).
func (g *Gateway) peerSessionVersions(session string) (onOld, onNew bool) {
	if g.gossip == nil {
		return false, false
	}
	return g.gossip.Peers.SessionVersions(session)
}

// models returns the models to choose from: the smallest at first; once its answer was
// discarded, the largest, or the smallest where the largest would be late.
func (g *Gateway) models(q *request) []placement.Model {
	if !q.cascades() {
		return []placement.Model{{
			MSPerToken: promptTokenMS * g.speeds.factor(q.service, q.call.Model), AverageSlowdown: g.loads.latencyRatio(latencyGroup{service: q.service}),
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

// model returns one of the route's models with its speed. Until speeds are learned, each
// model is assumed to process a prompt in half the time of the next larger one.
func (g *Gateway) model(q *request, i int) placement.Model {
	name := q.route.Models[i]
	steps := len(q.route.Models) - 1 - i
	return placement.Model{
		Name: name, MSPerToken: promptTokenMS / float64(int(1)<<steps) * g.speeds.factor(q.service, name),
		AverageSlowdown: g.loads.latencyRatio(latencyGroup{q.service, name}),
	}
}

// promptTokenMS is the assumed time of a large model for one prompt token.
const promptTokenMS = 0.045

// escalate reports whether the answer of a small model is discarded for one of a larger
// model. If so, the retry is charged to the budget.
func (g *Gateway) escalate(q *request, p selection, confidence int, now time.Time) bool {
	last := len(q.route.Models) - 1
	if !q.cascades() || p.choice.Model == q.route.Models[last] || q.sent >= q.route.MaxAttempts {
		return false
	}
	// A discarded answer would hide that its upstream crashes over it.
	if suspicion, _ := g.judge(q); suspicion != quarantine.Free {
		return false
	}
	// The upstream that gave the answer has not failed and may run the larger model too.
	delete(q.triedUpstreams, p.up.ID)
	larger, err := g.findUpstream(q, []placement.Model{g.model(q, last)}, now)
	if err != nil {
		return false
	}
	drop := placement.Escalate(placement.EscalationInput{
		Confidence: confidence, Value: g.values.of(q), Larger: larger.choice, Target: q.route.Target - now.Sub(q.arrived), TimeLeft: q.timeLeft(now),
	})
	if !drop || !g.mayEscalate(q) {
		return false
	}
	g.counters.escalated.Inc(1)
	g.log.Routine(component, "escalated", q.fields(zap.String("from", p.choice.Model), zap.Int("confidence", confidence),
		zap.String("upstream", p.up.ID), zap.Duration("expectedMs", larger.choice.Expected), q.promptField())...)
	return true
}

// sessionPoint is a hash in [0, 1) of the session, equal at every gateway.
func (q *request) sessionPoint() float64 {
	name := q.call.Session
	if name == "" {
		name = q.call.ID
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}
