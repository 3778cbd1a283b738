package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Figures of the case: those of the site file's roll-outs of bad versions.
const (
	quietFailing = 0.55
	quietTime    = 16 * time.Second
	quietPause   = 900 * time.Millisecond // on average
	quietEnd     = 113 * time.Second
)

// quiet orders a bad version of each of five services that get little traffic.
func quiet(program, folder string, trouble bool) int {
	w := newWorld(folder)
	defer w.end()
	failing := 0.0
	if trouble {
		failing, w.failing = quietFailing, 1 // from the start on
	}
	paths := map[string]string{"desk": "/book/x", "counter": "/enter/x", "gate": "/sign/x", "ramp": "/load/x", "depot": "/keep/x"}
	var operators []*operator
	for service := range paths {
		o := &operator{w: w, service: service, replicas: map[string][]*replica{}, states: map[string]string{}, ended: make(chan string, 8)}
		operators = append(operators, o)
		for range shiftReplicas {
			o.replicas["v1"] = append(o.replicas["v1"], w.startVersion(service, "v1", firstZone, 10*time.Millisecond, 0))
		}
	}
	w.store.watch = func(r row) {
		for _, o := range operators {
			o.status(r)
		}
	}
	go w.beats()
	for range 2 {
		w.startGateway(program)
	}
	sent := &sendings{at: map[string]time.Duration{}}
	var consumers sync.WaitGroup
	ordered := map[string]time.Duration{}
	for _, o := range operators {
		for range shiftReplicas {
			o.replicas["v2"] = append(o.replicas["v2"], w.startVersion(o.service, "v2", firstZone, 10*time.Millisecond, failing))
		}
		ordered[o.service] = o.order("v2", quietTime)
		consumers.Go(func() { w.askSeldom(o.service, paths[o.service], sent) })
	}
	consumers.Wait()
	broke := 0
	for service, at := range ordered {
		if w.judgeQuiet(service, sent, at) {
			broke++
		}
	}
	w.note("the rule was broken at %d of %d services", broke, len(ordered))
	fmt.Printf("the rule was broken at %d of %d services\n", broke, len(ordered))
	if broke > 0 {
		return broken
	}
	return held
}

// askSeldom sends requests to a service at random times until the end.
func (w *world) askSeldom(service, path string, sent *sendings) {
	var asked sync.WaitGroup
	defer asked.Wait()
	for n := 0; ; n++ {
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(quietPause)))
		if time.Since(w.began) > quietEnd {
			return
		}
		request := fmt.Sprintf("%s-%d", service, n)
		g := w.gateways[rand.IntN(len(w.gateways))]
		sent.mu.Lock()
		sent.at[request] = time.Since(w.began)
		sent.mu.Unlock()
		asked.Go(func() {
			a := w.ask(g, head("POST", path, request, 1500*time.Millisecond, nil)+"Content-Length: 0\r\n\r\n", 2*time.Second)
			w.note("consumer %s at %s: %d", request, g.name, a.status)
		})
	}
}

// judgeQuiet reports whether a service's bad version got more than it may.
func (w *world) judgeQuiet(service string, sent *sendings, ordered time.Duration) bool {
	w.mu.Lock()
	arrived := append([]arrival(nil), w.arrived...)
	w.mu.Unlock()
	sort.Slice(arrived, func(i, j int) bool { return arrived[i].at < arrived[j].at })
	all, exposed, seen, bad, late := 0, 0, 0, 0, 0
	var fiftieth time.Duration
	for _, a := range arrived {
		if a.service != service {
			continue
		}
		inTime := a.at >= ordered && a.at <= ordered+quietTime
		if inTime {
			all++
		}
		if a.version != "v2" {
			continue
		}
		if inTime {
			exposed++
			if a.failed {
				seen++
			}
		}
		if fiftieth > 0 && sent.of(a.request) > fiftieth+rollbackWithin {
			late++
		}
		if a.failed {
			if bad++; bad == badAnswers {
				fiftieth = a.at
			}
		}
	}
	w.note("%s: v2 got %d of %d requests in its time budget and failed %d of them; %d bad answers by the end, the 50th at %v; %d requests that were sent over %v later reached it",
		service, exposed, all, seen, bad, fiftieth.Round(time.Millisecond), late, rollbackWithin)
	return late > 0 || float64(exposed) > exposeShare*float64(all)+exposeSlack
}
