// Package enginemodel simulates an inference engine under a virtual clock, with seeded
// randomness: continuous batching, a prefix cache of bounded size, and cache events that
// are delayed or lost. The policy benchmarks use it. It simulates single engines, not a
// cluster.
package enginemodel

import (
	"container/heap"
	"time"
)

// Clock runs events in order of virtual time. Events at one time run in the
// order in which they were scheduled, so that runs are reproducible.
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

// After schedules f to run after d.
func (c *Clock) After(d time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.count, run: f})
}

// Every schedules f to run at each interval, without end.
func (c *Clock) Every(interval time.Duration, f func()) {
	c.After(interval, func() {
		f()
		c.Every(interval, f)
	})
}

// RunUntil runs all events up to and including end, and leaves later ones scheduled.
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
