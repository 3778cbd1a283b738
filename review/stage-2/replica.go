package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// replicaMain is a process of its own: a model replica whose streams have neither a length nor
// chunks and end with their connection. It tells its parent what it does, a line each.
func replicaMain(id string, events int, prefill, pause time.Duration) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	var mu sync.Mutex
	tell := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	tell("listens %s", ln.Addr())
	for {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(0)
		}
		go serveReplica(c, id, events, prefill, pause, tell)
	}
}

func serveReplica(c net.Conn, id string, events int, prefill, pause time.Duration, tell func(string, ...any)) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	request := r.Header.Get(name("id"))
	if r.ContentLength > 0 {
		if _, err := in.Discard(int(r.ContentLength)); err != nil {
			return
		}
	}
	if want := r.Header.Get(name("expect")); want != "" && want != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", name("id"), request, name("replica"), id)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(name("resume")))
	// It drops the request when its connection closes.
	gone := make(chan struct{})
	go func() {
		_, _ = in.ReadByte()
		close(gone)
	}()
	wait := func(d time.Duration) bool {
		select {
		case <-gone:
			tell("dropped %s %s", request, id)
			return false
		case <-time.After(d):
			return true
		}
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", name("id"), request, name("seal"), id, request)
	tell("head %s %s after %d", request, id, after)
	if !wait(prefill) {
		return
	}
	tell("runs %s %s after %d", request, id, after)
	for n := after + 1; n <= events; n++ {
		if _, err := c.Write([]byte(event(request, n))); err != nil {
			return
		}
		if n < events && !wait(pause) {
			return
		}
	}
	tell("ends %s %s", request, id)
}

// event is one piece of a stream.
func event(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, request)
}
