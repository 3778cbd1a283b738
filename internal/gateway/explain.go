package gateway

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/explain"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// maxQuestionBytes bounds the body of a question.
const maxQuestionBytes = 256 << 10

// serveExplain answers where a request would go now, without sending it.
func (g *Gateway) serveExplain(w http.ResponseWriter, in *http.Request) {
	var question explain.Question
	d := json.NewDecoder(http.MaxBytesReader(w, in.Body, maxQuestionBytes))
	d.DisallowUnknownFields()
	status, answer := http.StatusOK, any(nil)
	if err := d.Decode(&question); err != nil {
		status, answer = explainFailure(result.Wrap(err, result.BadJSON, "the question cannot be read"))
	} else if e, err := g.explain(question, time.Now()); err != nil {
		status, answer = explainFailure(err)
	} else {
		answer = e
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.counters.callersGone.Inc(1) // the client has disconnected
	}
}

func explainFailure(e *result.Error) (int, explain.Failure) {
	return e.Code.HTTPStatus(), explain.Failure{Code: int(e.Code), Message: e.Message}
}

// explain runs the decisions on a request that is not sent: nothing is charged, marked,
// learned or counted. The error tells that there is no such request.
func (g *Gateway) explain(question explain.Question, now time.Time) (*explain.Explanation, *result.Error) {
	if err := question.Check(); err != nil {
		return nil, err
	}
	q, err := g.explainedRequest(question, now)
	if err != nil {
		return nil, err
	}
	e := &explain.Explanation{
		Route: q.route.Name, Service: q.service, Configuration: q.routeTable.Version(), Services: map[string]int{}, Ages: g.ages(now),
	}
	for _, s := range q.route.Services {
		e.Services[s.Service] = s.Weight
	}
	if err := g.explainAdmission(q, e); err != nil {
		return refusedExplanation(e, q, err), nil
	}
	set, err := g.findCandidates(q, g.models(q), now)
	e.Excluded = g.excluded(q, set.ups, now)
	if err != nil {
		return refusedExplanation(e, q, err), nil
	}
	e.Spread, e.Filled = set.job.Spread != nil, set.job.Fill
	if q.route.Kind != routetable.Stream {
		e.Costs = placement.PlainCosts(set.job, set.loads, g.plainWorkMS(q.service))
	}
	p, err := g.choose(q, set)
	if err != nil {
		return refusedExplanation(e, q, err), nil
	}
	for _, m := range set.job.Models {
		if m.Name == p.choice.Model && q.route.Kind == routetable.Stream {
			e.Costs = placement.EngineCosts(set.job, m, set.loads)
		}
	}
	e.Verdict = explain.Sent
	if e.Wait > 0 {
		e.Verdict = explain.Waits
	}
	e.Upstream, e.Version, e.Model, e.Expected = p.up.ID, p.up.Version, p.choice.Model, p.choice.Expected
	return e, nil
}

// explainedRequest returns the request that a question describes.
func (g *Gateway) explainedRequest(question explain.Question, now time.Time) (*request, *result.Error) {
	table := g.routeTable.Load()
	if table == nil {
		return nil, result.New(result.NoConfiguration, "this gateway has no configuration yet")
	}
	q := &request{
		in:      &http.Request{Method: http.MethodPost, Host: question.Host, RequestURI: question.Path, URL: &url.URL{Path: question.Path}},
		arrived: now, routeTable: table, triedUpstreams: map[string]bool{}, explained: true,
		call: exchange.Call{
			Model: question.Model, Session: question.Session, Budget: question.TimeLeft,
			PromptTokens: question.PromptTokens, MaxTokens: question.MaxTokens, ExpectedTokens: question.ExpectedTokens,
		},
	}
	for _, p := range question.Prompt {
		q.call.Prompt = append(q.call.Prompt, exchange.Part{ID: p.ID, Tokens: p.Tokens})
	}
	if q.route = table.Match(question.Host, question.Path); q.route == nil {
		return nil, result.New(result.NoSuchRoute, "no route matches the host and path")
	}
	if question.Organisation != "" {
		if q.org = table.OrganisationNamed(question.Organisation); q.org == nil {
			return nil, result.New(result.WrongKey, "there is no organisation %s", question.Organisation)
		}
	}
	q.setSize()
	return q, nil
}

// explainAdmission checks the keys, holds and the room for a request.
func (g *Gateway) explainAdmission(q *request, e *explain.Explanation) *result.Error {
	if keyed := !q.route.Anonymous && q.routeTable.RequiresKeys(); keyed {
		if !g.keysTrusted() {
			return g.staleConfigError("keys cannot be checked")
		}
		if q.org == nil {
			return result.New(result.MissingKey, "a key is required")
		}
	}
	if _, held := g.judge(q); held != nil {
		return held
	}
	flow := q.flow()
	if q.route.Kind == routetable.Stream || !g.settings().FairShares || !g.rooms.holds(q.service, flow) {
		return nil
	}
	e.Held = true
	each, _ := g.rooms.serviceTime(q.service)
	wait, refused := g.rooms.queue.Preview(&admission.Request{
		Organisation: organisationName(flow), Target: q.service, Priority: int(flow.Rank), Deadline: q.deadline,
		MaxWait: roomPatience(q.route, each),
	})
	if refused != nil {
		return roomRefusal(q, refused)
	}
	e.Wait = wait
	return nil
}

// excluded returns why upstreams of the request's service are not among the candidates.
func (g *Gateway) excluded(q *request, candidates []fleet.Upstream, now time.Time) map[string]string {
	view := g.fleet.Load()
	if view == nil {
		return nil
	}
	out := map[string]string{}
	listed := view.byService[q.service]
	mark := func(reason string, kept []fleet.Upstream) {
		in := make(map[string]bool, len(kept))
		for _, u := range kept {
			in[u.ID] = true
		}
		for _, u := range listed {
			if _, known := out[u.ID]; !known && !in[u.ID] {
				out[u.ID] = reason
			}
		}
	}
	open := g.drainedDomains.Load().Open(listed, now)
	mark("its failure domain is drained", open)
	available, _ := g.notices.Available(open, now)
	mark("it leaves, or has asked for a pause", available)
	limited := g.limitedBoots(q, available)
	unlimited, _, _ := limited.split(available, make([]placement.Load, len(available)))
	mark("its rate limit or warm-up leaves no room", unlimited)
	mark("the shift of the service keeps this request from its version", candidates)
	return out
}

func (g *Gateway) ages(now time.Time) explain.Ages {
	a := explain.Ages{Confirmed: g.storeContact.age(g.bootClock()), GatewaysHeard: g.reachableGateways(), Gateways: g.gateways()}
	if view := g.fleet.Load(); view != nil {
		a.List = now.Sub(view.at)
	}
	return a
}

// refusedExplanation completes an explanation with a refusal.
func refusedExplanation(e *explain.Explanation, q *request, err *result.Error) *explain.Explanation {
	e.Verdict, e.Code, e.Why, e.RetryAfter = explain.Refused, err.Code.String(), err.Message, q.retryAfter(err)
	return e
}
