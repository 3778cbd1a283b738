package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case, from the sheet of the site: evacMs and contactMs.
const (
	emptyWithin  = 5 * time.Second
	emptyContact = 4 * time.Second
	// The store is away for a moment and back from a copy that is some seconds old; the
	// operator writes again what was lost. Times count from the ack of the order.
	emptyAwayAt, emptyBackAt, emptyAgainAt, emptyEnd = 4 * time.Second, 5 * time.Second, 12 * time.Second, 15 * time.Second
)

// emptied orders that a zone gets no more requests; the store comes back from a copy without
// the order.
func emptied(program, folder string, trouble bool) int {
	w := newWorld(folder)
	defer w.end()
	for _, zone := range []string{firstZone, "zone-2"} {
		for range 3 {
			w.startVersion("desk", "v1", zone, 10*time.Millisecond, 0)
		}
	}
	go w.beats()
	for range 2 {
		w.startGateway(program)
	}
	sent := &sendings{at: map[string]time.Duration{}}
	over := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range shiftConsumers {
		consumers.Go(func() { w.consume(i, w.gateways[i%2], sent, over) })
	}
	time.Sleep(4 * time.Second)
	before := w.store.copyNow()
	time.Sleep(500 * time.Millisecond)
	order := func() { w.store.put("op", name("empty")+firstZone, []byte("{}")) }
	order()
	ack := time.Now()
	w.note("operator: the order to send nothing more to %s is acked", firstZone)
	until := func(at time.Duration) { time.Sleep(time.Until(ack.Add(at))) }
	if trouble {
		until(emptyAwayAt)
		w.store.leave()
		w.note("the store is away")
		until(emptyBackAt)
		w.store.comeBackFrom(before)
		w.note("the store is back from a copy")
		until(emptyAgainAt)
		order()
		w.note("the operator has written again what was lost")
	}
	until(emptyEnd)
	close(over)
	consumers.Wait()
	bad := 0
	w.mu.Lock()
	arrived := append([]arrival(nil), w.arrived...)
	zones := map[string]string{}
	for id, r := range w.replicas {
		zones[id] = r.zone
	}
	w.mu.Unlock()
	for _, a := range arrived {
		after := w.began.Add(a.at).Sub(ack)
		inTouch := !trouble || after < emptyAwayAt || after > emptyBackAt+emptyContact
		if zones[a.replica] == firstZone && after > emptyWithin && inTouch {
			w.note("BROKEN: %s reached %s in %s %v after the ack of the order", a.request, a.replica, firstZone, after.Round(time.Millisecond))
			bad++
		}
	}
	w.note("%d requests reached %s over %v after the ack of the order, from machines in touch", bad, firstZone, emptyWithin)
	fmt.Printf("%d requests reached %s over %v after the ack of the order, from machines in touch\n", bad, firstZone, emptyWithin)
	if bad > 0 {
		return broken
	}
	return held
}
