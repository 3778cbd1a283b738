package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of resting replicas.
const (
	shiftTime = 16 * time.Second // the shorter roll-out of the site file
	// badAfter is when the new version turns bad, and badShare the share of its answers
	// that fail then.
	badAfter = 8 * time.Second
	badShare = 0.5
	// fullFor is how long the replicas of the old version are full, and restFor the time in
	// seconds for which each wants nothing from a machine that it has turned away.
	fullFor = 300 * time.Millisecond
	restFor = "4"
	// exposeShare and exposeSlack are the bounds of the rule.
	exposeShare, exposeSlack = 0.15, 30
	// bookRate is the requests a second of the plain service on the sheet, 20.9 and 8.39.
	bookRate = 29
)

// playRest: a service is moved to a version that turns bad later. The disruption is that the
// replicas of the old version are full for a moment and turn requests away with a time to
// rest.
func playRest(st *Stage) int {
	var full atomic.Bool
	for i := range 3 {
		u := st.startReplica("old-"+strconv.Itoa(i), deskService, []string{"pasay", "paranaque", "clark"}[i], "v1", 6)
		u.behave(func(w http.ResponseWriter, r *http.Request) {
			if full.Load() {
				st.log("replica %s turns request %s away, Retry-After %s", u.id, r.Header.Get(name("id")), restFor)
				u.refuse(w, restFor)
				return
			}
			u.plain(w, r, 15*time.Millisecond)
		})
	}
	st.startReplica("engine-0", modelService, "pasay", "v1", 48)
	st.store.put("op", "config", config(1, []string{firstKey}, nil))
	g := st.startGateway("edge-1", "pasay", memoryMB)
	time.Sleep(time.Second)

	st.store.put("op", "rollout/"+deskService, map[string]any{"service": deskService, "to": "v2", "durationS": shiftTime.Seconds()})
	ordered := time.Now()
	st.log("operator: move %s to v2 within %v", deskService, shiftTime)
	for i := range 3 {
		u := st.startReplica("new-"+strconv.Itoa(i), deskService, []string{"pasay", "paranaque", "clark"}[i], "v2", 6)
		u.behave(func(w http.ResponseWriter, r *http.Request) {
			if time.Since(ordered) > badAfter && rand.Float64() < badShare {
				u.fail(w, r, 15*time.Millisecond)
				return
			}
			u.plain(w, r, 15*time.Millisecond)
		})
	}
	var s seen
	var wg sync.WaitGroup
	ctx, cancel := context.WithDeadline(context.Background(), ordered.Add(shiftTime))
	defer cancel()
	const consumers = 12
	for range consumers {
		wg.Go(func() {
			c := &consumer{address: g.listen}
			defer c.close()
			time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			for ctx.Err() == nil {
				q := call{id: newID(), method: "POST", path: bookPath + "x", key: firstKey, deadline: 1500 * time.Millisecond, body: make([]byte, 600)}
				s.add(st, "galley-book", q, c.do(st, "galley-book", q))
				time.Sleep(time.Duration(float64(time.Second) * consumers / bookRate * (0.5 + rand.Float64())))
			}
		})
	}
	time.Sleep(time.Until(ordered.Add(3 * time.Second)))
	if st.trouble {
		st.log("disruption: the replicas of v1 are full for %v", fullFor)
		full.Store(true)
		time.Sleep(fullFor)
		full.Store(false)
	}
	wg.Wait()
	status, _ := st.store.get("status", "rollout/"+deskService)
	st.log("status of the roll-out: %s", status)
	return st.checkExposure(deskService, ordered, ordered.Add(shiftTime))
}

// checkExposure checks the first part of the rule EXPOSURE for the version v2.
func (st *Stage) checkExposure(service string, from, to time.Time) int {
	all, bad := 0, 0
	for _, r := range st.allRuns() {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		all++
		if r.version == "v2" {
			bad++
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	st.log("EXPOSURE: the bad version got %d of %d requests, %.0f are allowed", bad, all, allowed)
	if float64(bad) > allowed {
		return broken
	}
	return held
}
