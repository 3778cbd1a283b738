package version

import (
	"container/heap"
	"time"
)

// event is something due at a time. Events of one time run in the order in
// which they were set.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// clock runs events in the order of their times.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// after sets an event.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + d, seq: c.seq, run: run})
}

// runUntil runs all events up to the time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time and sequence.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
