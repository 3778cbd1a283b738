package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// AttemptEnd describes how one attempt of a version ended on a host.
type AttemptEnd struct {
	Key  quality.Key
	Host string
	// Failed is set when the upstream failed before its answer began, Cut
	// when the upstream did not complete its answer.
	Failed, Cut bool
	// Latency is the time to the end of a complete answer.
	Latency time.Duration
	// Backlog is the number of queued requests per slot of the upstream when
	// the attempt ended.
	Backlog float64
}

// attemptSignals are the signals derived from attempts.
var attemptSignals = [...]rollout.Signal{rollout.SignalFailure, rollout.SignalTruncation, rollout.SignalSlowness}

// Indexes into attemptSignals.
const (
	failure = iota
	truncation
	slowness
	attemptSignalCount
)

// signalCount counts the good and bad attempts of a version on one host for one
// signal: those since the last call of Evaluate, and a decaying count of recent ones.
type signalCount struct {
	newGood, newBad       int
	recentGood, recentBad float64
}

// hostCounts holds the counts of a version on one host, indexed like attemptSignals.
type hostCounts [attemptSignalCount]signalCount

func (c *signalCount) add(bad bool) {
	if bad {
		c.newBad++
		return
	}
	c.newGood++
}

// recentDecay is the factor applied to recent counts by each call of Evaluate. With
// two calls a second, the half-life is 7 s.
const recentDecay = 0.95

// minReferenceAnswers is the weight of answers that a latency reference needs.
const minReferenceAnswers = 30

// RecordAttempt records the end of one attempt.
func (f *Fleet) RecordAttempt(e AttemptEnd, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[catalog.VersionName(e.Key.Version)]
	if !ok {
		return
	}
	if v.unratedSince.IsZero() {
		v.unratedSince = now
	}
	t := v.hosts[e.Host]
	if t == nil {
		t = &hostCounts{}
		v.hosts[e.Host] = t
	}
	t[failure].add(e.Failed)
	if e.Failed {
		return
	}
	t[truncation].add(e.Cut)
	if e.Cut {
		return
	}
	if limit, known := f.slowLimit(e, v); known {
		t[slowness].add(e.Latency > limit)
	}
}

// slowLimit returns the latency above which an answer counts as slow. It is the
// upper reference latency of the version, or of the version that it replaces,
// plus the wait for a slot. The wait is the larger of the current estimate and
// an estimate from the queue at the end of this attempt. The wait is added
// because a version with too few replicas queues without being faulty.
func (f *Fleet) slowLimit(e AttemptEnd, v *trackedVersion) (time.Duration, bool) {
	key := e.Key
	now, _ := f.currentView.Get(key)
	if v.replaces != "" {
		key.Version = string(v.replaces)
	}
	reference, ok := f.referenceView.Get(key)
	usual := reference.LatencyHigh
	waited := max(now.Wait, time.Duration(e.Backlog*float64(usual)))
	return usual + waited, ok && reference.Answers >= minReferenceAnswers
}

// Evaluate adds the attempts that ended since the last call to the evidence on each
// version, and detects new versions that receive no ratings. Faults of a single
// host are left out, since host selection ejects that host. Load slows all
// versions alike, so each version is compared with the others. Evaluate is called
// about twice a second.
func (f *Fleet) Evaluate(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.versions {
		for _, t := range v.hosts {
			t.mergeNew()
		}
	}
	for name, v := range f.versions {
		for i := range attemptSignals {
			f.evaluateSignal(name, v, i, now)
		}
		v.ratingsStalled = f.currentView.Fresh() && v.replaces != "" && !v.monitor.Tally().Cleared &&
			!v.unratedSince.IsZero() && now.Sub(v.unratedSince) > ratingsStalledAfter
	}
	for _, v := range f.versions {
		v.decayRecent()
	}
}

// mergeNew adds the new counts to the recent ones.
func (t *hostCounts) mergeNew() {
	for i := range t {
		t[i].recentGood += float64(t[i].newGood)
		t[i].recentBad += float64(t[i].newBad)
	}
}

// evaluateSignal adds the new counts of one signal to the version's monitor,
// without those of a single faulty host.
func (f *Fleet) evaluateSignal(name catalog.VersionName, v *trackedVersion, signal int, now time.Time) {
	baseline, ok := f.controlBaseline(name, signal)
	if !ok {
		return
	}
	fault, faultyHost := rollout.Attribute(f.tallies(name, v, signal), baseline)
	good, bad := 0, 0
	for host, t := range v.hosts {
		if host == faultyHost && fault != rollout.NoFault {
			continue
		}
		good += t[signal].newGood
		bad += t[signal].newBad
	}
	if good+bad > 0 {
		v.monitor.RecordSignal(attemptSignals[signal], good, bad, baseline, now)
	}
}

const (
	// minControlAnswers is the number of recent answers of other versions needed
	// as a control group. With fewer, a version's signals are ignored: a fault
	// that affects all versions, such as an overload, must not hold them all.
	minControlAnswers = 10
	// controlPriorAnswers is the weight of the prior that the control group is
	// healthy, in answers.
	controlPriorAnswers = 10
	// controlMargin multiplies the control group's bad rate to give the baseline.
	controlMargin = 1.5
	// maxControlRate is the baseline from which a fault is assumed to affect all
	// versions alike.
	maxControlRate = 0.5
)

// controlBaseline returns the current bad rate of all other versions with a
// margin. ok is false when they have too few answers or are failing themselves.
func (f *Fleet) controlBaseline(name catalog.VersionName, signal int) (rate float64, ok bool) {
	good, bad := 0.0, 0.0
	for other, v := range f.versions {
		if other == name {
			continue
		}
		for _, t := range v.hosts {
			good += t[signal].recentGood
			bad += t[signal].recentBad
		}
	}
	rate = controlMargin * (bad + 1) / (good + bad + controlPriorAnswers)
	if signal == slowness {
		rate = max(rate, minSlowBaseline)
	}
	return rate, good+bad >= minControlAnswers && rate < maxControlRate
}

// minSlowBaseline is the share of answers that exceed the slow limit in normal
// operation. The limit lies two standard deviations above the mean.
const minSlowBaseline = 0.1

// tallies returns, for each host, the recent counts of the version and those of
// all other versions there.
func (f *Fleet) tallies(name catalog.VersionName, v *trackedVersion, signal int) []rollout.HostTally {
	var out []rollout.HostTally
	for host, t := range v.hosts {
		c := t[signal]
		tally := rollout.HostTally{Host: host, Good: int(c.recentGood), Bad: int(c.recentBad)}
		for other, x := range f.versions {
			if o := x.hosts[host]; o != nil && other != name {
				tally.OtherGood += int(o[signal].recentGood)
				tally.OtherBad += int(o[signal].recentBad)
			}
		}
		out = append(out, tally)
	}
	return out
}

// minRecentAnswers is the sum of recent counts below which a host is dropped.
const minRecentAnswers = 0.5

// decayRecent clears the new counts, decays the recent ones and drops hosts with
// hardly any left.
func (v *trackedVersion) decayRecent() {
	for host, t := range v.hosts {
		remaining := 0.0
		for i := range t {
			c := &t[i]
			c.newGood, c.newBad = 0, 0
			c.recentGood *= recentDecay
			c.recentBad *= recentDecay
			remaining += c.recentGood + c.recentBad
		}
		if remaining < minRecentAnswers {
			delete(v.hosts, host)
		}
	}
}
