package rollout

import (
	"math"
	"time"
)

const (
	// unacceptableRate is the bad rate that must be ruled out for a new
	// version before its probation ends.
	unacceptableRate = 0.2
	// clearanceRatio is the likelihood ratio that rules it out: a version with
	// unacceptableRate or worse reaches it with a probability of at most
	// 1/clearanceRatio.
	clearanceRatio = 1000
	// maxClearanceBaseline keeps the tested baseline well below
	// unacceptableRate.
	maxClearanceBaseline = unacceptableRate / 2
)

// Monitor tracks one version: its detector, its probation and the tally that
// determines its budget. It is not safe for concurrent use.
type Monitor struct {
	detector *Detector
	budget   Budget
	tally    Tally
	// clearanceLogRatio is the log likelihood ratio of the baseline to
	// unacceptableRate.
	clearanceLogRatio float64
}

// NewMonitor returns a monitor for a version. A version that is not new, because
// its rollout is done, starts cleared.
func NewMonitor(s DetectorSettings, b Budget, isNew bool, now time.Time) *Monitor {
	return &Monitor{
		detector: NewDetector(s, now),
		budget:   b,
		tally:    Tally{Cleared: !isNew},
	}
}

// SetHoldLevel sets the suspicion, in nats, from which the version is held; zero
// selects the default.
func (m *Monitor) SetHoldLevel(level float64) { m.detector.SetHoldLevel(level) }

// RecordRating records a rating of a response that reached a caller.
func (m *Monitor) RecordRating(good bool, baseline float64, now time.Time) Verdict {
	m.countRating(good)
	return m.ShadowRating(good, baseline, now)
}

// RecordWithoutBaseline records a rating for which there is no baseline. The rating counts
// towards the budget, unless it is of a shadow request, but not as evidence.
func (m *Monitor) RecordWithoutBaseline(good, shadow bool) {
	if !shadow {
		m.countRating(good)
	}
}

func (m *Monitor) countRating(good bool) {
	if good {
		m.tally.Good++
	} else {
		m.tally.Bad++
	}
}

// ShadowRating records a rating of a response that reached no caller. It counts
// as evidence but not towards the tally.
func (m *Monitor) ShadowRating(good bool, baseline float64, now time.Time) Verdict {
	m.updateClearance(good, baseline)
	m.detector.Observe(SignalRating, !good, baseline, now)
	return m.Verdict()
}

// RecordSignal records good and bad observations of a signal other than ratings.
func (m *Monitor) RecordSignal(s Signal, good, bad int, baseline float64, now time.Time) Verdict {
	m.detector.ObserveBatch(s, good, bad, baseline, now)
	return m.Verdict()
}

// AddUnserved records n responses that reached no caller.
func (m *Monitor) AddUnserved(n int) { m.tally.Unserved += n }

// AddLost records n responses whose rating will not arrive.
func (m *Monitor) AddLost(n int) { m.tally.Lost += n }

// Resume raises the tally to the ratings that were counted before this monitor
// started. They count towards the budget, not as evidence.
func (m *Monitor) Resume(good, bad int) {
	m.tally.Good = max(m.tally.Good, good)
	m.tally.Bad = max(m.tally.Bad, bad)
}

// updateClearance adds a rating to the test of the baseline against
// unacceptableRate. It is the reverse of the detector's test, which accumulates
// evidence that the version is bad.
func (m *Monitor) updateClearance(good bool, baseline float64) {
	if m.tally.Cleared {
		return
	}
	p := min(max(baseline, minToleratedRate), maxClearanceBaseline)
	if good {
		m.clearanceLogRatio += math.Log((1 - p) / (1 - unacceptableRate))
	} else {
		m.clearanceLogRatio += math.Log(p / unacceptableRate)
	}
	if m.clearanceLogRatio >= math.Log(clearanceRatio) && m.detector.Verdict() == Trusted {
		m.tally.Cleared = true
	}
}

// Tally returns the counts of the version's responses.
func (m *Monitor) Tally() Tally { return m.tally }

// Granted returns how many responses the version may give in total. Each agent
// sets its Meter to its Share of the grant.
func (m *Monitor) Granted() int { return m.budget.Granted(m.tally) }

// Verdict returns the current verdict. A new version that has used up its
// probation without being cleared is held; only ratings of shadow requests can
// clear it from then on.
func (m *Monitor) Verdict() Verdict {
	v := m.detector.Verdict()
	if v == Trusted && !m.tally.Cleared && m.tally.ratedOrLost() >= m.budget.Probation {
		return Hold
	}
	return v
}

// Evidence returns the detector's evidence, for state dumps.
func (m *Monitor) Evidence() float64 { return m.detector.Evidence() }

// Suspicion returns the detector's suspicion, in nats, for state dumps.
func (m *Monitor) Suspicion() float64 { return m.detector.Suspicion() }
