package balance

import (
	"sync"
	"sync/atomic"
	"time"
)

// health decides when an upstream is ejected and when it may return.
//
// The states: healthy; suspect after a failure, when it is avoided while others
// are usable; ejected for a time after several failures; half-open after that.
// A suspect or half-open upstream receives one probe at a time. A successful
// probe makes it healthy again, after an ejection with a slow start; a failed
// one ejects it for longer.
type health struct {
	// until is the end of the ejection in Unix nanoseconds; 0 when not ejected.
	until atomic.Int64
	// probeUntil is when the probe in flight times out, in Unix nanoseconds.
	probeUntil atomic.Int64
	// failures counts the failures in a row; failedAt is the time of the last
	// one in Unix nanoseconds.
	failures atomic.Int32
	failedAt atomic.Int64

	mu sync.Mutex
	// ejections counts ejections in a row, guarded by mu.
	ejections int
}

const (
	// failuresToEject is how many failures in a row eject an upstream.
	failuresToEject = 3
	// probeTimeout is how long a probe may take before another is sent.
	probeTimeout = 5 * time.Second
	// suspectProbeDelay is how long an upstream that failed once is avoided before
	// a probe may test it.
	suspectProbeDelay = 500 * time.Millisecond
	// maxEjectFor bounds one ejection.
	maxEjectFor = time.Minute
	// maxEjectDoublings keeps the doubled time from overflowing.
	maxEjectDoublings = 8
)

// ejected reports whether the upstream is ejected or half-open.
func (h *health) ejected() bool { return h.until.Load() != 0 }

// end returns when the ejection ends; zero when there is none.
func (h *health) end() time.Time {
	until := h.until.Load()
	if until == 0 {
		return time.Time{}
	}
	return time.Unix(0, until).UTC()
}

// healthy reports whether the upstream is neither ejected nor suspect.
func (h *health) healthy() bool { return !h.ejected() && !h.suspect() }

// probeable reports whether a probe may be sent: the ejection is over, or the
// last failure is suspectProbeDelay ago.
func (h *health) probeable(now int64) bool {
	if until := h.until.Load(); until != 0 {
		return now >= until
	}
	return h.suspect() && now-h.failedAt.Load() >= int64(suspectProbeDelay)
}

// suspect reports whether the last attempt failed.
func (h *health) suspect() bool { return h.failures.Load() > 0 }

// allowProbe ends an ejection at now, so that a probe may be sent at once.
func (h *health) allowProbe(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.until.Load(); until > now {
		h.until.Store(now)
	}
	h.probeUntil.Store(0)
}

// acquireProbe reports whether the caller may send the probe. It grants one
// probe at a time, while the upstream is probeable.
func (h *health) acquireProbe(now int64) bool {
	if !h.probeable(now) {
		return false
	}
	out := h.probeUntil.Load()
	if now < out {
		return false
	}
	return h.probeUntil.CompareAndSwap(out, now+int64(probeTimeout))
}

// recordSuccess records an answer. It reports whether that ended an ejection.
func (h *health) recordSuccess() bool {
	if h.healthy() {
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

// recordFailure records a failure. It reports whether the upstream should be
// ejected: after failuresToEject in a row, or after a failed probe.
func (h *health) recordFailure(now int64) bool {
	h.failedAt.Store(now)
	h.probeUntil.Store(0)
	n := h.failures.Add(1)
	return n >= failuresToEject || h.ejected()
}

// eject ejects the upstream from now on for a time that doubles with each
// ejection in a row. jitter (0 to 1) lengthens it by up to half, so that many
// ejections do not end together.
func (h *health) eject(now int64, first time.Duration, jitter float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.until.Load(); until != 0 && now < until {
		return
	}
	d := first << min(h.ejections, maxEjectDoublings)
	d = min(d, maxEjectFor)
	d += time.Duration(float64(d) * jitter / 2)
	h.ejections++
	h.probeUntil.Store(0)
	h.until.Store(now + int64(d))
}
