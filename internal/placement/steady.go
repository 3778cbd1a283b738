package placement

import (
	"math"
	"time"
)

// SteadySpeed is how one upstream's times compare with those of all upstreams, as one
// gateway saw it. It answers pools whose engines differ for good, for example by their
// hardware: the faster ones get more work. A passing slowdown is left to UpstreamSlowdown,
// which relates to this speed. The zero value has seen nothing.
type SteadySpeed struct {
	total   SpeedTotal
	updated time.Duration
}

// SpeedTotal is the decayed sum of the logarithms of an upstream's relative times, and
// their decayed number. Totals of several gateways are added.
type SpeedTotal struct{ Sum, Count float64 }

const (
	// steadyTime is the time constant with which samples are forgotten: a fleet sees a
	// hundred samples of each upstream in it, which average out what prompts differ by.
	steadyTime = 30 * time.Second
	// steadyPrior is the number of samples of average speed that are assumed beforehand.
	steadyPrior = 6.0
	// steadyDeadZone is the logarithm of the factor that counts as none: engines of one kind
	// differ by as much, by chance and by the prompts that they keep.
	steadyDeadZone = 0.15
	// maxSteadyLog bounds the logarithm of the factor, to between 0.4 and 2.5.
	maxSteadyLog = 0.92
	// minSteadyWorkShare is the least share of the expected time that must be the request's
	// own work: the time of others depends on the load rather than on the engine.
	minSteadyWorkShare = 0.4
)

// Learn adds the logarithm of one relative time.
func (s *SteadySpeed) Learn(logRatio float64, now time.Duration) {
	t := s.Total(now)
	s.total, s.updated = SpeedTotal{t.Sum + logRatio, t.Count + 1}, now
}

// Total returns what was seen as of now.
func (s *SteadySpeed) Total(now time.Duration) SpeedTotal {
	decay := math.Exp(-max(0, now-s.updated).Seconds() / steadyTime.Seconds())
	return SpeedTotal{s.total.Sum * decay, s.total.Count * decay}
}

// Plus returns the sum of two totals.
func (t SpeedTotal) Plus(o SpeedTotal) SpeedTotal {
	return SpeedTotal{t.Sum + o.Sum, t.Count + o.Count}
}

// Factor returns how many times as long as the average the upstream takes.
func (t SpeedTotal) Factor() float64 {
	mean := t.Sum / (t.Count + steadyPrior)
	if math.Abs(mean) < steadyDeadZone {
		return 1
	}
	return math.Exp(max(-maxSteadyLog, min(maxSteadyLog, mean)))
}

// ShowsSpeed reports whether the time to the first event of a request with the given work
// shows the speed of its engine.
func ShowsSpeed(work, expected time.Duration) bool {
	return float64(work) >= minSteadyWorkShare*float64(expected)
}

// steadyFactor returns the steady factor of a load; zero stands for 1.
func (l Load) steadyFactor() float64 {
	if l.SteadyFactor <= 0 {
		return 1
	}
	return l.SteadyFactor
}
