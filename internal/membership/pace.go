package membership

import "time"

// byteLimiter bounds the bytes of heartbeats by a token bucket.
type byteLimiter struct {
	rate   float64
	tokens float64
	refilledAt     time.Time
	// heartbeatBytes is the smoothed heartbeatBytes of one heartbeat.
	heartbeatBytes float64
}

func newByteLimiter(rate float64) byteLimiter {
	return byteLimiter{rate: rate, tokens: rate * burstSeconds, heartbeatBytes: initialHeartbeatBytes}
}

// refill adds what has come in since the last call.
func (p *byteLimiter) refill(now time.Time) {
	if !p.refilledAt.IsZero() {
		p.tokens = min(p.rate*burstSeconds, p.tokens+p.rate*now.Sub(p.refilledAt).Seconds())
	}
	p.refilledAt = now
}

// ready returns when the next heartbeat may be sent.
func (p *byteLimiter) ready(now time.Time) time.Time {
	p.refill(now)
	if p.tokens >= p.heartbeatBytes {
		return now
	}
	missing := (p.heartbeatBytes - p.tokens) / p.rate
	return now.Add(time.Duration(missing * float64(time.Second)))
}

// spend takes the reckoned size of one heartbeat out.
func (p *byteLimiter) spend() { p.tokens -= p.heartbeatBytes }

// recordSize corrects the size by what a heartbeat took.
func (p *byteLimiter) recordSize(bytes int) {
	const smoothing = 0.1
	p.tokens -= float64(bytes) - p.heartbeatBytes
	p.heartbeatBytes += smoothing * (float64(bytes) - p.heartbeatBytes)
}
