package watch

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// End is how one attempt of a version ended on a host.
type End struct {
	Key  quality.Key
	Host string
	// Failed is set when the upstream failed before its answer began, Cut
	// when it did not complete it.
	Failed, Cut bool
	// Latency of a whole answer.
	Latency time.Duration
	// Backlog is the number of requests queued for each slot of the upstream
	// at the end.
	Backlog float64
}

// attemptSignals are the signals that come from attempts.
var attemptSignals = [...]rollout.Signal{rollout.SignalFailure, rollout.SignalTruncation, rollout.SignalSlowness}

// The places of the signals in attemptSignals.
const (
	failure = iota
	truncation
	slowness
	attemptSignalCount
)

// count is one signal of a version on one host: what is new since the last
// weighing, and what is recent.
type count struct {
	newGood, newBad       int
	recentGood, recentBad float64
}

// hostTally holds the counts of a version on one host, by signal.
type hostTally [attemptSignalCount]count

func (c *count) add(bad bool) {
	if bad {
		c.newBad++
		return
	}
	c.newGood++
}

// fade is the part of a recent count that stays after each weighing. With two
// weighings a second, half of it is gone after 7 s.
const fade = 0.95

// minReference is the weight of answers from which latency can be judged.
const minReference = 30

// Ended takes the end of one attempt.
func (f *Fleet) Ended(e End, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.versions[catalog.VersionName(e.Key.Version)]
	if !ok {
		return
	}
	if v.waitsSince.IsZero() {
		v.waitsSince = now
	}
	t := v.hosts[e.Host]
	if t == nil {
		t = &hostTally{}
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

// slowLimit returns the latency above which an answer is slow: what was usual
// some time ago, of the version itself or of the one it replaces, and the wait
// for a slot, by the queue at the answer's end or those at the ends of others.
// That a version has too few replicas is no fault of it.
func (f *Fleet) slowLimit(e End, v *followed) (time.Duration, bool) {
	key := e.Key
	now, _ := f.now.Get(key)
	if v.replaces != "" {
		key.Version = string(v.replaces)
	}
	reference, ok := f.before.Get(key)
	usual := reference.LatencyHigh
	waited := max(now.Wait, time.Duration(e.Backlog*float64(usual)))
	return usual + waited, ok && reference.Answers >= minReference
}

// Weigh adds what ended since the last call to the evidence, and finds new
// versions whose ratings have stopped coming. Faults that lie with one host
// are left out: that host is ejected by the choice of host. Load slows all
// versions alike, so each is compared with the others. It is called about
// twice a second.
func (f *Fleet) Weigh(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.versions {
		for _, t := range v.hosts {
			t.collect()
		}
	}
	for name, v := range f.versions {
		for i := range attemptSignals {
			f.weigh(name, v, i, now)
		}
		v.stalled = f.now.Fresh() && v.replaces != "" && !v.monitor.Tally().Cleared &&
			!v.waitsSince.IsZero() && now.Sub(v.waitsSince) > stalledAfter
	}
	for _, v := range f.versions {
		v.forget()
	}
}

func (t *hostTally) collect() {
	for i := range t {
		t[i].recentGood += float64(t[i].newGood)
		t[i].recentBad += float64(t[i].newBad)
	}
}

func (f *Fleet) weigh(name catalog.VersionName, v *followed, signal int, now time.Time) {
	baseline, ok := f.controlBaseline(name, signal)
	if !ok {
		return
	}
	fault, ill := rollout.Attribute(f.tallies(name, v, signal), baseline)
	good, bad := 0, 0
	for host, t := range v.hosts {
		if host == ill && fault != rollout.NoFault {
			continue
		}
		good += t[signal].newGood
		bad += t[signal].newBad
	}
	if good+bad > 0 {
		v.monitor.Signal(attemptSignals[signal], good, bad, baseline, now)
	}
}

const (
	// minControl is the number of recent answers of other versions without
	// which nothing is held against a version: a fault that strikes all
	// alike, such as an overload, must not cost every version its work.
	minControl = 10
	// controlPrior is the weight of the assumption that they are well.
	controlPrior = 10
	// controlMargin is the factor over the rate of the others.
	controlMargin = 1.5
	// maxControl is the rate from which a fault is taken to strike all
	// versions alike.
	maxControl = 0.5
)

// controlBaseline is the bad rate of all other versions at the same time, with
// a margin. It reports false when too little is known of them, or they are ill
// themselves.
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
	rate = controlMargin * (bad + 1) / (good + bad + controlPrior)
	if signal == slowness {
		rate = max(rate, usuallySlow)
	}
	return rate, good+bad >= minControl && rate < maxControl
}

// usuallySlow is the share of answers above the slow limit at any time: the
// limit lies two standard deviations above the mean.
const usuallySlow = 0.1

// tallies returns the version's counts on each host beside those of all other
// versions there.
func (f *Fleet) tallies(name catalog.VersionName, v *followed, signal int) []rollout.HostTally {
	var out []rollout.HostTally
	for host, t := range v.hosts {
		c := t[signal]
		line := rollout.HostTally{Host: host, Good: int(c.recentGood), Bad: int(c.recentBad)}
		for other, x := range f.versions {
			if o := x.hosts[host]; o != nil && other != name {
				line.OtherGood += int(o[signal].recentGood)
				line.OtherBad += int(o[signal].recentBad)
			}
		}
		out = append(out, line)
	}
	return out
}

// forgetBelow is the recent count under which a host is dropped.
const forgetBelow = 0.5

// forget lets recent counts fade.
func (v *followed) forget() {
	for host, t := range v.hosts {
		rest := 0.0
		for i := range t {
			c := &t[i]
			c.newGood, c.newBad = 0, 0
			c.recentGood *= fade
			c.recentBad *= fade
			rest += c.recentGood + c.recentBad
		}
		if rest < forgetBelow {
			delete(v.hosts, host)
		}
	}
}
