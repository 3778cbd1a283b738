package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Clearance is when the last request with a feature that had an answer was sent.
type Clearance struct {
	Feature Feature
	SentAt  time.Time
	// Answers is the number of answers that the gateway has counted since the first strike of the
	// feature; zero if it does not tell.
	Answers uint32
}

// Crash is when an upstream crashed.
type Crash struct {
	Boot Boot
	At   time.Time
}

// Lifting is when a hold was lifted.
type Lifting struct {
	Name Feature
	At   time.Time
}

// Report is what a gateway tells its peers.
type Report struct {
	// From names the gateway.
	From       string
	Strikes    []Attempt
	Clearances []Clearance
	Crashes    []Crash
	// Holds are those in force, and Lifted those that were lifted.
	Holds  []Hold
	Lifted []Lifting
}

// Empty reports whether the report says nothing.
func (r Report) Empty() bool {
	return len(r.Strikes)+len(r.Clearances)+len(r.Crashes)+len(r.Holds)+len(r.Lifted) == 0
}

// Bounds of a report and of what it is made from.
const (
	maxReportedStrikes    = 40
	maxReportedClearances = 60
	maxReportedCrashes    = 40
	maxReportedHolds      = 40
	maxReportedLiftings   = 40
	maxLifted             = 256
)

// Times of what is told again.
const (
	// tellTime is for how long strikes and crashes are told: a gateway that tells or hears may be
	// frozen or cut off for a while.
	tellTime = 30 * time.Second
	// liftMemory is how long a lifted hold is told, and not taken over from a gateway that has
	// not heard of it.
	liftMemory = time.Minute
)

// Report returns the strikes and crashes that became known here within the given time,
// newest first, and the clearances of features with strikes of this or another gateway.
func (t *Tracker) Report(within time.Duration, now time.Time) (r Report) {
	asked := map[Feature]bool{}
	ask := func(f Feature) {
		if c, ok := t.cleared.get(f); ok && c.own && !asked[f] && len(r.Clearances) < maxReportedClearances {
			r.Clearances = append(r.Clearances, Clearance{Feature: f, SentAt: c.at, Answers: t.answers.own(f)})
		}
		asked[f] = true
	}
	for f, at := range t.contested {
		if now.Sub(at) <= within {
			ask(f)
		}
	}
	for i := len(t.strikes) - 1; i >= 0; i-- {
		s := t.strikes[i]
		if now.Sub(s.at) > within {
			continue
		}
		for _, f := range s.Features {
			ask(f)
		}
		if s.own && len(r.Strikes) < maxReportedStrikes {
			r.Strikes = append(r.Strikes, s.Attempt)
		}
	}
	for b, at := range t.crashes {
		if now.Sub(at) <= within && len(r.Crashes) < maxReportedCrashes {
			r.Crashes = append(r.Crashes, Crash{b, at})
		}
	}
	return r
}

// Repeat returns what peers may have missed: the holds in force, the holds that were lifted,
// and what became known here in the last half minute.
func (t *Tracker) Repeat(now time.Time) Report {
	r := t.Report(tellTime, now)
	for _, h := range t.holds {
		if now.Before(h.Until) {
			r.Holds = append(r.Holds, *h)
		}
	}
	// Beyond the bound, the most recent ones.
	slices.SortFunc(r.Holds, func(a, b Hold) int { return b.Placed.Compare(a.Placed) })
	r.Holds = r.Holds[:min(len(r.Holds), maxReportedHolds)]
	for name, at := range t.lifted {
		if now.Sub(at) <= liftMemory {
			r.Lifted = append(r.Lifted, Lifting{name, at})
		}
	}
	slices.SortFunc(r.Lifted, func(a, b Lifting) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Name, b.Name)) })
	r.Lifted = r.Lifted[:min(len(r.Lifted), maxReportedLiftings)]
	return r
}

// Hear records the report of a peer.
func (t *Tracker) Hear(r Report, now time.Time) (changes []Change) {
	t.latest = later(t.latest, now)
	for _, l := range r.Lifted {
		if slices.ContainsFunc(t.holds, func(h *Hold) bool { return h.Name == l.Name && h.Placed.Before(l.At) }) {
			changes = append(changes, t.Lift(l.Name)...)
			t.lifted[l.Name] = l.At
		}
	}
	for _, c := range r.Clearances {
		t.answers.heard(c.Feature, r.From, c.Answers)
		changes = append(changes, t.clear([]Feature{c.Feature}, clearance{at: c.SentAt})...)
	}
	for _, c := range r.Crashes {
		changes = append(changes, t.Crashed(c.Boot, c.At, now)...)
	}
	return append(changes, t.Struck(r.Strikes, now)...)
}
