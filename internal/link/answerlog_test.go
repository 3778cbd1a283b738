package link

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// collector is a sink that keeps frames.
type collector struct{ frames []*linkv1.Frame }

func (c *collector) Send(f *linkv1.Frame) error {
	c.frames = append(c.frames, f)
	return nil
}

func (c *collector) Flush() {}

func newTestLog(t *testing.T) *AnswerLog {
	t.Helper()
	logs := NewLogs(7, func() uint64 { return 3 }, DefaultTiming())
	l, err := logs.Open("a")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Head(&linkv1.Head{}); err != nil {
		t.Fatal(err)
	}
	return l
}

func fill(t *testing.T, l *AnswerLog) {
	t.Helper()
	for range LogLimit / MaxFrame {
		if err := l.Data(context.Background(), make([]byte, MaxFrame)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestFullLogWaitsAndGivesUp(t *testing.T) {
	tests := []struct {
		name   string
		reader bool
		wait   time.Duration
	}{
		{"no reader", false, DefaultTiming().AwayFor},
		{"slow reader", true, DefaultTiming().SlowFor},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			l := newTestLog(t)
			fill(t, l)
			if tt.reader {
				if _, err := l.attach(1); err != nil {
					t.Fatal(err)
				}
				<-l.room
			}
			start := time.Now()
			err := l.Data(context.Background(), []byte("x"))
			if !result.Is(err, result.BufferSpent) || time.Since(start) != tt.wait {
				t.Errorf("%s: got %v after %v", tt.name, err, time.Since(start))
			}
		})
	}
}

func TestAckMakesRoomAndOldFramesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLog(t)
		fill(t, l)
		done := make(chan error, 1)
		go func() { done <- l.Data(context.Background(), []byte("x")) }()
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("a full log did not wait: %v", err)
		default:
		}
		l.Ack(2)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if _, err := l.attach(2); !result.Is(err, result.BufferSpent) {
			t.Errorf("an acknowledged frame was served again: %v", err)
		}
	})
}

func TestIdleReaderGetsHeartbeatsAndNewestReaderTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLog(t)
		var first, second collector
		done := make(chan error, 2)
		go func() { done <- l.serve(t.Context(), 1, &first) }()
		time.Sleep(DefaultTiming().BeatEvery*2 + DefaultTiming().FirstBeat)
		synctest.Wait()
		beats := 0
		for _, f := range first.frames {
			if f.GetHeartbeat() != nil && f.GetHeartbeat().GetRevision() == 3 {
				beats++
			}
		}
		if beats != 2 {
			t.Errorf("%d heartbeats in %d frames", beats, len(first.frames))
		}
		go func() { done <- l.serve(t.Context(), 2, &second) }()
		if err := <-done; err != nil {
			t.Errorf("the older reader ended with %v", err)
		}
		_ = l.Data(t.Context(), []byte("x"))
		_ = l.End(&linkv1.Final{})
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if n := len(second.frames); n != 2 || second.frames[1].GetFinal() == nil {
			t.Errorf("the newer reader got %d frames", n)
		}
	})
}

func TestFinishedLogsAreSweptUnlessRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := NewLogs(7, func() uint64 { return 0 }, DefaultTiming())
		for _, id := range []string{"read", "left"} {
			l, err := logs.Open(id)
			if err != nil {
				t.Fatal(err)
			}
			_ = l.Head(&linkv1.Head{})
			_ = l.Data(t.Context(), bytes.Repeat([]byte("x"), 10))
			if id == "read" {
				if _, err := l.attach(1); err != nil {
					t.Fatal(err)
				}
			}
			_ = l.End(&linkv1.Final{})
		}
		time.Sleep(DefaultTiming().Linger)
		if _, err := logs.Open("new"); err != nil {
			t.Fatal(err)
		}
		if logs.Find("read") == nil || logs.Find("left") != nil {
			t.Error("the sweep dropped the wrong log")
		}
		if n, held := logs.Held(); n != 2 || held != 10 {
			t.Errorf("%d logs hold %d bytes", n, held)
		}
	})
}
