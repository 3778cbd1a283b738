package retry

import "time"

// DrainRate measures the departure rate of a queue, from which it computes the Retry-After
// of rejected requests. The unit of the amounts (requests or their work) is up to the
// caller. A DrainRate is not safe for concurrent use.
type DrainRate struct {
	// perSecond is the smoothed departure rate.
	perSecond float64
	// departed is the amount that departed the queue in the current window.
	departed float64
	// windowStart is the start of the current window.
	windowStart time.Time
}

const (
	// drainWindow is the minimum length of a window in which departures are counted.
	drainWindow = 500 * time.Millisecond
	// drainSmoothing is the weight of the newest window in the moving average.
	drainSmoothing = 0.3
	// minRetryAfter and maxRetryAfter are the bounds of Retry-After.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// maxRetryAfterJitter is the maximum jitter as a fraction of Retry-After. It
	// spreads the retries of requests that were rejected together.
	maxRetryAfterJitter = 0.5
)

// RecordDeparture records that the given amount departed the queue at now.
func (d *DrainRate) RecordDeparture(amount float64, now time.Time) {
	d.closeWindow(now)
	d.departed += amount
}

// closeWindow updates the rate and starts a new window if the current one has ended.
func (d *DrainRate) closeWindow(now time.Time) {
	if d.windowStart.IsZero() {
		d.windowStart = now
		return
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < drainWindow {
		return
	}
	rate := d.departed / elapsed.Seconds()
	if d.perSecond == 0 {
		d.perSecond = rate
	}
	d.perSecond += drainSmoothing * (rate - d.perSecond)
	d.departed = 0
	d.windowStart = now
}

// RetryAfter returns the Retry-After of a request behind the given queued amount. rnd is a
// random number from 0 to 1, drawn for each call.
func (d *DrainRate) RetryAfter(queued float64, now time.Time, rnd float64) time.Duration {
	d.closeWindow(now)
	after := maxRetryAfter
	if d.perSecond > 0 {
		seconds := queued / d.perSecond
		after = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	} else if queued == 0 {
		after = minRetryAfter
	}
	after = max(after, minRetryAfter)
	after += time.Duration(rnd * maxRetryAfterJitter * float64(after))
	return min(after, maxRetryAfter)
}

// PerSecond returns the smoothed departure rate, or 0 before the first full window.
func (d *DrainRate) PerSecond() float64 { return d.perSecond }
