// Package gctune spares a daemon with a small heap most of its garbage
// collections: it lets the heap grow to a floor before it is collected. Above
// the floor the collector runs as usual, when the heap has doubled.
package gctune

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// minPercent is the runtime's default: a collection when the heap has
	// doubled.
	minPercent = 100
	// maxPercent bounds how far a nearly empty heap may grow.
	maxPercent = 2000
	// minChange is the change of the percentage that is worth the short stop
	// of the process which setting it takes.
	minChange = 25
	// runtimeLeast is the heap in bytes below which the runtime does not collect
	// at a percentage of 100; it scales with the percentage.
	runtimeLeast = 4 << 20
)

// every is the pause between two looks at the heap. Until the next look a heap
// that has grown may pass the floor.
const every = 250 * time.Millisecond

// SetLimit tells the runtime how much memory in bytes it may use. Near the limit it collects
// garbage sooner than the percentage asks for.
func SetLimit(bytes int64) { debug.SetMemoryLimit(bytes) }

// usage is what the last collection found, in bytes.
type usage struct {
	// live is the heap in use.
	live uint64
	// roots are the stacks and globals, which the runtime adds to the live
	// heap when it paces collections.
	roots uint64
}

// percent returns the growth, in percent, after which the heap stands at the
// floor, or the runtime's default when that allows more.
func percent(u usage, floor uint64) int {
	if u.live >= floor || u.live+u.roots == 0 {
		return minPercent
	}
	p := min((floor-u.live)*100/(u.live+u.roots), floor*100/runtimeLeast)
	return int(min(max(p, minPercent), maxPercent))
}

// Tuner sets the percentage of the process.
type Tuner struct {
	floor   uint64
	current int
	samples []metrics.Sample
}

// New returns a tuner for the floor in bytes.
func New(floor int64) *Tuner {
	return &Tuner{
		floor:   uint64(floor),
		current: minPercent,
		samples: []metrics.Sample{
			{Name: "/gc/heap/live:bytes"},
			{Name: "/gc/scan/stack:bytes"},
			{Name: "/gc/scan/globals:bytes"},
		},
	}
}

// Run follows the heap until ctx ends.
func (t *Tuner) Run(ctx context.Context) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		t.adjust(percent(t.read(), t.floor))
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (t *Tuner) read() usage {
	metrics.Read(t.samples)
	return usage{
		live:  t.samples[0].Value.Uint64(),
		roots: t.samples[1].Value.Uint64() + t.samples[2].Value.Uint64(),
	}
}

// adjust sets the percentage when it differs enough from the present one.
func (t *Tuner) adjust(p int) {
	change := max(p, t.current) - min(p, t.current)
	if change*100 < minChange*t.current && p != minPercent {
		return
	}
	if change == 0 {
		return
	}
	t.current = p
	debug.SetGCPercent(p)
}
