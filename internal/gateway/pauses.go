package gateway

import (
	"slices"
	"time"
)

// keptPauses is how many pauses make the pace of a run: the latest ones, so that a run
// that turns slow midway shows it.
const keptPauses = 9

// pauses holds the latest pauses between the events of one run. The zero value is empty.
type pauses struct {
	ring [keptPauses]time.Duration
	n    int
}

func (p *pauses) add(d time.Duration) {
	p.ring[p.n%keptPauses] = d
	p.n++
}

// median is the middle one of the latest pauses, zero when there are none. It answers
// runs beside which an engine reads a long prompt: one long pause is no slow pace.
func (p *pauses) median() time.Duration {
	n := min(p.n, keptPauses)
	if n == 0 {
		return 0
	}
	sorted := p.ring
	slices.Sort(sorted[:n])
	return sorted[n/2]
}
