// Package h1 speaks HTTP/1.1 to upstreams over connections that it keeps
// itself. The standard transport is not used, because it sends some requests
// again by itself and cannot tell a late answer to an earlier request from
// the one that is waited for.
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
)

// Timings of connections.
const (
	// silentAfter is how long sent bytes may stay unacknowledged before a
	// connection is given up: two round trips with retransmission.
	silentAfter = 2500 * time.Millisecond
	// probeAfter and probeEvery find idle or waiting connections whose other
	// end is gone.
	probeAfter = 2 * time.Second
	probeEvery = 1 * time.Second
	probeCount = 2
	// keepDefault is how long a connection is kept for an upstream that does
	// not say for how long it keeps it.
	keepDefault = 4 * time.Second
	// keepMargin is taken off the time an upstream says, so that a request
	// does not cross its close.
	keepMargin = 700 * time.Millisecond
	// readBuffer is the size of the read buffer of a connection.
	readBuffer = 4 << 10
)

// Conn is one connection to an upstream.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	limit   *limitedReader
	expires time.Time
	// Reused is true when an earlier request was answered on it.
	Reused bool
}

// Pool keeps idle connections by upstream.
type Pool struct {
	dialTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn

	opened atomic.Int64
}

// NewPool returns an empty pool whose connections must open within the time.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: map[string][]*Conn{}}
}

// Opened returns how many connections have been opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Get returns a kept connection for the upstream, or opens one. An error means
// that nothing was sent.
func (p *Pool) Get(ctx context.Context, upstream, address string, now time.Time) (*Conn, error) {
	for {
		c := p.take(upstream)
		if c == nil {
			return p.open(ctx, address)
		}
		if now.Before(c.expires) && quiet(c) {
			c.Reused = true
			return c, nil
		}
		_ = c.Close() // it is expired, closed by the other end or holds stray bytes
	}
}

// Put keeps a connection whose last answer was read whole. keepFor is what the
// upstream said; zero means that it said nothing.
func (p *Pool) Put(upstream string, c *Conn, keepFor time.Duration, now time.Time) {
	if keepFor == 0 {
		keepFor = keepDefault + keepMargin
	}
	c.expires = now.Add(keepFor - keepMargin)
	if !now.Before(c.expires) || c.reader.Buffered() > 0 {
		_ = c.Close() // nothing is in flight on it
		return
	}
	p.mu.Lock()
	p.idle[upstream] = append(p.idle[upstream], c)
	p.mu.Unlock()
}

// Unbounded keeps all idle connections of an upstream (see Prune).
const Unbounded = math.MaxInt

// Prune closes the connections that have expired and, of each upstream, the oldest ones
// beyond the number that is to be kept. It returns how many stay open.
func (p *Pool) Prune(now time.Time, most func(upstream string) int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := 0
	for upstream, conns := range p.idle {
		live := conns[:0]
		surplus := len(conns) - most(upstream)
		for i, c := range conns {
			if i >= surplus && now.Before(c.expires) {
				live = append(live, c)
				continue
			}
			_ = c.Close() // nothing is in flight on it
		}
		clear(conns[len(live):])
		left += len(live)
		if len(live) == 0 {
			delete(p.idle, upstream)
			continue
		}
		p.idle[upstream] = live
	}
	return left
}

// Return keeps a connection on which nothing was sent since Get.
func (p *Pool) Return(upstream string, c *Conn, now time.Time) {
	if c.expires.IsZero() {
		c.expires = now.Add(keepDefault)
	}
	if !now.Before(c.expires) {
		_ = c.Close() // nothing is in flight on it
		return
	}
	p.mu.Lock()
	p.idle[upstream] = append(p.idle[upstream], c)
	p.mu.Unlock()
}

func (p *Pool) take(upstream string) *Conn {
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

func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	nc, err := Dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "open a connection to an upstream")
	}
	p.opened.Add(1)
	return newConn(nc, nc), nil
}

// newConn returns a connection whose answers come from a reader.
func newConn(nc net.Conn, from io.Reader) *Conn {
	limit := &limitedReader{from: from, left: -1}
	return &Conn{Conn: nc, reader: bufio.NewReaderSize(limit, readBuffer), limit: limit}
}

// Dialer returns a dialer whose connections notice a silent other end.
func Dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(silentAfter.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// quiet reports whether the connection is open and holds no unread bytes.
func quiet(c *Conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	n, err := peek(c.Conn)
	return n < 0 && err == nil
}

// Closed reports whether the other end of a connection has closed it, without
// waiting for a read to tell. Unread bytes before the close hide it.
func Closed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 || err != nil
}

// peek returns how many bytes can be read now, one at most: zero at the end of what
// the other end sends, negative when nothing is there.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return -1, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case failed != nil:
		return 0, failed
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return -1, nil
	}
	return n, err
}
