package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

func TestLimiterBlocksUntilAdmittedRefusedOrGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(exactController(1, 10), time.Now)
		first, err := l.Acquire(t.Context(), &Request{Organisation: "a"})
		if err != nil {
			t.Fatal(err)
		}
		gone, leave := context.WithCancel(t.Context())
		errs := make(chan error, 3)
		go func() {
			_, err := l.Acquire(gone, &Request{Organisation: "a"})
			errs <- err
		}()
		synctest.Wait()
		leave()
		if err := <-errs; !result.Is(err, result.CallerGone) || result.From(err).Outcome != result.NotRun {
			t.Fatalf("a caller that left got %v", err)
		}
		permits := make(chan *Permit, 1)
		go func() {
			p, err := l.Acquire(t.Context(), &Request{Organisation: "a"})
			permits <- p
			errs <- err
		}()
		synctest.Wait()
		first.Release(Feedback{})
		first.Release(Feedback{})
		second := <-permits
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
		go func() {
			_, err := l.Acquire(t.Context(), &Request{Organisation: "a"})
			errs <- err
		}()
		synctest.Wait()
		l.Stop()
		if err := <-errs; !result.Is(err, result.Stopping) {
			t.Fatalf("a caller waiting at Stop got %v", err)
		}
		second.Release(Feedback{})
		if s := l.State(); s.Running != 0 || s.Waiting != 0 || len(s.Targets[0].Flows) != 0 {
			t.Fatalf("requests or flows remain after the last release: %+v", s)
		}
	})
}

func TestLimiterNeverRunsMoreThanItsLimit(t *testing.T) {
	const limit, callers = 5, 200
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := NewLimiter(exactController(limit, callers), time.Now)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		go func() { _ = l.Run(ctx, ticker.C) }()
		var running, peak, ran atomic.Int32
		done := make(chan struct{})
		for i := range callers {
			go func() {
				defer func() { done <- struct{}{} }()
				ctx, cancel := context.WithTimeout(ctx, time.Duration(i)*10*time.Millisecond)
				defer cancel()
				p, err := l.Acquire(ctx, &Request{Organisation: "a"})
				if err != nil {
					return
				}
				peak.Store(max(peak.Load(), running.Add(1)))
				time.Sleep(20 * time.Millisecond)
				running.Add(-1)
				ran.Add(1)
				p.Release(Feedback{RunTime: 20 * time.Millisecond})
			}()
		}
		for range callers {
			<-done
		}
		if peak.Load() != limit || ran.Load() < callers/2 {
			t.Fatalf("peak of %d running requests; %d of %d ran, want at least half", peak.Load(), ran.Load(), callers)
		}
	})
}
