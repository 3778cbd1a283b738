package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/result"
)

var start = time.Unix(1_700_000_000, 0)

func TestNextDecidesByOutcome(t *testing.T) {
	tests := []struct {
		name       string
		failures   []result.Code
		idempotent bool
		began      bool
		retried    bool
		final      result.Code
		outcome    result.Outcome
	}{
		{"proven not run", []result.Code{result.UpstreamBusy}, false, false, true, 0, 0},
		{"unknown and not idempotent", []result.Code{result.OutcomeUnknown}, false, false, false, result.OutcomeUnknown, result.Unknown},
		{"unknown and idempotent", []result.Code{result.OutcomeUnknown}, true, false, true, 0, 0},
		{"ran and idempotent", []result.Code{result.UpstreamFailed}, true, false, true, 0, 0},
		{"ran and not idempotent", []result.Code{result.UpstreamFailed}, false, false, false, result.UpstreamFailed, result.Ran},
		{"answer began", []result.Code{result.AnswerCut}, true, true, false, result.AnswerCut, result.Ran},
		{"not curable elsewhere", []result.Code{result.VersionWithdrawn}, true, false, false, result.VersionWithdrawn, result.NotRun},
		{"caller gone", []result.Code{result.CallerGone}, true, false, false, result.CallerGone, result.Unknown},
		{"all refused", []result.Code{result.UpstreamBusy, result.UpstreamBusy, result.UpstreamBusy, result.UpstreamBusy}, false, false, false, result.RetriesSpent, result.NotRun},
		{"refused after unknown", []result.Code{result.OutcomeUnknown, result.VersionWithdrawn}, true, false, false, result.OutcomeUnknown, result.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := New(Settings{}, start).Plan("o", tt.idempotent, start.Add(time.Minute))
			var d Decision
			for _, code := range tt.failures {
				d = plan.Next(Failure{Err: result.New(code, "x"), AnswerStarted: tt.began}, start, 0.5)
			}
			if tt.retried != (d.Final == nil) {
				t.Fatalf("Next = %+v", d)
			}
			if d.Final != nil && (d.Final.Code != tt.final || d.Final.Outcome != tt.outcome) {
				t.Fatalf("final is %v, outcome %v", d.Final, d.Final.Outcome)
			}
		})
	}
}

func TestNoRetryPastTheDeadline(t *testing.T) {
	plan := New(Settings{}, start).Plan("o", true, start.Add(DefaultMinAttemptTime))
	d := plan.Next(Failure{Err: result.New(result.UpstreamBusy, "x")}, start, 0.5)
	if d.Final == nil || d.Final.Code != result.RetriesSpent {
		t.Fatalf("Next = %+v, want a final error at once", d)
	}
}

func TestRetryAfterAppliesOnlyWithoutUntriedUpstream(t *testing.T) {
	busy := result.New(result.UpstreamBusy, "x").WithRetryAfter(time.Second)
	untried := New(Settings{}, start).Plan("o", true, start.Add(time.Minute))
	if d := untried.Next(Failure{Err: busy}, start, 0.5); d.Final != nil || d.Wait > DefaultInitialBackoff {
		t.Fatalf("Next = %+v with an untried upstream, want a wait without RetryAfter", d)
	}
	allTried := New(Settings{}, start).Plan("o", true, start.Add(time.Minute))
	if d := allTried.Next(Failure{Err: busy, AllTried: true}, start, 0.5); d.Final != nil || d.Wait < time.Second {
		t.Fatalf("Next = %+v without an untried upstream, want a wait of at least RetryAfter", d)
	}
	late := New(Settings{}, start).Plan("o", true, start.Add(time.Second))
	if d := late.Next(Failure{Err: busy, AllTried: true}, start, 0.5); d.Final == nil {
		t.Fatalf("Next = %+v, want a final error at once: RetryAfter ends after the deadline", d)
	}
}

func TestBudgetStopsARetryStorm(t *testing.T) {
	p := New(Settings{}, start)
	const requests = 10_000
	retries := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Millisecond)
		plan := p.Plan("flooding", true, now.Add(time.Second))
		for plan.Next(Failure{Err: result.New(result.UpstreamFailed, "x")}, now, 0.5).Final == nil {
			retries++
		}
	}
	if maxRetries := int(DefaultBurst) + requests/1000; retries > maxRetries {
		t.Fatalf("%d retries in an outage, want at most %d", retries, maxRetries)
	}
	now := start.Add(requests * time.Millisecond)
	if p.Plan("other", true, now.Add(time.Second)).Next(Failure{Err: result.New(result.UpstreamBusy, "x")}, now, 0.5).Final != nil {
		t.Fatal("one organisation exhausted the retry budget of another")
	}
}

func TestRetriesNeverClaimNotRunAfterAnAttemptThatMayHaveRun(t *testing.T) {
	codes := []result.Code{
		result.UpstreamBusy, result.OutcomeUnknown, result.UpstreamFailed,
		result.UpstreamRefused, result.VersionWithdrawn, result.NoUpstream,
	}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		plan := New(Settings{}, start).Plan("o", idempotent, start.Add(time.Second))
		neverRan := true
		for {
			failure := result.New(rapid.SampledFrom(codes).Draw(t, "code"), "x")
			neverRan = neverRan && failure.Outcome == result.NotRun
			d := plan.Next(Failure{Err: failure}, start, rapid.Float64Range(0, 1).Draw(t, "rnd"))
			if d.Final == nil {
				if !neverRan && !idempotent {
					t.Fatal("a request that may have run and is not idempotent was retried")
				}
				continue
			}
			if (d.Final.Outcome == result.NotRun) != neverRan {
				t.Fatalf("final is %v with outcome %v", d.Final, d.Final.Outcome)
			}
			return
		}
	})
}

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	var d DrainRate
	for i := range 1000 {
		d.RecordDeparture(1, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	now := start.Add(10 * time.Second)
	got := d.RetryAfter(300, now, 0)
	if got < 2900*time.Millisecond || got > 3100*time.Millisecond {
		t.Fatalf("Advice for 300 requests at 100 per second = %v, want 3s", got)
	}
	var idle DrainRate
	if got := idle.RetryAfter(10, now, 0); got != maxRetryAfter {
		t.Fatalf("Advice for a queue without departures = %v, want the maximum", got)
	}
}
