package placement

import (
	"math"
	"time"
)

// Speed is the ratio of an engine's observed to its estimated time, learned from first
// events. The zero value has a ratio of 1.
type Speed struct {
	// logFactor is the natural logarithm of the ratio.
	logFactor float64
}

// Parameters of Speed.
const (
	// speedSampleWeight is the weight of one first event: the ratio follows a change of
	// the engines within about a hundred events, some seconds of load.
	speedSampleWeight = 0.03
	// maxSpeedLogSample bounds the logarithm of one sample, so that a single hanging
	// upstream has little effect on the ratio.
	maxSpeedLogSample = 1.4
	// maxSpeedLog bounds the logarithm of the ratio, to between a tenth and ten.
	maxSpeedLog = 2.3
	// speedOffset is added to the expected and the observed time, since below it the
	// network path matters more than the engine.
	speedOffset = 20 * time.Millisecond
	// speedHalfWeightWork is the prompt work at which a sample has half weight: such a
	// prompt waits for other work no longer than for its own.
	speedHalfWeightWork = 100 * time.Millisecond
)

// Learn adds the sample of one first event: the estimated work of the prompt, the
// expected time to first event and the observed one. Events of longer prompts have more
// weight, because a short prompt mostly waits for other requests' work.
func (s *Speed) Learn(work, expected, took time.Duration) {
	r := math.Log(float64(took+speedOffset) / float64(expected+speedOffset))
	r = max(-maxSpeedLogSample, min(maxSpeedLogSample, r))
	w := float64(work) * float64(work)
	weight := w / (w + float64(speedHalfWeightWork)*float64(speedHalfWeightWork))
	s.logFactor = max(-maxSpeedLog, min(maxSpeedLog, s.logFactor+speedSampleWeight*weight*r))
}

// Factor returns the ratio by which the estimated time of a token is multiplied.
func (s *Speed) Factor() float64 { return math.Exp(s.logFactor) }
