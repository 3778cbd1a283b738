package answers

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP connection that was reset (tcp_states.h of Linux). One that
// the peer has closed in order, and we have not, waits for our close.
const tcpClosed = 7

// Conn returns a connection whose reads tell a reset from an end. A reset is reported once by
// the kernel, to a write if that comes first; reads then see an end, which would
// complete an answer without a length.
func Conn(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return conn{tcp}
	}
	return c
}

type conn struct{ *net.TCPConn }

// Read implements io.Reader.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// WriteTo implements io.WriterTo by Read: the method of net.TCPConn would go past it.
func (c conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

func (c conn) wasReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	reset := true // a connection that cannot be asked is closed
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == tcpClosed
	})
	return reset
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are those of Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Conn(c), nil
	}
}
