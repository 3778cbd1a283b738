// Package answerstest has a server that sends bytes in place of answers, for tests of those who
// read answers.
package answerstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
)

// Script is what a server sends on each connection once it has read the head of a request.
type Script struct {
	// Head is sent once, Endless again and again until the client closes; empty, the connection
	// is closed after Head.
	Head, Endless string
	// Reset resets the connection after Head.
	Reset bool
}

// Malformed are heads that are no answer in the protocol, by what is wrong.
var Malformed = map[string]string{
	"name with a blank":      "HTTP/1.1 200 OK\r\nSome Name: x\r\nContent-Length: 2\r\n\r\n{}",
	"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\n{}",
	"control byte in a name": "HTTP/1.1 200 OK\r\nNo\x01te: x\r\nContent-Length: 2\r\n\r\n{}",
	"101 unasked":            "HTTP/1.1 101 Switching Protocols\r\n\r\n{}",
	"status 000":             "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}",
	"status 600":             "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\n{}",
	"status 999":             "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\n{}",
	"another protocol":       "HTTP/7.3 200 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// Endless are bytes that never become an answer, by what has no end.
var Endless = map[string]Script{
	"status line":           {Head: "HTTP/1.1 200 ", Endless: "OK and more OK "},
	"header value":          {Head: "HTTP/1.1 200 OK\r\nNote: ", Endless: "and so on "},
	"header lines":          {Head: "HTTP/1.1 200 OK\r\n", Endless: "Note: again\r\n"},
	"interim answers":       {Endless: "HTTP/1.1 103 Early Hints\r\nNote: soon\r\n\r\n"},
	"no HTTP":               {Endless: "\x00\x17garbage"},
	"body without a length": {Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\n\r\n", Endless: "     "},
	"chunks":                {Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\nTransfer-Encoding: chunked\r\n\r\n", Endless: "5\r\n     \r\n"},
	"chunk size":            {Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\nTransfer-Encoding: chunked\r\n\r\n", Endless: "0000000000"},
	"chunk extension":       {Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\nTransfer-Encoding: chunked\r\n\r\n1;", Endless: "note=again;"},
	"trailer":               {Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n \r\n0\r\n", Endless: "Note: again\r\n"},
	"a text in JSON":        {Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\n\r\n{\"note\":\"", Endless: "and so on "},
}

// Server sends a script.
type Server struct {
	// Address is its IP:port.
	Address string
	sent    atomic.Int64
	ended   chan struct{}
}

// Start starts a server that ends with the test. contentType stands for {type}.
func Start(t testing.TB, s Script, contentType string) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s.Head = strings.ReplaceAll(s.Head, "{type}", contentType)
	s.Endless = strings.Repeat(s.Endless, 200)
	srv := &Server{Address: ln.Addr().String(), ended: make(chan struct{}, 1000)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go srv.serve(c, s)
		}
	}()
	return srv
}

func (srv *Server) serve(c net.Conn, s Script) {
	defer func() {
		_ = c.Close()
		srv.ended <- struct{}{}
	}()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, s.Head)
	for again := []byte(s.Endless); err == nil && len(again) > 0; {
		var n int
		n, err = c.Write(again)
		srv.sent.Add(int64(n))
	}
	if tcp, ok := c.(*net.TCPConn); ok && s.Reset {
		_ = tcp.SetLinger(0) // the close resets
	}
}

// Allocated returns how many bytes f allocates, with what runs beside it, without the
// second allocations of the race detector.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / growthFactor
}

// Sent waits for the end of a connection and returns how many bytes without end were sent.
func (srv *Server) Sent() int64 {
	<-srv.ended
	return srv.sent.Load()
}
