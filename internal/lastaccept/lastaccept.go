// Package lastaccept ends listeners without a loss of connections that the system has
// already opened for them: the close of a listener resets those that wait to be accepted.
package lastaccept

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// openTimeout is how long connections that are being opened at Finish may take to wait for
// Accept, and how long Accept tries to take up one that waits.
const openTimeout = 50 * time.Millisecond

// Listener is a listener that can stop without closing connections that wait to be accepted.
type Listener struct {
	net.Listener
	finishing atomic.Bool
	dropsNew  atomic.Bool
	accepted  atomic.Int64
	// ended is closed once every accepted connection has been handed over.
	ended     chan struct{}
	endedOnce sync.Once
}

// Last tells how accepting ended.
type Last struct {
	// Accepted counts the connections that were accepted after Finish.
	Accepted int64
	// DropsNew is false if the system could not be told to open no further connections; one
	// that it opens just before the close is then lost.
	DropsNew bool
}

// New returns a Listener over one that is open.
func New(ln net.Listener) *Listener { return &Listener{Listener: ln, ended: make(chan struct{})} }

// Finish makes the listener accept the connections that wait and then end. Clients that try
// to connect meanwhile get no answer, and are refused once they try again.
func (l *Listener) Finish() error {
	l.dropsNew.Store(control(l.Listener, dropNew) == nil)
	l.finishing.Store(true)
	return l.setDeadline()
}

// Finishing reports whether Finish has been called.
func (l *Listener) Finishing() bool { return l.finishing.Load() }

// Accept implements net.Listener. Its error is http.ErrServerClosed once the listener has ended.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case !l.finishing.Load():
			return c, err
		case err == nil:
			l.accepted.Add(1)
			return c, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			// It may have passed while the process did not run.
			if l.extend() {
				continue
			}
		case isTemporary(err):
			return nil, err // such as no free descriptor; the server tries again later
		}
		l.endedOnce.Do(func() { close(l.ended) })
		return nil, http.ErrServerClosed
	}
}

// isTemporary reports whether the server tries again after an error.
func isTemporary(err error) bool {
	var t interface{ Temporary() bool }
	return errors.As(err, &t) && t.Temporary()
}

// extend moves the deadline if connections wait and no further ones are opened.
func (l *Listener) extend() bool {
	if !l.dropsNew.Load() {
		return false
	}
	waits := false
	err := control(l.Listener, func(fd int) error {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // descriptors are small
		n, err := unix.Poll(polled, 0)
		waits = n > 0 && polled[0].Revents&unix.POLLIN != 0
		return err
	})
	return err == nil && waits && l.setDeadline() == nil
}

// setDeadline gives Accept time for the connections that wait.
func (l *Listener) setDeadline() error {
	ln, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return l.Close()
	}
	return ln.SetDeadline(time.Now().Add(openTimeout))
}

// HasEnded reports whether no further connection will be accepted.
func (l *Listener) HasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// Ended is closed once no further connection will be accepted.
func (l *Listener) Ended() <-chan struct{} { return l.ended }

// Last tells how accepting ended, once it has.
func (l *Listener) Last() Last { return Last{Accepted: l.accepted.Load(), DropsNew: l.dropsNew.Load()} }

// control calls f with the descriptor of a listener.
func control(ln net.Listener, f func(fd int) error) error {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return unix.EOPNOTSUPP
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}
