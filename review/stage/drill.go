package main

import (
	"context"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a drill.
const (
	// revokeWithin is the bound of the rule: revokeMs.
	revokeWithin = 5 * time.Second
	// copyAge is how old the copy is from which the store comes back, awayFor how long it is
	// away, and rewriteAfter when the operator has written again what was lost: the time in
	// which the replicas' entries are back.
	copyAge      = 5 * time.Second
	awayFor      = 500 * time.Millisecond
	rewriteAfter = 2 * time.Second
	secondKey    = "second-key"
	// pause is that of each of the six consumers: together they stay under the 29.3 requests
	// a second that the sheet has for the plain service.
	pause = 210 * time.Millisecond
)

// playDrill: a key is taken away. The disruptions are a drill of the store, and a gateway
// that is killed while the store is away.
func playDrill(st *Stage) int {
	for i := range 3 {
		st.startReplica("desk-"+strconv.Itoa(i), deskService, []string{"pasay", "paranaque", "clark"}[i], "v1", 6)
	}
	st.startReplica("engine-0", modelService, "pasay", "v1", 48)
	st.store.put("op", "config", config(1, []string{firstKey, secondKey}, nil))
	gateways := []*Gateway{
		st.startGateway("edge-1", "pasay", memoryMB), st.startGateway("edge-2", "paranaque", memoryMB), st.startGateway("edge-3", "clark", memoryMB),
	}
	var s seen
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	for _, g := range gateways {
		for _, key := range []string{firstKey, secondKey} {
			wg.Go(func() {
				c := &consumer{address: g.listen}
				defer c.close()
				for ctx.Err() == nil {
					q := call{id: newID(), method: "POST", path: bookPath + "x", key: key, deadline: 1500 * time.Millisecond, body: make([]byte, 600)}
					what := "galley-book with the " + key + " at " + g.name
					s.add(st, what, q, c.do(st, what, q))
					time.Sleep(pause)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	before := st.store.copy()
	copied := time.Now()
	time.Sleep(time.Second)
	revoked := config(2, []string{firstKey}, nil)
	st.store.put("op", "config", revoked)
	acknowledged := time.Now()
	st.log("operator: version 2 takes the second key away, acknowledged")
	time.Sleep(time.Until(copied.Add(copyAge)))
	if st.trouble {
		st.log("disruption: the store is away for %v, and %s is killed", awayFor, gateways[1].name)
		st.store.leave()
		gateways[1].signal(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if err := gateways[1].start(); err != nil {
			st.cannot("start a gateway again: %v", err)
		}
		time.Sleep(awayFor - 300*time.Millisecond)
		st.store.comeBack(before)
		st.log("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
		time.Sleep(rewriteAfter)
		st.store.put("op", "config", revoked)
		st.log("operator: version 2 written again")
	}
	wg.Wait()
	return st.checkRevoked(s.list(), acknowledged)
}

// checkRevoked checks the rule CONFIG where strictRevoke is true: a request that was sent
// later than revokeMs after the acknowledgement of a configuration that took its key away
// runs. It holds for all machines, in touch or not.
func (st *Stage) checkRevoked(all []answerOf, acknowledged time.Time) int {
	ran := map[string]time.Time{}
	for _, r := range st.allRuns() {
		ran[r.id] = r.at
	}
	late := 0
	for _, a := range all {
		after := a.startedAt.Sub(acknowledged)
		if at, ok := ran[a.id]; ok && a.key == secondKey && after > revokeWithin {
			late++
			st.log("CONFIG: %s %s, sent %.0f ms after the acknowledgement, ran %.0f ms after it", a.what, a.id,
				float64(after.Milliseconds()), float64(at.Sub(acknowledged).Milliseconds()))
		}
	}
	st.log("CONFIG: %d requests with the key that was taken away, sent later than %v after that, ran; none is allowed", late, revokeWithin)
	if late > 0 {
		return broken
	}
	return held
}
