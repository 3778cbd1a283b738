package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// rates are one organisation's request and token limits.
type rates struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// burstTime is how long an organisation may save up its rate.
const burstTime = 2 * time.Second

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

// withRate returns a limiter with the rate. One that had a rate keeps what is
// spent; one that had none starts with a full burst.
func withRate(l *rate.Limiter, perSecond float64, now time.Time) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	burst := int(math.Ceil(perSecond * burstTime.Seconds()))
	if l.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	l.SetBurstAt(now, burst)
	l.SetLimitAt(now, rate.Limit(perSecond))
	return l
}

// take spends one request and the tokens it asks for, or spends nothing and
// returns the time to come back.
func (r *rates) take(req *Request, now time.Time) time.Duration {
	one := r.requests.ReserveN(now, 1)
	if after := one.DelayFrom(now); after > 0 {
		one.CancelAt(now)
		return after
	}
	many := r.tokens.ReserveN(now, r.clamp(req.OutputTokens))
	if after := many.DelayFrom(now); after > 0 {
		many.CancelAt(now)
		one.CancelAt(now)
		return after
	}
	return 0
}

// clamp keeps a request larger than the whole burst possible.
func (r *rates) clamp(tokens int) int {
	if r.tokens.Limit() == rate.Inf {
		return tokens
	}
	return min(tokens, r.tokens.Burst())
}
