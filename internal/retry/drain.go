package retry

import "time"

// Drain measures how fast a queue empties, for the Retry-After advice of a
// refusal. What it counts, requests or the work in them, is its owner's
// choice. It is not safe for concurrent use; its owner guards it.
type Drain struct {
	// perSecond is the smoothed rate of what left.
	perSecond float64
	left      float64
	from      time.Time
}

const (
	// drainWindow is the time over which departures are counted.
	drainWindow = 500 * time.Millisecond
	// drainSmoothing is the weight of the newest window.
	drainSmoothing = 0.3
	// minAdvice and maxAdvice bound the advice.
	minAdvice = 100 * time.Millisecond
	maxAdvice = time.Minute
	// adviceSpread is the share by which advice is lengthened at most, so
	// that those refused together do not come back together.
	adviceSpread = 0.5
)

// Left notes that the amount has left.
func (d *Drain) Left(amount float64, now time.Time) {
	d.roll(now)
	d.left += amount
}

// roll closes the window when it is over.
func (d *Drain) roll(now time.Time) {
	if d.from.IsZero() {
		d.from = now
		return
	}
	age := now.Sub(d.from)
	if age < drainWindow {
		return
	}
	rate := d.left / age.Seconds()
	if d.perSecond == 0 {
		d.perSecond = rate
	}
	d.perSecond += drainSmoothing * (rate - d.perSecond)
	d.left = 0
	d.from = now
}

// Advice returns when to come back, with the given amount waiting ahead. rnd is a fresh random number from 0 to 1.
func (d *Drain) Advice(waiting float64, now time.Time, rnd float64) time.Duration {
	d.roll(now)
	after := maxAdvice
	if d.perSecond > 0 {
		seconds := waiting / d.perSecond
		after = time.Duration(min(seconds, maxAdvice.Seconds()) * float64(time.Second))
	} else if waiting == 0 {
		after = minAdvice
	}
	after = max(after, minAdvice)
	after += time.Duration(rnd * adviceSpread * float64(after))
	return min(after, maxAdvice)
}

// PerSecond returns the smoothed rate; 0 while nothing was measured.
func (d *Drain) PerSecond() float64 { return d.perSecond }
