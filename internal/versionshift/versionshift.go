// Package versionshift decides how a service is shifted to a new version. The new
// version gets a small share of the requests first, then enough of them to load some
// of its upstreams, then all new requests; finally the old version is ended. At any
// point before that the new version may be withdrawn instead.
//
// The package does no I/O. The state of a shift is one row in the store. Any gateway
// may advance it by a write that is conditional on the row's revision, so that no
// gateway has to be elected for it.
package versionshift

import (
	"slices"
	"time"
)

// Order is an operator's request to shift a service to a version.
type Order struct {
	Service string
	To      string
	// Within is the time from the order in which the shift should end.
	Within time.Duration
	// Rev is the store revision of the order, which identifies it.
	Rev uint64
}

// Phase is the phase of a shift. Its values are stored.
type Phase string

// The phases of a shift.
const (
	// Trial gives the new version a small share of the requests.
	Trial Phase = "trial"
	// LoadTest is a load test: the new version gets close to half of the requests,
	// packed onto as few of its upstreams as can run them, to observe busy upstreams.
	LoadTest Phase = "pressed"
	// Moved gives the new version all new requests; the old version finishes the
	// requests that it is running.
	Moved Phase = "moved"
	// Done ends the old version. The shift is complete.
	Done Phase = "done"
	// Withdrawn sends all requests to the old version again. The shift has failed.
	Withdrawn Phase = "withdrawn"
)

// State is the stored state of one shift.
type State struct {
	Service string        `json:"service"`
	To      string        `json:"to"`
	Within  time.Duration `json:"within"`
	// Order is the store revision of the order (see Order.Rev).
	Order uint64 `json:"order"`
	Phase Phase  `json:"phase"`
	// Started and Since are the store's clock at the start of the shift and at the
	// start of the current phase.
	Started time.Duration `json:"started"`
	Since   time.Duration `json:"since"`
	// Reason is the reason for the last change of phase.
	Reason string `json:"why,omitempty"`
	// Rejected holds the versions that earlier shifts of the service withdrew and that were
	// not ordered again; the latest comes last.
	Rejected []string `json:"rejected,omitempty"`
}

// maxRejected bounds State.Rejected. The upstreams of a withdrawn version leave after some
// seconds.
const maxRejected = 8

// RejectedVersions returns the versions that get no new requests after this shift unless they
// are ordered again.
func (s State) RejectedVersions() []string {
	out := slices.Clone(s.Rejected)
	if s.Phase == Withdrawn {
		out = append(out, s.To)
	}
	return out
}

// Ended reports whether the shift is complete or withdrawn, so that its phase no
// longer changes.
func (s State) Ended() bool { return s.Phase == Done || s.Phase == Withdrawn }

// Shares, load and deadlines of a shift. Deadlines are fractions of State.Within.
const (
	// trialExposureFraction is the fraction of the allowed exposure that the new
	// version's share is in a trial. As the trial lasts for earliestTrialEnd, it leaves
	// 0.7 of the exposure to the load test (LoadTest): evaluating busy upstreams takes the
	// most responses.
	trialExposureFraction = 0.6
	// earliestTrialEnd is also the time until which sessions stay on the old version, as
	// the users require. latestTrialEnd ends a trial that has too few responses.
	earliestTrialEnd = 0.5
	latestTrialEnd   = 0.6
	// maxLoadTestShare is the upper bound of the share of short prompts in the load test.
	// It fills upstreams within a second or two; ExposureExhausted bounds the exposure.
	maxLoadTestShare = 0.75
	// longPromptFactor is the load test's share of long prompts as a multiple of the
	// trial's share.
	longPromptFactor = 3.0
	// minShareGrowth is the minimum factor by which the share grows from the trial to the
	// load test. A share that shrank would move sessions back to the old version.
	minShareGrowth = 1.25
	// earliestLoadTestEnd is when a version that has been observed on busy upstreams may
	// get all requests, lightLoadTestEnd when a version may get them that was not
	// observed there because there was too little traffic.
	earliestLoadTestEnd = 0.58
	lightLoadTestEnd    = 0.75
	// latestOldVersionEnd is when the old version is ended even if requests still run on
	// it. The rest of the time is left for writing the result.
	latestOldVersionEnd = 0.9
	// minTrialUpstreams is the minimum number of upstreams that get requests in a trial:
	// a withdrawal needs bad responses of two.
	minTrialUpstreams = 2
	// maxLoadTestUpstreams is how many upstreams the load test fills, and loadTestFactor
	// the load that it gives them as a multiple of an even share. That fills some of them
	// while upstreams are half empty on average. In a large service more upstreams would
	// only make more callers wait and add no evidence that is needed.
	maxLoadTestUpstreams = 8
	loadTestFactor       = 2.0
	// exposureLimitFraction is the fraction of the allowed exposure at which the new
	// version gets no further requests. The rest, and the fixed number of requests that
	// is allowed on top, is left for sessions that continue and for requests that
	// gossip messages have not reported yet.
	exposureLimitFraction = 0.9
	// remainingRateFactor is the request rate that is assumed for the rest of a shift,
	// as a fraction of the rate so far: bursts end, and gateways are lost.
	remainingRateFactor = 0.7
	// minElapsedFraction is the fraction of the time before which the requests so far are
	// too few to extrapolate from; an earlier time counts as this one.
	minElapsedFraction = 0.2
	// minTrialGood is the number of good responses that ends a trial before
	// latestTrialEnd.
	minTrialGood = 12
	// latestSuspicionHold is when a suspicion no longer delays the next phase. A severe
	// one then withdraws the version: a bad version would reach all callers, while the
	// operator can order a good one again.
	latestSuspicionHold = 0.8
	// minBusyGood is the number of good responses of busy upstreams that ends the load
	// test before lightLoadTestEnd. If busy upstreams have failed, the good responses must
	// outweigh the failures, or that many must come from the other upstreams.
	minBusyGood = 24
)

// Start returns the state of a shift that starts at now, on the store's clock, after an
// earlier shift of the service; the zero State stands for none.
func Start(o Order, now time.Duration, earlier State) State {
	rejected := slices.DeleteFunc(earlier.RejectedVersions(), func(v string) bool { return v == o.To })
	return State{
		Service: o.Service, To: o.To, Within: o.Within, Order: o.Rev,
		Phase: Trial, Started: now, Since: now, Rejected: rejected[max(0, len(rejected)-maxRejected):],
	}
}

// Share returns the fraction of new requests that goes to the new version, which has
// the given number of upstreams. The exposure is the fraction of all requests that a bad
// version may get.
func (s State) Share(exposure float64, upstreams int) float64 {
	trial := trialExposureFraction * exposure
	switch s.Phase {
	case Trial:
		return trial
	case LoadTest:
		fill := loadTestFactor * maxLoadTestUpstreams / float64(max(upstreams, 1))
		return max(min(maxLoadTestShare, fill), min(1, minShareGrowth*trial))
	case Moved, Done:
		return 1
	}
	return 0
}

// Takes reports whether a request belongs to the new version's share. The point is the
// position of its session among all sessions, in [0, 1). Long prompts do not fill
// upstreams; the load test includes some of them all the same, since the version may be
// bad for them.
func (s State) Takes(point float64, short bool, exposure float64, upstreams int) bool {
	if s.Phase == LoadTest && !short {
		return point < min(1, longPromptFactor*trialExposureFraction*exposure)
	}
	return point < s.Share(exposure, upstreams)
}

// Upstreams returns how many of the new version's upstreams get its requests. In a trial
// these are no more than its share needs, so that each gives enough responses to be
// evaluated and is about as loaded as the old version's upstreams, with which its
// response times are compared.
func (s State) Upstreams(exposure float64, all int) int {
	if s.Phase != Trial {
		return all
	}
	return min(all, max(minTrialUpstreams, int(s.Share(exposure, all)*float64(all))))
}

// LoadTestUpstreams returns how many of the new version's upstreams get short prompts: in
// the load test the few that are filled, otherwise all.
func (s State) LoadTestUpstreams(all int) int {
	if s.Phase != LoadTest {
		return all
	}
	return min(all, maxLoadTestUpstreams)
}

// ExposureExhausted reports whether the new version has got as many requests as a bad
// version may get, before it is known to be good. The number of requests in the whole shift
// is estimated from those so far. ExposureExhausted guards against a burst of retries,
// which the share does not bound.
func (s State) ExposureExhausted(seen Evidence, exposure float64, now time.Duration) bool {
	if s.Phase != Trial && s.Phase != LoadTest {
		return false
	}
	elapsed := max(now-s.Started, time.Duration(minElapsedFraction*float64(s.Within)))
	remaining := max(0, float64(s.Within)/float64(max(elapsed, 1))-1)
	expected := float64(seen.Sent) * (1 + remainingRateFactor*remaining)
	return float64(seen.SentNew) > exposureLimitFraction*exposure*expected
}

// FillsUpstreams reports whether the new version's requests are packed onto as few of its
// upstreams as can run them. It guards against a version that fails only while its
// upstreams are busy: both versions run side by side in a shift, so evenly spread requests
// leave all upstreams half empty.
func (s State) FillsUpstreams() bool { return s.Phase == LoadTest }

// CountsSlowResponses reports whether a slow response counts as a bad one of the new version. It
// does in a trial, where the upstreams of both versions are equally loaded. Later the new
// version's upstreams are filled, or get all requests, and requests queue there.
func (s State) CountsSlowResponses() bool { return s.Phase != LoadTest && s.Phase != Moved }

// KeepsOldSessions reports whether sessions of the old version must stay on it.
func (s State) KeepsOldSessions(now time.Duration) bool {
	return s.Phase == Trial && now-s.Started < time.Duration(earliestTrialEnd*float64(s.Within))
}

// Next returns the state that follows from the evidence so far; it is the given state if
// the phase does not change. Next handles two cases. A bad version, which fails a part of
// its requests from the start, later, only under load or only on one route, must reach few
// callers. A good version must not be withdrawn because some upstreams fail for reasons of
// their own.
func Next(s State, seen EvidenceByClass, now time.Duration) State {
	if s.Ended() {
		return s
	}
	verdict := seen.assess()
	if verdict.bad {
		return s.enter(Withdrawn, now, "bad answers")
	}
	e := seen.Sum()
	elapsed := float64(now-s.Started) / float64(max(s.Within, time.Second))
	switch s.Phase {
	case Trial:
		// The few responses of a trial may leave a suspicion; the load test resolves it.
		if elapsed >= earliestTrialEnd && ((e.GoodTotal >= minTrialGood && !verdict.suspected) || elapsed >= latestTrialEnd) {
			return s.enter(LoadTest, now, "trial held")
		}
	case LoadTest:
		switch {
		case verdict.suspected && elapsed < latestSuspicionHold:
			return s
		case verdict.severe:
			return s.enter(Withdrawn, now, "doubts not settled in time")
		case elapsed >= earliestLoadTestEnd && seen.goodWhenBusy():
			return s.enter(Moved, now, "held on busy upstreams")
		case seen.failsWhenBusy() && elapsed < latestSuspicionHold, seen.failsWhenLoaded() && elapsed >= lightLoadTestEnd && elapsed < latestSuspicionHold:
			return s
		case seen.failsWhenBusy(), seen.failsWhenLoaded() && elapsed >= lightLoadTestEnd:
			return s.enter(Withdrawn, now, "failures of loaded upstreams not settled in time")
		case elapsed >= lightLoadTestEnd && now-s.Since >= time.Second:
			return s.enter(Moved, now, "too little work to fill upstreams")
		}
	case Moved:
		settled := !verdict.suspected && now-s.Since >= time.Second && e.OldRunning == 0
		if settled || elapsed >= latestOldVersionEnd {
			return s.enter(Done, now, "old version is empty or its time is over")
		}
	}
	return s
}

// enter returns the state at the start of a phase.
func (s State) enter(p Phase, now time.Duration, why string) State {
	s.Phase, s.Since, s.Reason = p, now, why
	return s
}
