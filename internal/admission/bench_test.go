package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkSubmitRelease measures the admission and the release of one request while
// 1,000 requests of 100 organisations wait.
func BenchmarkSubmitRelease(b *testing.B) {
	c := exactController(100, 1000)
	reqs := make([]Request, 100)
	for i := range reqs {
		reqs[i] = Request{Organisation: fmt.Sprintf("o%d", i), Priority: i % 3, OutputTokens: 100}
	}
	var running []Ticket
	now := start
	i := 0
	submit := func() {
		i++
		_, events := c.Submit(&reqs[i%len(reqs)], now)
		for _, e := range events {
			if e.Refused == nil {
				running = append(running, e.Ticket)
			}
		}
	}
	for range 1100 {
		submit()
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		submit()
		ticket := running[0]
		running = running[1:]
		for _, e := range c.Release(ticket, Feedback{RunTime: time.Second}, now) {
			if e.Refused == nil {
				running = append(running, e.Ticket)
			}
		}
	}
}
