package h1

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxStray bounds the late answers to earlier requests that are skipped on one
// connection, and the bytes read of each.
const (
	maxStray      = 2
	maxStrayBytes = 1 << 20
)

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request under way on one connection. Close must be called.
type Exchange struct {
	conn *Conn
	resp *http.Response
	stop func() bool
	// unsent is true while the body may still be on its way.
	unsent atomic.Bool
	// cut is set once the connection was closed because the context ended.
	cut atomic.Bool
}

// Response returns the answer's head; its body is read through the exchange.
func (e *Exchange) Response() *http.Response { return e.resp }

// Start sends the request on the connection and reads the head of its answer.
// Answers that mine refuses, which belong to earlier requests, are skipped.
// Any error means that the request may have run, and closes the connection;
// so does the end of ctx.
func Start(ctx context.Context, c *Conn, req *Request, mine func(*http.Response) bool) (*Exchange, error) {
	e := &Exchange{conn: c}
	e.stop = context.AfterFunc(ctx, func() {
		e.cut.Store(true)
		_ = c.Close() // ends the reads and writes under way
	})
	if err := e.send(req); err != nil {
		e.Abort()
		return nil, err
	}
	for stray := 0; ; stray++ {
		resp, err := c.readHead(req.Method)
		if err != nil {
			e.Abort()
			return nil, errors.Annotate(err, "read the head of an answer")
		}
		if mine(resp) {
			e.resp = resp
			return e, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || stray == maxStray || resp.Close {
			e.Abort()
			return nil, errors.Errorf("an answer that belongs to another request came instead: %v", err)
		}
	}
}

// send writes the request. A body goes out beside the reading of the answer,
// because the upstream may answer before it has read all of it.
func (e *Exchange) send(req *Request) error {
	head := encodeHead(req)
	if len(req.Body) <= smallBody {
		_, err := e.conn.Write(append(head, req.Body...))
		return errors.Annotate(err, "send a request")
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Annotate(err, "send a request")
	}
	e.unsent.Store(true)
	go func() {
		// A failure shows where the answer is read.
		if _, err := e.conn.Write(req.Body); err == nil {
			e.unsent.Store(false)
		}
	}()
	return nil
}

// smallBody is the most that is written together with the head, in bytes; it
// fits an empty socket buffer, so the write does not wait for the upstream.
const smallBody = 16 << 10

// encodeHead writes the head with a length, never in chunks.
func encodeHead(req *Request) []byte {
	b := make([]byte, 0, 1024+len(req.Body)%smallBody)
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	names := make([]string, 0, len(req.Header))
	for k := range req.Header {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		for _, v := range req.Header[k] {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads the next head that is no interim answer's.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.limit.bound(maxHead)
	defer c.limit.unbound()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.limit.passed {
			return nil, errHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Framed reports whether the answer has a length or chunks. One without ends
// with its connection.
func (e *Exchange) Framed() bool {
	return e.resp.ContentLength >= 0 || len(e.resp.TransferEncoding) > 0
}

// Skip reads the body to its end and reports whether it ended within so many bytes
// and such a time.
func (e *Exchange) Skip(limit int64, within time.Duration) bool {
	if e.resp.ContentLength > limit || e.conn.SetReadDeadline(time.Now().Add(within)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(e.resp.Body, limit+1))
	return err == nil && n <= limit && e.conn.SetReadDeadline(time.Time{}) == nil
}

// Read reads the body of the answer.
func (e *Exchange) Read(b []byte) (int, error) { return e.resp.Body.Read(b) }

// Cut reports whether the end of the context closed the connection.
func (e *Exchange) Cut() bool { return e.cut.Load() }

// Finish gives the connection back to the pool after the body was read to its
// end, or closes it when it cannot be used again.
func (e *Exchange) Finish(p *Pool, upstream string, keepFor time.Duration, now time.Time) {
	if !e.stop() || e.resp.Close || !e.Framed() || e.unsent.Load() {
		_ = e.conn.Close() // the answer is complete
		return
	}
	p.Put(upstream, e.conn, keepFor, now)
}

// Abort closes the connection, which makes most upstreams stop the request.
func (e *Exchange) Abort() {
	e.stop()
	_ = e.conn.Close() // nothing more is read from it
}
