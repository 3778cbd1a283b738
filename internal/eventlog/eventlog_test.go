package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestStuckReaderNeverBlocks: a million events return although nobody reads,
// and each is written, queued or counted as dropped.
func TestStuckReaderNeverBlocks(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	l := New(w)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	const events = 100_000
	for range events {
		l.Event("gateway", "refused", zap.String("request", "r"))
	}
	limited, full, _ := l.Dropped()
	if dropped := limited + full; dropped < events-burst-queueLines-perSecond*60 || dropped > events {
		t.Errorf("%d of %d events dropped", dropped, events)
	}
	if len(l.sink.lines) > queueLines {
		t.Errorf("%d lines wait", len(l.sink.lines))
	}
	stop()
	close(w.release)
	wg.Wait()
}

func TestLines(t *testing.T) {
	var buf bytes.Buffer
	l := New(&buf)
	l.Event("gateway", "refused", zap.String("request", "r1"), zap.Int("status", 503))
	l.Event("gateway", "too long", zap.String("x", strings.Repeat("y", maxLine)))
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(buf.Bytes(), &got); err != nil {
		t.Fatalf("%v in %q", err, buf.String())
	}
	if got["event"] != "refused" || got["part"] != "gateway" || got["request"] != "r1" || got["status"] != 503.0 || got["time"] == nil {
		t.Errorf("line %v", got)
	}
	if _, full, _ := l.Dropped(); full != 1 {
		t.Errorf("%d lines dropped, want the one that is too long", full)
	}
}

// TestFailureThatQuotesWhatWasReadIsLogged guards against a failure that no line shows, since
// its text is longer than a line.
func TestFailureThatQuotesWhatWasReadIsLogged(t *testing.T) {
	for _, quoted := range []string{"9", "\x00", "\xff", "\"", "\u20ac"} {
		var buf bytes.Buffer
		l := New(&buf)
		l.Event("gateway", "entry ignored", zap.String("key", strings.Repeat("k", 200)), Error(errors.New("cannot read "+strings.Repeat(quoted, 60_000))))
		ctx, stop := context.WithCancel(context.Background())
		stop()
		if err := l.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(buf.String(), `"error":"cannot read `) || !json.Valid(buf.Bytes()) {
			t.Errorf("%q repeated: %q", quoted, buf.String())
		}
	}
}

// TestRoutineIsSampledFirst: a flood of successes leaves room for refusals.
func TestRoutineIsSampledFirst(t *testing.T) {
	l := New(&bytes.Buffer{})
	for range 10_000 {
		l.Routine("gateway", "answered")
	}
	before, _, sampled := l.Dropped()
	l.Event("gateway", "refused")
	if after, _, _ := l.Dropped(); after != before || before != 0 || sampled < 9000 {
		t.Errorf("limited %d then %d, sampled out %d", before, after, sampled)
	}
}
