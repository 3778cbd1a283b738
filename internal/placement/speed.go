package placement

import (
	"math"
	"time"
)

// Speed is how long an engine really takes against the estimate, learned from
// first events. The zero value trusts the estimate.
type Speed struct {
	// log is the logarithm of the factor.
	log float64
}

// Weights of what is learned.
const (
	// speedWeight is the weight of one first event: a hundred of them, some
	// seconds of load, follow a change of the engines.
	speedWeight = 0.03
	// speedOnce bounds the logarithm that one event may show, so that a single
	// upstream that hangs says little of the others.
	speedOnce = 1.4
	// speedBound bounds the logarithm of the factor: between a tenth and ten.
	speedBound = 2.3
	// speedFloor is added to both times: below it the path counts more than
	// the engine.
	speedFloor = 20 * time.Millisecond
	// speedWork is the work of a prompt that counts by a half: what it may wait
	// for is then no longer than itself.
	speedWork = 100 * time.Millisecond
)

// Learn takes in one first event: the work that was estimated for the prompt, the
// time that was expected of all, and the time that it took. The longer the work,
// the more an event counts: what a short prompt waits for is the work of others.
func (s *Speed) Learn(work, expected, took time.Duration) {
	r := math.Log(float64(took+speedFloor) / float64(expected+speedFloor))
	r = max(-speedOnce, min(speedOnce, r))
	w := float64(work) * float64(work)
	part := w / (w + float64(speedWork)*float64(speedWork))
	s.log = max(-speedBound, min(speedBound, s.log+speedWeight*part*r))
}

// Factor multiplies the estimated time of a token.
func (s *Speed) Factor() float64 { return math.Exp(s.log) }
