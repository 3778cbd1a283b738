package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// rates holds the request and token rate limiters of an organisation.
type rates struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// burstWindow is the time over which an organisation may accumulate unused rate.
const burstWindow = 2 * time.Second

func newRates() *rates {
	return &rates{
		requests: rate.NewLimiter(rate.Inf, 1),
		tokens:   rate.NewLimiter(rate.Inf, 1),
	}
}

func (r *rates) set(l catalog.Limits, share float64, now time.Time) {
	r.requests = withRate(r.requests, l.RequestsPerSecond*share, now)
	r.tokens = withRate(r.tokens, l.TokensPerSecond*share, now)
}

// withRate returns a limiter with the given rate. A limiter that had a rate keeps its
// tokens; one without a rate is replaced by a limiter with a full burst.
func withRate(l *rate.Limiter, perSecond float64, now time.Time) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	burst := int(math.Ceil(perSecond * burstWindow.Seconds()))
	if l.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	l.SetBurstAt(now, burst)
	l.SetLimitAt(now, rate.Limit(perSecond))
	return l
}

// take uses up one request and its output tokens and returns 0. If a rate is
// exceeded, it uses up nothing and returns the time until a retry can succeed.
func (r *rates) take(req *Request, now time.Time) time.Duration {
	requestReservation := r.requests.ReserveN(now, 1)
	if after := requestReservation.DelayFrom(now); after > 0 {
		requestReservation.CancelAt(now)
		return after
	}
	tokenReservation := r.tokens.ReserveN(now, r.clampToBurst(req.OutputTokens))
	if after := tokenReservation.DelayFrom(now); after > 0 {
		tokenReservation.CancelAt(now)
		requestReservation.CancelAt(now)
		return after
	}
	return 0
}

// clampToBurst limits tokens to the burst, so that a larger request can be admitted
// at all.
func (r *rates) clampToBurst(tokens int) int {
	if r.tokens.Limit() == rate.Inf {
		return tokens
	}
	return min(tokens, r.tokens.Burst())
}
