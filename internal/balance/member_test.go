package balance

import (
	"testing"
)

// newTwoVersionPicker returns a picker of 20 upstreams that serve two versions
// each, and the targets of these versions.
func newTwoVersionPicker(t *testing.T) (p *Picker, first, second Target) {
	p = New(Settings{Entry: "e1", Domain: "d0"})
	p.Rebuild(fleetOf(t, 20, "m@1", "m@2"), start)
	return p, Target{Version: "m@1"}, Target{Version: "m@2"}
}

func TestErrorsOfOneVersionAffectThatVersionOnly(t *testing.T) {
	for _, failures := range []int{1, failuresToEject} {
		p, first, second := newTwoVersionPicker(t)
		finishAttempts(t, p, "u0000", Failed, start, failures)
		if n := pickMany(t, p, Request{Target: first}, start, 500)["u0000"]; n != 0 {
			t.Fatalf("picked %d times for the version that failed %d times there", n, failures)
		}
		if n := pickMany(t, p, Request{Target: second}, start, 500)["u0000"]; n < 10 {
			t.Fatalf("picked %d of 500 times for the other version after %d failures", n, failures)
		}
		if s := p.States(start)[0]; len(s.Faulty) != 1 || s.Faulty[0].Target != "m@1" || s.Failures != 0 {
			t.Fatalf("the state shows %+v", s)
		}
	}
}

func TestConnectionFailuresAffectEveryVersion(t *testing.T) {
	for _, o := range []Outcome{Refused, TimedOut} {
		p, first, second := newTwoVersionPicker(t)
		finishAttempts(t, p, "u0000", o, start, 1)
		for _, target := range []Target{first, second} {
			if n := pickMany(t, p, Request{Target: target}, start, 500)["u0000"]; n != 0 {
				t.Fatalf("picked %d times for %v while others were healthy", n, target)
			}
		}
	}
}
