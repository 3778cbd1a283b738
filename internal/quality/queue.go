package quality

import "time"

// queueWindow is the number of answers behind what is known of a version's
// queue, over all classes. It is short, since queues come and go in seconds.
const queueWindow = 10

// queue is what recent answers of a version told of the queue before it. Its
// sums are over answers.
type queue struct {
	answers float64
	// backlog sums the queued requests for each slot.
	backlog float64
	// serviceMs sums the usual latency of each answer's key.
	serviceMs float64
	last      time.Time
}

// add counts answers of a key with the usual latency usualMs.
func (q *queue) add(d Delta, usualMs float64, now time.Time) {
	q.answers += float64(d.Answers)
	q.backlog += d.Backlog
	q.serviceMs += float64(d.Answers) * usualMs
	f := shrink(q.answers, queueWindow)
	q.answers *= f
	q.backlog *= f
	q.serviceMs *= f
	q.last = later(q.last, now)
}

// waitMs returns how long a request would wait for a slot, in milliseconds.
func (q *queue) waitMs() float64 {
	if q.answers == 0 {
		return 0
	}
	return q.backlog / q.answers * q.serviceMs / q.answers
}

// wait returns the same at the time now; zero when the newest answer is older
// than stale.
func (q *queue) wait(now time.Time, stale time.Duration) time.Duration {
	if q == nil || now.Sub(q.last) > stale {
		return 0
	}
	return millis(q.waitMs())
}

// withoutWait returns the delta less the time that its answers waited for a
// slot. That a queue grew or shrank while they waited evens out.
func (d Delta) withoutWait(waitMs float64) Delta {
	if d.Answers == 0 {
		return d
	}
	n := float64(d.Answers)
	waited := min(waitMs, d.LatencyMs/n)
	d.LatencySqMs = max(0, d.LatencySqMs+n*waited*waited-2*waited*d.LatencyMs)
	d.LatencyMs -= n * waited
	return d
}
