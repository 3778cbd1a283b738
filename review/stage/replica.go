package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a replica ran.
type run struct {
	id, replica, version, uri, tenant, model string
	bodyBytes                                int
	at                                       time.Time
}

// Replica is a stand-in of one replica.
type Replica struct {
	id, service, zone, version string
	slots                      int
	born                       int64
	stage                      *Stage
	ln                         net.Listener
	srv                        *http.Server

	mu       sync.Mutex
	sequence int
	// state is what the replica says of itself; empty once it has left.
	state string
	// serve treats a request that names this replica.
	serve func(w http.ResponseWriter, r *http.Request)
}

func (st *Stage) startReplica(id, service, zone, version string, slots int) *Replica {
	ln, err := net.Listen("tcp", st.freeHost()+":0")
	if err != nil {
		st.cannot("start a replica: %v", err)
	}
	u := &Replica{id: id, service: service, zone: zone, version: version, slots: slots, born: time.Now().UnixMilli(), stage: st, ln: ln}
	u.serve = func(w http.ResponseWriter, r *http.Request) { u.plain(w, r, 15*time.Millisecond) }
	u.srv = &http.Server{Handler: u}
	go func() { _ = u.srv.Serve(ln) }()
	u.beat("ready")
	go func() {
		for range time.Tick(heartbeat) {
			u.mu.Lock()
			state := u.state
			u.mu.Unlock()
			if state != "" {
				u.beat(state)
			}
		}
	}()
	return u
}

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// beat writes the replica's entry.
func (u *Replica) beat(state string) {
	u.mu.Lock()
	u.sequence++
	u.state = state
	entry := map[string]any{
		"service": u.service, "address": u.ln.Addr().String(), "zone": u.zone, "version": u.version,
		name("slots"): u.slots, "state": state, "sequence": u.sequence, "born": u.born,
	}
	u.mu.Unlock()
	u.stage.store.put("servers", u.id, entry)
}

// behave sets how requests are treated from now on.
func (u *Replica) behave(f func(w http.ResponseWriter, r *http.Request)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serve = f
}

func (u *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(name("id"), r.Header.Get(name("id")))
	if want := r.Header.Get(name("expect")); want != "" && want != u.id {
		w.Header().Set(name("replica"), u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	serve := u.serve
	u.mu.Unlock()
	serve(w, r)
}

// ran records that the replica has begun to work on a request.
func (u *Replica) ran(r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	u.stage.addRun(run{
		id: r.Header.Get(name("id")), replica: u.id, version: u.version, uri: r.RequestURI,
		tenant: r.Header.Get(name("tenant")), model: r.Header.Get(name("model")), bodyBytes: int(n), at: time.Now(),
	})
}

func (u *Replica) seal(r *http.Request) string { return u.id + "." + r.Header.Get(name("id")) }

// plainBody is the body of a plain answer to a request.
func plainBody(id string) string { return "done " + id }

// plain runs a request and answers it whole.
func (u *Replica) plain(w http.ResponseWriter, r *http.Request, work time.Duration) {
	u.ran(r)
	time.Sleep(work)
	w.Header().Set(name("seal"), u.seal(r))
	_, _ = io.WriteString(w, plainBody(r.Header.Get(name("id"))))
}

// fail runs a request and answers that it failed.
func (u *Replica) fail(w http.ResponseWriter, r *http.Request, work time.Duration) {
	u.ran(r)
	time.Sleep(work)
	w.Header().Set(name("seal"), u.seal(r))
	w.WriteHeader(http.StatusInternalServerError)
}

// refuse says that the request was not run; rest, if not empty, is the time in seconds for
// which the replica wants nothing from this caller.
func (u *Replica) refuse(w http.ResponseWriter, rest string) {
	w.Header().Set(name("notRun"), "1")
	if rest != "" {
		w.Header().Set(name("retryAfter"), rest)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// event is one event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// stream runs a request and answers it with events.
func (u *Replica) stream(w http.ResponseWriter, r *http.Request, first, gap time.Duration, events int) {
	u.ran(r)
	after, _ := strconv.Atoi(r.Header.Get(name("lastEvent")))
	h := w.Header()
	h.Set(name("seal"), u.seal(r))
	h.Set("Content-Type", "text/event-stream")
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.Context().Done():
			return false
		}
	}
	if !wait(first) {
		return
	}
	for n := after + 1; n <= events; n++ {
		if _, err := io.WriteString(w, event(r.Header.Get(name("id")), n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if n < events && !wait(gap) {
			return
		}
	}
}
