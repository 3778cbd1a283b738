package fleet

import (
	"math/rand/v2"
	"testing"
	"time"
)

// readers are gateways that follow one list and tell one another of their reads.
type readers struct {
	rand  *rand.Rand
	known []Reading
	dead  []bool
	calls int
	// changed is the list's revision; lost is the part of the news that is lost.
	changed uint64
	lost    float64
}

// within is the users' time in which a leaving upstream must be left alone.
const within = 2 * time.Second

func (g *readers) step(now time.Time, tell bool) {
	for i := range g.known {
		r := &g.known[i]
		if g.dead[i] || now.Before(r.Due(within)) {
			continue
		}
		r.Own, r.Seen = now, g.changed
		g.calls++
	}
	if !tell {
		return
	}
	for i, from := range g.known {
		for j := range g.known {
			if i == j || g.dead[i] || g.dead[j] || g.rand.Float64() < g.lost {
				continue
			}
			to := &g.known[j]
			to.Changed = max(to.Changed, from.Seen)
			if from.Own.After(to.Told) {
				to.Told = from.Own
			}
		}
	}
}

// TestReadersKnowChangesInTime: whatever news are lost and whoever dies, each
// gateway knows a change in three quarters of the time allowed, which leaves the
// rest for a read that fails. With all alive, they need one read a second each
// at most; the users' target is one call a second.
func TestReadersKnowChangesInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		gateways int
		lost     float64
		deaths   bool
	}{
		{"six", 6, 0, false}, {"many", 27, 0, false}, {"alone", 1, 0, false},
		{"half of the news are lost", 6, 0.5, false}, {"no news", 6, 1, false}, {"the first ones die", 6, 0, true},
	} {
		for seed := range uint64(20) {
			g := newReaders(c.gateways, c.lost, seed)
			each := g.play(t, c.name, seed, c.deaths)
			if c.gateways > 1 && c.lost == 0 && !c.deaths && each > 1 {
				t.Errorf("%s, seed %d: %.2f reads a second and gateway", c.name, seed, each)
			}
			if seed == 0 {
				t.Logf("%s: %.2f reads a second and gateway", c.name, each)
			}
		}
	}
}

func newReaders(n int, lost float64, seed uint64) *readers {
	g := &readers{rand: rand.New(rand.NewPCG(seed, 1)), known: make([]Reading, n), dead: make([]bool, n), lost: lost}
	for i := range g.known {
		g.known[i].Before = i
	}
	return g
}

// play runs a minute with changes now and then; it returns the reads a second
// and gateway.
func (g *readers) play(t *testing.T, name string, seed uint64, deaths bool) float64 {
	t.Helper()
	const tick, seconds = 50 * time.Millisecond, 60
	start := time.Unix(1000, 0)
	var changedAt time.Time
	for n := range int(seconds * time.Second / tick) {
		now := start.Add(time.Duration(n) * tick)
		if n%73 == 50 {
			g.changed, changedAt = g.changed+1, now
		}
		if deaths && n == 300 {
			g.dead[0], g.dead[1] = true, true
		}
		g.step(now, n%5 == int(seed%5))
		if i := g.unaware(); i >= 0 && now.Sub(changedAt) > within*3/4 {
			t.Fatalf("%s, seed %d: gateway %d does not know a change after %v", name, seed, i, now.Sub(changedAt))
		}
	}
	return float64(g.calls) / seconds / float64(len(g.known))
}

// unaware returns a gateway that does not know the last change, or -1.
func (g *readers) unaware() int {
	for i, r := range g.known {
		if !g.dead[i] && r.Seen < g.changed {
			return i
		}
	}
	return -1
}

// TestStoreThatLagsIsNotReadAllTheTime: a peer has found a change that the store
// does not show to this gateway yet.
func TestStoreThatLagsIsNotReadAllTheTime(t *testing.T) {
	now := time.Unix(1000, 0)
	r := Reading{Own: now, Told: now, Seen: 5, Changed: 6}
	if due := r.Due(within); due.Sub(now) < within/20 || due.Sub(now) > within/4 {
		t.Errorf("due after %v", due.Sub(now))
	}
	r.Own = now.Add(-time.Second)
	if due := r.Due(within); due.After(now) {
		t.Errorf("a change is read %v late", due.Sub(now))
	}
}
