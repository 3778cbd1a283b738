package main

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the case: a dose of the site's days is a quarter of a service's replicas down for
// 2 s.
const (
	resumedReplicas = 4
	resumedRounds   = 6
	resumedEvents   = 12
	resumedAfter    = 4
	resumedWithin   = 8 * time.Second
	downFor         = 2 * time.Second
)

// resumed has consumers go on with streams of which they have some events already. The replica
// that gets the request crashes after the head of its answer, before its first event.
func resumed(program, folder string, trouble bool) int {
	w := newWorld(folder)
	defer w.end()
	args := []string{fmt.Sprint(resumedEvents), "300", "30"}
	for range resumedReplicas {
		w.startReplica("model", args...)
	}
	go w.beats()
	g := w.startGateway(program)
	w.startGateway(program)
	time.Sleep(time.Second)
	bad := 0
	for round := range resumedRounds {
		// The one that starts from the beginning shows what the gateway does with it.
		for _, after := range []int{resumedAfter, 0} {
			request := fmt.Sprintf("r%d-%d", round, after)
			fields := map[string]string{
				name("model"): "m", name("tokens"): "6610,400", name("session"): request,
				name("parts"): fmt.Sprintf("5c1e07a2:5382,%x:1228", 4096+2*round+after),
			}
			if after > 0 {
				fields[name("resume")] = fmt.Sprint(after)
			}
			over := make(chan struct{})
			go w.crashOnHead(request, trouble, over, args)
			w.note("consumer sends %s, has %d of %d events", request, after, resumedEvents)
			a := w.ask(g, head("POST", "/draft/x", request, resumedWithin, fields)+"Content-Length: 0\r\n\r\n", resumedWithin+time.Second)
			close(over)
			want := ""
			for n := after + 1; n <= resumedEvents; n++ {
				want += event(request, n)
			}
			got := strings.Count(a.body, "\n\n")
			verdict := "held"
			if a.status == 200 && a.whole && a.body != want {
				verdict = "BROKEN: ended as complete"
				bad++
			}
			w.note("consumer has for %s: status %d, seal %q, %d of %d events, looks complete: %v, error: %v: %s",
				request, a.status, a.sealed, got, resumedEvents-after, a.whole, a.err, verdict)
			if !trouble && verdict == "held" && a.body != want {
				w.note("without the crash the stream must be whole")
				cannotRun("a stream without a crash was not whole")
			}
			if trouble {
				time.Sleep(downFor + time.Second)
			}
		}
	}
	w.note("%d streams ended as complete before their last piece", bad)
	fmt.Printf("%d streams ended as complete before their last piece\n", bad)
	if bad > 0 {
		return broken
	}
	return held
}

// crashOnHead kills the first replica that sends the head of an answer to the request; another
// one starts when it has been down for a while.
func (w *world) crashOnHead(request string, trouble bool, over chan struct{}, args []string) {
	for {
		select {
		case h := <-w.heads:
			if h[0] != request || !trouble {
				continue
			}
			w.crash(h[1])
			time.AfterFunc(downFor, func() { w.startReplica("model", args...) })
			trouble = false
		case <-over:
			return
		}
	}
}
