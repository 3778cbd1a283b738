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

// scriptedServer is a server that replies to each request on a connection with the next
// of its responses.
type scriptedServer struct {
	responses []string
	// closeAfter closes the connection after the last response, reset resets it.
	closeAfter bool
	reset      bool
}

// serve starts a server that runs s on each connection, and returns its address.
func serve(t *testing.T, s scriptedServer) string {
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

func (s scriptedServer) run(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for _, r := range s.responses {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, r); err != nil {
			return
		}
	}
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0) // Close then resets the connection
		return
	}
	if !s.closeAfter {
		_, _ = io.Copy(io.Discard, br) // until the client closes
	}
}

// response returns a response with the Id header and a Content-Length.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// get sends a request with the id and returns the body of the response with that id.
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
	// A late second response to "a" precedes the response to "b" on the connection.
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{response("a", "first"), response("a", "again") + response("b", "second")}})
	if got, err := get(p, address, "a"); got != "first" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if got, err := get(p, address, "b"); got != "second" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections opened", p.Opened())
	}
}

func TestUnexpectedBytesAfterResponse(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{response("a", "first") + response("a", "again")}})
	if got, err := get(p, address, "a"); got != "first" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	time.Sleep(20 * time.Millisecond) // the bytes arrive
	if got, err := get(p, address, "a"); got != "first" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Opened() != 2 {
		t.Errorf("%d connections opened, want 2: unexpected bytes require a new connection", p.Opened())
	}
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{response("a", "x")}, closeAfter: true})
	for range 3 {
		if got, err := get(p, address, "a"); got != "x" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
		time.Sleep(20 * time.Millisecond) // the close arrives
	}
	if p.Opened() != 3 {
		t.Errorf("%d connections opened", p.Opened())
	}
}

func TestIncompleteAnswers(t *testing.T) {
	for name, s := range map[string]scriptedServer{
		"short body":        {responses: []string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf"}, closeAfter: true},
		"short chunk":       {responses: []string{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"}, closeAfter: true},
		"no last chunk":     {responses: []string{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}, closeAfter: true},
		"no length, reset":  {responses: []string{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + strings.Repeat("x", 1<<16)}, reset: true},
		"no answer":         {closeAfter: true},
		"no HTTP":           {responses: []string{"hello there\r\n\r\n"}, closeAfter: true},
		"another's answer":  {responses: []string{response("z", "x")}, closeAfter: true},
		"too many of those": {responses: []string{response("z", "1") + response("z", "2") + response("z", "3") + response("a", "x")}, closeAfter: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(time.Second)
			if got, err := get(p, serve(t, s), "a"); err == nil {
				t.Errorf("incomplete response accepted with body %q", got)
			}
			if p.Prune(time.Now(), func(string) int { return UnboundedIdle }) != 0 {
				t.Error("the connection was returned to the pool")
			}
		})
	}
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole"}, closeAfter: true})
	if got, err := get(p, address, "a"); got != "whole" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Prune(time.Now(), func(string) int { return UnboundedIdle }) != 0 {
		t.Error("the connection was returned to the pool")
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{"HTTP/1.1 100 Continue\r\n\r\n" + response("a", "x")}})
	if got, err := get(p, address, "a"); got != "x" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestEarlyAnswerToALongBody guards against reuse of a connection whose request body is
// still being written: the upstream responds before it has read the body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	release := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 1024)); err != nil {
			return
		}
		_, _ = io.WriteString(c, response("a", "early"))
		<-release
	}()
	p := NewPool(time.Second)
	now := time.Now()
	c, err := p.Get(context.Background(), "u", ln.Addr().String(), now)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Start(context.Background(), c, &Request{Method: "POST", URI: "/", Host: "h", Body: BodyOf(make([]byte, 32<<20))},
		func(*http.Response) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	if b, err := e.ReadAll(100, nil); b.String() != "early" || err != nil {
		t.Fatalf("%q, %v", b, err)
	}
	e.Finish(p, "u", time.Minute, now)
	close(release)
	if p.Prune(now, func(string) int { return UnboundedIdle }) != 0 {
		t.Error("the connection was returned to the pool while the request body was being sent")
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{""}})
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Get(ctx, "u", address, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := Start(ctx, c, &Request{Method: "GET", URI: "/", Host: "h"}, func(*http.Response) bool { return true }); err == nil {
		t.Error("Start returned a response though none was sent")
	}
}

func TestExpiredConnectionsArePruned(t *testing.T) {
	p := NewPool(time.Second)
	address := serve(t, scriptedServer{responses: []string{response("a", "x"), response("a", "y")}})
	if _, err := get(p, address, "a"); err != nil {
		t.Fatal(err)
	}
	if n := p.Prune(time.Now(), func(string) int { return UnboundedIdle }); n != 1 {
		t.Fatalf("%d connections stay open, want 1", n)
	}
	if n := p.Prune(time.Now().Add(10*time.Second), func(string) int { return UnboundedIdle }); n != 0 {
		t.Errorf("%d expired connections stay open", n)
	}
}

// repeatingReader repeats its text without end and counts the bytes read.
type repeatingReader struct {
	text string
	read int
}

func (e *repeatingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(p)
	return len(p), nil
}

// TestHeadsWithoutEnd checks that a response head is limited in size, whichever part of
// it never ends.
func TestHeadsWithoutEnd(t *testing.T) {
	for name, s := range map[string]struct{ start, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "OK and more OK "},
		"header value":    {"HTTP/1.1 200 OK\r\nNote: ", "and so on "},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "Note: again\r\n"},
		"folded lines":    {"HTTP/1.1 200 OK\r\nNote: a\r\n", " and so on\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		src := &repeatingReader{text: s.repeated}
		c := newConn(nil, io.MultiReader(strings.NewReader(s.start), src))
		if _, err := c.readHead("GET"); err == nil {
			t.Errorf("%s: readHead returned a response", name)
		}
		if src.read > maxHeadBytes+readBufferBytes {
			t.Errorf("%s: %d bytes were read, more than the limit and one buffer", name, src.read)
		}
	}
}

// TestHeadLimitAppliesPerResponse checks that the size limit holds for each response
// head and does not add up over a reused connection.
func TestHeadLimitAppliesPerResponse(t *testing.T) {
	p := NewPool(time.Second)
	long := strings.Repeat("x", maxHeadBytes/2)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nNote: %s\r\nContent-Length: %d\r\n\r\n%s", long, len(long), long)
	address := serve(t, scriptedServer{responses: []string{response, response, response}})
	for range 3 {
		if got, err := get(p, address, "a"); got != long || err != nil {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections opened", p.Opened())
	}
}

// FuzzAnswer parses arbitrary bytes as a response. Parsing must not hang or panic, and a
// complete response with a Content-Length must have a body of that length.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(response("a", "x")))
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
			t.Errorf("response accepted with %d bytes of %d", body.Len(), resp.ContentLength)
		}
	})
}

// TestLargeResponsesAreReadCompletely checks that bodies of several segments, with and
// without a Content-Length, are read as sent, and that the memory beyond
// maxUnreservedBytes is reserved.
func TestLargeResponsesAreReadCompletely(t *testing.T) {
	for _, size := range []int{0, 1, firstSegmentBytes, firstSegmentBytes + 1, maxUnreservedBytes, maxUnreservedBytes + 1, 3*maxSegmentBytes + 7} {
		text := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		for name, head := range map[string]string{
			"with a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), "without": "HTTP/1.1 200 OK\r\n\r\n",
		} {
			resp, err := newConn(nil, strings.NewReader(head+text)).readHead("GET")
			if err != nil {
				t.Fatal(err)
			}
			reserved := 0
			body, err := (&Exchange{resp: resp}).ReadAll(1<<20, func(bytes int64) bool { reserved += int(bytes); return true })
			var got strings.Builder
			if n, werr := body.WriteTo(&got); err != nil || werr != nil || int(n) != size || got.String() != text {
				t.Errorf("%d bytes %s: %d bytes read, %v, %v", size, name, n, err, werr)
			}
			if reserved < size-maxUnreservedBytes || reserved > 2*size+maxSegmentBytes {
				t.Errorf("%d bytes %s: %d bytes were reserved", size, name, reserved)
			}
		}
	}
}

// TestHeadCutAnywhere: an upstream stops inside the head of its answer and closes.
func TestHeadCutAnywhere(t *testing.T) {
	for name, whole := range map[string]string{
		"length":    response("a", "body"),
		"chunks":    "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"unframed":  "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"no reason": "HTTP/1.1 200\r\nId: a\r\nContent-Length: 0\r\n\r\n",
	} {
		for n := range len(whole) {
			e, err := newConn(nil, strings.NewReader(whole[:n])).readHead("POST")
			if err != nil {
				continue
			}
			exchange := &Exchange{resp: e}
			if body, err := exchange.ReadAll(100, nil); err == nil {
				t.Errorf("%s: %d of %d bytes taken for a whole answer: %q", name, n, len(whole), body)
			}
		}
	}
}
