package host

import "math/rand/v2"

// clairvoyant knows every load exactly and at once, and finds every prefix
// that was ever read on every engine.
type clairvoyant struct {
	knowledge
	fleet *fleet
}

func newClairvoyant(f *fleet, _ int, rnd *rand.Rand) picker {
	if f.everywhere == nil {
		f.everywhere = map[uint64]int{}
	}
	return &clairvoyant{newKnowledge(rnd), f}
}

func (p *clairvoyant) pick(_ *request, tried []int) (int, bool) {
	best, least := 0, -1
	for _, a := range p.fleet.agents {
		if a.engine.Down() || !p.usable(a.id, tried) {
			continue
		}
		running, waiting := a.gate.Counts()
		if load := running + waiting; least < 0 || load < least {
			best, least = a.id, load
		}
	}
	return best, least >= 0
}

func (p *clairvoyant) slots() int {
	up := 0
	for _, a := range p.fleet.agents {
		if !a.engine.Down() {
			up += a.slots()
		}
	}
	return up
}
