// Package capacity estimates what upstreams can do: how long a request takes at an
// upstream that has room, and how many requests a second the upstreams of a service
// complete. It has no I/O and no clock.
package capacity

import "time"

// ServiceTime is the learned time of a request at an upstream with a free slot. The zero
// value has learned nothing.
type ServiceTime struct {
	mean    time.Duration
	samples int
}

const (
	// serviceTimeWeight is the weight of one answer in the mean, once there are enough.
	serviceTimeWeight = 0.02
	// minServiceSamples is how many answers the mean needs before it is used.
	minServiceSamples = 8
	// maxServiceSample bounds one sample relative to the mean: an answer that took many
	// times longer tells of its upstream's trouble, not of the work.
	maxServiceSample = 6
)

// Learn adds the time that an answer took at an upstream that was known to have free slots
// when the request was sent.
func (s *ServiceTime) Learn(took time.Duration) {
	if took <= 0 {
		return
	}
	if s.samples++; s.samples > minServiceSamples {
		took = min(took, maxServiceSample*s.mean)
	}
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(took-s.mean))
}

// Mean returns the mean time; ok is false until enough answers were seen.
func (s *ServiceTime) Mean() (mean time.Duration, ok bool) {
	return s.mean, s.samples >= minServiceSamples
}

// Upstream is what is known about one upstream of a plain service.
type Upstream struct {
	// Slots is how many requests it runs at a time.
	Slots int
	// FailureScore is its recent rate of failures, from 0 to 1.
	FailureScore float64
}

// sureFailure is the failure score up to which an upstream counts in full: requests that
// fail use its slots like others. Beyond it, it is likely gone.
const sureFailure = 0.6

// PerSecond returns the requests a second that the upstreams complete together. Upstreams
// that are slow for a while count in full: most are slow because they are full, and what
// is divided is corrected by their answers.
func PerSecond(ups []Upstream, each time.Duration) float64 {
	slots := 0.0
	for _, u := range ups {
		share := 1.0
		if u.FailureScore > sureFailure {
			share = 1 - u.FailureScore
		}
		slots += share * float64(u.Slots)
	}
	if each <= 0 {
		return 0
	}
	return slots / each.Seconds()
}
