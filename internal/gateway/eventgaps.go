package gateway

import (
	"slices"
	"time"
)

// maxEventGaps is how many gaps are kept. Only the latest count, so that a run that
// becomes slow midway is detected.
const maxEventGaps = 9

// eventGaps holds the latest gaps between the events of one run. The zero value is empty.
type eventGaps struct {
	ring [maxEventGaps]time.Duration
	n    int
}

func (p *eventGaps) add(d time.Duration) {
	p.ring[p.n%maxEventGaps] = d
	p.n++
}

// median returns the median of the latest gaps, zero when there are none. Unlike a mean it
// tolerates a single long gap, which occurs when an engine processes a long prompt of
// another run.
func (p *eventGaps) median() time.Duration {
	n := min(p.n, maxEventGaps)
	if n == 0 {
		return 0
	}
	sorted := p.ring
	slices.Sort(sorted[:n])
	return sorted[n/2]
}
