package integration

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// TestOverloadIsRefusedEarly asks for three times what the engines can do
// within the callers' patience. What cannot be done is refused before it runs,
// with a time to come back.
func TestOverloadIsRefusedEarly(t *testing.T) {
	t.Parallel()
	const (
		slots    = 4
		patience = 3 * time.Second
		inTime   = 2 * slots * 5 // what the engines end within the patience
		callers  = 3 * inTime
		enough   = 4 * inTime
	)
	slow := engine.Behaviour{FirstTokenMs: 600, Tokens: 8}
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: slow, Slots: slots})
	load := c.StartLoad(callers, c.Entries, func(int, int) harness.Ask {
		return harness.Ask{MaxTokens: 8, Timeout: patience}
	})
	c.Eventually("the engines have done their work of some times the patience", func() bool {
		return runsOf(c, "small@1") >= enough
	})
	whole, refused, late := 0, 0, 0
	for _, r := range load.Stop() {
		switch {
		case r.Whole:
			whole++
		case r.Outcome == result.NotRun.String() && r.RetryAfter != "":
			refused++
		case r.Code == int(result.DeadlineExceeded) || r.Err != nil:
			late++
		default:
			t.Errorf("got %+v", r)
		}
	}
	t.Logf("%d answered, %d refused, %d late", whole, refused, late)
	if whole < enough*3/4 {
		t.Errorf("only %d of %d that ran were answered in the overload", whole, enough)
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	if late*10 > whole+refused {
		t.Errorf("%d were late rather than refused, against %d answered and %d refused", late, whole, refused)
	}
	c.Verify()
}

// TestTheOnlyUpstreamIsTriedAgain lets the one engine refuse a request twice.
func TestTheOnlyUpstreamIsTriedAgain(t *testing.T) {
	t.Parallel()
	const refusals = 2
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 1, Engine: engine.Behaviour{
		FailStatus: http.StatusServiceUnavailable, FailTimes: refusals,
	}})
	if r := c.Caller().Do(c.Entries[0], harness.Ask{}); !r.Whole {
		t.Errorf("got %+v after %d refusals", r, refusals)
	}
	c.Verify()
}

// TestLongStreamsAllBeginWhileSlotsAreFree begins more long streams at once than
// an adaptive limit starts with. None of them ends in the meantime.
func TestLongStreamsAllBeginWhileSlotsAreFree(t *testing.T) {
	const streams = 100
	c := harness.New(t, harness.Spec{
		Entries: 1, Agents: 1, Slots: streams,
		Engine: engine.Behaviour{TokenMs: 100, Tokens: 600},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for range streams {
		callers.Go(func() { c.Caller().DoContext(ctx, c.Entries[0], harness.Ask{Stream: true, Timeout: time.Minute}) })
	}
	c.Eventually("every stream has begun", func() bool { return runningAttempts(c) == streams })
	for _, r := range c.EngineRuns(c.Agents[0]) {
		if r.Whole || r.Cancelled {
			t.Error("a stream ended before all had begun")
		}
	}
	cancel()
	callers.Wait()
	c.Verify()
}
