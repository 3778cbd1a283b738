package link

import (
	"context"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/answers/answerstest"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// TestEndlessAnswersOfAnAgentAreNotKept: an entry reads what an agent sends in place of an
// answer, until its call ends.
func TestEndlessAnswersOfAnAgentAreNotKept(t *testing.T) {
	for name, script := range answerstest.Endless {
		srv := answerstest.Start(t, script, "application/proto")
		c := NewClient(Options{Sender: "entry-0", Revision: func() uint64 { return 1 }, Timing: DefaultTiming()})
		n := answerstest.Allocated(func() {
			if _, err := c.Fetch(t.Context(), srv.Address, &linkv1.FetchRequest{}); err == nil {
				t.Errorf("%s: taken", name)
			}
		})
		if n > 2*4*maxAnswerBytes+1<<20 { // two tries with a buffer that doubles, and what runs beside it
			t.Errorf("%s: %d MiB were kept", name, n>>20)
		}
	}
}

// TestEndlessFrameOfAnAgentIsNotKept: the length of a frame promises four gigabytes.
func TestEndlessFrameOfAnAgentIsNotKept(t *testing.T) {
	srv := answerstest.Start(t, answerstest.Script{
		Head: "HTTP/1.1 200 OK\r\nContent-Type: {type}\r\n\r\n\x00\xff\xff\xff\xff", Endless: "and so on ",
	}, "application/connect+proto")
	c := NewClient(Options{Sender: "entry-0", Revision: func() uint64 { return 1 }, Timing: DefaultTiming()})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	n := answerstest.Allocated(func() {
		if s, err := c.Attempt(ctx, srv.Address, &linkv1.AttemptRequest{Call: &linkv1.Call{Stream: true}}); err == nil {
			for err == nil {
				_, err = s.Next(ctx)
			}
		}
	})
	if n > 8*maxFrameBytes {
		t.Errorf("%d MiB were kept", n>>20)
	}
}

func TestMalformedAnswersOfAnAgentAreFailures(t *testing.T) {
	for name, head := range answerstest.Malformed {
		c := NewClient(Options{Sender: "entry-0", Revision: func() uint64 { return 1 }, Timing: DefaultTiming()})
		if _, err := c.Fetch(t.Context(), answerstest.Start(t, answerstest.Script{Head: head}, "").Address, &linkv1.FetchRequest{}); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
