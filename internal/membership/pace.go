package membership

import "time"

// pace bounds the bytes of heartbeats by a token bucket.
type pace struct {
	rate   float64
	tokens float64
	at     time.Time
	// size is the smoothed size of one heartbeat.
	size float64
}

func newPace(rate float64) pace {
	return pace{rate: rate, tokens: rate * bytesBurst, size: firstBeatBytes}
}

// refill adds what has come in since the last call.
func (p *pace) refill(now time.Time) {
	if !p.at.IsZero() {
		p.tokens = min(p.rate*bytesBurst, p.tokens+p.rate*now.Sub(p.at).Seconds())
	}
	p.at = now
}

// ready returns when the next heartbeat may be sent.
func (p *pace) ready(now time.Time) time.Time {
	p.refill(now)
	if p.tokens >= p.size {
		return now
	}
	missing := (p.size - p.tokens) / p.rate
	return now.Add(time.Duration(missing * float64(time.Second)))
}

// sent takes the reckoned size of one heartbeat out.
func (p *pace) sent() { p.tokens -= p.size }

// measured corrects the size by what a heartbeat took.
func (p *pace) measured(bytes int) {
	const smoothing = 0.1
	p.tokens -= float64(bytes) - p.size
	p.size += smoothing * (float64(bytes) - p.size)
}
