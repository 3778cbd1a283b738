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

	"tarragonbay.example/tarragonbay/internal/answers"
)

// Limits on late responses to earlier requests, which are discarded.
const (
	// maxStaleResponses is how many are discarded before one response.
	maxStaleResponses = 2
	// maxStaleBytes is the body size from which the connection is closed instead.
	maxStaleBytes = 1 << 20
)

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// URI is the request target, unchanged from the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   Body
}

// Exchange is a request in flight on a connection and its response. Each exchange must
// end with Finish or Abort.
type Exchange struct {
	conn *Conn
	resp *http.Response
	// detach detaches the exchange from its context (see context.AfterFunc).
	detach func() bool
	// bodyUnsent is true while a body that is written concurrently is incomplete. written is
	// closed once the writing has ended; it is nil for bodies that were written with the head.
	bodyUnsent atomic.Bool
	written    chan struct{}
	// ctxEnded is set when the connection is closed because the context ended.
	ctxEnded atomic.Bool
}

// Response returns the status and header of the response. The body must be read
// through the exchange.
func (e *Exchange) Response() *http.Response { return e.resp }

// Start sends the request on the connection and reads the head of its response.
// Responses for which matches returns false belong to earlier requests; Start
// discards them. On any error the connection is closed and the request may have
// run. The end of ctx also closes the connection.
func Start(ctx context.Context, c *Conn, req *Request, matches func(*http.Response) bool) (*Exchange, error) {
	e := &Exchange{conn: c}
	e.detach = context.AfterFunc(ctx, func() {
		e.ctxEnded.Store(true)
		_ = c.Close() // unblocks pending reads and writes
	})
	if err := e.send(req); err != nil {
		e.Abort()
		return nil, err
	}
	for stale := 0; ; stale++ {
		resp, err := c.readHead(req.Method)
		if err != nil {
			e.Abort()
			return nil, errors.Annotate(err, "read the head of an answer")
		}
		if matches(resp) {
			e.resp = resp
			return e, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes))
		if err != nil || n == maxStaleBytes || stale == maxStaleResponses || resp.Close {
			e.Abort()
			return nil, errors.Errorf("received a response to another request: %v", err)
		}
	}
}

// send writes the request. A larger body is written concurrently with reading the
// response, because the upstream may respond before it has read the whole body.
func (e *Exchange) send(req *Request) error {
	head := encodeHead(req)
	if req.Body.Len() <= maxInlineBodyBytes {
		_, err := e.conn.Write(req.Body.AppendTo(head))
		return errors.Annotate(err, "send a request")
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Annotate(err, "send a request")
	}
	e.bodyUnsent.Store(true)
	e.written = make(chan struct{})
	go func() {
		defer close(e.written)
		// A write error surfaces when the response is read.
		if _, err := req.Body.WriteTo(e.conn); err == nil {
			e.bodyUnsent.Store(false)
		}
	}()
	return nil
}

// maxInlineBodyBytes is the largest body, in bytes, that is written together with the
// head. It fits an empty socket buffer, so the write does not block.
const maxInlineBodyBytes = 16 << 10

// encodeHead encodes the request line and header. The body is always sent with a
// Content-Length, never chunked.
func encodeHead(req *Request) []byte {
	b := make([]byte, 0, 1024+req.Body.Len()%maxInlineBodyBytes)
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
	if req.Body.Len() > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(req.Body.Len()), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readHead reads the head of the next final response and skips interim (1xx) responses.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.limit.setLimit(maxHeadBytes)
	defer c.limit.clearLimit()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.limit.exceeded {
			return nil, errHeadTooLong
		}
		if err == nil {
			err = answers.CheckHead(resp)
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// Framed reports whether the response has a Content-Length or is chunked. Any other
// response ends when the connection is closed.
func (e *Exchange) Framed() bool {
	return e.resp.ContentLength >= 0 || len(e.resp.TransferEncoding) > 0
}

// DiscardBody discards the body and reports whether it ended within limit bytes and before
// the timeout.
func (e *Exchange) DiscardBody(limit int64, timeout time.Duration) bool {
	if e.resp.ContentLength > limit || e.conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(e.resp.Body, limit+1))
	return err == nil && n <= limit && e.conn.SetReadDeadline(time.Time{}) == nil
}

// Read reads from the response body. One without a length that ends before the request was
// sent is not known to be whole until it was: the upstream may be about to reset the connection.
func (e *Exchange) Read(b []byte) (int, error) {
	n, err := e.resp.Body.Read(b)
	if errors.Is(err, io.EOF) && e.written != nil && !e.Framed() {
		<-e.written // ends with the exchange's context at the latest
		if e.bodyUnsent.Load() {
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// ContextEnded reports whether the connection was closed because the context ended.
func (e *Exchange) ContextEnded() bool { return e.ctxEnded.Load() }

// Finish ends the exchange after the body was read to the end. It returns the
// connection to the pool, or closes it if it cannot be reused.
func (e *Exchange) Finish(p *Pool, upstream string, idleTimeout time.Duration, now time.Time) {
	if !e.detach() || e.resp.Close || !e.Framed() || e.bodyUnsent.Load() {
		_ = e.conn.Close() // the response is complete
		return
	}
	p.Put(upstream, e.conn, idleTimeout, now)
}

// Abort ends the exchange and closes the connection, on which most upstreams cancel
// the request.
func (e *Exchange) Abort() {
	e.detach()
	_ = e.conn.Close() // nothing more is read from it
}
