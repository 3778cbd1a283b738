package following

import "time"

// Clock relates the store's steady clock to this process's, which runs through
// suspensions. Neither runs backward; they may drift apart a little. The zero
// value knows nothing. It is not safe for concurrent use.
type Clock struct {
	known bool
	// ahead is a lower bound of this clock less the store's, at was its last
	// reading on this clock, last the store's.
	ahead    time.Duration
	at, last time.Duration
}

// driftPart bounds how fast the two clocks drift apart: ten times what the
// oscillators of servers are specified for, 100 parts in a million.
const driftPart = 0.001

// Note takes in an answer of the store: its clock was storeNow at some time after
// the call was made, at asked on this clock. A store whose clock went back has
// been replaced, and what was known of the old one is dropped.
func (c *Clock) Note(asked, storeNow time.Duration) {
	if storeNow <= 0 {
		return // the answer does not tell
	}
	if !c.known || storeNow < c.last {
		*c = Clock{known: true, ahead: asked - storeNow, at: asked, last: storeNow}
		return
	}
	c.last = storeNow
	c.ahead = max(asked-storeNow, c.lowerBound(asked))
	c.at = max(c.at, asked)
}

// lowerBound is what the bound has become by the time.
func (c *Clock) lowerBound(now time.Duration) time.Duration {
	return c.ahead - time.Duration(driftPart*float64(max(0, now-c.at)))
}

// Reached returns a time on this clock, now or before, at which the store's clock
// had not passed storeNow yet; ok is false while nothing is known.
func (c *Clock) Reached(storeNow, now time.Duration) (at time.Duration, ok bool) {
	return min(now, storeNow+c.lowerBound(now)), c.known && storeNow > 0
}
