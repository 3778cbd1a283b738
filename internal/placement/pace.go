package placement

import (
	"math"
	"time"
)

// Pace is how much longer one upstream has taken of late than was expected of it,
// against what is usual. It answers upstreams that turn slow without a failure: their
// work shrinks within a few answers, and they are tried again as the memory fades. The
// zero value knows nothing. Times are on any steady clock.
type Pace struct {
	// log is the logarithm of the factor at the time at.
	log float64
	at  time.Duration
}

// Weights of what is learned of a pace.
const (
	// paceWeight is the weight of one answer: two that take five times as long as
	// expected show a factor of 2.8.
	paceWeight = 0.4
	// paceOnce bounds the logarithm that one answer may show: seven times.
	paceOnce = 2.0
	// paceFloor is added to both times: below it the path and the work of others
	// count more than the upstream.
	paceFloor = 60 * time.Millisecond
	// paceHalf is the time in which the logarithm halves without answers, so that an
	// upstream that is left alone is tried again.
	paceHalf = 3 * time.Second
	// usualWeight is the weight of one answer in what is usual over all upstreams: a
	// burst that makes all of them late is known within some ten answers.
	usualWeight = 0.1
)

// Usual is how much longer than expected answers take over all upstreams. The zero
// value trusts the estimate.
type Usual struct{ log float64 }

// Learn takes in an answer of any upstream and returns what it says of that one: the
// logarithm of its time against what is usual.
func (u *Usual) Learn(expected, took time.Duration) float64 {
	r := math.Log(float64(took+paceFloor) / float64(expected+paceFloor))
	r = max(-paceOnce, min(paceOnce, r))
	over := r - u.log
	u.log += usualWeight * over
	return over
}

// Late is how many times longer than expected answers take of late over all upstreams.
// It answers a rush of which each gateway sees a part: what the others have sent within
// the last second is missing in the estimate, at all upstreams alike.
func (u Usual) Late() float64 { return math.Exp(max(0, u.log)) }

// Learn takes in what an answer says of the upstream.
func (p *Pace) Learn(over float64, now time.Duration) {
	p.log = (1-paceWeight)*p.faded(now) + paceWeight*over
	p.at = now
}

// Factor is how many times longer work takes at the upstream; never below one, since a
// few quick answers do not make it faster than it says.
func (p Pace) Factor(now time.Duration) float64 { return math.Exp(max(0, p.faded(now))) }

func (p Pace) faded(now time.Duration) float64 {
	return p.log * math.Exp2(-float64(now-p.at)/float64(paceHalf))
}

// Bounds on what a request without an answer says.
const (
	// overdueTimes is how many times longer than expected it must wait.
	overdueTimes = 3.0
	// overdueLeast is the least time beyond what was expected: below it the work of
	// others that is not known yet explains the wait.
	overdueLeast = 400 * time.Millisecond
)

// Overdue is how many times longer than expected a request has waited that has had no
// answer, one while it is not overdue. It answers an upstream that turns so slow that
// its answers come too late to learn from.
func Overdue(expected, waited time.Duration) float64 {
	times := float64(waited+paceFloor) / float64(expected+paceFloor)
	if times < overdueTimes || waited-expected < overdueLeast {
		return 1
	}
	return min(times, math.Exp(paceOnce))
}
