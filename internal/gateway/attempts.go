package gateway

import (
	"net/http"
	"time"

	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/result"
)

// attemptFunc sends a request to one upstream. It returns the upstream's answer, unless
// the answer was already streamed to the caller.
type attemptFunc func(p selection) (*answer, attemptResult, error)

// outcome is the result of all attempts for a request.
type outcome struct {
	// failure is nil when an upstream answered successfully.
	failure *result.Error
	// answer is the response of the upstream from: the successful one, or an upstream's
	// own failure when no attempt did better. It is nil for streams that were sent to the
	// caller.
	answer *answer
	from   selection
}

// attemptUpstreams sends the request to one upstream after another until one answers
// successfully or no further attempt is allowed.
func (g *Gateway) attemptUpstreams(q *request, attempt attemptFunc) outcome {
	var out outcome
	connects := connectFailures{}
	g.rateLimits.recordRequest(q, g.bootClock())
	retryGranted := false // the retry was already charged to the budget
	for {
		p, err := g.selectAllowed(q, out.failure != nil)
		if err == nil && q.sent == 0 && connects.none() {
			g.countRequest(q)
		} else if err == nil && q.sent > 0 && !retryGranted && !g.mayRetry(q) {
			err = result.New(result.RetriesSpent, "the budget for repeats is spent").WithRetryAfter(jitter(shortRetryDelay))
		}
		if err != nil {
			if out.failure == nil {
				out.failure = err // the cause of an earlier failure is more specific
			}
			return out
		}
		if q.sent > 0 {
			g.chargeRepeat(q)
		}
		start := time.Now()
		a, v, cause := attempt(p)
		if v == answered && acceptable(q, a) {
			return outcome{answer: a, from: p}
		}
		if retryGranted = v == discarded; retryGranted {
			q.escalated = true
			continue
		}
		if a != nil {
			out.answer, out.from = a, p
		}
		out.failure = q.attemptError(v, p.up.ID, cause)
		if v == notSent {
			g.rateLimits.release(p.grant)
			connects.record(time.Since(start))
		}
		if q.callerGone() || q.outOfMemory || connects.exhausted() || !q.mayTryNext(v, time.Now()) {
			return out
		}
	}
}

// selectAllowed chooses an upstream unless the gateway stops too soon for the request, or
// the request is held, or has failed and is suspected to crash upstreams.
func (g *Gateway) selectAllowed(q *request, failed bool) (selection, *result.Error) {
	if err := g.refuseWhileStopping(q, time.Now()); err != nil {
		return selection{}, err
	}
	suspicion, held := g.judge(q)
	if held != nil {
		return selection{}, held
	}
	if failed && suspicion == quarantine.Suspect {
		return selection{}, result.New(result.RequestHeld, "upstreams crash under requests like this one")
	}
	return g.selectUpstream(q, time.Now())
}

// acceptable reports whether an answer is passed to the caller rather than retried.
func acceptable(q *request, a *answer) bool {
	return a == nil || a.status < http.StatusInternalServerError || !q.route.Repeats()
}

// connectFailures counts the upstreams to which no connection could be opened. The zero
// value is ready to use.
type connectFailures struct{ quick, slow int }

// Limits on failed connects to upstreams for one request.
const (
	// maxSlowConnects limits connects that timed out, each of which costs the caller
	// dialTimeout.
	maxSlowConnects = 3
	// maxQuickConnects limits connects that were refused at once. With half of a service's
	// upstreams crashed, twelve connects in a row are refused for one request in 4,000.
	maxQuickConnects = 12
	// quickConnectTime is the longest time after which a failed connect counts as refused
	// at once.
	quickConnectTime = dialTimeout / 4
)

func (u *connectFailures) record(took time.Duration) {
	if took <= quickConnectTime {
		u.quick++
	} else {
		u.slow++
	}
}

func (u *connectFailures) none() bool { return u.quick+u.slow == 0 }

// exhausted reports whether no further upstream may be tried.
func (u *connectFailures) exhausted() bool {
	return u.slow >= maxSlowConnects || u.quick >= maxQuickConnects
}
