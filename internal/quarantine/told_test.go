package quarantine

import (
	"testing"
	"time"
)

// heldAfter returns a tracker whose hold for a dead part was placed after so many crashes.
func heldAfter(t *testing.T, crashes int) (k *Tracker, h Hold) {
	t.Helper()
	k = NewTracker()
	h = Hold{Name: dead, Features: []Feature{dead}, Since: at(0), Placed: at(900), Until: at(0).Add(HoldTime), Crashes: crashes}
	if !k.Restore(h) {
		t.Fatal("not held")
	}
	return k, h
}

// TestRepeatCarriesHolds: a gateway that missed all strikes takes a hold over from a peer, and
// its end too.
func TestRepeatCarriesHolds(t *testing.T) {
	k, _ := heldAfter(t, 6)
	missed := NewTracker()
	told := k.Repeat(at(60_000))
	if len(told.Holds) != 1 || missed.AdoptTold(told.Holds[0]) != Taken || missed.AdoptTold(told.Holds[0]) != Known {
		t.Fatalf("told %+v", told)
	}
	k.Prune(at(61_000))
	k.Lift(dead)
	missed.Hear(k.Repeat(at(62_000)), at(62_000))
	if len(missed.Holds()) != 0 {
		t.Error("a lifted hold stays in force at a peer")
	}
	if why := missed.AdoptTold(told.Holds[0]); why != Lifted {
		t.Errorf("a peer that has not heard of the lifting brings the hold back: %q", why)
	}
	if !missed.Restore(told.Holds[0]) {
		t.Error("a row that is written again is refused")
	}
}

// TestHoldAndAnswers: a few answers do not contradict a hold after many crashes; more do, unless there were
// answers between the crashes, and after few crashes one does.
func TestHoldAndAnswers(t *testing.T) {
	for _, c := range []struct {
		crashes, between, answers int
		want                      Refusal
	}{{6, 0, 0, Taken}, {6, 0, 1, Taken}, {6, 0, 2, Taken}, {6, 0, 3, Answered}, {6, 4, 9, Taken}, {3, 0, 0, Taken}, {3, 0, 1, Answered}} {
		k := NewTracker()
		for i := range c.answers {
			k.Answered([]Feature{dead}, 0, at(100+i))
		}
		_, h := heldAfter(t, c.crashes)
		h.Answers = c.between
		if why := k.Adopt(h); why != c.want {
			t.Errorf("%d crashes, %d answers: %q", c.crashes, c.answers, why)
		}
		if r := k.Report(time.Second, at(110)); c.want == Answered && len(r.Clearances) != 1 {
			t.Errorf("%d crashes, %d answers: the gateways that placed the hold are not told of the answers: %+v", c.crashes, c.answers, r)
		}
	}
}

// TestStrikesAreToldAgain: a gateway was frozen right after it saw a crash.
func TestStrikesAreToldAgain(t *testing.T) {
	k := NewTracker()
	k.strikeNow(attempt(1, 1, 0, 100, dead))
	if r := k.Repeat(at(20_000)); len(r.Strikes) != 1 || len(r.Crashes) != 1 {
		t.Errorf("after 20 s: %+v", r)
	}
	if r := k.Repeat(at(100).Add(tellTime + time.Second)); !r.Empty() {
		t.Errorf("long after: %+v", r)
	}
}

// TestAnswersEndAHoldThatTookAnswersIntoAccount: one answer does not, many do.
func TestAnswersEndAHoldThatTookAnswersIntoAccount(t *testing.T) {
	k := NewTracker()
	h := Hold{Name: dead, Features: []Feature{dead}, Since: at(900), Placed: at(900), Until: at(0).Add(HoldTime), Crashes: 6, Answers: 4}
	if k.Adopt(h) != Taken {
		t.Fatal("not held")
	}
	answers := 0
	for ; len(k.Holds()) > 0 && answers < 1000; answers++ {
		k.Answered([]Feature{dead}, 0, at(1000+answers))
	}
	if answers < 10 || answers > 100 {
		t.Errorf("the hold ended after %d answers", answers)
	}
}

// TestRepeatedClearanceIsOneAnswer: the age of a clearance that is told again and again is off by the
// time that each message takes.
func TestRepeatedClearanceIsOneAnswer(t *testing.T) {
	k := NewTracker()
	for i := range 10 {
		k.Hear(Report{From: "edge-2", Clearances: []Clearance{{Feature: dead, SentAt: at(100 + 5*i)}}}, at(1000*i))
	}
	_, h := heldAfter(t, 6)
	if why := k.Adopt(h); why != Taken {
		t.Errorf("the hold is refused: %q", why)
	}
}

// TestCrashThatAPeerSawLaterKeepsAttempts: a peer without attempts of its own names the time at which it
// read the list.
func TestCrashThatAPeerSawLaterKeepsAttempts(t *testing.T) {
	k := NewTracker()
	k.Unanswered(attempt(1, 1, 0, 100, dead), at(100))
	k.Hear(Report{From: "edge-2", Crashes: []Crash{{1, at(1700)}}}, at(1700))
	if _, crashed := k.Ended(Ending{Listed: Listed{Boot: 1}, Successor: 2, After: at(1200)}, at(1800)); !crashed {
		t.Error("the attempt was dropped")
	}
}
