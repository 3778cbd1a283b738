package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/chat"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/retry"
	"tarragonbay.example/tarragonbay/internal/route"
	"tarragonbay.example/tarragonbay/internal/wait"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// engineChatPath is the path of chat completions at a model engine.
const engineChatPath = "/v1/chat/completions"

// stepRun is one step of a plan: attempts of one version.
type stepRun struct {
	*chatRun
	step    route.Step
	index   int
	key     quality.Key
	streams bool
	// exploring is set when the choice was made to learn.
	exploring bool
	body      []byte
	// shadowed is set when a shadow of the plan sends the request once more.
	shadowed bool
	tried    balance.TriedUpstreams
	// upstream is the last one tried.
	upstream string
	started  time.Time
	// backlog is the queue for each slot that the last load report showed.
	backlog float64
	// granted is how many answers the version was granted when it was last
	// asked, spentHosts how many hosts have refused since.
	granted, spentHosts int
}

// runStep runs attempts of one step. It reports whether its answer was given
// to the caller, or false for a draft that the next step replaces.
func (r *chatRun) runStep(plan *route.Plan, i int) (kept bool, failure *result.Error) {
	step := plan.Step(i)
	s := &stepRun{chatRun: r, step: step, index: i, key: plan.Key(i), streams: plan.Streams(i), exploring: plan.Exploring}
	s.shadowed = plan.Shadow.Len() > 0
	last := i == plan.Len()-1
	s.body = r.call.Body.Rewrite(chat.Upstream{
		Version:  string(step.Version),
		Stream:   r.call.Stream,
		Logprobs: !last,
	})
	s.started = r.entry.now()
	if r.pin != "" {
		s.granted, _ = r.entry.fleet.GrantForecast(s.key)
	}
	for {
		out, failure := s.try()
		if failure == nil {
			return s.conclude(out, last)
		}
		if err := s.again(failure); err != nil {
			s.exclude(err)
			return false, err
		}
	}
}

// dropBody lets go of the request once its answer has begun to reach the
// caller: no attempt or step can follow.
func (s *stepRun) dropBody() {
	s.body = nil
	if !s.shadowed {
		s.call.Body = chat.Body{}
	}
}

// exclude keeps a version that takes no work out of the next plan.
func (s *stepRun) exclude(failure *result.Error) {
	if !replannable(failure) {
		return
	}
	s.without = append(s.without, s.step.Version)
	if failure.Code == result.ExposureSpent {
		s.entry.spent.rest(s.step.Version, s.upstream, s.entry.now())
	}
}

// again waits for the next attempt, or returns the final error.
func (s *stepRun) again(failure *result.Error) *result.Error {
	if err := s.request.MayTry(); err != nil {
		return failure
	}
	if s.spentHere(failure) {
		return s.againElsewhere(failure)
	}
	d := s.retries.Next(s.failed(failure), s.entry.now(), rand.Float64())
	if d.Final != nil {
		return d.Final
	}
	s.entry.metrics.retries.Inc(1)
	if !wait.For(s.ctx, d.Wait) {
		return failure
	}
	return nil
}

// failed is the failure as the retry plan takes it. When every upstream was
// tried, each may be tried again.
func (s *stepRun) failed(failure *result.Error) retry.Failure {
	f := retry.Failure{
		Err:           failure,
		AnswerStarted: s.request.Released(),
		AllTried:      !s.entry.picker.HasUntriedUpstream(s.choose(), s.entry.now()),
	}
	if f.AllTried {
		s.tried = balance.TriedUpstreams{}
	}
	return f
}

// try makes one attempt.
func (s *stepRun) try() (*output, *result.Error) {
	e := s.entry
	choice, err := s.pick()
	if err != nil {
		return nil, result.From(err)
	}
	s.tried.Add(choice.Upstream)
	s.upstream = choice.Upstream
	id := uuid.NewString()
	if err := s.request.Begin(id); err != nil {
		return nil, result.From(err)
	}
	e.picker.Started(choice)
	sent := e.now()
	stream, err := e.link.Attempt(s.ctx, choice.Agent, s.message(id, choice))
	out := &output{step: s, attemptID: id}
	if err == nil {
		err = out.read(stream)
	}
	stream.Close()
	return out, s.close(sentAttempt{id, choice, sent, stream, err})
}

// pick chooses an upstream. For a version in a roll-out those that have spent
// their share of its budget are left for last.
func (s *stepRun) pick() (balance.Choice, error) {
	e := s.entry
	req := s.choose()
	if s.step.RollingOut && e.spent.avoid(s.step.Version, e.now(), &req.Tried) {
		if choice, err := e.picker.Pick(req, e.now(), e.random()); err == nil {
			return choice, nil
		}
		req.Tried = s.tried
	}
	return e.picker.Pick(req, e.now(), e.random())
}

// choose is what the choice of the next upstream depends on.
func (s *stepRun) choose() *balance.Request {
	return &balance.Request{
		Target:       balance.Target{Version: s.step.Version},
		Prefix:       s.call.Prefix,
		PromptTokens: s.call.PromptTokens,
		Tried:        s.tried,
	}
}

func (s *stepRun) message(id string, choice balance.Choice) *linkv1.AttemptRequest {
	return &linkv1.AttemptRequest{
		RequestId:    s.call.RequestID,
		AttemptId:    id,
		Step:         uint32(s.index),
		Organisation: s.call.Organisation,
		Version:      string(s.step.Version),
		Upstream:     choice.Upstream,
		Priority:     uint32(s.priority),
		Session:      s.pin != "",
		RequestClass: s.key.SampleClass(),
		News:         s.entry.fleet.RatingCounts(s.step.Version),
		Rate:         s.rated(),
		Call: &linkv1.Call{
			Method:      http.MethodPost,
			Path:        engineChatPath,
			ContentType: "application/json",
			Body:        s.body,
			Stream:      s.call.Stream,
			Idempotent:  true,
		},
	}
}

// ratedPerSecond bounds the answers that all entries together have rated beside
// those of new versions and of tries; each has an equal share. Up to that rate
// every answer is rated: a version in use that turns bad is found by its ratings.
// Every entry reads every rating, so the bound is not one for each.
const ratedPerSecond = 100

// leastRated is the least share of an entry.
const leastRated = 1

// newRatedLimiter returns the bound of one of so many entries.
func newRatedLimiter(entries int) *rate.Limiter {
	share := max(leastRated, ratedPerSecond/entries)
	return rate.NewLimiter(rate.Limit(share), share)
}

// rated reports whether the answer is handed in for rating.
func (s *stepRun) rated() bool {
	return s.step.RollingOut || s.exploring || s.entry.ratings.Allow()
}

// close records the end of the attempt and what it told of the load.
func (s *stepRun) close(a sentAttempt) *result.Error {
	failure := s.entry.closeAttempt(s.ctx, s.request, a)
	latency := s.entry.now().Sub(a.at)
	if load := a.stream.Load(); load != nil {
		s.queued = int(load.GetQueued())
		s.slots = int(load.GetSlots())
		s.backlog = quality.Backlog(s.queued, s.slots)
	}
	s.entry.tellFleet(watch.AttemptEnd{Key: s.key, Host: a.choice.Host, Latency: latency, Backlog: s.backlog}, failure)
	s.busy = s.busy || (failure != nil && failure.Code == result.UpstreamBusy)
	return failure
}

// ran is how long the step has taken, without the time in which a session
// waited for its version's budget.
func (s *stepRun) ran() time.Duration {
	return s.entry.now().Sub(s.started) - s.waited
}

// conclude gives the answer to the caller, or drops a draft.
func (s *stepRun) conclude(out *output, last bool) (kept bool, failure *result.Error) {
	e := s.entry
	e.learner.answered(s.key, s.ran(), out.usage.OutputTokens, s.backlog)
	if !last {
		escalated := out.confidence() < s.step.Escalate
		e.learner.drafted(s.key, escalated)
		if escalated {
			e.metrics.escalated.Inc(1)
			if s.step.RollingOut {
				e.fleet.Unserved(s.step.Version)
			}
			return false, nil
		}
	}
	if err := out.deliver(); err != nil {
		return false, result.From(err)
	}
	if s.step.RollingOut {
		e.unrated.answered(s.step.Version, s.call.RequestID, e.now())
	}
	return true, nil
}

// begin is what the caller is told when the answer starts.
func (s *stepRun) begin() (callerapi.Start, error) {
	token, err := s.token(string(s.step.Version))
	if err != nil {
		return callerapi.Start{}, err
	}
	return callerapi.Start{
		Version:      string(s.step.Version),
		SessionToken: token,
		Revision:     s.revision,
	}, nil
}
