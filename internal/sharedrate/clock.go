package sharedrate

import "time"

// Clock estimates a clock that all gateways read. The zero value has no estimate.
type Clock struct {
	known bool
	// offset is the shared clock less this host's, as of at on this host's; last is the
	// last reading.
	offset, offsetAt, lastReading time.Duration
}

const (
	// maxDriftRate bounds how fast two clocks drift apart: ten times what the oscillators of
	// servers are specified for, 100 parts in a million.
	maxDriftRate = 0.001
	// maxStepBack is how far reordered readings may go back. A larger step back
	// means that the clock was replaced.
	maxStepBack = 5 * time.Second
)

// Observe records a reading of the shared clock that this host received at receivedAt on its own
// clock. Readings arrive late and never early, so the largest offset is used.
func (c *Clock) Observe(receivedAt, shared time.Duration) {
	if shared <= 0 {
		return // the response carried no reading
	}
	ahead := shared - receivedAt
	if c.known && shared >= c.lastReading-maxStepBack {
		ahead = max(ahead, c.offset-time.Duration(maxDriftRate*float64(max(0, receivedAt-c.offsetAt))))
	} else {
		c.lastReading = 0
	}
	*c = Clock{known: true, offset: ahead, offsetAt: max(c.offsetAt, receivedAt), lastReading: max(c.lastReading, shared)}
}

// Now returns the estimated shared time; ok is false before the first reading.
func (c *Clock) Now(own time.Duration) (shared time.Duration, ok bool) {
	return own + c.offset, c.known
}
