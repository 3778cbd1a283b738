package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// health decides when an upstream is ejected and when it may come back.
//
// The states: healthy; suspect after a failure, when it is passed over while
// others are free; ejected until a time after several; half-open after that.
// A suspect or half-open upstream is let one probe at a time. A good probe
// makes it healthy again, after an ejection with a slow start; a bad one ejects
// it for longer.
type health struct {
	// until is the end of the ejection in Unix nanoseconds; 0 is healthy.
	until atomic.Int64
	// probeUntil is when the probe that is out is given up.
	probeUntil atomic.Int64
	// failures counts the failures in a row, failedAt is the last one.
	failures atomic.Int32
	failedAt atomic.Int64

	mu sync.Mutex
	// ejections counts ejections in a row, under mu.
	ejections int
}

const (
	// failuresToEject is how many failures in a row eject an upstream.
	failuresToEject = 3
	// probeFor is how long a probe may take before another is let through.
	probeFor = 5 * time.Second
	// suspectFor is how long an upstream that failed once is passed over, as
	// far as others are free, before a probe may clear it.
	suspectFor = 500 * time.Millisecond
	// maxEjectFor bounds one ejection.
	maxEjectFor = time.Minute
	// maxEjectDoublings keeps the doubled time from overflowing.
	maxEjectDoublings = 8
)

// ejected reports whether the upstream is out, or half-open.
func (h *health) ejected() bool { return h.until.Load() != 0 }

// end is when the ejection ends; zero when there is none.
func (h *health) end() time.Time {
	until := h.until.Load()
	if until == 0 {
		return time.Time{}
	}
	return time.Unix(0, until).UTC()
}

// well reports whether nothing speaks against the upstream.
func (h *health) well() bool { return !h.ejected() && !h.suspect() }

// probeable reports whether a probe may be sent: the ejection is over, or the
// last failure lies back some time.
func (h *health) probeable(now int64) bool {
	if until := h.until.Load(); until != 0 {
		return now >= until
	}
	return h.suspect() && now-h.failedAt.Load() >= int64(suspectFor)
}

// suspect reports whether the last attempt failed.
func (h *health) suspect() bool { return h.failures.Load() > 0 }

// probeFrom ends an ejection early: a probe may be sent now.
func (h *health) probeFrom(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.until.Load(); until > now {
		h.until.Store(now)
	}
	h.probeUntil.Store(0)
}

// takeProbe lets one caller through while the upstream is probeable.
func (h *health) takeProbe(now int64) bool {
	if !h.probeable(now) {
		return false
	}
	out := h.probeUntil.Load()
	if now < out {
		return false
	}
	return h.probeUntil.CompareAndSwap(out, now+int64(probeFor))
}

// succeeded notes an answer. It reports whether the upstream came back.
func (h *health) succeeded() bool {
	if h.well() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures.Store(0)
	back := h.until.Swap(0) != 0
	h.probeUntil.Store(0)
	h.ejections = 0
	return back
}

// failed notes a failure. It reports whether the upstream should be ejected:
// after several in a row, or after a failed probe.
func (h *health) failed(now int64) bool {
	h.failedAt.Store(now)
	h.probeUntil.Store(0)
	n := h.failures.Add(1)
	return n >= failuresToEject || h.ejected()
}

// eject takes the upstream out until now and a time that doubles with each
// ejection in a row. spread (0 to 1) sets the ends of many apart.
func (h *health) eject(now int64, first time.Duration, spread float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.until.Load(); until != 0 && now < until {
		return
	}
	d := first << min(h.ejections, maxEjectDoublings)
	d = min(d, maxEjectFor)
	d += time.Duration(float64(d) * spread / 2)
	h.ejections++
	h.probeUntil.Store(0)
	h.until.Store(now + int64(d))
}
