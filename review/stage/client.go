package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one request of a consumer.
type call struct {
	id, method, path, key string
	deadline              time.Duration
	header                map[string]string
	body                  []byte
}

// answer is what a consumer saw of one request.
type answer struct {
	status int
	seal   string
	body   string
	// sent is true once the whole request was written.
	sent bool
	// err is set when no complete answer came.
	err error
	// startedAt is when the consumer began to send.
	startedAt time.Time
	// kept is true when the connection had carried a request before.
	kept bool
}

// consumer is one connection to a gateway, which it keeps open.
type consumer struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    bool
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

var lastID atomic.Uint64

// newID returns an id for one attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5eed_0000_0000+lastID.Add(1)) }

const host = "review.example"

// do sends one request and reads its answer.
func (c *consumer) do(st *Stage, what string, q call) (a answer) {
	st.log("send: %s %s, %d bytes", what, q.id, len(q.body))
	a.startedAt = time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	}
	a.kept, c.used = c.used, true
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, name("id"), q.id, name("deadline"), q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", name("key"), q.key)
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(q.body))
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		a.err = err
		c.close()
		return a
	}
	if _, err := c.conn.Write(q.body); err != nil {
		a.err = err
		c.close()
		return a
	}
	a.sent = true
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get(name("seal"))
	var body strings.Builder
	_, err = io.Copy(&body, resp.Body)
	a.body = body.String()
	if err != nil {
		a.err = err
	}
	if err != nil || resp.Close {
		c.close()
	}
	return a
}

// seen collects what consumers saw.
type seen struct {
	mu  sync.Mutex
	all []answerOf
}

type answerOf struct {
	call
	answer
	what string
}

func (s *seen) add(st *Stage, what string, q call, a answer) {
	q.body = nil // the record holds its size
	s.mu.Lock()
	s.all = append(s.all, answerOf{q, a, what})
	s.mu.Unlock()
	if a.err != nil {
		st.log("answer: %s %s: none, %v (request sent whole: %v, kept connection: %v)", what, q.id, a.err, a.sent, a.kept)
		return
	}
	st.log("answer: %s %s: %d, seal %q, %d bytes", what, q.id, a.status, a.seal, len(a.body))
}

func (s *seen) list() []answerOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]answerOf(nil), s.all...)
}
