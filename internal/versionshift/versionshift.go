// Package versionshift decides how a service moves to a new version: a trial
// with a small share of the work, then all new work, then the end of the old
// version, or its withdrawal. It has no I/O; the state is one row that any
// gateway may advance under a condition on the row's revision, so no gateway
// is set aside for it.
package versionshift

import (
	"math"
	"time"
)

// Order asks for a service to be moved to a version.
type Order struct {
	Service string
	To      string
	// Within is the time in which the shift should end, from the order.
	Within time.Duration
	// Rev identifies the order.
	Rev uint64
}

// Phase is how far a shift is.
type Phase string

// The phases of a shift.
const (
	// Trial gives the new version a small share of the work.
	Trial Phase = "trial"
	// Half gives it half of the work, to see it under load.
	Half Phase = "half"
	// Moved gives it all new work; the old version finishes what it has.
	Moved Phase = "moved"
	// Done ends the old version.
	Done Phase = "done"
	// Withdrawn takes all work from the new version.
	Withdrawn Phase = "withdrawn"
)

// State is the row of one shift.
type State struct {
	Service string        `json:"service"`
	To      string        `json:"to"`
	Within  time.Duration `json:"within"`
	// Order is the revision of the order.
	Order uint64 `json:"order"`
	Phase Phase  `json:"phase"`
	// Started and Since are the store's clock at the start of the shift and
	// of the phase.
	Started time.Duration `json:"started"`
	Since   time.Duration `json:"since"`
	// Why tells what decided the phase.
	Why string `json:"why,omitempty"`
}

// Ended reports whether nothing is left to decide.
func (s State) Ended() bool { return s.Phase == Done || s.Phase == Withdrawn }

// Evidence counts the answers of the last seconds (see EvidenceWindow), over
// all gateways, so that a version that turns bad late is not protected by the
// answers it gave before.
type Evidence struct {
	// Judged counts the new version's good answers since the start of the
	// shift.
	Judged int `json:"judged"`

	// NewGood and NewBad count the answers of the new version; bad ones are
	// failures that the upstream itself reported and answers several times
	// slower than the old version's.
	NewGood int `json:"newGood"`
	NewBad  int `json:"newBad"`
	// NewUpstreams counts the upstreams of the new version that answered,
	// BadUpstreams those of them with bad answers.
	NewUpstreams int `json:"newUpstreams"`
	BadUpstreams int `json:"badUpstreams"`
	OldGood      int `json:"oldGood"`
	OldBad       int `json:"oldBad"`
	// OldRunning counts requests that still run on the old version.
	OldRunning int `json:"oldRunning"`
}

// Add sums the evidence of two gateways. Upstreams seen by both are
// counted by the larger number, since they may be the same ones.
func (e Evidence) Add(o Evidence) Evidence {
	return Evidence{
		Judged:  e.Judged + o.Judged,
		NewGood: e.NewGood + o.NewGood, NewBad: e.NewBad + o.NewBad,
		NewUpstreams: max(e.NewUpstreams, o.NewUpstreams),
		BadUpstreams: max(e.BadUpstreams, o.BadUpstreams),
		OldGood:      e.OldGood + o.OldGood, OldBad: e.OldBad + o.OldBad,
		OldRunning: e.OldRunning + o.OldRunning,
	}
}

// Shares and times of a shift.
const (
	// trialPart is the part of the allowed exposure that a trial uses. The
	// trial lasts at most trialLate of the time, which leaves the rest of the
	// exposure for the second under half load.
	trialPart = 0.9
	// trialUntil is the part of the time after which sessions of the old
	// version may move.
	trialUntil = 0.5
	// halfUntil leaves a tenth of the time to see the version under load.
	halfUntil = 0.62
	// doneBy is when the old version is ended even if requests still run on
	// it; the rest is slack for the write of the result.
	doneBy = 0.9
	// pressed is the part of the upstreams that a share of the work would need
	// which get it, leastUpstreams the least number: a verdict takes two.
	pressed        = 0.67
	leastUpstreams = 2
	// minGood is how many good answers let a version leave its trial early in
	// its second half; without them it waits until trialLate.
	minGood   = 12
	trialLate = 0.7
)

// Thresholds of the sequential test.
const (
	// badRate is the least rate of bad answers that makes a version bad.
	badRate = 0.3
	// badMargin is how far above the old version's rate a bad version's is.
	badMargin = 0.2
	// baseFloor is the least rate that is assumed of the old version.
	baseFloor = 0.04
	// baseMargin is how much worse than the old version a good one may be.
	baseMargin = 1.5
	// withdrawAt is the logarithm of the odds at which a version is withdrawn:
	// a thousand to one.
	withdrawAt = 6.9
	// holdAt is when a shift waits for more evidence, heldUntil the part of its
	// time after which it no longer does.
	holdAt    = 1.0
	heldUntil = 0.8
	// badPart is the least part of a version's upstreams that give bad answers
	// when it is the version that is bad: above the part that the users' faults
	// of single upstreams reach, which is a fifth.
	badPart = 0.3
	// minBad is the least number of bad answers for a withdrawal.
	minBad = 4
)

// EvidenceWindow is the span that evidence covers: at the trial's share some
// thirty answers of the users' services.
const EvidenceWindow = 6 * time.Second

// Seen is the evidence of each route by its name. A version may be bad for the
// requests of one route only, which the sum over all of them hides.
type Seen map[string]Evidence

// Add sums the evidence of two gateways, route by route.
func (s Seen) Add(o Seen) Seen {
	out := make(Seen, len(s)+len(o))
	for route, e := range s {
		out[route] = e
	}
	for route, e := range o {
		out[route] = out[route].Add(e)
	}
	return out
}

// Sum is the evidence of all routes.
func (s Seen) Sum() Evidence {
	var sum Evidence
	for _, e := range s {
		sum = sum.Add(e)
	}
	return sum
}

// oddsBad returns the highest odds of all routes and of their sum, among those
// with enough bad answers at enough upstreams, and the highest without that.
func (s Seen) oddsBad() (proven, suspected float64) {
	check := func(e Evidence) {
		odds := oddsBad(e)
		suspected = max(suspected, odds)
		if e.NewBad >= minBad && e.BadUpstreams >= 2 &&
			float64(e.BadUpstreams) >= badPart*float64(e.NewUpstreams) {
			proven = max(proven, odds)
		}
	}
	for _, e := range s {
		check(e)
	}
	check(s.Sum())
	return proven, suspected
}

// Start returns the state of a new shift.
func Start(o Order, now time.Duration) State {
	return State{
		Service: o.Service, To: o.To, Within: o.Within, Order: o.Rev,
		Phase: Trial, Started: now, Since: now,
	}
}

// Share returns the part of new work that goes to the new version. The
// exposure is the part of all requests that a bad version may get.
func (s State) Share(exposure float64) float64 {
	switch s.Phase {
	case Trial:
		return trialPart * exposure
	case Half:
		return 0.5
	case Moved, Done:
		return 1
	}
	return 0
}

// Upstreams returns how many of the new version's upstreams take the work of a
// trial: fewer than its share would need, so that each is loaded more than
// usual. It answers a version that fails only under load, which a small share
// spread over all of its upstreams never shows. Half of the work is spread over
// all, because callers would wait on fewer.
func (s State) Upstreams(exposure float64, all int) int {
	if s.Phase != Trial {
		return all
	}
	return min(all, max(leastUpstreams, int(math.Ceil(pressed*s.Share(exposure)*float64(all)))))
}

// FirstHalf reports whether sessions of the old version must stay there.
func (s State) FirstHalf(now time.Duration) bool {
	return s.Phase == Trial && now-s.Started < time.Duration(trialUntil*float64(s.Within))
}

// Next returns the state after the evidence so far. It answers two patterns: a
// version that fails a part of its requests from the start, later or only
// under load or for one route, which must reach few callers; and a good one beside upstreams
// that fail for other reasons, which must not be withdrawn for them.
func Next(s State, seen Seen, now time.Duration) State {
	if s.Ended() {
		return s
	}
	proven, suspected := seen.oddsBad()
	if proven >= withdrawAt {
		return s.to(Withdrawn, now, "bad answers")
	}
	e := seen.Sum()
	part := float64(now-s.Started) / float64(max(s.Within, time.Second))
	if suspected > holdAt && part < heldUntil {
		return s
	}
	switch s.Phase {
	case Trial:
		if part >= trialUntil && (e.Judged >= minGood || part >= trialLate) {
			return s.to(Half, now, "trial held")
		}
	case Half:
		if part >= halfUntil && now-s.Since >= time.Second {
			return s.to(Moved, now, "held under load")
		}
	case Moved:
		settled := now-s.Since >= time.Second && e.OldRunning == 0
		if settled || part >= doneBy {
			return s.to(Done, now, "old version is empty or its time is over")
		}
	}
	return s
}

func (s State) to(p Phase, now time.Duration, why string) State {
	s.Phase, s.Since, s.Why = p, now, why
	return s
}

// oddsBad is a sequential test of the new version's rate of bad answers against
// that of the old one: the logarithm of the odds that the version is bad. A few
// upstreams that fail are no verdict on a version, so the caller also asks how
// many do.
func oddsBad(e Evidence) float64 {
	old := baseFloor
	if n := e.OldGood + e.OldBad; n > 0 {
		old = max(old, baseMargin*float64(e.OldBad)/float64(n))
	}
	suspect := max(badRate, old+badMargin)
	if suspect > 1-baseFloor {
		return 0 // the old version is no better
	}
	return float64(e.NewBad)*math.Log(suspect/old) + float64(e.NewGood)*math.Log((1-suspect)/(1-old))
}
