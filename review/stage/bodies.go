package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of long bodies, after the sheet of khl-galley.
const (
	// memoryMB is the memory of an edge machine.
	memoryMB = 134
	// longBody is within the limit of the configuration, 4,194,304 bytes.
	longBody = 4_000_000
	// usualUsers of the tenant send drafts at any time; hotFactor is the largest factor of
	// hot_tenant in the site file, hotTime its longest time.
	usualUsers = 4
	hotFactor  = 7.5
	hotTime    = 11 * time.Second
	// bookers are consumers of another kind on connections that they keep, each with about
	// three requests a second: together at most the sheet's 20.9.
	bookers = 6
)

// playBodies: users of one tenant send drafts with long bodies. The disruption is that the
// tenant sends 7.5 times its usual for a while. The platform kills a process that exceeds
// its memory, and starts it again.
func playBodies(st *Stage) int {
	for i := range 6 {
		u := st.startReplica("engine-"+strconv.Itoa(i), modelService, "pasay", "v1", 48)
		u.behave(func(w http.ResponseWriter, r *http.Request) {
			u.stream(w, r, 500*time.Millisecond, 40*time.Millisecond, 64)
		})
	}
	for i := range 3 {
		st.startReplica("desk-"+strconv.Itoa(i), deskService, "pasay", "v1", 6)
	}
	st.store.put("op", "config", config(1, []string{firstKey}, nil))
	g := st.startGateway("edge-1", "pasay", memoryMB)
	watch := st.limitMemory(g)
	var s seen
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	for range bookers {
		wg.Go(func() {
			c := &consumer{address: g.listen}
			for ctx.Err() == nil {
				q := call{id: newID(), method: "POST", path: bookPath + "x", key: firstKey, deadline: 1500 * time.Millisecond, body: make([]byte, 600)}
				s.add(st, "galley-book", q, c.do(st, "galley-book", q))
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
			}
			c.close()
		})
	}
	body := make([]byte, longBody)
	user := func(until context.Context) {
		c := &consumer{address: g.listen}
		defer c.close()
		look := call{id: newID(), method: "GET", path: lookPath + "x", key: firstKey, deadline: 1500 * time.Millisecond}
		s.add(st, "stock-look", look, c.do(st, "stock-look", look))
		time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
		for until.Err() == nil {
			q := call{id: newID(), method: "POST", path: draftPath + "x", key: firstKey, deadline: 25 * time.Second, body: body}
			s.add(st, "order-draft", q, c.do(st, "order-draft", q))
			time.Sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond)
		}
	}
	for range usualUsers {
		wg.Go(func() { user(ctx) })
	}
	time.Sleep(6 * time.Second)
	if st.trouble {
		hot, end := context.WithTimeout(ctx, hotTime)
		defer end()
		more := int(usualUsers*hotFactor) - usualUsers
		st.log("disruption: the tenant sends %g times its usual: %d more users", hotFactor, more)
		for range more {
			wg.Go(func() { user(hot) })
		}
	}
	wg.Wait()
	kills, peak := watch()
	st.log("the gateway used %.0f MiB at most and was killed for its memory %d times", peak, kills)
	return st.checkLost(s.list())
}

// limitMemory kills the gateway when it exceeds its memory and starts it again, as the
// platform does. It counts resident anonymous memory only, so less than the platform, which
// counts received bytes as well. The result ends the watch and returns the kills and the
// most memory used.
func (st *Stage) limitMemory(g *Gateway) func() (kills int, peak float64) {
	var mu sync.Mutex
	kills, peak, over := 0, 0.0, false
	go func() {
		for {
			time.Sleep(2 * time.Millisecond)
			m := g.memory()
			mu.Lock()
			peak = max(peak, m)
			stop := over
			mu.Unlock()
			if stop {
				return
			}
			if m <= float64(g.memoryMB) {
				continue
			}
			st.log("gateway %s uses %.1f MiB of %d: the platform kills it", g.name, m, g.memoryMB)
			mu.Lock()
			kills++
			mu.Unlock()
			g.signal(syscall.SIGKILL)
			time.Sleep(300 * time.Millisecond)
			if err := g.start(); err != nil {
				st.cannot("start a gateway again: %v", err)
			}
		}
	}()
	return func() (int, float64) {
		mu.Lock()
		defer mu.Unlock()
		over = true
		return kills, peak
	}
}
