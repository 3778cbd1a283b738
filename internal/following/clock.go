package following

import "time"

// Clock relates the store's monotonic clock to this process's, which keeps running
// while the machine is suspended. Neither runs backward; they may drift apart slightly.
// The zero value holds no observation. It is not safe for concurrent use.
type Clock struct {
	known bool
	// minOffset is a lower bound of this process's clock minus the store's. lastLocal is
	// the local time of the latest observation, lastStore the store's clock in it.
	minOffset            time.Duration
	lastLocal, lastStore time.Duration
}

// maxDriftRate bounds the rate at which the two clocks drift apart: ten times the
// 100 parts in a million that oscillators of servers are specified for.
const maxDriftRate = 0.001

// Observe records an observation of the store's clock: it showed storeNow at some time
// after the call was sent, at sentAt on the local clock. A store whose clock went back
// has been replaced; earlier observations are then dropped.
func (c *Clock) Observe(sentAt, storeNow time.Duration) {
	if storeNow <= 0 {
		return // the response carries no store time
	}
	if !c.known || storeNow < c.lastStore {
		*c = Clock{known: true, minOffset: sentAt - storeNow, lastLocal: sentAt, lastStore: storeNow}
		return
	}
	c.lastStore = storeNow
	c.minOffset = max(sentAt-storeNow, c.minOffsetAt(sentAt))
	c.lastLocal = max(c.lastLocal, sentAt)
}

// minOffsetAt returns minOffset less the drift that is possible between the latest
// observation and now.
func (c *Clock) minOffsetAt(now time.Duration) time.Duration {
	return c.minOffset - time.Duration(maxDriftRate*float64(max(0, now-c.lastLocal)))
}

// LocalTimeBefore returns a local time, not after now, at which the store's clock had not
// yet passed storeNow. ok is false before the first observation and if storeNow is not
// positive.
func (c *Clock) LocalTimeBefore(storeNow, now time.Duration) (at time.Duration, ok bool) {
	return min(now, storeNow+c.minOffsetAt(now)), c.known && storeNow > 0
}
