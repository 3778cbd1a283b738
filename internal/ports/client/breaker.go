package client

import "time"

// Breaker holds back calls to a service that keeps failing. It is a pure
// state machine: the caller passes the time in and holds its own lock.
type Breaker struct {
	// Threshold is the number of failures in a row that open the breaker.
	Threshold int
	// FirstPause and MaxPause bound how long it stays open; the pause
	// doubles with each probe that fails.
	FirstPause, MaxPause time.Duration

	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// Allow reports whether a call may start. Once the pause is over, one call is
// let through as a probe and the others wait for its end.
func (b *Breaker) Allow(now time.Time) bool {
	if b.failures < b.Threshold {
		return true
	}
	if b.probing || now.Before(b.until) {
		return false
	}
	b.probing = true
	return true
}

// Record takes the end of a call that was allowed.
func (b *Breaker) Record(now time.Time, ok bool) {
	b.probing = false
	if ok {
		b.failures = 0
		b.pause = 0
		return
	}
	b.failures++
	if b.failures < b.Threshold {
		return
	}
	b.pause = min(max(b.FirstPause, 2*b.pause), b.MaxPause)
	b.until = now.Add(b.pause)
}

// Cancelled takes the end of a call that says nothing about the service, such
// as one whose caller went away.
func (b *Breaker) Cancelled() { b.probing = false }

// Open reports whether calls are held back at the time.
func (b *Breaker) Open(now time.Time) bool {
	return b.failures >= b.Threshold && now.Before(b.until)
}
