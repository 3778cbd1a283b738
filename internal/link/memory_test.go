//go:build !race

// The race detector's own memory is not the product's, so this bound holds for
// builds without it.

package link

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// idleBoundKB is the target for an idle stream in entry and agent together.
// The callers' and the upstreams' connections come on top of what the link
// takes.
const idleBoundKB = 32

// TestIdleStreamMemory measures an open stream without traffic, stacks
// included, at both ends together.
func TestIdleStreamMemory(t *testing.T) {
	const streams = 500
	stop := make(chan struct{})
	defer close(stop)
	r := newRig(t, func(l *AnswerLog, _ *linkv1.AttemptRequest) {
		_ = l.Head(&linkv1.Head{Status: http.StatusOK})
		_ = l.Data(context.Background(), []byte("x"))
		<-stop
		_ = l.End(&linkv1.Final{})
	})
	before, goroutines := inUse(), runtime.NumGoroutine()
	for i := range streams {
		s, err := r.client.Attempt(t.Context(), direct(r), request(fmt.Sprint("i", i)))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
	}
	kb := float64(inUse()-before) / streams / 1024
	t.Logf("%.1f KB and %.1f goroutines for an idle stream at both ends together", kb, float64(runtime.NumGoroutine()-goroutines)/streams)
	if kb > idleBoundKB {
		t.Errorf("an idle stream takes %.1f KB, the bound is %d KB", kb, idleBoundKB)
	}
}

func inUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
