//go:build !race

// The race detector keeps memory of its own for each goroutine, so the bound
// holds without it only.

package callerapi

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"tarragonbay.example/tarragonbay/internal/settings"
)

// maxIdleStreamBytes bounds the memory of a stream that waits for its next
// event: the target for a whole stream, which this side alone must keep.
const maxIdleStreamBytes = 32 << 10

// idleStreams is how many streams are held open at a time.
const idleStreams = 500

// idleRouter sends one event and waits for the caller to leave.
type idleRouter struct {
	fakeRouter
	begun chan struct{}
}

func (r *idleRouter) Chat(ctx context.Context, _ ChatCall, sink AnswerSink) error {
	if err := sink.Begin(testStart); err != nil {
		return err
	}
	if err := sink.Chunk([]byte(chunk1)); err != nil {
		return err
	}
	r.begun <- struct{}{}
	<-ctx.Done()
	return ctx.Err()
}

func TestIdleStreamStaysInItsMemoryBound(t *testing.T) {
	begun := make(chan struct{}, idleStreams)
	h := testHandler(t, &idleRouter{begun: begun})
	s := settings.Default(settings.RoleEntry)
	s.Caller.Listen = "127.0.0.1:0"
	server, err := Listen(s, admission(), h)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()

	before := memoryInUse()
	conns := make([]net.Conn, idleStreams)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", server.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conns[i], rawChat(streamBody)); err != nil {
			t.Fatal(err)
		}
	}
	for range conns {
		<-begun
	}
	perStream := (memoryInUse() - before) / idleStreams
	t.Logf("%d bytes for each idle stream", perStream)
	if perStream > maxIdleStreamBytes {
		t.Errorf("%d bytes for each idle stream, want at most %d", perStream, maxIdleStreamBytes)
	}
	for _, c := range conns {
		c.Close()
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// memoryInUse is what the heap and the goroutines' stacks hold after a
// collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
