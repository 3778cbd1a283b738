package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// startPlain starts a replica of a plain service in this process and lists it. It answers after
// the work with the service's name.
func (w *world) startPlain(service string, work time.Duration) *replica {
	return w.startVersion(service, "v1", firstZone, work, 0)
}

// startVersion is startPlain for a version of which a part of the answers are failures from
// w.failing on.
func (w *world) startVersion(service, version, zone string, work time.Duration, failing float64) *replica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	w.mu.Lock()
	w.started++
	r := &replica{id: fmt.Sprintf("i-%d", w.started), service: service, version: version, state: "ready", zone: zone, born: time.Now().UnixMilli(), address: ln.Addr().String()}
	w.replicas[r.id] = r
	w.mu.Unlock()
	handle := func(out http.ResponseWriter, in *http.Request) {
		request := in.Header.Get(name("id"))
		out.Header().Set(name("id"), request)
		if want := in.Header.Get(name("expect")); want != "" && want != r.id {
			out.Header().Set(name("replica"), r.id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, in.Body) // a body that breaks off ends the request
		w.mu.Lock()
		fails := w.failing > 0 && time.Since(w.began) >= w.failing && rand.Float64() < failing
		w.arrived = append(w.arrived, arrival{request: request, replica: r.id, service: service, version: version, at: time.Since(w.began), failed: fails})
		w.ran[request]++
		w.mu.Unlock()
		time.Sleep(work)
		out.Header().Set(name("seal"), r.id+"."+request)
		if fails {
			out.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = io.WriteString(out, service) // the gateway sees a short answer
	}
	srv := &http.Server{Handler: http.HandlerFunc(handle)}
	go func() { _ = srv.Serve(ln) }()   // ends with the process
	r.stop = func() { _ = srv.Close() } // without draining
	w.beat(r)
	w.note("replica %s of %s %s starts", r.id, service, version)
	return r
}

// arrival is a request that reached a replica.
type arrival struct {
	request, replica, service, version string
	at                                 time.Duration
	failed                             bool
}
