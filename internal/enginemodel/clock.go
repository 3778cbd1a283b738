// Package enginemodel is a small seeded model of a model engine under a
// virtual clock: continuous batching, a prefix cache of bounded size, load
// reports that lag and cache events that come late and with gaps. The policy
// runs use it; it is no cluster simulator.
package enginemodel

import (
	"container/heap"
	"time"
)

// Clock runs events in order of virtual time. Events at one time run in the
// order in which they were set, so that runs repeat exactly.
type Clock struct {
	now    time.Duration
	events eventHeap
	count  uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// Now returns the virtual time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// After runs f when d has passed.
func (c *Clock) After(d time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.count, run: f})
}

// Every runs f each interval, for as long as the clock runs.
func (c *Clock) Every(interval time.Duration, f func()) {
	c.After(interval, func() {
		f()
		c.Every(interval, f)
	})
}

// RunUntil runs every event up to the time and leaves later ones unrun.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is called by container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is called by container/heap.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
