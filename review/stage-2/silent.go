package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the site file.
const (
	contact     = 3000 * time.Millisecond
	configApply = 2000 * time.Millisecond
)

// silent makes the open connections to the store silent and changes the configuration at once.
func silent(program, folder string, trouble bool) int {
	w := newWorld(folder)
	defer w.end()
	w.proxied = true
	for range 3 {
		w.startPlain("desk", 5*time.Millisecond)
		w.startPlain("counter", 5*time.Millisecond)
	}
	go w.beats()
	for range 3 {
		w.startGateway(program)
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	look, before := "desk", "desk"
	var ack, quiet time.Time
	bad := 0
	over := make(chan struct{})
	var probes sync.WaitGroup
	for i, g := range w.gateways {
		probes.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(40 * time.Millisecond):
				}
				request := fmt.Sprintf("p%d-%d", i, n)
				sent := time.Now()
				mu.Lock()
				want, old, at, q := look, before, ack, quiet
				mu.Unlock()
				a := w.ask(g, head("GET", "/look/x", request, 1500*time.Millisecond, nil)+"\r\n", 2*time.Second)
				late := sent.Sub(at) > configApply
				inTouch := sent.Sub(q) > contact
				if a.status == 200 && a.body == old && old != want {
					w.note("%s: %s runs at the old service, sent %v after the ack, %v after the silence", g.name, request, sent.Sub(at).Round(time.Millisecond), sent.Sub(q).Round(time.Millisecond))
					if late && inTouch {
						mu.Lock()
						bad++
						mu.Unlock()
					}
				} else if a.status != 200 {
					w.note("%s: %s gets %d", g.name, request, a.status)
				}
			}
		})
	}
	version := 3
	for round := range 8 {
		time.Sleep(8*time.Second + time.Duration(round*137)*time.Millisecond)
		now := time.Now()
		if trouble {
			n := 0
			for _, p := range w.proxies {
				n += p.silence()
			}
			w.note("%d connections to the store go silent", n)
		}
		version += 2
		mu.Lock()
		before = look
		look = map[string]string{"desk": "counter", "counter": "desk"}[look]
		w.publish(version, look)
		ack, quiet = time.Now(), now
		mu.Unlock()
	}
	time.Sleep(6 * time.Second)
	close(over)
	probes.Wait()
	fmt.Printf("%d requests at machines in touch ran as only an older version allows\n", bad)
	w.note("%d requests at machines in touch ran as only an older version allows", bad)
	if bad > 0 {
		return broken
	}
	return held
}
