package retrywindow

import (
	"math"
	"time"
)

// kept is the number of buckets whose counts are kept: a window that begins now is measured
// against the requests of the one before it too.
const kept = 2*buckets + 1

// history holds the counts of the last two windows, the present bucket last.
type history struct {
	// at is the number of the present bucket since the epoch of the clock.
	at              int64
	requests, extra [kept]int
}

// add adds the counts of a window of the same length, unless they are too old.
func (h *history) add(w *Window) {
	for i := range w.ring {
		if o := &w.ring[i]; o.requests != 0 || o.extra != 0 {
			h.count(o.at, o.requests, o.extra)
		}
	}
}

// addHistory adds the counts of another time.
func (h *history) addHistory(o *history) {
	for i := range o.requests {
		h.count(o.at-int64(kept-1-i), o.requests[i], o.extra[i])
	}
}

// count adds counts of a bucket. Those of a later one than the present, of a caller that took
// the time later and came first, count as of the present one.
func (h *history) count(at int64, requests, extra int) {
	if ago := max(0, h.at-at); ago < kept {
		h.requests[kept-1-ago] += requests
		h.extra[kept-1-ago] += extra
	}
}

// leastLeft returns the fewest extra sends that are left in any window that begins within the
// last one, apart from the last one itself. A window is measured against its own requests, those of
// the window before it or of the one half a window before it, whichever has most; what
// callers will send is unknown, so it does not count. allowed returns the extra sends that a
// number of requests allows; more requests allow no fewer.
func (h *history) leastLeft(allowed func(requests float64) float64) float64 {
	const half = buckets / 2
	var before [kept + 1]int
	for i, n := range h.requests {
		before[i+1] = before[i] + n
	}
	between := func(first, end int) int { return before[min(end, kept)] - before[max(first, 0)] }
	left, extra, fewest := math.Inf(1), 0, math.MaxInt
	for first := kept - 1; first > kept-1-buckets; first-- {
		if h.extra[first] > 0 && fewest < math.MaxInt {
			left, fewest = min(left, allowed(float64(fewest))-float64(extra)), math.MaxInt
		}
		extra += h.extra[first]
		fewest = min(fewest, max(between(first, kept), between(first-buckets, first), between(first-half, first+half+1)))
	}
	return min(left, allowed(float64(fewest))-float64(extra))
}

// historyOf returns an empty history as of now.
func historyOf(now, span time.Duration) history { return history{at: int64(now / (span / buckets))} }
