package rollout

import (
	"math"

	"tarragonbay.example/tarragonbay/internal/quality"
)

const (
	// leastTolerated is the least bad rate that is tolerated of a rating.
	leastTolerated = 0.01
	// baselineMargin is in standard errors.
	baselineMargin = 1.0
	// enoughRatings is the weight of ratings from which an estimate counts.
	enoughRatings = 100
)

// RatingBaseline returns the bad rate that is tolerated of a version: that of
// the reference with a margin for its error, but never more than the
// quality target leaves. The reference of a new version is the estimate of the
// version it replaces, and of any other its own; it should be some time old,
// so that a version which turns bad does not move it.
//
// It reports false when the reference has few ratings or misses the target.
// Such answers are tries of the choice of version: that they are bad says
// nothing about a change of the version.
func RatingBaseline(reference quality.Estimate, target float64) (rate float64, ok bool) {
	if reference.Ratings < enoughRatings || reference.Mean < target {
		return 0, false
	}
	bad := 1 - reference.Mean
	bad += baselineMargin * math.Sqrt(bad*reference.Mean/reference.Ratings)
	return min(max(bad, leastTolerated), max(leastTolerated, 1-target)), true
}

// NewVersionBaseline is RatingBaseline for the new version of a roll-out, with
// the version it replaces as the reference. While that has few ratings the new
// version is judged by the quality target alone, so that it is never without
// a judge. It reports false only where the reference is known to miss the
// target.
func NewVersionBaseline(reference quality.Estimate, target float64) (rate float64, ok bool) {
	if reference.Ratings < enoughRatings {
		return max(leastTolerated, 1-target), true
	}
	return RatingBaseline(reference, target)
}

// controlMargin is the factor over the rate of the control group.
const controlMargin = 1.5

// ControlBaseline returns the bad rate that is tolerated of a signal which
// load and host faults raise for all versions alike: that of all other
// versions at the same time, with a margin.
func ControlBaseline(good, bad int) float64 {
	rate := (float64(bad) + 1) / (float64(good+bad) + 2/(2*leastTolerated))
	return min(max(rate*controlMargin, leastTolerated), maxBaseline)
}
