package versionshift

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestGoodVersionGoesThroughAllPhases(t *testing.T) {
	s := Start(Order{Service: "a", To: "v2", Within: 24 * time.Second, Rev: 7}, 100*time.Second)
	var phases []Phase
	for at := time.Duration(0); at < 24*time.Second; at += 100 * time.Millisecond {
		e := Evidence{Judged: 50, New: responses(20, 0, 0, 3), OldGood: 200}
		if at < 17*time.Second {
			e.OldRunning = 5
		}
		next := Next(s, Seen{"r": e}, 100*time.Second+at)
		if next.Phase != s.Phase {
			phases = append(phases, next.Phase)
		}
		s = next
	}
	want := []Phase{Pressed, Moved, Done}
	if len(phases) != 3 || phases[0] != want[0] || phases[1] != want[1] || phases[2] != want[2] {
		t.Errorf("phases %v", phases)
	}
}

func TestNext(t *testing.T) {
	const within = 20 * time.Second
	for _, c := range []struct {
		name  string
		phase Phase
		part  float64
		e     Evidence
		want  Phase
	}{
		{"failures from the start", Trial, 0.1, Evidence{OldGood: 100, New: responses(6, 6, 3, 3)}, Withdrawn},
		{"few of its upstreams fail", Pressed, 0.55, Evidence{OldGood: 100, New: responses(20, 20, 2, 7)}, Pressed},
		{"most of its upstreams fail", Pressed, 0.55, Evidence{OldGood: 100, New: responses(20, 20, 5, 7)}, Withdrawn},
		{"one bad upstream", Trial, 0.1, Evidence{OldGood: 100, New: responses(6, 6, 1, 3)}, Trial},
		{"failures beside those of the old version", Trial, 0.1, Evidence{OldGood: 50, OldBad: 50, New: responses(6, 6, 3, 3)}, Trial},
		{"few failures", Trial, 0.6, Evidence{Judged: 40, OldGood: 100, New: responses(40, 2, 2, 3)}, Pressed},
		{"doubt holds a trial", Trial, 0.59, Evidence{Judged: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, Trial},
		{"doubt is settled under more work", Trial, 0.61, Evidence{Judged: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, Pressed},
		{"doubt holds", Pressed, 0.79, Evidence{Judged: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, Pressed},
		{"small doubt holds for some time", Pressed, 0.81, Evidence{Judged: 40, OldGood: 100, New: responses(2, 1, 1, 3)}, Moved},
		{"doubt of many is not settled", Pressed, 0.81, Evidence{Judged: 40, OldGood: 100, New: responses(16, 5, 2, 3)}, Withdrawn},
		{"doubt keeps the old version", Moved, 0.79, Evidence{Judged: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, Moved},
		{"no evidence yet", Trial, 0.59, Evidence{}, Trial},
		{"no evidence at all", Trial, 0.61, Evidence{}, Pressed},
		{"first half", Trial, 0.49, Evidence{Judged: 100, New: responses(50, 0, 0, 3)}, Trial},
		{"not seen busy", Pressed, 0.7, Evidence{Judged: 100, New: responses(50, 0, 0, 3)}, Pressed},
		{"no work to fill upstreams", Pressed, 0.76, Evidence{Judged: 100, New: responses(50, 0, 0, 3)}, Moved},
		{"old version still runs", Moved, 0.8, Evidence{OldRunning: 1}, Moved},
		{"time is over", Moved, 0.91, Evidence{OldRunning: 1}, Done},
		{"bad under load", Moved, 0.8, Evidence{OldGood: 100, New: responses(30, 30, 4, 4)}, Withdrawn},
		{"the end is the end", Done, 0.95, Evidence{New: responses(0, 100, 9, 9)}, Done},
		{"a withdrawal is final", Withdrawn, 0.95, Evidence{New: responses(100, 0, 0, 3)}, Withdrawn},
	} {
		s := State{Phase: c.phase, Within: within}
		if got := Next(s, Seen{"r": c.e}, time.Duration(c.part*float64(within))); got.Phase != c.want {
			t.Errorf("%s: %s, want %s", c.name, got.Phase, c.want)
		}
	}
}

// TestExposureAndFalseAlarms plays shifts with random answers. The bounds are
// the users': a bad version gets at most 0.15 of the requests and 30 more, and
// a good one must not be withdrawn; one false alarm in 200 is allowed.
func TestExposureAndFalseAlarms(t *testing.T) {
	const (
		within, step, perStep = 16 * time.Second, 500 * time.Millisecond, 40
		seeds                 = 200
		exposure              = 0.15
	)
	for _, c := range []struct {
		name     string
		newBad   func(part float64) float64
		oldBad   float64
		withdraw bool
	}{
		{"good", constantRate(0.01), 0.01, false},
		{"good beside failures", constantRate(0.1), 0.1, false},
		{"bad", constantRate(0.36), 0.01, true},
		{"bad later", func(p float64) float64 {
			if p < 0.2 {
				return 0.01
			}
			return 0.36
		}, 0.01, true},
		{"bad beside failures", constantRate(0.5), 0.1, true},
	} {
		wrong := 0
		for seed := range uint64(seeds) {
			p := simulation{rand: rand.New(rand.NewPCG(seed, 1)), newBad: c.newBad, oldBad: c.oldBad, exposure: exposure}
			s := p.run(within, step, perStep)
			if (s.Phase == Withdrawn) != c.withdraw {
				wrong++
			}
			if c.withdraw && float64(p.exposed) > exposure*float64(p.all)+30 {
				t.Errorf("%s, seed %d: %d of %d exposed", c.name, seed, p.exposed, p.all)
			}
		}
		if wrong > 1 {
			t.Errorf("%s: %d of %d shifts ended wrongly", c.name, wrong, seeds)
		}
	}
}

func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// play is one shift with random answers.
type simulation struct {
	rand             *rand.Rand
	newBad           func(part float64) float64
	oldBad, exposure float64
	exposed, all     int
}

func (p *simulation) run(within, step time.Duration, perStep int) State {
	s := Start(Order{Within: within}, 0)
	var window []Evidence
	judged := 0
	for at := step; at <= within; at += step {
		e := p.step(s, float64(at)/float64(within), perStep)
		good, _ := e.total()
		judged += good.Good
		window = append(window, e)
		window = window[max(0, len(window)-int(EvidenceWindow/step)):]
		var sum Evidence
		for _, w := range window {
			sum = sum.Add(w)
		}
		sum.Judged = judged
		s = Next(s, Seen{"r": sum}, at)
	}
	return s
}

// playUpstreams is how many upstreams of the new version answer.
const simulatedUpstreams = 3

func (p *simulation) step(s State, part float64, n int) Evidence {
	e := Evidence{New: map[uint32]Tally{}}
	for range n {
		p.all++
		isNew := p.rand.Float64() < s.Share(p.exposure, simulatedUpstreams)
		rate := p.oldBad
		if isNew {
			p.exposed++
			rate = p.newBad(part)
		}
		bad := p.rand.Float64() < rate
		id := p.rand.Uint32N(simulatedUpstreams)
		t := e.New[id]
		switch {
		case isNew && bad:
			t.Bad++
		case isNew:
			t.Good++
		case bad:
			e.OldBad++
		default:
			e.OldGood++
		}
		if isNew {
			e.New[id] = t
		}
	}
	return e
}

// answers spreads bad answers over some upstreams and good ones over all.
func responses(good, bad, failing, all int) map[uint32]Tally {
	out := map[uint32]Tally{}
	for i := range good {
		id := uint32(i % all)
		out[id] = Tally{Good: out[id].Good + 1, Bad: out[id].Bad}
	}
	for i := range bad {
		id := uint32(i % failing)
		out[id] = Tally{Good: out[id].Good, Bad: out[id].Bad + 1}
	}
	return out
}

// TestPhasesOnlyGoForward: whatever the evidence, a phase never goes back and
// an end is final.
func TestPhasesNeverGoBack(t *testing.T) {
	rank := map[Phase]int{Trial: 0, Pressed: 1, Moved: 2, Done: 3, Withdrawn: 3}
	rapid.Check(t, func(t *rapid.T) {
		s := Start(Order{Within: time.Duration(rapid.IntRange(1, 60).Draw(t, "within")) * time.Second}, 0)
		now := time.Duration(0)
		for range 50 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, 30)
			all := rapid.IntRange(1, 9).Draw(t, "upstreams")
			next := Next(s, Seen{"r": {
				Judged: n.Draw(t, "judged"), New: responses(n.Draw(t, "good"), n.Draw(t, "bad"), all, all),
				OldGood: n.Draw(t, "oldGood"), OldBad: n.Draw(t, "oldBad"),
				OldRunning: n.Draw(t, "running"),
			}}, now)
			if rank[next.Phase] < rank[s.Phase] || (s.Ended() && next.Phase != s.Phase) {
				t.Fatalf("%s became %s", s.Phase, next.Phase)
			}
			if sh := next.Share(0.15, 18); sh < 0 || sh > 1 {
				t.Fatalf("share %f", sh)
			}
			s = next
		}
	})
}

// TestTrialIsPressedOntoFewUpstreams: each upstream of the new version that takes
// work of a trial gets more of it than it will in the end.
func TestTrialUsesFewUpstreams(t *testing.T) {
	for _, c := range []struct {
		phase     Phase
		all, want int
	}{
		{Trial, 18, 2}, {Trial, 49, 4}, {Trial, 160, 14}, {Trial, 3, 2}, {Trial, 1, 1},
		{Pressed, 18, 18}, {Moved, 18, 18}, {Done, 18, 18},
	} {
		s := State{Phase: c.phase}
		n := s.Upstreams(0.15, c.all)
		if n != c.want {
			t.Errorf("%s: %d of %d upstreams, want %d", c.phase, n, c.all, c.want)
		}
		if load := s.Share(0.15, c.all) / float64(n); c.phase == Trial && n > minTrialUpstreams && load < 1/float64(c.all) {
			t.Errorf("%s: an upstream of %d gets %.3f of the work", c.phase, c.all, load)
		}
	}
}

// TestShareOnlyGrows: a session that the new version has taken must not go back
// for the next phase's smaller share.
func TestShareNeverShrinks(t *testing.T) {
	for _, upstreams := range []int{1, 3, 18, 160, 1000} {
		for _, short := range []bool{true, false} {
			prev := 0.0
			for _, phase := range []Phase{Trial, Pressed, Moved, Done} {
				share := sessionShare(State{Phase: phase}, short, upstreams)
				if share <= prev && phase != Done {
					t.Errorf("%s, short %t, %d upstreams: share %.3f after %.3f", phase, short, upstreams, share, prev)
				}
				prev = share
			}
		}
	}
}

// taken1000 is the part of a thousand sessions that the new version takes.
func sessionShare(s State, short bool, upstreams int) float64 {
	n := 0
	for i := range 1000 {
		if s.Takes(float64(i)/1000, short, 0.15, upstreams) {
			n++
		}
	}
	return float64(n) / 1000
}

// TestPressedWorkDoesNotGrowWithTheService is from khl-galley-large, quiet-1: three
// quarters of the short prompts were pressed onto the new version for three seconds,
// where busy answers of a few upstreams were all that was missing.
func TestLoadTestDoesNotGrowWithTheService(t *testing.T) {
	s := State{Phase: Pressed}
	for _, all := range []int{3, 12, 18, 49, 160, 320} {
		few := s.Pressed(all)
		load := s.Share(0.0975, all) * float64(all) / float64(few) // times an even one
		if few > maxLoadTestUpstreams || (all > 2*maxLoadTestUpstreams && load > 1.5*loadTestFactor) || load < min(loadTestFactor, maxLoadTestShare) {
			t.Errorf("%d upstreams: %d are pressed with %.1f times an even load", all, few, load)
		}
	}
}

// TestVersionThatIsBadForOneRoute is from lemnotrat, one-class-bad-and-storms:
// the failures of one route are lost in the good answers of the others.
func TestVersionThatIsBadForOneRoute(t *testing.T) {
	s := State{Phase: Trial, Within: 20 * time.Second}
	seen := Seen{
		"bad":   {New: responses(3, 5, 2, 2), OldGood: 60},
		"good":  {New: responses(40, 0, 0, 2), OldGood: 300},
		"other": {New: responses(20, 0, 0, 2), OldGood: 150},
	}
	if got := Next(s, seen, time.Second); got.Phase != Withdrawn {
		t.Errorf("phase %s", got.Phase)
	}
	if got := Next(s, Seen{"all": seen.Sum()}, time.Second); got.Phase != Trial {
		t.Errorf("the sum alone should hide it: %s", got.Phase)
	}
}
