// Package h1 is an HTTP/1.1 client for upstreams with its own connection pool.
// It does not use http.Transport, which retries some requests on its own and
// cannot tell a late response to an earlier request from the response to the
// current one.
package h1

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/intake"
)

// Timeouts and buffer size of connections.
const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection; it allows two round trips with retransmission.
	unackedTimeout = 2500 * time.Millisecond
	// TCP keep-alive probes detect that the peer of an idle or waiting
	// connection is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not announce its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream
	// announces, so that no request is sent while the upstream closes the
	// connection.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferBytes is the size of the read buffer of each connection.
	readBufferBytes = 4 << 10
)

// Conn is one connection to an upstream.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	limit   *limitedReader
	expires time.Time
	// Reused is true if the connection has been idle in the pool before.
	Reused bool

	pool      *Pool // nil if the connection does not count
	closeOnce sync.Once
}

// Pool holds the idle connections of each upstream.
type Pool struct {
	dialTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn

	// opened counts the connections opened since the start, open those that are open or
	// being opened, and maxOpen bounds these; zero sets no bound.
	opened, open, maxOpen atomic.Int64
}

// errPoolFull means that all connections that a pool may have are in use.
var errPoolFull = errors.New("too many connections to upstreams are open")

// SetMaxOpen bounds the open connections, idle ones among them.
func (p *Pool) SetMaxOpen(n int) { p.maxOpen.Store(int64(n)) }

// reserve counts a connection that is about to be opened. If there are too many, it closes
// an idle one first.
func (p *Pool) reserve() bool {
	for {
		limit := p.maxOpen.Load()
		if n := p.open.Add(1); limit <= 0 || n <= limit {
			return true
		}
		p.open.Add(-1)
		c := p.popAnyIdle()
		if c == nil {
			return false
		}
		_ = c.Close() // nothing is in flight on it
	}
}

// popAnyIdle removes an idle connection to any upstream, or returns nil if there is none.
func (p *Pool) popAnyIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for upstream, conns := range p.idle {
		if len(conns) == 0 {
			continue
		}
		c := conns[0]
		p.idle[upstream] = conns[1:]
		return c
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		if c.pool != nil {
			c.pool.open.Add(-1)
		}
	})
	return c.Conn.Close()
}

// NewPool returns an empty pool. A connection that is not established within
// dialTimeout fails.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: map[string][]*Conn{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns an idle connection to the upstream, or dials address. If it
// returns an error, no part of a request was sent.
func (p *Pool) Get(ctx context.Context, upstream, address string, now time.Time) (*Conn, error) {
	for {
		c := p.popIdle(upstream)
		if c == nil {
			return p.dial(ctx, address)
		}
		if now.Before(c.expires) && reusable(c) {
			c.Reused = true
			return c, nil
		}
		_ = c.Close() // it has expired, was closed by the peer or holds unexpected bytes
	}
}

// Put returns a connection to the pool after its last response was read to the
// end. idleTimeout is the one that the upstream announced, or zero if it
// announced none.
func (p *Pool) Put(upstream string, c *Conn, idleTimeout time.Duration, now time.Time) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout + idleTimeoutMargin
	}
	c.expires = now.Add(idleTimeout - idleTimeoutMargin)
	if !now.Before(c.expires) || c.reader.Buffered() > 0 {
		_ = c.Close() // nothing is in flight on it
		return
	}
	p.mu.Lock()
	p.idle[upstream] = append(p.idle[upstream], c)
	p.mu.Unlock()
}

// UnboundedIdle is the result of the maxIdle argument of Prune that keeps all idle connections.
const UnboundedIdle = math.MaxInt

// Prune closes expired idle connections and, for each upstream, the oldest idle ones
// beyond maxIdle(upstream). It returns the number of connections that stay open.
func (p *Pool) Prune(now time.Time, maxIdle func(upstream string) int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := 0
	for upstream, conns := range p.idle {
		live := conns[:0]
		surplus := len(conns) - maxIdle(upstream)
		for i, c := range conns {
			if i >= surplus && now.Before(c.expires) {
				live = append(live, c)
				continue
			}
			_ = c.Close() // nothing is in flight on it
		}
		clear(conns[len(live):])
		open += len(live)
		if len(live) == 0 {
			delete(p.idle, upstream)
			continue
		}
		p.idle[upstream] = live
	}
	return open
}

// PutUnused puts back a connection on which nothing was sent since Get.
func (p *Pool) PutUnused(upstream string, c *Conn, now time.Time) {
	if c.expires.IsZero() {
		c.expires = now.Add(defaultIdleTimeout)
	}
	if !now.Before(c.expires) {
		_ = c.Close() // nothing is in flight on it
		return
	}
	p.mu.Lock()
	p.idle[upstream] = append(p.idle[upstream], c)
	p.mu.Unlock()
}

// popIdle removes and returns the idle connection that was used last, or nil if there
// is none.
func (p *Pool) popIdle(upstream string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[upstream]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[upstream] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	if !p.reserve() {
		return nil, errPoolFull
	}
	nc, err := upstreamDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.open.Add(-1)
		return nil, errors.Annotate(err, "connect to an upstream")
	}
	p.opened.Add(1)
	nc = answers.Conn(nc)
	c := newConn(nc, nc)
	c.pool = p
	return c, nil
}

// newConn returns a connection that writes to nc and reads responses from src.
func newConn(nc net.Conn, src io.Reader) *Conn {
	limit := &limitedReader{src: src, remaining: -1}
	return &Conn{Conn: nc, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
}

// Dialer returns a dialer whose connections fail when the peer stops responding:
// it sets TCP keep-alive and TCP_USER_TIMEOUT.
func Dialer() *net.Dialer { return newDialer(func(int) {}) }

// upstreamDialer bounds what upstreams send ahead of slow callers.
var upstreamDialer = newDialer(intake.SmallReceiveBuffer)

// newDialer returns a dialer that also calls prepare with each socket.
func newDialer(prepare func(fd int)) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var controlErr error
			err := raw.Control(func(fd uintptr) {
				prepare(int(fd))
				controlErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return controlErr
		},
	}
}

// reusable reports whether the connection is open and has no unread bytes.
func reusable(c *Conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	n, err := peek(c.Conn)
	return n < 0 && err == nil
}

// PeerClosed reports whether the peer has closed a connection or the connection has failed,
// without blocking and without consuming data. While unread bytes precede the close it
// returns false.
func PeerClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 || err != nil
}

// peek checks for readable data without consuming it. It returns 1 if a byte is
// available, 0 at end of stream and a negative number if no data has arrived.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return -1, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return -1, nil
	}
	return n, err
}
