package quarantine

import "time"

// Clearance is when the last request with a feature that had an answer was sent.
type Clearance struct {
	Feature Feature
	SentAt  time.Time
}

// Crash is when an upstream crashed.
type Crash struct {
	Boot Boot
	At   time.Time
}

// Report is what a gateway tells its peers.
type Report struct {
	Strikes    []Attempt
	Clearances []Clearance
	Crashes    []Crash
}

// Empty reports whether the report says nothing.
func (r Report) Empty() bool { return len(r.Strikes)+len(r.Clearances)+len(r.Crashes) == 0 }

// Bounds of a report, so that it fits a datagram.
const (
	maxReportedStrikes    = 40
	maxReportedClearances = 60
	maxReportedCrashes    = 40
)

// Report returns the strikes and crashes that became known here within the given time,
// newest first, and the clearances of features with strikes of this or another gateway.
func (t *Tracker) Report(within time.Duration, now time.Time) (r Report) {
	asked := map[Feature]bool{}
	for i := len(t.strikes) - 1; i >= 0; i-- {
		s := t.strikes[i]
		if now.Sub(s.at) > within {
			continue
		}
		for _, f := range s.Features {
			if c, ok := t.cleared.get(f); ok && c.own && !asked[f] && len(r.Clearances) < maxReportedClearances {
				r.Clearances = append(r.Clearances, Clearance{f, c.at})
			}
			asked[f] = true
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

// Hear records the report of a peer.
func (t *Tracker) Hear(r Report, now time.Time) (changes []Change) {
	for _, c := range r.Clearances {
		changes = append(changes, t.clear([]Feature{c.Feature}, clearance{at: c.SentAt})...)
	}
	for _, c := range r.Crashes {
		changes = append(changes, t.Crashed(c.Boot, c.At, now)...)
	}
	return append(changes, t.Struck(r.Strikes, now)...)
}
