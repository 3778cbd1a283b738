package link

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// connection is one HTTP exchange that brings frames. Its guard ends it when
// nothing arrives in time.
type connection struct {
	frames *connect.ServerStreamForClient[linkv1.Frame]
	cancel context.CancelFunc
	guard  *time.Timer
	silent atomic.Bool
}

// open makes a connection and waits for the response headers, which come with
// the first frame.
func (s *Stream) open(call func(context.Context) (*connect.ServerStreamForClient[linkv1.Frame], error)) error {
	ctx, cancel := context.WithCancel(s.ctx)
	conn := &connection{cancel: cancel}
	conn.guard = time.AfterFunc(s.client.opts.Timing.FirstFrame, func() {
		conn.silent.Store(true)
		cancel()
	})
	frames, err := call(ctx)
	conn.guard.Stop()
	if err != nil {
		cancel()
		s.noteSilence(conn)
		return err
	}
	conn.frames = frames
	s.conn = conn
	return nil
}

// noteSilence counts a silent connection and drops the idle ones beside it.
func (s *Stream) noteSilence(conn *connection) {
	if conn.silent.Load() {
		s.client.counts.silent.Add(1)
		s.peer.closeIdle()
	}
}

// receive waits for one frame under the guard.
func (s *Stream) receive() (*linkv1.Frame, error) {
	limit := s.client.opts.Timing.SilentAfter
	if !s.seen {
		limit = s.client.opts.Timing.FirstFrame
	}
	s.conn.guard.Reset(limit)
	ok := s.conn.frames.Receive()
	s.conn.guard.Stop()
	if ok {
		return s.conn.frames.Msg(), nil
	}
	if err := s.conn.frames.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

// drain reads the end of the exchange, without which net/http does not reuse
// the connection.
func (c *connection) drain(limit time.Duration) {
	c.guard.Reset(limit)
	defer c.guard.Stop()
	for range maxStray {
		if !c.frames.Receive() {
			return
		}
	}
}

func (c *connection) close() {
	c.guard.Stop()
	_ = c.frames.Close()
	c.cancel()
}
