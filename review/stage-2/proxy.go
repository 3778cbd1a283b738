package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections. Those that are open can go silent for good, without a reset, while
// new ones work.
type proxy struct {
	address string
	mu      sync.Mutex
	open    map[*link]bool
}

// link is a connection through the proxy.
type link struct {
	mu     sync.Mutex
	silent bool
}

func startProxy(to string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	p := &proxy{address: ln.Addr().String(), open: map[*link]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to)
		}
	}()
	return p
}

// silence makes the open connections silent, and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.open)
}

func (p *proxy) forward(c net.Conn, to string) {
	defer c.Close()
	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()
	l := &link{}
	p.mu.Lock()
	p.open[l] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, l)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			if err != nil {
				if l.isSilent() {
					return // the other end does not hear of it
				}
				if w, ok := to.(*net.TCPConn); ok {
					_ = w.CloseWrite() // the other end may have gone
				}
				return
			}
			if l.isSilent() {
				continue
			}
			if _, err := io.Writer(to).Write(b[:n]); err != nil {
				return
			}
		}
	}
	go copyTo(s, c)
	go copyTo(c, s)
	<-done
	<-done
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}
