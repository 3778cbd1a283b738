package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Times to come back.
const (
	// shortRetry is for refusals that another gateway may not share.
	shortRetryDelay = 300 * time.Millisecond
	// leastRetry is the shortest time a caller is told.
	minRetryDelay = 100 * time.Millisecond
	// retryPart of the time a caller has left is the most that it honours.
	maxRetryShare = 1.0 / 3
)

// refusal is the body of an answer of the gateway's own.
type refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// refuse answers with an error of the gateway's own. A caller that is gone, or
// whose body broke off, gets its connection closed instead.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, e *result.Error) {
	g.counters.refused.Inc(1)
	retry := q.retryAfter(e)
	g.log.Event(component, "refused", q.fields(zap.String("code", e.Code.String()), zap.String("outcome", e.Outcome.String()),
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
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(e.Code.HTTPStatus())
	if _, err := w.Write(body); err != nil {
		g.counters.callersGone.Inc(1)
	}
}

// retryAfter bounds the time to come back by what the caller honours. It is
// zero when the request may have run, because then it must not come again.
func (q *request) retryAfter(e *result.Error) time.Duration {
	if e.RetryAfter <= 0 || e.Outcome != result.NotRun {
		return 0
	}
	wait := e.RetryAfter
	if q.call.Budget > 0 {
		left := q.call.Budget - time.Since(q.arrived)
		wait = min(wait, time.Duration(maxRetryShare*float64(left)))
	}
	return max(wait, minRetryDelay)
}
