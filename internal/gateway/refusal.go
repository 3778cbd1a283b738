package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Retry delays sent to callers.
const (
	// shortRetryDelay is for refusals whose cause another gateway may not have.
	shortRetryDelay = 300 * time.Millisecond
	// drainedRetryDelay is for a service whose failure domains are all drained: domains are
	// drained for many seconds, and callers spread their return over the time they have.
	drainedRetryDelay = 2 * time.Second
	// minRetryDelay is the shortest delay sent to a caller.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryShare is the largest share of its remaining time that a caller waits.
	maxRetryShare = 1.0 / 3
)

// refusal is the body of an error answer of the gateway itself.
type refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// refuse writes an error answer of the gateway itself. If the caller is gone or its body
// broke off, refuse closes the connection instead.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, e *result.Error) {
	g.counters.refused.Inc(1)
	retry := q.retryAfter(e)
	event := "refused"
	if e.Code == result.CallerGone {
		event = g.cutEvent(event)
	}
	g.log.Event(component, event, q.fields(g.stoppingField(), zap.String("code", e.Code.String()), zap.String("outcome", e.Outcome.String()),
		zap.Int("status", e.Code.HTTPStatus()), zap.Duration("retryAfterMs", retry), zap.String("why", e.Message),
		zap.Duration("confirmedMsAgo", g.storeContact.age(g.bootClock())))...)
	if e.Code == result.CallerGone {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(refusal{Code: e.Code.String(), Message: e.Message, Outcome: e.Outcome.String()})
	if err != nil {
		panic(http.ErrAbortHandler) // strings always encode
	}
	h := w.Header()
	g.proto.Refusal(h, q.call, retry)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if g.stopping() || e.Code == result.NoRoom {
		h.Set("Connection", "close")
	}
	w.WriteHeader(e.Code.HTTPStatus())
	if _, err := w.Write(body); err != nil {
		g.counters.callersGone.Inc(1)
	}
}

// retryAfter limits the retry delay to the share of its time that a caller waits. It is
// zero when the request may have run, because then it must not be sent again.
func (q *request) retryAfter(e *result.Error) time.Duration {
	if e.RetryAfter <= 0 || e.Outcome != result.NotRun {
		return 0
	}
	wait := e.RetryAfter
	if q.call.Budget > 0 && e.Code != result.RequestHeld { // a held request is held longer than any caller waits
		left := q.call.Budget - time.Since(q.arrived)
		wait = min(wait, time.Duration(maxRetryShare*float64(left)))
	}
	return max(wait, minRetryDelay)
}
