package versionshift

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/store"
)

// TestStatesReadInALaterEra guards against a restored store that takes a shift back: a
// state that callers and the operator have acted on remains valid, whatever state a
// snapshot of the store contains.
func TestStatesReadInALaterEra(t *testing.T) {
	at := func(era, order uint64, to string, phase Phase) State {
		return State{Service: "s", To: to, Within: time.Minute, Order: store.RevAt(era, order), Phase: phase}
	}
	known := func(phase Phase) State { return at(1, 80, "v3", phase) }
	for _, c := range []struct {
		name        string
		read, known State
		behind      bool
	}{
		{"the same", known(LoadTest), known(LoadTest), false},
		{"an earlier phase", known(Trial), known(Moved), true},
		{"a later phase", known(Moved), known(Trial), false},
		{"not withdrawn yet", known(Moved), known(Withdrawn), true},
		{"another end", known(Withdrawn), known(Done), true},
		{"another end, the other way", known(Done), known(Withdrawn), true},
		{"the shift before", at(1, 50, "v2", Done), known(Trial), true},
		{"a new shift", at(2, 60, "v4", Trial), known(Withdrawn), false},
		{"the order written again, started again by another gateway", at(2, 60, "v3", Trial), known(Withdrawn), true},
		{"known by the order written again", known(Trial), at(2, 60, "v3", Withdrawn), true},
	} {
		if got := c.read.OlderThan(c.known); got != c.behind {
			t.Errorf("%s: Behind returned %v", c.name, got)
		}
	}
}

// TestOrdersReadInALaterEra checks how orders are recognised after the store was restored:
// those that the operator writes again, and those that the snapshot contains.
func TestOrdersReadInALaterEra(t *testing.T) {
	known := Order{Service: "s", To: "v3", Within: time.Minute, Rev: store.RevAt(1, 80)}
	at := func(era, number uint64) Order {
		o := known
		o.Rev = store.RevAt(era, number)
		return o
	}
	longer := at(2, 70)
	longer.Within *= 2
	for _, c := range []struct {
		name            string
		o               Order
		repeats, copied bool
	}{
		{"written again", at(2, 70), true, false},
		{"as in the snapshot", at(2, 80), true, true},
		{"ordered again in the same era", at(1, 90), false, false},
		{"another time", longer, false, false},
	} {
		if r, cp := c.o.Reissues(known), c.o.RestoredFrom(known); r != c.repeats || cp != c.copied {
			t.Errorf("%s: Repeats returned %v, Copied returned %v", c.name, r, cp)
		}
	}
}
