package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Hold keeps requests with all of its features from all upstreams.
type Hold struct {
	// Name is the feature that the hold is for.
	Name Feature
	// Features are the features that most requests with Name had under which upstreams
	// crashed, and that had no answer since: which of them is to blame is not known. They
	// include Name.
	Features []Feature
	// Since is the time from which an answer contradicts the hold: when the first of its strikes
	// was sent, or, with Answers, when it was placed. Until is when it ends.
	Since, Until time.Time
	// Placed is when a gateway placed the hold; zero if unknown.
	Placed time.Time
	// Crashes is the number of upstreams that crashed, Answers that of answers between the
	// crashes.
	Crashes, Answers int
	// countedBefore is what this gateway had counted of answers to requests with Name before.
	countedBefore int
}

// covers reports whether a request with the given features is held.
func (h *Hold) covers(features []Feature) bool {
	for _, f := range h.Features {
		if !slices.Contains(features, f) {
			return false
		}
	}
	return true
}

// Change is a hold that was placed or changed, or that has ended.
type Change struct {
	Hold
	Released bool
}

// Verdict says what is to be done with a request.
type Verdict uint8

const (
	// Free requests are served.
	Free Verdict = iota
	// Suspect requests are not sent again after a failed attempt.
	Suspect
	// Held requests are not sent to any upstream.
	Held
)

// Judge returns the verdict on a request with the given features and, if it is held, the
// hold.
func (t *Tracker) Judge(features []Feature, now time.Time) (Verdict, Hold) {
	for _, h := range t.holds {
		if now.Before(h.Until) && h.covers(features) {
			return Held, *h
		}
	}
	if slices.ContainsFunc(features, func(f Feature) bool { return t.suspects[f] }) {
		return Suspect, Hold{}
	}
	return Free, Hold{}
}

// evidence is what the strikes say about one feature.
type evidence struct {
	strikes []strike
	// weight is that of consecutive strikes.
	weight float64
	// requests is the number of different requests, begun that of those whose answer had
	// begun.
	requests, begun int
	// single is true when the feature is the request itself.
	single bool
}

// evidence returns the strikes of a feature since it last had an answer, without those at
// upstreams whose crash a hold explains.
func (t *Tracker) evidence(f Feature) (e evidence) {
	clearedAt, known := t.cleared.last(f)
	requests, begun := map[uint64]bool{}, map[uint64]bool{}
	for _, s := range t.strikes {
		if s.has(f) && s.SentAt.After(clearedAt) && !t.explained(s, f) {
			e.strikes = append(e.strikes, s)
			requests[s.Request] = true
			if s.weight() == 1 {
				begun[s.Request] = true
			}
			e.single = e.single || f == Feature(s.Request)
		}
	}
	slices.SortFunc(e.strikes, func(a, b strike) int { return a.EndedAt.Compare(b.EndedAt) })
	e.weight = max(consecutive(e.strikes, 1, !known), consecutive(e.strikes, 0, !known))
	e.requests, e.begun = len(requests), len(begun)
	return e
}

// consecutive returns the weight of strikes of at least minWeight, at different upstreams,
// that do not have one cause: each was sent after the one before had ended. If parallel is true,
// answers that had begun also count when their upstreams crashed at different times.
func consecutive(strikes []strike, minWeight float64, parallel bool) (sum float64) {
	var last time.Time
	seen := map[Boot]bool{}
	for _, s := range strikes {
		apart := s.SentAt.After(last.Add(-orderSlack)) || (parallel && s.weight() == 1 && s.EndedAt.Sub(last) >= crashGap)
		if s.weight() < minWeight || seen[s.Boot] || !apart {
			continue
		}
		seen[s.Boot], last = true, s.EndedAt
		sum += s.weight()
	}
	return sum
}

// explained reports whether a held request, without the feature f, was at the upstream when
// it crashed.
func (t *Tracker) explained(s strike, f Feature) bool {
	for _, h := range t.holds {
		if slices.Contains(h.Features, f) {
			continue
		}
		// A request that is held by itself does not explain its own strikes: one of its
		// features may be to blame.
		if slices.ContainsFunc(t.heldAt(h)[s.Boot], func(request uint64) bool { return request != s.Request || h.Name != Feature(request) }) {
			return true
		}
	}
	return false
}

// heldAt returns the requests that a hold covers and that were at upstreams when these
// crashed.
func (t *Tracker) heldAt(h *Hold) map[Boot][]uint64 {
	if at, ok := t.heldIndex[h]; ok {
		return at
	}
	at := map[Boot][]uint64{}
	for _, s := range t.strikes {
		if h.covers(s.Features) {
			at[s.Boot] = append(at[s.Boot], s.Request)
		}
	}
	if t.heldIndex == nil {
		t.heldIndex = map[*Hold]map[Boot][]uint64{}
	}
	t.heldIndex[h] = at
	return at
}

// threshold returns the weight from which a feature is held.
func (t *Tracker) threshold(f Feature) float64 {
	if _, known := t.cleared.last(f); known {
		return knownFeatureStrikes
	}
	return newFeatureStrikes
}

// hold places holds on those of the features that the strikes incriminate, the most
// incriminated first, since its hold may explain the strikes of the others.
func (t *Tracker) hold(features []Feature, now time.Time) (changes []Change) {
	slices.Sort(features)
	features = slices.Compact(features)
	for {
		var worst Feature
		var found evidence
		for _, f := range features {
			e := t.evidence(f)
			if e.weight < t.threshold(f) || (e.requests < minRequests && !e.single) || t.heldAs(f) || t.outage(f, e) {
				continue
			}
			if len(e.strikes) > len(found.strikes) {
				worst, found = f, e
			}
		}
		if len(found.strikes) == 0 {
			return append(changes, t.holdByShare(features)...)
		}
		h := &Hold{Name: worst, Features: t.common(worst, found), Until: now.Add(HoldTime), Placed: now}
		h.Since = slices.MinFunc(found.strikes, func(a, b strike) int { return a.SentAt.Compare(b.SentAt) }).SentAt
		boots := map[Boot]bool{}
		for _, s := range found.strikes {
			boots[s.Boot] = true
		}
		h.Crashes = len(boots)
		t.holds = append(t.holds, h)
		changes = append(changes, Change{Hold: *h})
	}
}

// heldAs reports whether a hold covers the feature already.
func (t *Tracker) heldAs(f Feature) bool {
	return slices.ContainsFunc(t.holds, func(h *Hold) bool { return slices.Contains(h.Features, f) })
}

// common returns f and the features that may be to blame in its place: those that had no
// answer since and were part of most of its strikes. A single request is to blame alone, but
// not if the answers of several had begun.
func (t *Tracker) common(f Feature, e evidence) []Feature {
	out := []Feature{f}
	if e.single {
		return out
	}
	counts := map[Feature]int{}
	for _, s := range e.strikes {
		for _, c := range s.Features {
			clearedAt, _ := t.cleared.last(c)
			if s.SentAt.After(clearedAt) && (c != Feature(s.Request) || e.begun < minRequests) {
				counts[c]++
			}
		}
	}
	for c, n := range counts {
		if c != f && float64(n) >= commonShare*float64(len(e.strikes)) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out[1:], cmp.Compare)
	return out
}

// commonShare is the share of the strikes of a feature from which another one may be to
// blame for all of them: some may have another cause.
const commonShare = 0.6

// widen removes from the holds the features that later crashes show not to be needed for
// one.
func (t *Tracker) widen() (changes []Change) {
	for _, h := range t.holds {
		kept := slices.DeleteFunc(slices.Clone(h.Features), func(f Feature) bool { return t.strikesOutside(h, f) < wideningStrikes })
		if len(kept) == 0 || len(kept) == len(h.Features) || slices.ContainsFunc(kept, func(o Feature) bool { return t.outage(o, t.evidence(o)) }) {
			continue
		}
		changes = append(changes, t.rename(h, kept)...)
	}
	return changes
}

// wideningStrikes is the number of strikes of requests with only some of the features of a
// hold from which those alone are held.
const wideningStrikes = 2

// strikesOutside counts the strikes since the hold of requests with a feature of it, and
// without others.
func (t *Tracker) strikesOutside(h *Hold, f Feature) (n int) {
	clearedAt, _ := t.cleared.last(f)
	for _, s := range t.strikes {
		if s.has(f) && !h.covers(s.Features) && s.weight() == 1 && s.SentAt.After(h.Since) && s.SentAt.After(clearedAt) && !t.explained(s, f) {
			n++
		}
	}
	return n
}

// rename keeps some of the features of a hold.
func (t *Tracker) rename(h *Hold, kept []Feature) (changes []Change) {
	old := *h
	t.heldIndex = nil
	h.Features = kept
	if !slices.Contains(kept, h.Name) {
		changes = append(changes, Change{Hold: old, Released: true})
		h.Name = kept[0]
	}
	return append(changes, Change{Hold: *h})
}

// release removes a feature that had an answer from the holds, which apply to more requests
// then; a hold for the feature itself passes to another of its features, or ends, unless
// the share of its requests that crash upstreams speaks for itself.
func (t *Tracker) release(f Feature, sentAt time.Time) (changes []Change) {
	t.holds = slices.DeleteFunc(t.holds, func(h *Hold) bool {
		if !slices.Contains(h.Features, f) || !sentAt.After(h.Since) {
			return false
		}
		if h.Answers > 0 && !h.outweighed(h.Answers+max(1, t.answers.total(f)-h.countedBefore)) {
			return false
		}
		kept := slices.DeleteFunc(slices.Clone(h.Features), func(o Feature) bool { return o == f })
		if len(kept) == 0 || slices.ContainsFunc(kept, func(o Feature) bool { return t.outage(o, t.evidence(o)) }) {
			changes = append(changes, Change{Hold: *h, Released: true})
			return true
		}
		changes = append(changes, t.rename(h, kept)...)
		return false
	})
	if len(changes) > 0 {
		changes = append(changes, t.holdByShare([]Feature{f})...)
	}
	return changes
}

// Refusal is why a hold that was placed elsewhere was not taken over.
type Refusal string

const (
	// Taken says that the hold is in force now.
	Taken Refusal = ""
	// Known says that it was in force before.
	Known Refusal = "known"
	// Answered says that requests with its features had answers here since.
	Answered Refusal = "answered"
	// Lifted says that it was lifted since it was placed.
	Lifted Refusal = "lifted"
	// Malformed says that it has no features.
	Malformed Refusal = "malformed"
)

// Restore places a hold that was read from the store. It reports whether that changed
// anything.
func (t *Tracker) Restore(h Hold) bool { return t.Adopt(h) == Taken }

// AdoptTold places a hold that a peer has told of, unless it was lifted since.
func (t *Tracker) AdoptTold(h Hold) Refusal {
	if at, ok := t.lifted[h.Name]; ok && !h.Placed.After(at) {
		return Lifted
	}
	return t.Adopt(h)
}

// Adopt places a hold that another gateway has placed, unless answers contradict it. After many
// crashes, a few do not, and a hold that took answers into account ends by many more.
func (t *Tracker) Adopt(h Hold) Refusal {
	if len(h.Features) == 0 || !slices.Contains(h.Features, h.Name) {
		return Malformed
	}
	for _, o := range t.holds {
		if o.Name == h.Name && len(h.Features) >= len(o.Features) {
			return Known
		}
	}
	all, few := h.Features, false
	h.Features = slices.DeleteFunc(slices.Clone(all), func(f Feature) bool {
		at, ok := t.cleared.last(f)
		contradicted := ok && at.After(h.Since)
		if contradicted && f == h.Name {
			few = h.Crashes >= shareCrashes && (h.Answers > 0 || !t.cleared.many(f, h.Since))
			contradicted = !few
		}
		return contradicted
	})
	if !slices.Contains(h.Features, h.Name) {
		t.contest(all)
		return Answered
	}
	for _, f := range h.Features {
		t.answers.follow(f)
	}
	h.countedBefore = t.answers.total(h.Name)
	if few {
		h.Answers, h.Since = max(1, h.Answers), t.latest
	}
	for _, o := range t.holds {
		if o.Name == h.Name {
			if len(h.Features) >= len(o.Features) {
				return Known
			}
			*o = h
			t.heldIndex = nil
			return Taken
		}
	}
	t.holds = append(t.holds, &h)
	return Taken
}

// contest has the next reports tell of the answers to requests with the features.
func (t *Tracker) contest(features []Feature) {
	for _, f := range features {
		if _, ok := t.cleared.last(f); ok && len(t.contested) < maxReportedClearances {
			t.contested[f] = t.latest
		}
	}
}

// Lift ends the hold with the given name, as an operator does by deleting it from the
// store. Its strikes count no longer.
func (t *Tracker) Lift(name Feature) (changes []Change) {
	t.holds = slices.DeleteFunc(t.holds, func(h *Hold) bool {
		if h.Name != name {
			return false
		}
		changes = append(changes, Change{Hold: *h, Released: true})
		return true
	})
	if len(changes) > 0 {
		t.strikes = slices.DeleteFunc(t.strikes, func(s strike) bool { return s.has(name) })
		t.heldIndex = nil
	}
	if len(t.lifted) < maxLifted {
		t.lifted[name] = t.latest
	}
	return changes
}

// Holds returns the holds in force.
func (t *Tracker) Holds() []Hold {
	out := make([]Hold, 0, len(t.holds))
	for _, h := range t.holds {
		out = append(out, *h)
	}
	return out
}
