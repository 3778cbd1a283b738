package rollout

import (
	"math"

	"tarragonbay.example/tarragonbay/internal/quality"
)

const (
	// minToleratedRate is the lower bound of the tolerated bad rate.
	minToleratedRate = 0.01
	// baselineMarginStdErrs is the margin for the error of the reference, in
	// standard errors.
	baselineMarginStdErrs = 1.0
	// minReferenceRatings is the weight of ratings that a reference needs.
	minReferenceRatings = 100
)

// RatingBaseline returns the tolerated bad rate of a version: the bad rate of the
// reference plus a margin for its standard error, but at most 1-target. The
// reference of a new version is the estimate of the version that it replaces; the
// reference of any other version is its own estimate. The caller should pass an
// estimate that is some time old, so that a version which becomes bad does not
// raise its own baseline.
//
// RatingBaseline returns ok == false if the reference has few ratings or misses
// the target. Requests to such a version explore it on behalf of version
// selection, so bad responses are no evidence that the version has changed.
func RatingBaseline(reference quality.Estimate, target float64) (rate float64, ok bool) {
	if reference.Ratings < minReferenceRatings || reference.Mean < target {
		return 0, false
	}
	bad := 1 - reference.Mean
	bad += baselineMarginStdErrs * math.Sqrt(bad*reference.Mean/reference.Ratings)
	return min(max(bad, minToleratedRate), max(minToleratedRate, 1-target)), true
}

// NewVersionBaseline is RatingBaseline for the new version of a rollout, with the
// version that it replaces as the reference. While the reference has few ratings,
// the baseline follows from the quality target alone, so that a new version is
// always tested. It returns ok == false only if the reference has enough ratings
// and misses the target.
func NewVersionBaseline(reference quality.Estimate, target float64) (rate float64, ok bool) {
	if reference.Ratings < minReferenceRatings {
		return max(minToleratedRate, 1-target), true
	}
	return RatingBaseline(reference, target)
}

// controlRateFactor multiplies the bad rate of the control group.
const controlRateFactor = 1.5

// ControlBaseline returns the tolerated bad rate of a signal that load and host
// faults raise for all versions alike: the bad rate of all other versions in the
// same period, given by good and bad, multiplied by controlRateFactor.
func ControlBaseline(good, bad int) float64 {
	rate := (float64(bad) + 1) / (float64(good+bad) + 2/(2*minToleratedRate))
	return min(max(rate*controlRateFactor, minToleratedRate), maxBaseline)
}
