// Package pipe is a listener for tests of servers. Its connections live in
// memory, so their deadlines run on the virtual clock of testing/synctest.
package pipe

import (
	"net"
	"sync"
)

// Listener hands out in-memory connections. It is safe for concurrent use.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the client's end of a new connection once the server's end is
// accepted.
func (l *Listener) Dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
