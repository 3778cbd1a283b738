// Package intake admits what listeners take in for others before it is held: connections
// when they are accepted, heads and bodies of requests as they are read (internal/holding).
package intake

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Refusal is why a connection or a request was refused before it reached a handler.
type Refusal uint8

// The refusals.
const (
	// NoRoom means that there is no room for a connection or a request.
	NoRoom Refusal = iota
	// HeadTooLarge means that the head of a request is too large.
	HeadTooLarge
	refusals = iota
)

// codes are the errors that the refusals stand for.
var codes = [refusals]result.Code{NoRoom: result.NoRoom, HeadTooLarge: result.HeadersTooLarge}

// Options are what a Listener needs.
type Options struct {
	// Name of the listener in logs.
	Name  string
	Share *holding.Share
	// HeadBytes returns the largest head of a request in bytes.
	HeadBytes func() int
	// BodyCopies is how often the handlers hold a byte of a request's body.
	BodyCopies int
	// TLS is the configuration of the listener's end; nil takes connections as they are.
	TLS *tls.Config
	// Answer returns the whole answer to a refused request, which ends the connection. Nil
	// closes connections without an answer.
	Answer func(code result.Code) []byte
	// Event writes a line to the log.
	Event func(event string, fields ...zap.Field)
}

// Listener accepts connections that are admitted, and at once closes others.
type Listener struct {
	net.Listener
	options Options

	refused [refusals]atomic.Int64

	reportMu sync.Mutex
	// reported is when a line was last written; pending counts what happened since.
	reported time.Time
	pending  int64
}

// New returns a Listener over one that is open.
func New(ln net.Listener, o Options) *Listener { return &Listener{Listener: ln, options: o} }

// Listen opens a TCP listener whose connections have small receive buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { SmallReceiveBuffer(int(fd)) })
	}}
	config.SetMultipathTCP(false) // it takes no socket filter, see lastaccept
	return config.Listen(context.Background(), "tcp", address)
}

// SmallReceiveBuffer bounds what a socket receives ahead of its reader. Where the system
// does not allow it, the system's own bound holds.
func SmallReceiveBuffer(fd int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, holding.ReceiveBuffer)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, ln: l}
		extra := int64(0)
		if l.options.TLS != nil {
			c.Conn, extra = tls.Server(nc, l.options.TLS), holding.TLSBytes
		}
		c.client = l.options.Share.Connect(time.Now(), extra, c.closeFor)
		if c.client != nil {
			return c, nil
		}
		l.count(NoRoom)
		if l.options.TLS == nil {
			l.answer(nc, NoRoom)
		}
		_ = nc.Close() // nothing was read from it
	}
}

// closeFor closes the connection to make room for others.
func (c *Conn) closeFor(why holding.Closed) {
	c.refused.Store(true)
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.NetConn().Close() // the TLS close waits for a client that does not read
	}
	_ = c.Close() // no complete request is lost
	c.ln.report("connection closed to make room", zap.String("client", c.RemoteAddr().String()), zap.String("phase", why.Phase.String()),
		zap.Int64("heldBytes", why.Held), zap.Duration("stalledMs", why.Stalled))
}

// Refused returns how many connections and requests were refused for a reason.
func (l *Listener) Refused(why Refusal) int64 { return l.refused[why].Load() }

func (l *Listener) count(why Refusal) {
	l.refused[why].Add(1)
	l.report("refused unread", zap.String("code", codes[why].String()))
}

// reportInterval is the interval between two lines of one listener.
const reportInterval = time.Second

// report writes a line, at most one in an interval. It names how many events it stands for
// and what is held.
func (l *Listener) report(event string, fields ...zap.Field) {
	since, due := l.lineDue(time.Now())
	if !due || l.options.Event == nil {
		return
	}
	u := l.options.Share.Usage()
	l.options.Event(event, append(fields, zap.String("listener", l.options.Name), zap.Int64("events", since),
		zap.Int64("heldInAll", u.Bytes), zap.Int("connections", u.Connections))...)
}

// lineDue counts an event and reports whether a line is due, for how many events.
func (l *Listener) lineDue(now time.Time) (events int64, due bool) {
	l.reportMu.Lock()
	defer l.reportMu.Unlock()
	l.pending++
	if now.Sub(l.reported) < reportInterval {
		return 0, false
	}
	events = l.pending
	l.reported, l.pending = now, 0
	return events, true
}

// answerTimeout bounds the writing of a refusal, which fits an empty send buffer.
const answerTimeout = 100 * time.Millisecond

// answer sends a refusal and ends the sending side.
func (l *Listener) answer(c net.Conn, why Refusal) {
	if l.options.Answer == nil || c.SetWriteDeadline(time.Now().Add(answerTimeout)) != nil {
		return
	}
	if _, err := c.Write(l.options.Answer(codes[why])); err != nil {
		return // the client has gone
	}
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // the close that follows does the same
	}
}

// Answer returns the bytes of an answer after which the connection ends.
func Answer(code result.Code, header http.Header, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nConnection: close\r\n", code.HTTPStatus(), http.StatusText(code.HTTPStatus()))
	_ = header.Write(&out) // writes to memory do not fail
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// RetryAfter is the time after which a client that found no room may come back: clients that
// have stalled are closed for others by then.
const RetryAfter = time.Second

// Refuse is the answer to a refused request where a listener has none of its own.
func Refuse(code result.Code) []byte {
	h := http.Header{"Content-Length": {"0"}}
	if code == result.NoRoom {
		h.Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	}
	return Answer(code, h, nil)
}

// Descriptors returns how many descriptors the process may have: the limit of the process, or
// the given number if that is less and not zero.
func Descriptors(most int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		limit.Cur = maxDescriptors
	}
	if most > 0 && most < int(limit.Cur) {
		return most
	}
	return int(limit.Cur)
}

// maxDescriptors bounds the descriptors of a process where the system sets no bound.
const maxDescriptors = 65536
