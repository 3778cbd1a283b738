package sharedrate

import "time"

// Clock follows a clock that all gateways read. The zero value knows nothing.
type Clock struct {
	known bool
	// ahead is the shared clock less this host's, as of at on this host's; last is the
	// last reading.
	offset, offsetAt, lastReading time.Duration
}

const (
	// driftPart bounds how fast two clocks drift apart: ten times what the oscillators of
	// servers are specified for, 100 parts in a million.
	maxDriftRate = 0.001
	// backMost is how far readings that overtake one another may go back. A clock that goes
	// back further is another one.
	maxStepBack = 5 * time.Second
)

// Note takes in a reading of the shared clock that came at a time on this host's.
// Readings come late and never early, so the one that is furthest ahead counts.
func (c *Clock) Observe(receivedAt, shared time.Duration) {
	if shared <= 0 {
		return // the reading does not tell
	}
	ahead := shared - receivedAt
	if c.known && shared >= c.lastReading-maxStepBack {
		ahead = max(ahead, c.offset-time.Duration(maxDriftRate*float64(max(0, receivedAt-c.offsetAt))))
	} else {
		c.lastReading = 0
	}
	*c = Clock{known: true, offset: ahead, offsetAt: max(c.offsetAt, receivedAt), lastReading: max(c.lastReading, shared)}
}

// Now returns the shared clock; ok is false while it is not known.
func (c *Clock) Now(own time.Duration) (shared time.Duration, ok bool) {
	return own + c.offset, c.known
}
