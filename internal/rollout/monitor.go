package rollout

import (
	"math"
	"time"
)

const (
	// badRate is the bad rate that a new version must be shown not to have
	// before its probation ends.
	badRate = 0.2
	// clearance is the evidence for that: a version with badRate or worse
	// reaches it with a probability of at most one in clearance.
	clearance = 1000
	// maxClearable keeps the test away from its own alternative.
	maxClearable = badRate / 2
)

// Monitor follows one version: its detector, its probation and the tally
// behind its budget. It is not safe for use by several goroutines.
type Monitor struct {
	detector *Detector
	budget   Budget
	tally    Tally
	// clear is the log of the evidence against badRate.
	clear float64
}

// NewMonitor starts to follow a version. A version that is not new, with its
// roll-out done before, starts cleared.
func NewMonitor(s DetectorSettings, b Budget, isNew bool, now time.Time) *Monitor {
	return &Monitor{
		detector: NewDetector(s, now),
		budget:   b,
		tally:    Tally{Cleared: !isNew},
	}
}

// SetHoldLevel changes the suspicion from which the version is held; zero is
// the default.
func (m *Monitor) SetHoldLevel(level float64) { m.detector.SetHoldLevel(level) }

// Rating counts a rating of an answer that reached a caller.
func (m *Monitor) Rating(good bool, baseline float64, now time.Time) Verdict {
	m.count(good)
	return m.ShadowRating(good, baseline, now)
}

// Unjudged counts a rating for which there is no baseline: towards the budget,
// not as evidence.
func (m *Monitor) Unjudged(good, shadow bool) {
	if !shadow {
		m.count(good)
	}
}

func (m *Monitor) count(good bool) {
	if good {
		m.tally.Good++
	} else {
		m.tally.Bad++
	}
}

// ShadowRating counts a rating of an answer that reached no caller. It weighs
// as evidence and leaves the tally alone.
func (m *Monitor) ShadowRating(good bool, baseline float64, now time.Time) Verdict {
	m.weighClearance(good, baseline)
	m.detector.Observe(SignalRating, !good, baseline, now)
	return m.Verdict()
}

// Signal counts good and bad observations of another signal.
func (m *Monitor) Signal(s Signal, good, bad int, baseline float64, now time.Time) Verdict {
	m.detector.ObserveBatch(s, good, bad, baseline, now)
	return m.Verdict()
}

// Unserved counts answers that reached no caller.
func (m *Monitor) Unserved(n int) { m.tally.Unserved += n }

// Lost counts answers whose rating will not come.
func (m *Monitor) Lost(n int) { m.tally.Lost += n }

// Resume raises the tally to the ratings that were counted before this monitor
// began. They count towards the budget, not as evidence.
func (m *Monitor) Resume(good, bad int) {
	m.tally.Good = max(m.tally.Good, good)
	m.tally.Bad = max(m.tally.Bad, bad)
}

// weighClearance tests the baseline against badRate, the other way round from
// the detector.
func (m *Monitor) weighClearance(good bool, baseline float64) {
	if m.tally.Cleared {
		return
	}
	p := min(max(baseline, leastTolerated), maxClearable)
	if good {
		m.clear += math.Log((1 - p) / (1 - badRate))
	} else {
		m.clear += math.Log(p / badRate)
	}
	if m.clear >= math.Log(clearance) && m.detector.Verdict() == Trusted {
		m.tally.Cleared = true
	}
}

// Tally returns what is known of the version's answers.
func (m *Monitor) Tally() Tally { return m.tally }

// Granted returns how many answers the version may have given in all. An
// agent puts its Share of it into its Meter.
func (m *Monitor) Granted() int { return m.budget.Granted(m.tally) }

// Verdict returns what the evidence says. A new version that has used up its
// probation without being cleared is held, and only ratings of shadows can
// clear it then.
func (m *Monitor) Verdict() Verdict {
	v := m.detector.Verdict()
	if v == Trusted && !m.tally.Cleared && m.tally.rated() >= m.budget.Probation {
		return Hold
	}
	return v
}

// Evidence and Suspicion are those of the detector, for state dumps.
func (m *Monitor) Evidence() float64 { return m.detector.Evidence() }

// Suspicion returns the detector's suspicion, in nats.
func (m *Monitor) Suspicion() float64 { return m.detector.Suspicion() }
