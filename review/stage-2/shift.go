package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Figures of the case: those of the site file, and a version of which half of the answers are
// failures.
const (
	exposeShare    = 0.15
	exposeSlack    = 30
	rollbackWithin = 5 * time.Second
	badAnswers     = 50
	failingPart    = 0.5
	// failsAfter is the time from the order to the first failures.
	failsAfter = 3 * time.Second
	contact    = 3 * time.Second
	// A gateway is added this long after the store's return, and the operator writes again
	// what was lost this long after that.
	addedAfter, againAfter = time.Second, time.Second
	shiftTime              = 16 * time.Second
	shiftReplicas          = 3
	shiftConsumers         = 12
	shiftPause             = 200 * time.Millisecond
)

// operator orders versions of a service and does what the statuses ask for.
type operator struct {
	w       *world
	service string
	mu      sync.Mutex
	// ordered is the version that was ordered last, row its row.
	ordered string
	row     []byte
	// replicas are those of each version.
	replicas map[string][]*replica
	// states holds the last status of each version.
	states map[string]string
	ended  chan string
}

func (o *operator) order(version string, within time.Duration) time.Duration {
	row, err := json.Marshal(map[string]any{"service": o.service, "to": version, "durationS": within.Seconds()})
	if err != nil {
		cannotRun(err)
	}
	o.mu.Lock()
	o.ordered, o.row = version, row
	o.mu.Unlock()
	o.w.store.put("op", name("order")+o.service, row)
	o.w.note("operator: the order to move to %s is acked", version)
	return time.Since(o.w.began)
}

// again writes what the store has lost.
func (o *operator) again() {
	o.mu.Lock()
	row := o.row
	o.mu.Unlock()
	o.w.publish(3, "desk")
	o.w.store.put("op", name("order")+o.service, row)
	o.w.note("the operator has written again what was lost")
}

// status is called with each row that the system writes.
func (o *operator) status(r row) {
	if r.Table != "status" || r.Key != name("order")+o.service {
		return
	}
	var s struct{ To, State string }
	if json.Unmarshal(r.Value, &s) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.w.note("status: %s of %s is %s", s.To, o.service, s.State)
	was := o.states[s.To]
	o.states[s.To] = s.State
	if s.To != o.ordered || was == s.State {
		return
	}
	switch s.State {
	case "complete":
		for version, all := range o.replicas {
			if version != s.To {
				go o.stop(version, all, 0)
			}
		}
		go func() { o.ended <- s.State }()
	case name("undone"):
		go o.stop(s.To, o.replicas[s.To], 3*time.Second)
		go func() { o.ended <- s.State }()
	}
}

// stop ends replicas at once, or lets them drain after a while.
func (o *operator) stop(version string, all []*replica, after time.Duration) {
	time.Sleep(after)
	for _, r := range all {
		o.w.mu.Lock()
		r.state = "draining"
		r.crashed = after == 0
		o.w.mu.Unlock()
		if after > 0 {
			o.w.beat(r)
		}
	}
	if after > 0 {
		time.Sleep(3 * time.Second)
	}
	for _, r := range all {
		o.w.mu.Lock()
		r.crashed = true
		o.w.mu.Unlock()
		r.stop()
		o.w.store.drop("servers", r.id)
	}
	o.w.note("the replicas of %s have stopped", version)
}

// shift orders a bad version; the store comes back from a copy without the order, while a
// gateway is added.
func shift(program, folder string, trouble bool) int {
	w := newWorld(folder)
	defer w.end()
	o := &operator{w: w, service: "desk", replicas: map[string][]*replica{}, states: map[string]string{}, ended: make(chan string, 8)}
	w.store.watch = o.status
	start := func(version string, failing float64) {
		for range shiftReplicas {
			r := w.startVersion("desk", version, firstZone, 10*time.Millisecond, failing)
			o.mu.Lock()
			o.replicas[version] = append(o.replicas[version], r)
			o.mu.Unlock()
		}
	}
	start("v1", 0)
	go w.beats()
	for range 2 {
		w.startGateway(program)
	}
	time.Sleep(time.Second)
	sent := &sendings{at: map[string]time.Duration{}}
	over := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range shiftConsumers {
		consumers.Go(func() { w.consume(i, w.gateways[i%2], sent, over) })
	}
	// An earlier version that is good.
	start("v2", 0)
	o.order("v2", 8*time.Second)
	if state := <-o.ended; state != "complete" {
		w.note("the good version is %s", state)
		cannotRun("the good version was not moved to")
	}
	time.Sleep(3 * time.Second)
	start("v3", failingPart)
	time.Sleep(time.Second)
	before := w.store.copyNow()
	time.Sleep(500 * time.Millisecond)
	ordered := o.order("v3", shiftTime)
	w.mu.Lock()
	w.failing = ordered + failsAfter
	w.mu.Unlock()
	stable := time.Duration(0)
	time.Sleep(time.Second)
	if trouble {
		w.store.leave()
		w.note("the store is away")
		time.Sleep(time.Second)
		w.store.comeBackFrom(before)
		w.note("the store is back from a copy")
		stable = time.Since(w.began) + contact
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(addedAfter)
	w.startGateway(program)
	if trouble {
		time.Sleep(againAfter)
		o.again()
		stable = time.Since(w.began) + contact
	}
	time.Sleep(time.Until(w.began.Add(ordered + shiftTime + 16*time.Second)))
	close(over)
	consumers.Wait()
	return w.judgeShift(sent, ordered, stable)
}

// judgeShift holds what reached the bad version against EXPOSURE.
func (w *world) judgeShift(sent *sendings, ordered, stable time.Duration) int {
	w.mu.Lock()
	arrived := append([]arrival(nil), w.arrived...)
	w.mu.Unlock()
	sort.Slice(arrived, func(i, j int) bool { return arrived[i].at < arrived[j].at })
	all, exposed, bad, late := 0, 0, 0, 0
	var fiftieth time.Duration
	for _, a := range arrived {
		if a.at >= ordered && a.at <= ordered+shiftTime {
			all++
			if a.version == "v3" {
				exposed++
			}
		}
		if a.version != "v3" {
			continue
		}
		if fiftieth > 0 && sent.of(a.request) > fiftieth+rollbackWithin {
			late++
		}
		if a.failed && a.at > stable {
			if bad++; bad == badAnswers {
				fiftieth = a.at
			}
		}
	}
	w.note("the bad version got %d of %d requests between the order and its time budget; it may get %.0f", exposed, all, exposeShare*float64(all)+exposeSlack)
	w.note("the bad version gave %d bad answers while the store was stable, the 50th at %v; %d requests that were sent over %v later reached it", bad, fiftieth.Round(time.Millisecond), late, rollbackWithin)
	fmt.Printf("%d of %d requests reached the bad version in its time budget; %d more than %v after its 50th bad answer\n", exposed, all, late, rollbackWithin)
	if late > 0 || float64(exposed) > exposeShare*float64(all)+exposeSlack {
		return broken
	}
	return held
}

// sendings are the times at which requests were sent.
type sendings struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func (s *sendings) of(request string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[request]
}

// consume sends one request after the other on a connection that is kept open.
func (w *world) consume(i int, g *gateway, sent *sendings, over chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(shiftPause):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", g.listen, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		request := fmt.Sprintf("c%d-%d", i, n)
		sent.mu.Lock()
		sent.at[request] = time.Since(w.began)
		sent.mu.Unlock()
		_ = c.SetDeadline(time.Now().Add(2 * time.Second)) // a closed connection fails below
		_, err := io.WriteString(c, head("POST", "/book/x", request, 1500*time.Millisecond, nil)+"Content-Length: 0\r\n\r\n")
		status := 0
		closing := true
		if err == nil {
			var resp *http.Response
			if resp, err = http.ReadResponse(in, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				status, closing = resp.StatusCode, resp.Close
			}
		}
		w.note("consumer %s at %s: %d", request, g.name, status)
		if err != nil || closing {
			c.Close()
			c = nil
		}
	}
}
