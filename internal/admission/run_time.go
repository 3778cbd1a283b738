package admission

import "time"

// runTime is the smoothed run time per unit of cost of a lane's requests, and its
// mean deviation. It is kept per lane so that long requests do not raise the
// estimate for short ones.
type runTime struct {
	mean      float64
	deviation float64
	// tooLong counts the requests whose estimate exceeded their deadline.
	tooLong int
}

const (
	// runTimeSmoothing is the weight of the newest run time in the average.
	runTimeSmoothing = 1.0 / 32
	// probeOneIn is the interval, in requests estimated too long, at which one
	// runs nevertheless, so that an outdated estimate is corrected.
	probeOneIn = 32
)

// add records the run time of a request with the given cost.
func (r *runTime) add(d time.Duration, cost float64) {
	perUnit := float64(d) / cost
	if r.mean == 0 {
		r.mean, r.deviation = perUnit, perUnit
		return
	}
	diff := perUnit - r.mean
	r.mean += diff * runTimeSmoothing
	if diff < 0 {
		diff = -diff
	}
	r.deviation += (diff - r.deviation) * runTimeSmoothing
}

// lowEstimate returns a low estimate of the run time of a request with the given
// cost: the mean less the mean deviation. A request is refused for its run time
// only if even this estimate is too long. In a lane whose run times vary widely, or
// whose costs are unknown, the estimate is near zero, so that no request is refused
// by mistake.
func (r *runTime) lowEstimate(cost float64) time.Duration {
	return time.Duration(max(0, r.mean-r.deviation) * cost)
}

// shouldProbe counts a request estimated too long and reports whether it runs
// nevertheless.
func (r *runTime) shouldProbe() bool {
	r.tooLong++
	return r.tooLong%probeOneIn == 0
}
