package lease

import "time"

// expiryDetector detects that a lease has expired from the versions of the
// heartbeat row that one challenger has read. It is a state machine without I/O.
type expiryDetector struct {
	version   uint64
	firstSeen time.Time
	seen      bool
}

// observe records a read of the heartbeat row that ended at now, and reports
// whether the lease may be acquired: the row has kept its version for the whole
// duration and the clock margin. The holder counts from an earlier time, before
// it sent the renewal.
func (w *expiryDetector) observe(version uint64, duration time.Duration, now time.Time) (expired bool) {
	if !w.seen || version != w.version {
		w.seen = true
		w.version = version
		w.firstSeen = now
		return false
	}
	return now.Sub(w.firstSeen) >= withMargin(duration)
}

func withMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockRateMargin))
}
