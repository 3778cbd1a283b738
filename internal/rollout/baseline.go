package rollout

import (
	"math"

	"tarragonbay.example/tarragonbay/internal/quality"
)

const (
	// leastTolerated is the least bad rate that is tolerated of a rating.
	leastTolerated = 0.01
	// assumedTolerated is used before anything is known of the class.
	assumedTolerated = 0.03
	// enoughRatings is the weight of ratings from which an estimate counts.
	enoughRatings = 100
)

// RatingBaseline returns the bad rate that is tolerated of a version: that of
// the reference with one standard error on top, but never more than the
// quality target leaves. The reference of a new version is the version it
// replaces, and of any other its own long run.
func RatingBaseline(reference quality.Estimate, target float64) float64 {
	most := max(leastTolerated, 1-target)
	if reference.Ratings < enoughRatings {
		return min(assumedTolerated, most)
	}
	bad := 1 - reference.Mean
	bad += math.Sqrt(bad * reference.Mean / reference.Ratings)
	return min(max(bad, leastTolerated), most)
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
