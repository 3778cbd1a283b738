package versionshift

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestGoodVersionGoesThroughAllPhases(t *testing.T) {
	s := Start(Order{Service: "a", To: "v2", Within: 24 * time.Second, Rev: 7}, 100*time.Second, State{})
	var phases []Phase
	for at := time.Duration(0); at < 24*time.Second; at += 100 * time.Millisecond {
		e := Evidence{GoodTotal: 50, New: responses(20, 0, 0, 3), OldGood: 200}
		if at < 17*time.Second {
			e.OldRunning = 5
		}
		next := Next(s, EvidenceByClass{"r": e}, 100*time.Second+at)
		if next.Phase != s.Phase {
			phases = append(phases, next.Phase)
		}
		s = next
	}
	want := []Phase{LoadTest, Moved, Done}
	if len(phases) != 3 || phases[0] != want[0] || phases[1] != want[1] || phases[2] != want[2] {
		t.Errorf("unexpected phases %v", phases)
	}
}

func TestNext(t *testing.T) {
	const within = 20 * time.Second
	for _, c := range []struct {
		name    string
		phase   Phase
		elapsed float64
		e       Evidence
		want    Phase
	}{
		{"failures from the start", Trial, 0.1, Evidence{OldGood: 100, New: responses(6, 6, 3, 3)}, Withdrawn},
		{"few of its upstreams fail", LoadTest, 0.55, Evidence{OldGood: 100, New: responses(20, 20, 2, 7)}, LoadTest},
		{"most of its upstreams fail", LoadTest, 0.55, Evidence{OldGood: 100, New: responses(20, 20, 5, 7)}, Withdrawn},
		{"one bad upstream", Trial, 0.1, Evidence{OldGood: 100, New: responses(6, 6, 1, 3)}, Trial},
		{"failures beside those of the old version", Trial, 0.1, Evidence{OldGood: 50, OldBad: 50, New: responses(6, 6, 3, 3)}, Trial},
		{"few failures", Trial, 0.6, Evidence{GoodTotal: 40, OldGood: 100, New: responses(40, 2, 2, 3)}, LoadTest},
		{"suspicion prolongs a trial", Trial, 0.59, Evidence{GoodTotal: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, Trial},
		{"suspicion is resolved in the load test", Trial, 0.61, Evidence{GoodTotal: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, LoadTest},
		{"suspicion prolongs the load test", LoadTest, 0.79, Evidence{GoodTotal: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, LoadTest},
		{"slight suspicion does not withdraw", LoadTest, 0.81, Evidence{GoodTotal: 40, OldGood: 100, New: responses(2, 1, 1, 3)}, Moved},
		{"severe suspicion withdraws", LoadTest, 0.81, Evidence{GoodTotal: 40, OldGood: 100, New: responses(16, 5, 2, 3)}, Withdrawn},
		{"suspicion keeps the old version", Moved, 0.79, Evidence{GoodTotal: 40, OldGood: 100, New: responses(6, 3, 2, 3)}, Moved},
		{"no evidence yet", Trial, 0.59, Evidence{}, Trial},
		{"no evidence at all", Trial, 0.61, Evidence{}, LoadTest},
		{"first half", Trial, 0.49, Evidence{GoodTotal: 100, New: responses(50, 0, 0, 3)}, Trial},
		{"not observed busy", LoadTest, 0.7, Evidence{GoodTotal: 100, New: responses(50, 0, 0, 3)}, LoadTest},
		{"too few requests to fill upstreams", LoadTest, 0.76, Evidence{GoodTotal: 100, New: responses(50, 0, 0, 3)}, Moved},
		{"old version still runs", Moved, 0.8, Evidence{OldRunning: 1}, Moved},
		{"end of the time", Moved, 0.91, Evidence{OldRunning: 1}, Done},
		{"bad under load", Moved, 0.8, Evidence{OldGood: 100, New: responses(30, 30, 4, 4)}, Withdrawn},
		{"done is final", Done, 0.95, Evidence{New: responses(0, 100, 9, 9)}, Done},
		{"a withdrawal is final", Withdrawn, 0.95, Evidence{New: responses(100, 0, 0, 3)}, Withdrawn},
	} {
		s := State{Phase: c.phase, Within: within}
		if got := Next(s, EvidenceByClass{"r": c.e}, time.Duration(c.elapsed*float64(within))); got.Phase != c.want {
			t.Errorf("%s: %s, want %s", c.name, got.Phase, c.want)
		}
	}
}

// TestExposureAndFalseAlarms simulates shifts with random responses. The users set the
// bounds: a bad version gets at most 0.15 of the requests and 30 more, and a good version
// is not withdrawn. One wrong result in 200 shifts is allowed.
func TestExposureAndFalseAlarms(t *testing.T) {
	const (
		within, step, perStep = 16 * time.Second, 500 * time.Millisecond, 40
		seeds                 = 200
		exposure              = 0.15
	)
	for _, c := range []struct {
		name     string
		newBad   func(elapsed float64) float64
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
			if c.withdraw && float64(p.sentNew) > exposure*float64(p.sent)+30 {
				t.Errorf("%s, seed %d: %d of %d requests went to the bad version", c.name, seed, p.sentNew, p.sent)
			}
		}
		if wrong > 1 {
			t.Errorf("%s: %d of %d shifts ended wrongly", c.name, wrong, seeds)
		}
	}
}

// constantRate returns a failure rate that does not change during the shift.
func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// simulation simulates one shift with random responses.
type simulation struct {
	rand             *rand.Rand
	newBad           func(elapsed float64) float64
	oldBad, exposure float64
	sentNew, sent    int
}

func (p *simulation) run(within, step time.Duration, perStep int) State {
	s := Start(Order{Within: within}, 0, State{})
	var window []Evidence
	goodTotal := 0
	for at := step; at <= within; at += step {
		e := p.step(s, float64(at)/float64(within), perStep)
		good, _ := e.total()
		goodTotal += good.Good
		window = append(window, e)
		window = window[max(0, len(window)-int(EvidenceWindow/step)):]
		var sum Evidence
		for _, w := range window {
			sum = sum.Add(w)
		}
		sum.GoodTotal = goodTotal
		s = Next(s, EvidenceByClass{"r": sum}, at)
	}
	return s
}

// simulatedUpstreams is the number of upstreams of the new version in a simulation.
const simulatedUpstreams = 3

// step simulates n requests and returns the evidence of their responses.
func (p *simulation) step(s State, elapsed float64, n int) Evidence {
	e := Evidence{New: map[uint32]Tally{}}
	for range n {
		p.sent++
		isNew := p.rand.Float64() < s.Share(p.exposure, simulatedUpstreams)
		rate := p.oldBad
		if isNew {
			p.sentNew++
			rate = p.newBad(elapsed)
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

// responses spreads the bad responses over the first failing upstreams and the good ones
// over all.
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

// TestPhasesOnlyGoForward checks that, whatever the evidence, a shift never returns to an
// earlier phase and that Done and Withdrawn are final.
func TestPhasesOnlyGoForward(t *testing.T) {
	rank := map[Phase]int{Trial: 0, LoadTest: 1, Moved: 2, Done: 3, Withdrawn: 3}
	rapid.Check(t, func(t *rapid.T) {
		s := Start(Order{Within: time.Duration(rapid.IntRange(1, 60).Draw(t, "within")) * time.Second}, 0, State{})
		now := time.Duration(0)
		for range 50 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, 30)
			all := rapid.IntRange(1, 9).Draw(t, "upstreams")
			next := Next(s, EvidenceByClass{"r": {
				GoodTotal: n.Draw(t, "judged"), New: responses(n.Draw(t, "good"), n.Draw(t, "bad"), all, all),
				OldGood: n.Draw(t, "oldGood"), OldBad: n.Draw(t, "oldBad"),
				OldRunning: n.Draw(t, "running"),
			}}, now)
			if rank[next.Phase] < rank[s.Phase] || (s.Ended() && next.Phase != s.Phase) {
				t.Fatalf("phase %s changed to %s", s.Phase, next.Phase)
			}
			if sh := next.Share(0.15, 18); sh < 0 || sh > 1 {
				t.Fatalf("share %f is not in [0, 1]", sh)
			}
			s = next
		}
	})
}

// TestTrialUsesFewUpstreams checks that a trial uses so few upstreams of the new version
// that each of them gets at least as many requests as when the shift is done.
func TestTrialUsesFewUpstreams(t *testing.T) {
	for _, c := range []struct {
		phase     Phase
		all, want int
	}{
		{Trial, 18, 2}, {Trial, 49, 4}, {Trial, 160, 14}, {Trial, 3, 2}, {Trial, 1, 1},
		{LoadTest, 18, 18}, {Moved, 18, 18}, {Done, 18, 18},
	} {
		s := State{Phase: c.phase}
		n := s.Upstreams(0.15, c.all)
		if n != c.want {
			t.Errorf("%s: %d of %d upstreams, want %d", c.phase, n, c.all, c.want)
		}
		if load := s.Share(0.15, c.all) / float64(n); c.phase == Trial && n > minTrialUpstreams && load < 1/float64(c.all) {
			t.Errorf("%s: one of %d upstreams gets %.3f of the requests, less than an even share", c.phase, c.all, load)
		}
	}
}

// TestShareNeverShrinks guards against sessions that return to the old version because
// the next phase has a smaller share.
func TestShareNeverShrinks(t *testing.T) {
	for _, upstreams := range []int{1, 3, 18, 160, 1000} {
		for _, short := range []bool{true, false} {
			prev := 0.0
			for _, phase := range []Phase{Trial, LoadTest, Moved, Done} {
				share := sessionShare(State{Phase: phase}, short, upstreams)
				if share <= prev && phase != Done {
					t.Errorf("%s, short %t, %d upstreams: share %.3f after %.3f", phase, short, upstreams, share, prev)
				}
				prev = share
			}
		}
	}
}

// sessionShare returns the fraction of a thousand evenly spaced sessions that the new
// version takes.
func sessionShare(s State, short bool, upstreams int) float64 {
	n := 0
	for i := range 1000 {
		if s.Takes(float64(i)/1000, short, 0.15, upstreams) {
			n++
		}
	}
	return float64(n) / 1000
}

// TestLoadTestDoesNotGrowWithTheService guards against loading all upstreams of a large
// service. Three quarters of the short prompts were packed onto the new version for three
// seconds, although responses of a few busy upstreams would have been enough. Found at
// khl-galley-large, quiet-1.
func TestLoadTestDoesNotGrowWithTheService(t *testing.T) {
	s := State{Phase: LoadTest}
	for _, all := range []int{3, 12, 18, 49, 160, 320} {
		filled := s.LoadTestUpstreams(all)
		load := s.Share(0.0975, all) * float64(all) / float64(filled) // as a multiple of an even share
		if filled > maxLoadTestUpstreams || (all > 2*maxLoadTestUpstreams && load > 1.5*loadTestFactor) || load < min(loadTestFactor, maxLoadTestShare) {
			t.Errorf("%d upstreams: %d are filled with %.1f times an even share", all, filled, load)
		}
	}
}

// TestVersionThatIsBadForOneRoute guards against summing the routes before evaluation: the
// failures of one route are outweighed by the good responses of the others.
// Found at lemnotrat, one-class-bad-and-storms.
func TestVersionThatIsBadForOneRoute(t *testing.T) {
	s := State{Phase: Trial, Within: 20 * time.Second}
	seen := EvidenceByClass{
		"bad":   {New: responses(3, 5, 2, 2), OldGood: 60},
		"good":  {New: responses(40, 0, 0, 2), OldGood: 300},
		"other": {New: responses(20, 0, 0, 2), OldGood: 150},
	}
	if got := Next(s, seen, time.Second); got.Phase != Withdrawn {
		t.Errorf("phase %s, want withdrawn", got.Phase)
	}
	if got := Next(s, EvidenceByClass{"all": seen.Sum()}, time.Second); got.Phase != Trial {
		t.Errorf("phase %s from the sum over all routes, want trial", got.Phase)
	}
}

func TestShiftNamesTheVersionsWithdrawnBefore(t *testing.T) {
	order := func(to string) Order { return Order{Service: "s", To: to, Within: time.Minute} }
	withdraw := func(s State) State {
		s.Phase = Withdrawn
		return s
	}
	second := withdraw(Start(order("v2"), 0, State{}))
	third := withdraw(Start(order("v3"), 0, second))
	for _, c := range []struct {
		to   string
		want []string
	}{{"v4", []string{"v2", "v3"}}, {"v2", []string{"v3"}}, {"v3", []string{"v2"}}} {
		if got := Start(order(c.to), 0, third).Rejected; !slices.Equal(got, c.want) {
			t.Errorf("the shift to %s rejects %v, want %v", c.to, got, c.want)
		}
	}
	s := State{}
	for i := range 3 * maxRejected {
		s = withdraw(Start(order(string(rune('a'+i))), 0, s))
	}
	if n := len(Start(order("z"), 0, s).Rejected); n != maxRejected {
		t.Errorf("%d versions are kept, want %d", n, maxRejected)
	}
}
