package balance

import (
	"sync/atomic"
	"time"
)

// ramp is a slow start: the share of its slots that an upstream takes grows
// from a tenth to all. The zero value takes all.
type ramp struct {
	// from is when it began in Unix nanoseconds; 0 means that there is none.
	from atomic.Int64
}

// minRamp is the share of its slots that an upstream takes at the start.
const minRamp = 0.1

func (r *ramp) begin(now int64) { r.from.Store(now) }

// share is the part of the slots that may be used now.
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
	return max(minRamp, float64(age)/float64(slowStart))
}
