package membership

import "time"

// byteLimiter limits the bytes of heartbeats with a token bucket.
type byteLimiter struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
	// heartbeatBytes is the smoothed size of one heartbeat.
	heartbeatBytes float64
}

func newByteLimiter(rate float64) byteLimiter {
	return byteLimiter{rate: rate, tokens: rate * burstSeconds, heartbeatBytes: initialHeartbeatBytes}
}

// refill adds the tokens for the time since the last call.
func (l *byteLimiter) refill(now time.Time) {
	if !l.refilledAt.IsZero() {
		l.tokens = min(l.rate*burstSeconds, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}

// ready returns when the next heartbeat may be sent.
func (l *byteLimiter) ready(now time.Time) time.Time {
	l.refill(now)
	if l.tokens >= l.heartbeatBytes {
		return now
	}
	missing := (l.heartbeatBytes - l.tokens) / l.rate
	return now.Add(time.Duration(missing * float64(time.Second)))
}

// spend takes the estimated size of one heartbeat out of the bucket.
func (l *byteLimiter) spend() { l.tokens -= l.heartbeatBytes }

// recordSize corrects the bucket and the estimate by the size of a completed heartbeat.
func (l *byteLimiter) recordSize(bytes int) {
	const smoothing = 0.1
	l.tokens -= float64(bytes) - l.heartbeatBytes
	l.heartbeatBytes += smoothing * (float64(bytes) - l.heartbeatBytes)
}
