package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// startPlain starts a replica of a plain service in this process and lists it. It answers after
// the work with the service's name.
func (w *world) startPlain(service string, work time.Duration) *replica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	w.mu.Lock()
	w.started++
	r := &replica{id: fmt.Sprintf("i-%d", w.started), service: service, state: "ready", born: time.Now().UnixMilli(), address: ln.Addr().String()}
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
		w.arrived = append(w.arrived, arrival{request: request, replica: r.id, service: service, at: time.Since(w.began)})
		w.ran[request]++
		w.mu.Unlock()
		time.Sleep(work)
		out.Header().Set(name("seal"), r.id+"."+request)
		_, _ = io.WriteString(out, service) // the gateway sees a short answer
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(handle)) }() // ends with the process
	w.beat(r)
	w.note("replica %s of %s starts", r.id, service)
	return r
}

// arrival is a request that reached a replica.
type arrival struct {
	request, replica, service string
	at                        time.Duration
}
