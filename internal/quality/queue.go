package quality

import "time"

// queueWindow is the maximum weight, in answers of all classes, of a version's
// queue estimate. It is small, since queues build up and drain in seconds.
const queueWindow = 10

// queue estimates a version's queue from its recent answers. Its sums are over
// answers.
type queue struct {
	answers float64
	// backlog sums the queued requests per slot.
	backlog float64
	// serviceMs sums the long-term mean latency of each answer's key.
	serviceMs float64
	last      time.Time
}

// add adds answers of a key whose long-term mean latency is longTermMs.
func (q *queue) add(d Delta, longTermMs float64, now time.Time) {
	q.answers += float64(d.Answers)
	q.backlog += d.Backlog
	q.serviceMs += float64(d.Answers) * longTermMs
	f := windowFactor(q.answers, queueWindow)
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

// wait returns waitMs as a duration at the time now; zero when the newest answer is older
// than stale.
func (q *queue) wait(now time.Time, stale time.Duration) time.Duration {
	if q == nil || now.Sub(q.last) > stale {
		return 0
	}
	return millis(q.waitMs())
}

// withoutWait returns the delta without the time that its answers waited for a
// slot. Changes of the queue's length during the wait average out.
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
