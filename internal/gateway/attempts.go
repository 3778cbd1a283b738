package gateway

import (
	"net/http"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// attempt sends a request to one upstream. It returns the upstream's answer,
// unless that was streamed to the caller already.
type attemptFunc func(p selection) (*answer, attemptResult, error)

// outcome is how the attempts for a request ended.
type outcome struct {
	// failure is nil when an upstream answered well.
	failure *result.Error
	// answer is what the upstream at from answered: the good answer, or its
	// own failure when nothing better came. It is nil for streams that went
	// to the caller.
	answer *answer
	from   selection
}

// attempts tries upstreams until one answers well or no other may be tried.
func (g *Gateway) attemptUpstreams(q *request, try attemptFunc) outcome {
	var out outcome
	connects := connectFailures{}
	g.rateLimits.recordRequest(q, g.bootClock())
	retryGranted := false // the repeat was drawn from the budget already
	for {
		p, err := g.selectUpstream(q, time.Now())
		if err == nil && q.sent == 0 && connects.none() {
			g.countRequest(q)
		} else if err == nil && q.sent > 0 && !retryGranted && !g.mayRetry(q) {
			err = result.New(result.RetriesSpent, "the budget for repeats is spent").WithRetryAfter(jitter(shortRetryDelay))
		}
		if err != nil {
			if out.failure == nil {
				out.failure = err // the cause of an earlier failure says more
			}
			return out
		}
		start := time.Now()
		a, v, cause := try(p)
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
		if q.callerGone() || connects.exhausted() || !q.mayTryNext(v, time.Now()) {
			return out
		}
	}
}

// good reports whether an answer is passed on rather than tried again.
func acceptable(q *request, a *answer) bool {
	return a == nil || a.status < http.StatusInternalServerError || !q.route.Repeats()
}

// unsentTries counts the upstreams that could not be connected to. The zero value
// counts none.
type connectFailures struct{ quick, slow int }

// Limits on upstreams that could not be connected to.
const (
	// maxSlow bounds those that did not answer in time, each of which costs the caller
	// dialTime.
	maxSlowConnects = 3
	// maxQuick bounds those that refused at once: with half of a service's upstreams
	// crashed, twelve refuse in a row once in 4,000 requests.
	maxQuickConnects = 12
	// quickDial is the longest time of a refusal at once.
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

// enough reports whether no other upstream is tried.
func (u *connectFailures) exhausted() bool {
	return u.slow >= maxSlowConnects || u.quick >= maxQuickConnects
}
