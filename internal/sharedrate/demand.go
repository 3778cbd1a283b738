package sharedrate

import (
	"math"
	"time"
)

// demand tracks the rate and the values of one gateway's requests for a service.
type demand struct {
	// values is a ring buffer of the values of the last requests.
	values [valueSamples]float64
	total  int
	// decayed is the exponentially decayed number of requests as of decayedAt.
	decayed   float64
	decayedAt time.Duration
	// advertised is the level last sent to peers.
	advertised Level
	// lastRetryAt is the latest retry time given to a caller.
	lastRetryAt time.Duration
}

const (
	// valueSamples is large enough to distinguish the top tenth of requests.
	valueSamples = 64
	// rateDecayTime is the time constant of the decay of the request rate.
	rateDecayTime = 4 * time.Second
)

// request counts a request.
func (d *demand) request(value float64, now time.Duration) {
	d.decayed = d.decayedCount(now) + 1
	d.decayedAt = now
	d.values[d.total%valueSamples] = value
	d.total++
}

func (d *demand) decayedCount(now time.Duration) float64 {
	return d.decayed * math.Exp(-max(0, now-d.decayedAt).Seconds()/rateDecayTime.Seconds())
}

func (d *demand) perSecond(now time.Duration) float64 {
	return d.decayedCount(now) / rateDecayTime.Seconds()
}

// fractionAbove returns the fraction of recent requests with a higher value.
func (d *demand) fractionAbove(value float64) float64 {
	n, more := min(d.total, valueSamples), 0
	for _, w := range d.values[:n] {
		if w > value {
			more++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(more) / float64(n)
}

// shouldUseGrant reports whether a request of this value should use one of the grants, the
// first of which expires after expiresIn, or leave it to a more valuable request. With m random
// arrivals expected for each grant, waiting yields one of rank m/(m+2) on average.
func (d *demand) shouldUseGrant(value float64, grants int, expiresIn, now time.Duration) bool {
	expectedArrivals := d.perSecond(now) * expiresIn.Seconds() / float64(grants)
	return d.fractionAbove(value) < 2/(expectedArrivals+2)
}
