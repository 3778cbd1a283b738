package gateway

import (
	"slices"
	"time"
)

// keptPauses is how many pauses make the pace of a run: the latest ones, so that a run
// that turns slow midway shows it.
const maxEventGaps = 9

// pauses holds the latest pauses between the events of one run. The zero value is empty.
type eventGaps struct {
	ring [maxEventGaps]time.Duration
	n    int
}

func (p *eventGaps) add(d time.Duration) {
	p.ring[p.n%maxEventGaps] = d
	p.n++
}

// median is the middle one of the latest pauses, zero when there are none. It answers
// runs beside which an engine reads a long prompt: one long pause is no slow pace.
func (p *eventGaps) median() time.Duration {
	n := min(p.n, maxEventGaps)
	if n == 0 {
		return 0
	}
	sorted := p.ring
	slices.Sort(sorted[:n])
	return sorted[n/2]
}
