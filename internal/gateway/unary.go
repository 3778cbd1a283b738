package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// answer is an upstream's complete answer.
type answer struct {
	status int
	header http.Header
	body   h1.Body
	// restRequested is true when the upstream asks for no requests for some time. This
	// counts neither against its version nor as a failure of the upstream.
	restRequested bool
}

// failed reports whether the answer is a failure of the upstream itself.
func (a *answer) failed() bool { return a.status >= http.StatusInternalServerError && !a.restRequested }

// attemptResult is the result of one attempt at one upstream.
type attemptResult uint8

const (
	// answered: the upstream's answer is complete.
	answered attemptResult = iota
	// notSent: no part of the request reached the upstream.
	notSent
	// notRun: the upstream states that it did not run the request.
	notRun
	// misdirected: another upstream has the address now, and did not run the request.
	misdirected
	// outcomeUnknown: the request may have run.
	outcomeUnknown
	// discarded: the confidence of a small model's answer was too low.
	discarded
)

// maxAnswerBytes bounds the answer of a plain service that is held in memory.
const maxAnswerBytes = 8 << 20

// Limits on reading the body of a refusal, which is done only to reuse the connection.
const (
	maxRefusalBytes = 64 << 10
	// refusalReadTimeout is well above a round trip and too short for callers to notice.
	refusalReadTimeout = 100 * time.Millisecond
)

// Limits on attempts.
const (
	// firstAttemptShare is the share of the remaining time that a retryable request waits
	// at one upstream before it goes to the next.
	firstAttemptShare = 0.45
	// minAttemptTime is the minimum remaining time for another attempt.
	minAttemptTime = 30 * time.Millisecond
)

// unary serves a request of a plain service. The whole answer is read before any of it is
// forwarded, so that the caller never receives a partial answer.
func (g *Gateway) unary(w http.ResponseWriter, q *request) {
	done, refusal := g.waitForRoom(q)
	if refusal != nil {
		g.refuse(w, q, refusal)
		return
	}
	defer done()
	o := g.attemptUpstreams(q, func(p selection) (*answer, attemptResult, error) { return g.attemptUnary(q, p) })
	if o.answer != nil {
		g.writeAnswer(w, q, o.from, o.answer)
		return
	}
	g.refuse(w, q, q.finalError(o.failure))
}

// mayTryNext reports whether another upstream may be tried after the result v.
func (q *request) mayTryNext(v attemptResult, now time.Time) bool {
	if q.timeLeft(now) < minAttemptTime || q.sent >= q.route.MaxAttempts {
		return false
	}
	return v == notSent || v == notRun || v == misdirected || q.route.Repeats()
}

// attemptLimit is when an attempt that begins now is given up.
func (q *request) attemptLimit(now time.Time) time.Time {
	if q.route.Kind == routetable.Repeatable && q.sent+1 < q.route.MaxAttempts {
		return now.Add(time.Duration(firstAttemptShare * float64(q.timeLeft(now))))
	}
	return q.deadline
}

// isUpstreamFault reports whether an attempt without an answer counts as a failure of its
// upstream.
func (q *request) isUpstreamFault(v attemptResult, cause error) bool {
	switch v {
	case outcomeUnknown:
		return !q.callerGone() && !q.outOfMemory && !errors.Is(cause, errStopped)
	case notSent:
		return !errors.Is(cause, errCallerLeft) && !errors.Is(cause, errStopped)
	}
	return v == misdirected
}

// attemptError converts the result of an attempt into the error that the caller gets if no
// other attempt follows.
func (q *request) attemptError(v attemptResult, upstream string, cause error) *result.Error {
	switch {
	case q.callerGone():
		return result.Wrap(cause, result.CallerGone, "the caller went away")
	case v == notSent:
		return result.Wrap(cause, result.NoUpstream, "upstream %s cannot be reached", upstream).WithRetryAfter(jitter(shortRetryDelay))
	case v == notRun || v == misdirected:
		return result.Wrap(cause, result.UpstreamBusy, "upstream %s did not run the request", upstream).WithRetryAfter(jitter(shortRetryDelay))
	case errors.Is(cause, errStopped):
		return result.Wrap(cause, result.OutcomeUnknown, "this gateway stopped before upstream %s had answered", upstream)
	case time.Now().After(q.deadline):
		return result.Wrap(cause, result.DeadlineExceeded, "the deadline has passed")
	}
	return result.Wrap(cause, result.AnswerCut, "the answer of upstream %s did not come whole", upstream)
}

// finalError replaces the outcome "not run" if an earlier attempt may have run.
func (q *request) finalError(e *result.Error) *result.Error {
	if e.Outcome == result.NotRun && q.mayHaveRun {
		return result.Wrap(e, result.OutcomeUnknown, "an earlier attempt may have run: %s", e.Message)
	}
	return e
}

// attemptUnary sends the request to one upstream and reads its answer.
func (g *Gateway) attemptUnary(q *request, p selection) (*answer, attemptResult, error) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(q.in.Context(), q.attemptLimit(now))
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	s := g.loads.startSend(latencyGroup{service: q.service}, p.up.ID, p.choice)
	a, framed, v, err := g.exchange(ctx, q, p)
	err = g.stopCause(err)
	g.recordAttemptEnd(q, p, attemptEnd{verdict: v, err: err, began: true, framed: framed})
	failed := q.isUpstreamFault(v, err) || (a != nil && a.failed())
	if v == answered {
		s.promptDone()
	}
	s.finish(failureWeight(v, failed), time.Now())
	if failed && a == nil {
		g.suspectRestart(p.up)
	}
	g.observeAnswer(q, p, a, v, now)
	g.observeRoom(q, p, v, time.Since(now))
	if v != answered || failed {
		g.counters.failedAttempts.Inc(1)
		g.log.Event(component, "try failed", q.fields(append(g.attemptFields(p, v), q.promptField(), q.repeatField(), statusField(a), eventlog.Error(err))...)...)
	}
	return a, v, err
}

// attemptFields returns the log fields of a failed attempt.
func (g *Gateway) attemptFields(p selection, v attemptResult) []zap.Field {
	f := []zap.Field{
		zap.String("upstream", p.up.ID), zap.String("version", p.up.Version), zap.String("verdict", v.String()),
		zap.String("model", p.choice.Model), zap.Duration("expectedMs", p.choice.Expected),
		zap.Int("running", p.choice.Running), zap.Int("active", p.choice.Active), zap.Int("slots", p.choice.Slots), zap.Float64("doubt", p.choice.FailureScore),
	}
	if view := g.fleet.Load(); view != nil {
		f = append(f, zap.Uint64("listRev", view.rev), zap.Duration("listMsAgo", time.Since(view.at)))
	}
	return f
}

func statusField(a *answer) zap.Field {
	if a == nil {
		return zap.Skip()
	}
	return zap.Int("upstreamStatus", a.status)
}

// String returns the result as it is logged.
func (v attemptResult) String() string {
	return [...]string{"answered", "not sent", "not run", "not there", "unknown", "dropped"}[v]
}

// exchange sends the request and reads the whole answer; framed is true when the answer shows
// by itself that it is whole.
func (g *Gateway) exchange(ctx context.Context, q *request, p selection) (a *answer, framed bool, v attemptResult, err error) {
	e, head, v, err := g.sendRequest(ctx, q, p, q.call.ResumeAfter)
	if err != nil || v != answered {
		return nil, false, v, err
	}
	resp := e.Response()
	body, err := e.ReadAll(maxAnswerBytes, q.reserveMemory)
	if err != nil {
		e.Abort()
		return nil, false, outcomeUnknown, err
	}
	e.Finish(g.pool, poolKey(p.up), head.KeepFor, time.Now())
	g.learnAnswerBytes(q, body.Len())
	if !head.Sealed {
		return nil, false, outcomeUnknown, result.New(result.UpstreamFailed, "upstream %s sent no seal", p.up.ID)
	}
	return g.newAnswer(resp, head, body), e.Framed(), answered, nil
}

// newAnswer returns an upstream's complete answer.
func (g *Gateway) newAnswer(resp *http.Response, head exchange.Answer, body h1.Body) *answer {
	return &answer{status: resp.StatusCode, header: g.proto.ResponseHeaders(resp.Header), body: body, restRequested: head.RestFor > 0}
}

// errCallerLeft means that the caller left, or its deadline passed, before the request was
// sent.
var errCallerLeft = errors.New("the caller no longer waits for the answer")

// sendRequest sends the request and reads the head of the answer. Unless the result is
// answered, the exchange is already closed.
func (g *Gateway) sendRequest(ctx context.Context, q *request, p selection, resumeAfter string) (*h1.Exchange, exchange.Answer, attemptResult, error) {
	var head exchange.Answer
	conn, err := g.pool.Get(ctx, poolKey(p.up), p.up.Address, time.Now())
	if err != nil {
		return nil, head, notSent, err
	}
	now := time.Now()
	if g.conns.callerClosed(q.in.Context()) || q.timeLeft(now) <= 0 {
		g.pool.PutUnused(poolKey(p.up), conn, now)
		q.callerLost = q.timeLeft(now) > 0
		return nil, head, notSent, errCallerLeft
	}
	to := exchange.Target{
		UpstreamID: p.up.ID, Model: p.choice.Model, Budget: q.timeLeft(now),
		ResumeAfter: resumeAfter, Urgency: q.urgency(),
	}
	if q.org != nil {
		to.Organisation = q.org.Name
	}
	q.sent++
	q.sentAt = now
	g.recordLimitedSend(q, p)
	g.recordCrossing(q, p, now)
	sent := g.bootClock()
	g.shifts.recordSend(q.call.Session, q.service, p.up.Version, now)
	e, err := h1.Start(ctx, conn, &h1.Request{
		Method: q.in.Method, URI: q.in.RequestURI, Host: q.in.Host,
		Header: g.proto.Onward(q.in.Header, q.call, to), Body: q.body,
	}, func(resp *http.Response) bool {
		head = g.proto.Answer(resp)
		return head.ID == q.call.ID || (head.ID == "" && !conn.Reused)
	})
	if err != nil {
		q.mayHaveRun = true
		return nil, head, outcomeUnknown, err
	}
	g.applyNotices(q, p, head, sent, time.Now())
	if !head.NotRun {
		q.mayHaveRun = true
		return e, head, answered, nil
	}
	status := e.Response().StatusCode
	// The body is not used; reading it allows the connection to be reused if it ends soon.
	if e.DiscardBody(maxRefusalBytes, refusalReadTimeout) {
		e.Finish(g.pool, poolKey(p.up), head.KeepFor, time.Now())
	} else {
		e.Abort()
	}
	v := notRun
	if head.Misdirected {
		v = misdirected
	}
	return nil, head, v, result.New(result.UpstreamBusy, "upstream %s refused with status %d", p.up.ID, status)
}

// writeAnswer writes a complete answer of an upstream to the caller.
func (g *Gateway) writeAnswer(w http.ResponseWriter, q *request, p selection, a *answer) {
	h := w.Header()
	setHeaders(h, a.header)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(a.body.Len()))
	}
	if g.stopping() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(a.status)
	if _, err := a.body.WriteTo(w); err != nil {
		g.counters.callersGone.Inc(1)
		g.log.Event(component, "caller gone", q.fields(eventlog.Error(err))...)
		return
	}
	g.counters.answered.Inc(1)
	g.counters.answerTime.Observe(time.Since(q.arrived))
	write := g.log.Routine
	if a.status >= http.StatusInternalServerError {
		write = g.log.Event // a failure of the upstream itself, forwarded unchanged
	}
	write(component, "answered", q.fields(zap.Int("status", a.status), zap.String("upstream", p.up.ID),
		zap.String("version", p.up.Version))...)
}

// setHeaders copies an upstream's headers and keeps the HTTP server from adding its own
// Content-Type and Date.
func setHeaders(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	for _, k := range []string{"Content-Type", "Date"} {
		if _, ok := to[k]; !ok {
			to[k] = nil
		}
	}
}
