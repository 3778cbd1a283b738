package admission

import "time"

// runTime is the smoothed run time of a flow's requests for each unit of cost,
// so that short requests are not judged by long ones, and its spread.
type runTime struct {
	mean      float64
	deviation float64
}

const (
	// runTimeSmoothing is the weight of the newest run time.
	runTimeSmoothing = 1.0 / 32
	// runTimeDeviations is how many deviations above the mean count as a
	// long run.
	runTimeDeviations = 2
)

// add takes the run time of a request with the cost.
func (r *runTime) add(d time.Duration, cost float64) {
	per := float64(d) / cost
	if r.mean == 0 {
		r.mean = per
		return
	}
	diff := per - r.mean
	r.mean += diff * runTimeSmoothing
	if diff < 0 {
		diff = -diff
	}
	r.deviation += (diff - r.deviation) * runTimeSmoothing
}

// usual is the mean run time of a request with the cost.
func (r *runTime) usual(cost float64) time.Duration { return time.Duration(r.mean * cost) }

// long is a long but still usual run time of a request with the cost.
func (r *runTime) long(cost float64) time.Duration {
	return time.Duration((r.mean + runTimeDeviations*r.deviation) * cost)
}
