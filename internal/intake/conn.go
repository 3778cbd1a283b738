package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/holding"
)

// ErrNoRoom is the error of a read whose bytes were not admitted.
var ErrNoRoom = errors.New("the process holds too much for others")

// Conn is a caller's connection. It follows the requests on it and admits what it reads
// before the HTTP server sees it. The HTTP server reads from one goroutine at a time.
type Conn struct {
	net.Conn
	ln     *Listener
	client *holding.Client

	// The fields below belong to the reader.

	head headScanner
	// headBytes and headLines are those of the current request.
	headBytes, headLines int
	// charged is what has been admitted for the head that is being read.
	charged int64
	body    bodyKind
	// left is what is left of a body with a length, in bytes.
	left   int64
	chunks chunkScanner
	// rest holds bytes that were received together with a part of a request, and belong to
	// the next part.
	rest []byte

	// serving is true from the end of a head until its handler has returned.
	serving atomic.Bool
	// discarding is true once the handler has returned: what is left of the body is not kept.
	discarding bool
	// answered is true from the return of a handler until the server reads on, which it does
	// once it has sent the answer.
	answered  atomic.Bool
	refused   atomic.Bool
	closeOnce sync.Once
	closeErr  error
}

type bodyKind uint8

const (
	noBody bodyKind = iota
	lengthBody
	chunkedBody
)

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, noRoomError()
	}
	if len(p) == 0 {
		return 0, nil
	}
	// A read of one byte is the server's watch for the close of the connection, which may begin late.
	if len(p) > 1 && c.answered.CompareAndSwap(true, false) && c.body == noBody {
		c.client.Take(holding.Idle, 0, time.Now())
	}
	switch c.body {
	case lengthBody:
		return c.readLength(p)
	case chunkedBody:
		return c.readChunked(p)
	}
	return c.readHead(p)
}

// fetch reads what was left over, or else from the network.
func (c *Conn) fetch(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.rest)
	if c.rest = c.rest[n:]; len(c.rest) == 0 {
		c.rest = nil
	}
	return n, nil
}

// keep puts bytes back in front of what is left over.
func (c *Conn) keep(b []byte) {
	if len(b) > 0 {
		c.rest = append(append(make([]byte, 0, len(b)+len(c.rest)), b...), c.rest...)
	}
}

// readHead passes on bytes of one head. What follows the head is kept back, because the
// server must not parse a head that was not admitted.
func (c *Conn) readHead(p []byte) (int, error) {
	n, err := c.fetch(p)
	if n == 0 {
		return 0, err
	}
	used, ended := c.head.feed(p[:n])
	c.keep(p[used:n])
	if !c.admitHead(ended) {
		return 0, noRoomError()
	}
	if ended {
		c.headBytes, c.headLines = c.head.bytes, c.head.lines
		c.head, c.charged = headScanner{}, 0
		c.serving.Store(true)
	}
	return used, err
}

// admitHead admits the part of a head that has come.
func (c *Conn) admitHead(ended bool) bool {
	if c.serving.Load() {
		return true // one byte at most: the server watches for the close of the connection
	}
	if limit := c.ln.options.HeadBytes(); c.head.bytes > limit+headSlack {
		c.refuse(HeadTooLarge)
		return false
	}
	cost := holding.HeadCost(c.head.bytes, c.head.lines)
	if ended {
		cost += holding.RequestBytes
	}
	if !c.client.Take(holding.Partial, cost-c.charged, time.Now()) {
		c.refuse(NoRoom)
		return false
	}
	c.charged = cost
	return true
}

// headSlack is how far a head may exceed its limit before it is refused unparsed. The server
// counts more exactly, and answers with the request's id.
const headSlack = 4 << 10

func (c *Conn) readLength(p []byte) (int, error) {
	if int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.fetch(p)
	if n == 0 {
		return 0, err
	}
	c.left -= int64(n)
	if !c.admitBody(int64(n), c.left == 0) {
		return 0, noRoomError()
	}
	if c.left == 0 {
		c.body = noBody
	}
	return n, err
}

func (c *Conn) readChunked(p []byte) (int, error) {
	n, err := c.fetch(p)
	if n == 0 {
		return 0, err
	}
	lines := c.chunks.trailer.lines
	used, content, ended := c.chunks.feed(p[:n])
	c.keep(p[used:n])
	if !c.admitBody(content+holding.HeadCost(0, c.chunks.trailer.lines-lines), ended) {
		return 0, noRoomError()
	}
	if ended {
		c.body = noBody
	}
	return used, err
}

// admitBody admits bytes of a body before the handler gets them.
func (c *Conn) admitBody(bytes int64, ended bool) bool {
	phase := holding.Partial
	switch {
	case c.discarding && ended:
		bytes, phase = 0, holding.Idle
	case c.discarding:
		bytes = 0
	case ended:
		phase = holding.Running
	}
	if c.client.Take(phase, bytes*int64(c.ln.options.BodyCopies), time.Now()) {
		return true
	}
	c.refused.Store(true)
	c.ln.count(NoRoom)
	return false
}

// begin notes the body of the request that a handler begins to serve. It reports whether the
// request is still admitted.
func (c *Conn) begin(r *http.Request) bool {
	if !hasBody(r) {
		// The server may be reading already, to watch for the close of the connection.
		return c.client.Take(holding.Running, 0, time.Now())
	}
	c.discarding = false
	if r.ContentLength > 0 {
		c.body, c.left = lengthBody, r.ContentLength
	} else {
		c.body, c.chunks = chunkedBody, chunkScanner{}
	}
	return true
}

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// end notes that the handler has returned.
func (c *Conn) end(r *http.Request) {
	phase := holding.Running // until the answer has been sent
	if hasBody(r) && c.body != noBody {
		c.discarding, phase = true, holding.Partial
	}
	c.client.Done(phase, time.Now())
	c.answered.Store(true)
	c.serving.Store(false)
}

// refuse answers a request that has not reached the handler, and ends the connection.
func (c *Conn) refuse(why Refusal) {
	c.refused.Store(true)
	c.ln.count(why)
	c.ln.answer(c.Conn, why)
}

// Write implements net.Conn. It notes how long a client leaves its answer unread.
func (c *Conn) Write(p []byte) (int, error) {
	c.client.Writing(time.Now())
	defer c.client.Written()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.client.Close()
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// CloseWrite lets the HTTP server end an answer without a reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.NotSupportedf("raw access to a %T", c.Conn)
}

// Own names the organisation whose request is in progress. It returns false when the
// organisation holds so much that the request must be refused for the others.
func (c *Conn) Own(organisation string) bool { return c.client.Own(organisation) }

// Reserve admits bytes of an answer to the request in progress.
func (c *Conn) Reserve(bytes int64) bool { return c.client.Reserve(bytes, time.Now()) }

// CloseStalled closes another client that has stalled within a request.
func (c *Conn) CloseStalled() { c.ln.options.Share.CloseStalled(time.Now()) }

// HeadBytes returns the size of the head of the request in progress.
func (c *Conn) HeadBytes() int { return c.headBytes }

// noRoomError is an error after which the HTTP server closes the connection without an
// answer of its own.
func noRoomError() error { return &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom} }

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext stores a connection in the context of its requests; it is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, or nil if a Listener did not accept it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler tells connections which requests are being served.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.end(r)
		if !c.begin(r) {
			panic(http.ErrAbortHandler) // the connection was closed for others
		}
		next.ServeHTTP(w, r)
	})
}
