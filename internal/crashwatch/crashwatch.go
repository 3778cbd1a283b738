// Package crashwatch keeps what a gateway sees of upstreams that may have crashed until package
// quarantine can decide: connections that broke, the list of upstreams, and the attempts that
// wait for an answer. It has no I/O or clock of its own.
package crashwatch

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/quarantine"
)

// brokenMemory is how long a broken connection may precede the refusal of another one that
// proves that the upstream crashed.
const brokenMemory = 2 * time.Second

// Breaks holds when the first connection to each upstream broke that may have crashed. The zero
// value is empty; it is not safe for concurrent use.
type Breaks struct{ at map[quarantine.Boot]time.Time }

// Add records that a connection broke; it reports whether it is the first one.
func (b *Breaks) Add(boot quarantine.Boot, now time.Time) bool {
	if _, known := b.at[boot]; known {
		return false
	}
	if b.at == nil {
		b.at = map[quarantine.Boot]time.Time{}
	}
	b.at[boot] = now
	return true
}

// First returns when the first connection broke.
func (b *Breaks) First(boot quarantine.Boot) (time.Time, bool) {
	at, ok := b.at[boot]
	return at, ok
}

// Prune forgets old ones.
func (b *Breaks) Prune(now time.Time) {
	for boot, at := range b.at {
		if now.Sub(at) > brokenMemory {
			delete(b.at, boot)
		}
	}
}

// Waiting holds the attempts that have had no event yet. The zero value is empty; it is not
// safe for concurrent use.
type Waiting struct{ attempts map[*Attempt]bool }

// Attempt is a request at an upstream.
type Attempt struct {
	features []quarantine.Feature
	cancel   context.CancelFunc
	// held is true once a hold has ended the attempt.
	held bool
}

// Add registers an attempt, which a hold ends by cancel.
func (w *Waiting) Add(features []quarantine.Feature, cancel context.CancelFunc) *Attempt {
	if w.attempts == nil {
		w.attempts = map[*Attempt]bool{}
	}
	a := &Attempt{features: features, cancel: cancel}
	w.attempts[a] = true
	return a
}

// Done ends the registration; it reports whether a hold has ended the attempt.
func (w *Waiting) Done(a *Attempt) bool {
	delete(w.attempts, a)
	return a.held
}

// End ends the attempts that are held.
func (w *Waiting) End(t *quarantine.Tracker, now time.Time) {
	for a := range w.attempts {
		if v, _ := t.Judge(a.features, now); v == quarantine.Held {
			a.held = true
			a.cancel()
		}
	}
}

// Refusals holds why holds of other gateways were not taken over. The zero value is empty; it
// is not safe for concurrent use.
type Refusals struct {
	why map[quarantine.Feature]quarantine.Refusal
}

// maxRefusals bounds the holds that are remembered.
const maxRefusals = 256

// Note records a refusal; it reports whether it is new.
func (r *Refusals) Note(hold quarantine.Feature, why quarantine.Refusal) bool {
	if r.why[hold] == why {
		return false
	}
	if r.why == nil || len(r.why) >= maxRefusals {
		r.why = map[quarantine.Feature]quarantine.Refusal{}
	}
	r.why[hold] = why
	return true
}
