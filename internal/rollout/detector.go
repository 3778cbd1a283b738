package rollout

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// Signal is the kind of an observation of a version.
type Signal uint8

// The signals.
const (
	// SignalRating observes a rating; bad means that the response was rated bad.
	SignalRating Signal = iota
	// SignalFailure observes an attempt; bad means that the upstream failed.
	SignalFailure
	// SignalTruncation observes a response; bad means that it was cut off.
	SignalTruncation
	// SignalSlowness observes a response; bad means that it was slow for the
	// load at the time.
	SignalSlowness

	signalCount
)

// String returns the signal's name.
func (s Signal) String() string {
	return [signalCount]string{"rating", "failure", "truncation", "slowness"}[s]
}

// Verdict is the conclusion about a version. Verdicts are ordered by severity.
type Verdict uint8

// The verdicts.
const (
	// Trusted means that there is no significant evidence against the version.
	Trusted Verdict = iota
	// Hold means that the version should get no requests until more is
	// known. The hold ends when the suspicion falls.
	Hold
	// Withdraw means that the version is bad. It is final.
	Withdraw
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"trusted", "hold", "withdraw"}[v] }

// DetectorSettings configures the error rates of a Detector. A field with the
// zero value takes its default.
type DetectorSettings struct {
	// FalseWithdrawals bounds the expected number of withdrawals per day of a
	// version that is no worse than its baselines.
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
	// initialMass is the share of a day's prior mass that a detector starts
	// with, since a new version may be bad from its first response.
	initialMass = 0.1
	// smallRise is the rise of the bad rate that the suspicion tests for.
	smallRise = 0.1
	// largeRise and grossRate are further alternatives that the evidence tests
	// for. grossRate is a bad rate, not a rise.
	largeRise = 0.3
	grossRate = 0.95
	// releaseFraction is the fraction of the hold level at which a hold ends.
	releaseFraction = 0.4
	// maxBaseline keeps the alternatives above the baseline.
	maxBaseline = 0.5
	// minBaseline keeps the likelihood ratios finite.
	minBaseline = 0.005
	// maxEvidence keeps sums finite.
	maxEvidence = 1e12
)

const alternativeCount = 3

// alternativeWeights divides the prior mass among the alternatives.
var alternativeWeights = [alternativeCount]float64{0.4, 0.3, 0.3}

// signalWeights divides the prior mass among the signals.
var signalWeights = [signalCount]float64{0.5, 0.25, 0.15, 0.1}

// Detector detects that the bad rate of a version has risen above a baseline at
// an unknown time, during its rollout or long after. It keeps two statistics per
// signal.
//
// Suspicion is a CUSUM of the log likelihood ratio against the alternative
// smallRise. It reacts quickly, raises false alarms at a rate that the hold level
// sets, and therefore only holds a version. Without observations it decays
// by the hold level per day.
//
// Evidence is a Shiryaev-Roberts e-detector: a sum of likelihood ratio processes
// that start before each observation, each weighted by the time since the previous
// observation. While the version is no worse than the baseline, the expected
// value of the sum is at most the number of days that have passed, however many
// observations there are and however often it is checked. It therefore exceeds
// 1/p with a probability of at most p per day. Evidence withdraws a version.
//
// The zero value is not usable; see NewDetector. A Detector is a plain value of
// about 150 bytes and is not safe for concurrent use.
type Detector struct {
	settings  DetectorSettings
	suspicion [signalCount]float64
	evidence  [signalCount][alternativeCount]float64
	last      time.Time
	held      bool
	withdrawn bool
}

// NewDetector returns a detector for a version that is first served at now.
func NewDetector(s DetectorSettings, now time.Time) *Detector {
	if s.FalseWithdrawals <= 0 {
		s.FalseWithdrawals = DefaultFalseWithdrawals
	}
	d := &Detector{settings: s, last: now}
	d.SetHoldLevel(s.HoldLevel)
	d.addMass(initialMass)
	return d
}

// SetHoldLevel sets the suspicion, in nats, from which the version is held; zero
// selects the default. It takes effect with the next observation.
func (d *Detector) SetHoldLevel(level float64) {
	if level <= 0 {
		level = DefaultHoldLevel
	}
	d.settings.HoldLevel = level
}

// Observe records one observation and tests it against the tolerated bad rate
// baseline.
func (d *Detector) Observe(s Signal, bad bool, baseline float64, now time.Time) Verdict {
	if bad {
		return d.ObserveBatch(s, 0, 1, baseline, now)
	}
	return d.ObserveBatch(s, 1, 0, baseline, now)
}

// ObserveBatch records observations that arrive together, as in a report of
// another agent, and returns the verdict.
func (d *Detector) ObserveBatch(s Signal, good, bad int, baseline float64, now time.Time) Verdict {
	d.advance(now)
	p0 := min(max(baseline, minBaseline), maxBaseline)
	for i, p1 := range alternatives(p0) {
		llr := logLikelihoodRatio(good, bad, p0, p1)
		d.evidence[s][i] = min(d.evidence[s][i]*math.Exp(llr), maxEvidence)
		if i == 0 {
			d.suspicion[s] = max(0, d.suspicion[s]+llr)
		}
	}
	d.updateVerdict()
	return d.Verdict()
}

// alternatives returns the bad rates that are tested against the baseline p0.
func alternatives(p0 float64) [alternativeCount]float64 {
	return [alternativeCount]float64{p0 + smallRise, p0 + largeRise, grossRate}
}

// logLikelihoodRatio returns the log likelihood ratio of the bad rate p1 to p0.
func logLikelihoodRatio(good, bad int, p0, p1 float64) float64 {
	return float64(bad)*math.Log(p1/p0) + float64(good)*math.Log((1-p1)/(1-p0))
}

// advance moves the detector to now: it adds prior mass to the evidence for the
// time since the last observation and decays the suspicion.
func (d *Detector) advance(now time.Time) {
	if !now.After(d.last) {
		return
	}
	days := float64(now.Sub(d.last)) / float64(24*time.Hour)
	d.addMass(days)
	for s := range d.suspicion {
		d.suspicion[s] = max(0, d.suspicion[s]-days*d.settings.HoldLevel)
	}
	d.last = now
}

// addMass adds the prior mass of a number of days to the evidence.
func (d *Detector) addMass(days float64) {
	for s := range d.evidence {
		for i := range d.evidence[s] {
			d.evidence[s][i] += days * (1 - initialMass) * signalWeights[s] * alternativeWeights[i]
		}
	}
}

// updateVerdict compares both statistics with their thresholds.
func (d *Detector) updateVerdict() {
	if d.Evidence() >= 1/d.settings.FalseWithdrawals {
		d.withdrawn = true
	}
	worst := d.Suspicion()
	if worst >= d.settings.HoldLevel {
		d.held = true
	}
	if worst <= d.settings.HoldLevel*releaseFraction {
		d.held = false
	}
}

// Evidence returns the statistic that decides on a withdrawal.
func (d *Detector) Evidence() float64 {
	sum := 0.0
	for s := range d.evidence {
		for _, e := range d.evidence[s] {
			sum += e
		}
	}
	return sum
}

// Suspicion returns the highest suspicion of all signals, in nats.
func (d *Detector) Suspicion() float64 {
	worst := 0.0
	for _, c := range d.suspicion {
		worst = max(worst, c)
	}
	return worst
}

// Verdict returns the current verdict.
func (d *Detector) Verdict() Verdict {
	switch {
	case d.withdrawn:
		return Withdraw
	case d.held:
		return Hold
	}
	return Trusted
}
