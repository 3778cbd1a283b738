package rollout

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// Signal is a kind of observation about an answer.
type Signal uint8

// The signals.
const (
	// SignalRating is a rating: bad when the answer was rated bad.
	SignalRating Signal = iota
	// SignalFailure is an attempt: bad when the upstream failed.
	SignalFailure
	// SignalTruncation is an answer: bad when it ended before its end.
	SignalTruncation
	// SignalSlowness is an answer: bad when it was slow for its load.
	SignalSlowness

	signalCount
)

// String returns the signal's name.
func (s Signal) String() string {
	return [signalCount]string{"rating", "failure", "truncation", "slowness"}[s]
}

// Verdict is what the evidence says of a version. A greater one is graver.
type Verdict uint8

// The verdicts.
const (
	// Trusted means nothing speaks against the version.
	Trusted Verdict = iota
	// Hold means the version should get no work until more is known. It is
	// taken back when the evidence fades.
	Hold
	// Withdraw means the version is bad. It is final.
	Withdraw
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"trusted", "hold", "withdraw"}[v] }

// DetectorSettings set the error rates of a Detector. The zero value of a
// field takes its default.
type DetectorSettings struct {
	// FalseWithdrawals bounds the expected number, per day, of withdrawals
	// of a version that is no worse than its baselines.
	FalseWithdrawals float64
	// HoldLevel is the suspicion, in nats, from which a version is held.
	HoldLevel float64
}

// Defaults of DetectorSettings.
const (
	DefaultFalseWithdrawals = 1.0 / 2000
	DefaultHoldLevel        = catalog.DefaultHoldLevel
)

const (
	// newMass is the share of a day's mass that a detector starts with: a
	// new version may be bad from its first answer.
	newMass = 0.1
	// shift is the rise of a bad rate that suspicion looks for.
	shift = 0.1
	// wide and gross are the other rises that conviction looks for; gross
	// is a rate, not a rise.
	wide  = 0.3
	gross = 0.95
	// releaseShare is the share of the hold level at which a hold ends.
	releaseShare = 0.4
	// maxBaseline keeps the alternatives above the baseline.
	maxBaseline = 0.5
	minBaseline = 0.005
	// maxEvidence keeps sums finite.
	maxEvidence = 1e12
)

const alternativeCount = 3

// alternativeWeights share the mass among the alternatives.
var alternativeWeights = [alternativeCount]float64{0.4, 0.3, 0.3}

// signalWeights share the mass among the signals.
var signalWeights = [signalCount]float64{0.5, 0.25, 0.15, 0.1}

// Detector finds a version whose bad rate rises above a baseline at an unknown
// time, early or long after its roll-out. It keeps two statistics per signal.
//
// Suspicion is a CUSUM of the log likelihood ratio against one alternative. It
// is quick, raises false alarms at a rate that its level sets, and only holds
// a version. It fades within a day without observations.
//
// Evidence is a Shiryaev-Roberts e-detector: a sum of likelihood ratio
// processes that start at every time, each weighted by the time since the
// observation before it. While the version is no worse than the baseline its
// expected value is at most the days that have passed, whatever the number of
// observations and however often it is looked at, so it passes 1/p with a
// probability of at most p a day. It withdraws a version.
//
// The zero value is not usable; see NewDetector. A Detector is a plain value
// of about 150 bytes and is not safe for use by several goroutines.
type Detector struct {
	set       DetectorSettings
	suspicion [signalCount]float64
	evidence  [signalCount][alternativeCount]float64
	last      time.Time
	held      bool
	withdrawn bool
}

// NewDetector starts a detector for a version first served at the time now.
func NewDetector(s DetectorSettings, now time.Time) *Detector {
	if s.FalseWithdrawals <= 0 {
		s.FalseWithdrawals = DefaultFalseWithdrawals
	}
	d := &Detector{set: s, last: now}
	d.SetHoldLevel(s.HoldLevel)
	d.addMass(newMass)
	return d
}

// SetHoldLevel changes the suspicion from which the version is held; zero is
// the default. It takes effect with the next observation.
func (d *Detector) SetHoldLevel(level float64) {
	if level <= 0 {
		level = DefaultHoldLevel
	}
	d.set.HoldLevel = level
}

// Observe counts one observation against the bad rate that is tolerated.
func (d *Detector) Observe(s Signal, bad bool, baseline float64, now time.Time) Verdict {
	if bad {
		return d.ObserveBatch(s, 0, 1, baseline, now)
	}
	return d.ObserveBatch(s, 1, 0, baseline, now)
}

// ObserveBatch counts observations that came together, as in a report of
// another agent, and returns the verdict.
func (d *Detector) ObserveBatch(s Signal, good, bad int, baseline float64, now time.Time) Verdict {
	d.pass(now)
	p0 := min(max(baseline, minBaseline), maxBaseline)
	for i, p1 := range alternatives(p0) {
		llr := logRatio(good, bad, p0, p1)
		d.evidence[s][i] = min(d.evidence[s][i]*math.Exp(llr), maxEvidence)
		if i == 0 {
			d.suspicion[s] = max(0, d.suspicion[s]+llr)
		}
	}
	d.judge()
	return d.Verdict()
}

// alternatives returns the bad rates that are tested against the baseline.
func alternatives(p0 float64) [alternativeCount]float64 {
	return [alternativeCount]float64{p0 + shift, p0 + wide, gross}
}

// logRatio is the log likelihood ratio of the rate p1 against p0.
func logRatio(good, bad int, p0, p1 float64) float64 {
	return float64(bad)*math.Log(p1/p0) + float64(good)*math.Log((1-p1)/(1-p0))
}

// pass lets new processes start for the time since the last observation.
func (d *Detector) pass(now time.Time) {
	if !now.After(d.last) {
		return
	}
	days := float64(now.Sub(d.last)) / float64(24*time.Hour)
	d.addMass(days)
	for s := range d.suspicion {
		d.suspicion[s] = max(0, d.suspicion[s]-days*d.set.HoldLevel)
	}
	d.last = now
}

func (d *Detector) addMass(days float64) {
	for s := range d.evidence {
		for i := range d.evidence[s] {
			d.evidence[s][i] += days * (1 - newMass) * signalWeights[s] * alternativeWeights[i]
		}
	}
}

func (d *Detector) judge() {
	if d.Evidence() >= 1/d.set.FalseWithdrawals {
		d.withdrawn = true
	}
	worst := d.Suspicion()
	if worst >= d.set.HoldLevel {
		d.held = true
	}
	if worst <= d.set.HoldLevel*releaseShare {
		d.held = false
	}
}

// Evidence returns the statistic behind a withdrawal.
func (d *Detector) Evidence() float64 {
	sum := 0.0
	for s := range d.evidence {
		for _, e := range d.evidence[s] {
			sum += e
		}
	}
	return sum
}

// Suspicion returns the greatest suspicion over the signals, in nats.
func (d *Detector) Suspicion() float64 {
	worst := 0.0
	for _, c := range d.suspicion {
		worst = max(worst, c)
	}
	return worst
}

// Verdict returns what the evidence says now.
func (d *Detector) Verdict() Verdict {
	switch {
	case d.withdrawn:
		return Withdraw
	case d.held:
		return Hold
	}
	return Trusted
}
