package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case.
const (
	revokeWithin = 5000 * time.Millisecond
	lostKey      = "lost-key"
	// The copy is taken just before the key is taken away. The store is away for a moment and
	// back from a copy that is some seconds old; the operator writes again what was lost.
	awayAt, backAt, againAt = 3200 * time.Millisecond, 4200 * time.Millisecond, 6200 * time.Millisecond
)

// revived takes a key away; the store comes back from a copy that still has it, while a gateway
// is added.
func revived(program, folder string, trouble bool) int {
	w := newWorld(folder)
	defer w.end()
	for range 3 {
		w.startPlain("desk", 5*time.Millisecond)
	}
	go w.beats()
	w.publishKeys(4, "desk", consumerKey, lostKey)
	for range 2 {
		w.startGateway(program)
	}
	time.Sleep(4 * time.Second)
	before := w.store.copyNow()
	time.Sleep(100 * time.Millisecond)
	w.publishKeys(6, "desk", consumerKey)
	ack := time.Now()
	var mu sync.Mutex
	sent := map[string]time.Duration{}
	var clients sync.WaitGroup
	over := make(chan struct{})
	ask := func(g *gateway, label string) {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(100 * time.Millisecond):
				}
				request := fmt.Sprintf("%s-%d", label, n)
				after := time.Since(ack)
				mu.Lock()
				sent[request] = after
				mu.Unlock()
				a := w.ask(g, headWithKey(lostKey, "POST", "/book/x", request, 1500*time.Millisecond, nil)+"Content-Length: 0\r\n\r\n", 2*time.Second)
				w.note("consumer with the lost key: %s sent %v after the ack gets %d from %s", request, after.Round(time.Millisecond), a.status, g.name)
			}
		})
	}
	ask(w.gateways[0], "first")
	ask(w.gateways[1], "second")
	until := func(at time.Duration) { time.Sleep(time.Until(ack.Add(at))) }
	if trouble {
		until(awayAt)
		w.store.leave()
		w.note("the store is away")
		until(backAt)
		w.store.comeBackFrom(before)
		w.note("the store is back from a copy")
	}
	until(backAt)
	added := w.startGateway(program)
	ask(added, "added")
	until(againAt)
	if trouble {
		w.publishKeys(6, "desk", consumerKey)
		w.note("the operator has written again what was lost")
	}
	until(againAt + 4*time.Second)
	close(over)
	clients.Wait()
	bad := 0
	for request, after := range sent {
		w.mu.Lock()
		ran := w.ran[request] > 0
		w.mu.Unlock()
		if ran && after > revokeWithin {
			w.note("BROKEN: %s was sent %v after the ack of the version that took its key away, and ran", request, after.Round(time.Millisecond))
			bad++
		}
	}
	w.note("%d requests ran with a key that was taken away over %v before", bad, revokeWithin)
	fmt.Printf("%d requests ran with a key that was taken away over %v before\n", bad, revokeWithin)
	if bad > 0 {
		return broken
	}
	return held
}
