package placement

import (
	"math"
	"time"
)

// UpstreamSlowdown is the recent slowdown factor of one upstream, relative to the average
// over all upstreams (see AverageSlowdown). It guards against upstreams that turn slow
// without failing: they get less work after a few answers, and are tried again as the
// factor decays. The zero value has a factor of 1. Times are on any monotonic clock.
type UpstreamSlowdown struct {
	// logFactor is the natural logarithm of the factor at the time updated.
	logFactor float64
	updated   time.Duration
}

// Parameters of UpstreamSlowdown and AverageSlowdown.
const (
	// slowdownSampleWeight is the weight of one answer: after two that take five times as
	// long as expected, the factor is 2.8.
	slowdownSampleWeight = 0.4
	// maxSlowdownLogSample bounds the logarithm of one sample, to a factor of about seven.
	maxSlowdownLogSample = 2.0
	// slowdownOffset is added to the expected and the observed time, since below it the
	// network path and other requests' work matter more than the upstream.
	slowdownOffset = 60 * time.Millisecond
	// slowdownHalfLife is the half-life of the logarithm, so that an upstream that gets no
	// requests is tried again.
	slowdownHalfLife = 3 * time.Second
	// averageSampleWeight is the weight of one answer in AverageSlowdown: a burst that
	// makes all upstreams late shows within about ten answers.
	averageSampleWeight = 0.1
)

// AverageSlowdown is the average ratio of observed to expected time over all upstreams.
// The zero value has a ratio of 1.
type AverageSlowdown struct{ logFactor float64 }

// Learn adds a sample from any upstream. It returns the logarithm of the sample's ratio
// relative to the average before it, which is then passed to UpstreamSlowdown.Learn.
func (u *AverageSlowdown) Learn(expected, took time.Duration) float64 {
	r := math.Log(float64(took+slowdownOffset) / float64(expected+slowdownOffset))
	r = max(-maxSlowdownLogSample, min(maxSlowdownLogSample, r))
	over := r - u.logFactor
	u.logFactor += averageSampleWeight * over
	return over
}

// Factor returns the average slowdown factor over all upstreams, at least 1. It corrects
// the estimate in a burst that is spread over many gateways: requests that the others
// sent within the last second are missing from the estimate of every upstream.
func (u AverageSlowdown) Factor() float64 { return math.Exp(max(0, u.logFactor)) }

// Learn adds a sample as returned by AverageSlowdown.Learn.
func (p *UpstreamSlowdown) Learn(over float64, now time.Duration) {
	p.logFactor = (1-slowdownSampleWeight)*p.decayed(now) + slowdownSampleWeight*over
	p.updated = now
}

// Factor returns the slowdown factor of the upstream. It is at least 1, since a few quick
// answers do not make an upstream faster than its estimate.
func (p UpstreamSlowdown) Factor(now time.Duration) float64 { return math.Exp(max(0, p.decayed(now))) }

func (p UpstreamSlowdown) decayed(now time.Duration) float64 {
	return p.logFactor * math.Exp2(-float64(now-p.updated)/float64(slowdownHalfLife))
}

// Thresholds above which a request without an answer counts as overdue.
const (
	// minOverdueFactor is the minimum ratio of waiting time to expected time.
	minOverdueFactor = 3.0
	// minOverdueExcess is the minimum time beyond the expected one: a shorter excess may be
	// due to other gateways' requests that are not known yet.
	minOverdueExcess = 400 * time.Millisecond
)

// Overdue returns the ratio of waiting time to expected time of a request without an
// answer, or 1 while it is not overdue. It detects upstreams that turn so slow that their
// answers come too late to be used as samples.
func Overdue(expected, waited time.Duration) float64 {
	times := float64(waited+slowdownOffset) / float64(expected+slowdownOffset)
	if times < minOverdueFactor || waited-expected < minOverdueExcess {
		return 1
	}
	return min(times, math.Exp(maxSlowdownLogSample))
}
