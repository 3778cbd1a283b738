// Package quarantine decides which requests crash the upstreams that run them, and keeps
// them from further upstreams. Its input is the attempts that ended without an answer at
// upstreams that crashed (strikes) and those that had an answer (clearances), of this
// gateway and of its peers. It has no I/O or clock of its own.
//
// When an upstream crashes, all its requests fail together, and a crash has many causes.
// A feature of a request, such as a part of its prompt, is held responsible if
// upstreams crash under it again and again, each time after the last crash, and no request
// with it has had an answer meanwhile; or if so many of the requests with it end in a crash
// that the requests without it make chance unlikely.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Feature identifies what requests may have in common, as a hash.
type Feature uint64

// Boot identifies one start of an upstream.
type Boot uint32

// Attempt is one send of a request to an upstream.
type Attempt struct {
	Boot Boot
	// Request is a hash of the request's content: repeats by the caller share it.
	Request uint64
	// Features are those that other requests may share, and Feature(Request).
	Features []Feature
	// SentAt is when the request was sent, EndedAt when its connection broke or was given up.
	SentAt, EndedAt time.Time
	// Began is true when the upstream had begun its answer, or does not show that it begins.
	Began bool
	// GivenUp is true when the gateway itself ended the attempt. The upstream may
	// crash shortly afterwards.
	GivenUp bool
}

func (a Attempt) has(f Feature) bool { return slices.Contains(a.Features, f) }

// weight is how much the crash of the attempt's upstream says about its features. At any
// time an upstream has just begun few answers, while many requests wait.
func (a Attempt) weight() float64 {
	if a.Began {
		return 1
	}
	return waitingWeight
}

// waitingWeight is the weight of an attempt whose answer had not begun when the upstream
// crashed.
const waitingWeight = 0.5

// Thresholds of the sum of weights of consecutive strikes.
const (
	// newFeatureStrikes holds a feature that has never had an answer in the clearance
	// memory.
	newFeatureStrikes = 3.0
	// knownFeatureStrikes holds a feature that has had answers before. Most of these are
	// widely used, and take part in crashes of all causes.
	knownFeatureStrikes = 5.0
	// suspectMargin below the threshold, a request with the feature is not sent again after
	// a failed attempt.
	suspectMargin = 1.0
	// minRequests is the number of different requests under which upstreams must have
	// crashed before a feature that requests share is held.
	minRequests = 2
)

// Times.
const (
	// HoldTime is how long a feature is held after its last strike. Each release risks
	// further crashes.
	HoldTime = time.Hour
	// strikeMemory is how long strikes count.
	strikeMemory = 10 * time.Minute
	// crashMatch is the largest difference between the end of an attempt and the
	// crash of its upstream, as one gateway sees them.
	crashMatch = time.Second
	// givenUpMatch is how long after an attempt was given up its upstream may crash because of
	// it: the time to the first event, after which the crash would have been seen.
	givenUpMatch = 250 * time.Millisecond
	// crashGap separates crashes that have no common cause in time. Answers that had begun
	// count at crashes further apart, although the requests were sent in parallel.
	crashGap = 100 * time.Millisecond
	// orderSlack is the error of the times that peers report.
	orderSlack = 20 * time.Millisecond
	// proofTime is how long after an attempt the proof may come that its upstream crashed: the
	// list of upstreams shows it, and the store may be away.
	proofTime = 30 * time.Second
	// listSlack is how long before the first sight of a successor in the list a boot may have
	// ended that was listed still: its heartbeats end later.
	listSlack = 2 * time.Second
)

// Bounds of the state.
const (
	maxStrikes = 1024
	maxPending = 1024
	maxCrashes = 1024
	// MaxFeatures bounds the features of one request.
	MaxFeatures = 32
)

// Tracker holds the strikes and clearances, and the features that are held. It is not safe
// for concurrent use.
type Tracker struct {
	// pending are attempts that ended without an answer at upstreams that may have crashed.
	pending []Attempt
	// crashes holds the boots that have crashed, and when. A boot that came back under its ID
	// crashes again until the list shows its successor.
	crashes map[Boot]time.Time
	// ended is when the list showed the end of boots without attempts here.
	ended map[Boot]time.Time
	// successors are the boots that took the ID of an earlier one.
	successors map[Boot]Boot
	strikes    []strike
	cleared    clearances
	answers    answerCounts
	holds      []*Hold
	// heldIndex caches heldAt; it is dropped when strikes or holds change.
	heldIndex map[*Hold]map[Boot][]uint64
	// suspects are the features that are close to a hold.
	suspects map[Feature]bool
	// contested are features of holds that had answers here, for the next reports.
	contested map[Feature]time.Time
	// lifted is when holds were lifted.
	lifted map[Feature]time.Time
	// gateways is the number of gateways, this one included.
	gateways int
	// latest is the latest time that the tracker was given.
	latest time.Time
	// unproven counts the attempts whose upstreams were not proven to have crashed.
	unproven int
}

// strike is an attempt that ended without an answer when its upstream crashed.
type strike struct {
	Attempt
	// own is true when this gateway made the attempt. at is when it became known here.
	own bool
	at  time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		gateways: 1, crashes: map[Boot]time.Time{}, ended: map[Boot]time.Time{}, successors: map[Boot]Boot{}, suspects: map[Feature]bool{},
		answers:   answerCounts{byFeature: map[Feature]*answerCount{}},
		contested: map[Feature]time.Time{}, lifted: map[Feature]time.Time{},
	}
}

// Unanswered records an attempt that ended without any of its answer. It counts only if
// its upstream is known to have crashed, now or later.
func (t *Tracker) Unanswered(a Attempt, now time.Time) (changes []Change) {
	for range maxSuccessors {
		for _, known := range []map[Boot]time.Time{t.crashes, t.ended} {
			if at, ok := known[a.Boot]; ok && a.endedBy(at) {
				return t.add([]strike{{Attempt: a, own: true, at: now}}, now)
			}
		}
		next, ok := t.successors[a.Boot]
		if !ok {
			break
		}
		a.Boot = next // it was sent before the list showed that
	}
	if len(t.pending) >= maxPending {
		t.pending = slices.Delete(t.pending, 0, 1)
		t.unproven++
	}
	t.pending = append(t.pending, a)
	return nil
}

// maxSuccessors is how many boots may take an ID within the time of one request.
const maxSuccessors = 8

// endedBy reports whether the crash of the upstream at the given time explains the end of
// the attempt, or may follow from it.
func (a Attempt) endedBy(crash time.Time) bool {
	after := crash.Sub(a.EndedAt)
	if a.GivenUp {
		return after >= -orderSlack && after <= givenUpMatch
	}
	return after.Abs() <= crashMatch
}

// Crashed records that an upstream crashed at the given time.
func (t *Tracker) Crashed(b Boot, at, now time.Time) (changes []Change) {
	if was, ok := t.crashes[b]; ok && at.Sub(was) <= crashMatch {
		return nil
	}
	t.recordCrash(b, at)
	var found []strike
	t.pending = slices.DeleteFunc(t.pending, func(a Attempt) bool {
		if a.Boot != b || !a.endedBy(at) {
			return false
		}
		found = append(found, strike{Attempt: a, own: true, at: now})
		return true
	})
	return t.add(found, now)
}

func (t *Tracker) recordCrash(b Boot, at time.Time) {
	if _, ok := t.crashes[b]; ok || len(t.crashes) < maxCrashes {
		t.crashes[b] = at
	}
}

// Ended records that the list shows the end of a boot. Unless it was planned, the attempts
// that broke off there since the list was read before are strikes. crashed is true if there
// are any.
func (t *Tracker) Ended(e Ending, now time.Time) (changes []Change, crashed bool) {
	if e.Successor != 0 && len(t.successors) < maxCrashes {
		t.successors[e.Boot] = e.Successor
	}
	var ended []Attempt
	t.pending = slices.DeleteFunc(t.pending, func(a Attempt) bool {
		if a.Boot != e.Boot {
			return false
		}
		if e.explains(a.EndedAt) {
			ended = append(ended, a)
		}
		return true
	})
	if e.Planned {
		return nil, false
	}
	crash := now
	for _, a := range ended {
		if !a.GivenUp && a.EndedAt.Before(crash) {
			crash = a.EndedAt
		}
	}
	if len(t.ended) < maxCrashes {
		t.ended[e.Boot] = now // for attempts whose end is not known yet
	}
	var found []strike
	for _, a := range ended {
		if !a.GivenUp || a.endedBy(crash) {
			found = append(found, strike{Attempt: a, own: true, at: now})
		}
	}
	if len(found) > 0 {
		t.recordCrash(e.Boot, crash)
	}
	return t.add(found, now), len(found) > 0
}

// HasCrashedAt reports whether an upstream is known to have crashed at about the given time.
func (t *Tracker) HasCrashedAt(b Boot, at time.Time) bool {
	was, ok := t.crashes[b]
	return ok && at.Sub(was) <= crashMatch
}

// Struck records strikes of a peer.
func (t *Tracker) Struck(attempts []Attempt, now time.Time) (changes []Change) {
	found := make([]strike, 0, len(attempts))
	for _, a := range attempts {
		found = append(found, strike{Attempt: a, at: now})
	}
	return t.add(found, now)
}

// add adds strikes that are not known yet and holds the features that they incriminate.
func (t *Tracker) add(found []strike, now time.Time) (changes []Change) {
	t.latest = later(t.latest, now)
	var touched []Feature
	for _, s := range found {
		if len(s.Features) == 0 || now.Sub(s.EndedAt) > strikeMemory || slices.ContainsFunc(t.strikes, s.same) {
			continue
		}
		if len(t.strikes) >= maxStrikes {
			t.strikes = slices.Delete(t.strikes, 0, 1)
		}
		t.strikes = append(t.strikes, s)
		touched = append(touched, s.Features...)
	}
	t.heldIndex = nil
	for _, f := range touched {
		t.answers.follow(f)
	}
	changes = append(t.widen(), t.hold(touched, now)...)
	for _, f := range touched {
		t.suspects[f] = t.suspicious(f)
	}
	return changes
}

// suspicious reports whether a feature is close to a hold.
func (t *Tracker) suspicious(f Feature) bool {
	if t.evidence(f).weight >= t.threshold(f)-suspectMargin {
		return true
	}
	s := t.shareOf(f)
	return s.crashes >= shareCrashes-1 && s.unlikely()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s strike) same(o strike) bool { return s.Boot == o.Boot && s.Request == o.Request }

// Answered records that an upstream has answered a request that was sent at sentAt, far
// enough that it would have crashed before.
func (t *Tracker) Answered(features []Feature, request uint64, sentAt time.Time) (changes []Change) {
	t.latest = later(t.latest, sentAt)
	t.answers.answered(sentAt)
	shared := make([]Feature, 0, len(features))
	for _, f := range features {
		t.answers.count(f)
		// Most requests never come again; only those with strikes are remembered.
		if _, struck := t.suspects[f]; struck || f != Feature(request) {
			shared = append(shared, f)
		}
	}
	return t.clear(shared, clearance{at: sentAt, own: true})
}

func (t *Tracker) clear(features []Feature, c clearance) (changes []Change) {
	for _, f := range features {
		if !t.cleared.add(f, c) {
			continue
		}
		changes = append(changes, t.release(f, c.at)...)
		if t.suspects[f] {
			t.suspects[f] = t.suspicious(f)
		}
	}
	return changes
}

// Prune drops what no longer counts.
func (t *Tracker) Prune(now time.Time) (changes []Change) {
	t.latest = later(t.latest, now)
	t.pending = slices.DeleteFunc(t.pending, func(a Attempt) bool {
		late := now.Sub(a.EndedAt) > proofTime
		if late {
			t.unproven++
		}
		return late
	})
	before := len(t.strikes)
	t.strikes = slices.DeleteFunc(t.strikes, func(s strike) bool { return now.Sub(s.EndedAt) > strikeMemory })
	for b, at := range t.crashes {
		if now.Sub(at) > strikeMemory {
			delete(t.crashes, b)
		}
	}
	for b, at := range t.ended {
		if now.Sub(at) > strikeMemory {
			delete(t.ended, b)
			delete(t.successors, b)
		}
	}
	if len(t.strikes) != before {
		t.answers.forget(t.strikes, t.holds)
		t.heldIndex = nil
	}
	if len(t.strikes) == 0 {
		clear(t.suspects)
	}
	maps.DeleteFunc(t.contested, func(_ Feature, at time.Time) bool { return now.Sub(at) > tellTime })
	maps.DeleteFunc(t.lifted, func(_ Feature, at time.Time) bool { return now.Sub(at) > liftMemory })
	t.holds = slices.DeleteFunc(t.holds, func(h *Hold) bool {
		if now.Before(h.Until) {
			return false
		}
		changes = append(changes, Change{Hold: *h, Released: true})
		return true
	})
	return changes
}

// SetGateways sets the number of gateways, this one included.
func (t *Tracker) SetGateways(n int) { t.gateways = max(1, n) }

// Unproven returns how many attempts broke off at upstreams that were not proven to have
// crashed, since the start.
func (t *Tracker) Unproven() int { return t.unproven }
