package admission

import "time"

// runTime is the smoothed run time of a lane's requests for each unit of cost,
// so that short requests are not judged by long ones, and its spread.
type runTime struct {
	mean      float64
	deviation float64
	// doubted counts the requests that were thought too long.
	doubted int
}

const (
	// runTimeSmoothing is the weight of the newest run time.
	runTimeSmoothing = 1.0 / 32
	// tryOneIn is the part of the requests thought too long that run all the
	// same, so that an estimate that has become wrong is found out.
	tryOneIn = 32
)

// add takes the run time of a request with the cost.
func (r *runTime) add(d time.Duration, cost float64) {
	per := float64(d) / cost
	if r.mean == 0 {
		r.mean, r.deviation = per, per
		return
	}
	diff := per - r.mean
	r.mean += diff * runTimeSmoothing
	if diff < 0 {
		diff = -diff
	}
	r.deviation += (diff - r.deviation) * runTimeSmoothing
}

// least is a short but usual run time of a request with the cost: a mean
// deviation under the mean. A request is refused for its run time only when
// even this is too long. In a lane whose requests differ much, or whose cost
// is not known, it is near zero, and nothing is refused by mistake.
func (r *runTime) least(cost float64) time.Duration {
	return time.Duration(max(0, r.mean-r.deviation) * cost)
}

// tryAnyway reports whether a request thought too long is to run all the same.
func (r *runTime) tryAnyway() bool {
	r.doubted++
	return r.doubted%tryOneIn == 0
}
