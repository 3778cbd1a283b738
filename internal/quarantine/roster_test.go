package quarantine

import "testing"

// TestEndingsThatTheListShows: a crash whose upstream listens again at once is known by its
// successor in the list.
func TestEndingsThatTheListShows(t *testing.T) {
	for name, c := range map[string]struct {
		// play changes the list after u1 was listed with boot 1, which broke an attempt at 5 s.
		play func(r *Roster) []Ending
		want bool
	}{
		"the same id": {func(r *Roster) []Ending {
			return r.Put(Listed{ID: "u1", Address: "a", Boot: 2, Born: 20})
		}, true},
		"another id at the address": {func(r *Roster) []Ending {
			return r.Put(Listed{ID: "u9", Address: "a", Boot: 2, Born: 20})
		}, true},
		"another id at the address, after its entry had lapsed": {func(r *Roster) []Ending {
			r.Remove("u1", at(5500))
			return r.Put(Listed{ID: "u9", Address: "a", Boot: 2, Born: 20})
		}, true},
		"another id at the address, long after its entry had lapsed": {func(r *Roster) []Ending {
			r.Remove("u1", at(5500))
			r.Read(at(8000))
			r.Read(at(9000))
			return r.Put(Listed{ID: "u9", Address: "a", Boot: 2, Born: 20})
		}, true},
		"another address": {func(r *Roster) []Ending {
			return r.Put(Listed{ID: "u9", Address: "b", Boot: 2, Born: 20})
		}, false},
		"the same boot": {func(r *Roster) []Ending {
			return r.Put(Listed{ID: "u1", Address: "a", Boot: 1, Born: 10})
		}, false},
		"an older entry": {func(r *Roster) []Ending {
			return r.Put(Listed{ID: "u1", Address: "a", Boot: 7, Born: 5})
		}, false},
		"an entry of another writer": {func(r *Roster) []Ending {
			return r.Put(Listed{ID: "u9", Address: "a", Boot: 2})
		}, false},
		"a boot that drained": {func(r *Roster) []Ending {
			r.Put(Listed{ID: "u1", Address: "a", Boot: 1, Born: 10, Leaving: true})
			return r.Put(Listed{ID: "u1", Address: "a", Boot: 2, Born: 20})
		}, false},
		"a boot whose entry had been removed before": {func(r *Roster) []Ending {
			r.Remove("u1", at(2000))
			return r.Put(Listed{ID: "u9", Address: "a", Boot: 2, Born: 20})
		}, false},
	} {
		var r Roster
		k := NewTracker()
		r.Read(at(0))
		r.Put(Listed{ID: "u1", Address: "a", Boot: 1, Born: 10})
		k.Unanswered(attempt(1, 1, 4900, 5000, dead), at(5000))
		r.Read(at(4800))
		r.Read(at(5600))
		crashed := false
		for _, e := range c.play(&r) {
			_, now := k.Ended(e, at(5600))
			crashed = crashed || now
		}
		if crashed != c.want || (len(k.strikes) == 1) != c.want {
			t.Errorf("%s: crashed %v, %d strikes", name, crashed, len(k.strikes))
		}
	}
}

// TestAttemptsAtASuccessorThatIsNotListedYet: requests go on to a boot under the name of the
// one before it, and crash it too.
func TestAttemptsAtASuccessorThatIsNotListedYet(t *testing.T) {
	k := NewTracker()
	k.Unanswered(attempt(1, 1, 0, 100, dead), at(100))
	k.Ended(Ending{Listed: Listed{Boot: 1}, Successor: 2, After: at(0)}, at(600))
	k.Unanswered(attempt(1, 2, 550, 2000, dead), at(2000)) // sent before the list showed boot 2
	k.Ended(Ending{Listed: Listed{Boot: 2}, Successor: 3, After: at(1800)}, at(2400))
	if len(k.strikes) != 2 || k.strikes[1].Boot != 2 {
		t.Errorf("strikes %+v", k.strikes)
	}
}

// TestBreaksLongBeforeAnEnding: an answer that was lost does not count when its upstream is
// replaced much later.
func TestBreaksLongBeforeAnEnding(t *testing.T) {
	k := NewTracker()
	k.Unanswered(attempt(1, 1, 0, 100, dead), at(100))
	if _, crashed := k.Ended(Ending{Listed: Listed{Boot: 1}, Successor: 2, After: at(9000)}, at(9600)); crashed {
		t.Error("a break of nine seconds before counts as a crash")
	}
	k.Unanswered(attempt(5, 1, 0, 100, dead), at(100))
	k.Prune(at(200).Add(proofTime))
	if k.Unproven() != 1 {
		t.Errorf("%d breaks without a crash, want 1", k.Unproven())
	}
}
