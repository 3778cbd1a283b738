package h1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// script is a server that answers each request on a connection with the next
// text, and closes the connection after the last one when end is set.
type script struct {
	answers []string
	end     bool
	reset   bool
}

func serve(t *testing.T, s script) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.run(c)
		}
	}()
	return ln.Addr().String()
}

func (s script) run(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for _, a := range s.answers {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, a); err != nil {
			return
		}
	}
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0) // Close then resets the connection
		return
	}
	if !s.end {
		_, _ = io.Copy(io.Discard, br) // until the client closes
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// get sends a request with the id and returns the body of its answer.
func get(p *Pool, address, id string) (string, error) {
	now := time.Now()
	c, err := p.Get(context.Background(), "u", address, now)
	if err != nil {
		return "", err
	}
	e, err := Start(context.Background(), c, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {id}}},
		func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	b, err := e.ReadAll(1<<20, nil)
	if err != nil {
		e.Abort()
		return "", err
	}
	e.Finish(p, "u", 10*time.Second, now)
	return b.String(), nil
}

func TestLateAnswerIsSkipped(t *testing.T) {
	// The late second answer to "a" arrives where that to "b" is expected.
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{answer("a", "first"), answer("a", "again") + answer("b", "second")}})
	if got, err := get(p, address, "a"); got != "first" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if got, err := get(p, address, "b"); got != "second" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections", p.Opened())
	}
}

func TestStrayBytesAfterAnAnswer(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{answer("a", "first") + answer("a", "again")}})
	if got, err := get(p, address, "a"); got != "first" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	time.Sleep(20 * time.Millisecond) // the bytes arrive
	if got, err := get(p, address, "a"); got != "first" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Opened() != 2 {
		t.Errorf("%d connections, want a new one after stray bytes", p.Opened())
	}
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{answer("a", "x")}, end: true})
	for range 3 {
		if got, err := get(p, address, "a"); got != "x" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond) // the close arrives
	}
	if p.Opened() != 3 {
		t.Errorf("%d connections", p.Opened())
	}
}

func TestIncompleteAnswers(t *testing.T) {
	for name, s := range map[string]script{
		"short body":        {answers: []string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf"}, end: true},
		"short chunk":       {answers: []string{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"}, end: true},
		"no last chunk":     {answers: []string{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}, end: true},
		"no length, reset":  {answers: []string{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + strings.Repeat("x", 1<<16)}, reset: true},
		"no answer":         {end: true},
		"no HTTP":           {answers: []string{"hello there\r\n\r\n"}, end: true},
		"another's answer":  {answers: []string{answer("z", "x")}, end: true},
		"too many of those": {answers: []string{answer("z", "1") + answer("z", "2") + answer("z", "3") + answer("a", "x")}, end: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(time.Second)
			if got, err := get(p, serve(t, s), "a"); err == nil {
				t.Errorf("%q looks whole", got)
			}
			if p.Prune(time.Now(), func(string) int { return Unbounded }) != 0 {
				t.Error("the connection was kept")
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole"}, end: true})
	if got, err := get(p, address, "a"); got != "whole" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Prune(time.Now(), func(string) int { return Unbounded }) != 0 {
		t.Error("the connection was kept")
	}
}

func TestInformationalAnswersAreSkipped(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{"HTTP/1.1 100 Continue\r\n\r\n" + answer("a", "x")}})
	if got, err := get(p, address, "a"); got != "x" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestEarlyAnswerToALongBody: the upstream answers before it has read the body
// and reads on; the connection must not be used for another request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	hold := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 1024)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer("a", "early"))
		<-hold
	}()
	p := NewPool(time.Second)
	now := time.Now()
	c, err := p.Get(context.Background(), "u", ln.Addr().String(), now)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Start(context.Background(), c, &Request{Method: "POST", URI: "/", Host: "h", Body: make([]byte, 32<<20)},
		func(*http.Response) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	if b, err := e.ReadAll(100, nil); b.String() != "early" || err != nil {
		t.Fatalf("%q, %v", b, err)
	}
	e.Finish(p, "u", time.Minute, now)
	close(hold)
	if p.Prune(now, func(string) int { return Unbounded }) != 0 {
		t.Error("the connection was kept while the body was on its way")
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{""}})
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, "u", address, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := Start(ctx, c, &Request{Method: "GET", URI: "/", Host: "h"}, func(*http.Response) bool { return true }); err == nil {
		t.Error("an answer came from nowhere")
	}
}

func TestExpiredConnectionsArePruned(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, script{answers: []string{answer("a", "x"), answer("a", "y")}})
	if _, err := get(p, address, "a"); err != nil {
		t.Fatal(err)
	}
	if n := p.Prune(time.Now(), func(string) int { return Unbounded }); n != 1 {
		t.Fatalf("%d connections kept", n)
	}
	if n := p.Prune(time.Now().Add(10*time.Second), func(string) int { return Unbounded }); n != 0 {
		t.Errorf("%d expired connections kept", n)
	}
}

// endless repeats its bytes and counts those that were read.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(p)
	return len(p), nil
}

// TestHeadsWithoutEnd: a head ends by its size, whichever part of it has no end.
func TestHeadsWithoutEnd(t *testing.T) {
	for name, s := range map[string]struct{ start, again string }{
		"status line":     {"HTTP/1.1 200 ", "OK and more OK "},
		"header value":    {"HTTP/1.1 200 OK\r\nNote: ", "and so on "},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "Note: again\r\n"},
		"folded lines":    {"HTTP/1.1 200 OK\r\nNote: a\r\n", " and so on\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		from := &endless{text: s.again}
		c := newConn(nil, io.MultiReader(strings.NewReader(s.start), from))
		if _, err := c.readHead("GET"); err == nil {
			t.Errorf("%s: an answer came from nowhere", name)
		}
		if from.read > maxHead+readBuffer {
			t.Errorf("%s: %d bytes were read", name, from.read)
		}
	}
}

// TestHeadsOfKeptConnections: the bound is one of each head, not of the connection.
func TestHeadsOfKeptConnections(t *testing.T) {
	p := NewPool(time.Second)
	long := strings.Repeat("x", maxHead/2)
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nNote: %s\r\nContent-Length: %d\r\n\r\n%s", long, len(long), long)
	address := serve(t, script{answers: []string{one, one, one}})
	for range 3 {
		if got, err := get(p, address, "a"); got != long || err != nil {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections", p.Opened())
	}
}

// FuzzAnswer reads arbitrary bytes as an answer: it never hangs or panics, and
// what it takes for a whole framed answer has the length it declares.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("a", "x")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"))
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := newConn(nil, bytes.NewReader(b)).readHead("GET")
		if err != nil {
			return
		}
		e := &Exchange{resp: resp}
		body, err := e.ReadAll(1<<16, nil)
		if err == nil && resp.ContentLength >= 0 && int64(body.Len()) != resp.ContentLength &&
			resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
			t.Errorf("%d bytes of %d look whole", body.Len(), resp.ContentLength)
		}
	})
}

// TestLargeAnswersComeWhole: answers of several pieces, with and without a length, are
// what was sent, and ask room for what they take beyond a small one.
func TestLargeAnswersComeWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstPiece, firstPiece + 1, smallAnswer, smallAnswer + 1, 3*mostPiece + 7} {
		text := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		for name, head := range map[string]string{
			"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), "without": "HTTP/1.1 200 OK\r\n\r\n",
		} {
			resp, err := newConn(nil, strings.NewReader(head+text)).readHead("GET")
			if err != nil {
				t.Fatal(err)
			}
			asked := 0
			body, err := (&Exchange{resp: resp}).ReadAll(1<<20, func(bytes int64) bool { asked += int(bytes); return true })
			var got strings.Builder
			if n, werr := body.WriteTo(&got); err != nil || werr != nil || int(n) != size || got.String() != text {
				t.Errorf("%d bytes %s: %d came, %v, %v", size, name, n, err, werr)
			}
			if asked < size-smallAnswer || asked > 2*size+mostPiece {
				t.Errorf("%d bytes %s: room for %d was asked", size, name, asked)
			}
		}
	}
}
