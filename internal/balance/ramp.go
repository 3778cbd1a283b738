package balance

import (
	"sync/atomic"
	"time"
)

// ramp is a slow start: the share of its slots that an upstream may use grows
// from minRampShare to 1. The zero value allows all slots.
type ramp struct {
	// from is when the slow start began in Unix nanoseconds; 0 means that none
	// is in progress.
	from atomic.Int64
}

// minRampShare is the share of its slots that an upstream may use at first.
const minRampShare = 0.1

func (r *ramp) begin(now int64) { r.from.Store(now) }

// share returns the share of the slots that may be used now.
func (r *ramp) share(now int64, slowStart time.Duration) float64 {
	from := r.from.Load()
	if from == 0 {
		return 1
	}
	age := now - from
	if age >= int64(slowStart) {
		r.from.CompareAndSwap(from, 0)
		return 1
	}
	return max(minRampShare, float64(age)/float64(slowStart))
}
