package lease

import "time"

// Watch judges whether a lease has lapsed, from what one challenger has seen
// of the beat row. It is a pure state machine.
type Watch struct {
	version uint64
	since   time.Time
	seen    bool
}

// Seen takes a read of the beat row that ended at the time, and reports
// whether the lease may be taken: the row has kept its version for the whole
// duration and the margin. The holder's own reckoning begins earlier, before
// the renewal was sent.
func (w *Watch) Seen(version uint64, duration time.Duration, now time.Time) (lapsed bool) {
	if !w.seen || version != w.version {
		w.seen = true
		w.version = version
		w.since = now
		return false
	}
	return now.Sub(w.since) >= withMargin(duration)
}

func withMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockMargin))
}
