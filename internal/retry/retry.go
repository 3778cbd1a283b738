// Package retry decides whether a request gets another attempt, and when.
//
// A Plan belongs to one request. It allows another attempt only when the last
// one is proven not to have run or the call is idempotent, nothing of an
// answer has reached the caller, the retry budget allows it and enough time is
// left. Otherwise it gives the final error at once. The package does no I/O;
// time and randomness come in as arguments.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Settings of the retry policy. Zero fields take the defaults.
type Settings struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// FirstWait is the wait before the first retry; it doubles.
	FirstWait time.Duration
	// MaxWait bounds one wait, other than one that an error asks for.
	MaxWait time.Duration
	// MinRun is the time an attempt needs; with less left none is started.
	MinRun time.Duration
	// Ratio is how many retries each success pays for.
	Ratio float64
	// PerSecond is the retries a second allowed without any success.
	PerSecond float64
	// Burst bounds the retries saved up.
	Burst float64
}

// Defaults of the settings.
const (
	DefaultMaxAttempts = 4
	DefaultFirstWait   = 5 * time.Millisecond
	DefaultMaxWait     = 500 * time.Millisecond
	DefaultMinRun      = 20 * time.Millisecond
	DefaultRatio       = 0.1
	DefaultPerSecond   = 1.0
	DefaultBurst       = 20.0
)

func (s *Settings) setDefaults() {
	if s.MaxAttempts == 0 {
		s.MaxAttempts = DefaultMaxAttempts
	}
	if s.FirstWait == 0 {
		s.FirstWait = DefaultFirstWait
	}
	if s.MaxWait == 0 {
		s.MaxWait = DefaultMaxWait
	}
	if s.MinRun == 0 {
		s.MinRun = DefaultMinRun
	}
	if s.Ratio == 0 {
		s.Ratio = DefaultRatio
	}
	if s.PerSecond == 0 {
		s.PerSecond = DefaultPerSecond
	}
	if s.Burst == 0 {
		s.Burst = DefaultBurst
	}
}

// Policy makes the plans of one entry. It is safe for concurrent use.
type Policy struct {
	settings Settings
	budgets  *budgets
}

// New returns a policy whose budgets are full at now.
func New(s Settings, now time.Time) *Policy {
	s.setDefaults()
	return &Policy{settings: s, budgets: newBudgets(s, now)}
}

// Succeeded pays a request's answer into the budgets of the entry and of the
// organisation. It is called once for each request that was answered.
func (p *Policy) Succeeded(organisation string) { p.budgets.deposit(organisation) }

// Plan begins the plan of one request. It is used by one goroutine.
func (p *Policy) Plan(organisation string, idempotent bool, deadline time.Time) *Plan {
	b := &backoff.ExponentialBackOff{
		InitialInterval: p.settings.FirstWait,
		Multiplier:      2,
		MaxInterval:     p.settings.MaxWait,
	}
	b.Reset()
	return &Plan{
		policy: p, organisation: organisation, idempotent: idempotent,
		deadline: deadline, backoff: b, worst: result.NotRun,
	}
}

// Plan is the retries of one request.
type Plan struct {
	policy       *Policy
	organisation string
	idempotent   bool
	deadline     time.Time
	// backoff grows the wait; its own jitter is off, so that the randomness
	// comes in as an argument.
	backoff  *backoff.ExponentialBackOff
	attempts int
	// worst is the outcome of the request so far over all attempts.
	worst result.Outcome
}

// Decision is what to do after a failed attempt: wait and try again, or
// answer the caller with Final.
type Decision struct {
	// Wait is the time until the next attempt; valid when Final is nil.
	Wait time.Duration
	// Final is the error for the caller.
	Final *result.Error
}

// Failure is a failed attempt.
type Failure struct {
	Err *result.Error
	// Began is set when a part of an answer has reached the caller.
	Began bool
	// Alone is set when no upstream is left that was not tried, so that the
	// next attempt goes back to one that failed.
	Alone bool
}

// Next decides after a failed attempt. rnd is a fresh random number from 0 to
// 1.
func (p *Plan) Next(f Failure, now time.Time, rnd float64) Decision {
	failure := f.Err
	p.attempts++
	p.worst = worse(p.worst, failure.Outcome)
	if f.Began || !p.mayRepeat(failure) {
		return p.final(failure)
	}
	if p.attempts >= p.policy.settings.MaxAttempts {
		return p.spent(failure)
	}
	wait := p.wait(f, rnd)
	if now.Add(wait + p.policy.settings.MinRun).After(p.deadline) {
		return p.spent(failure)
	}
	if !p.policy.budgets.withdraw(p.organisation, now) {
		return p.spent(failure)
	}
	return Decision{Wait: wait}
}

// mayRepeat reports whether another upstream could answer without running a
// call twice that may run only once.
func (p *Plan) mayRepeat(failure *result.Error) bool {
	if !elsewhere(failure.Code) {
		return false
	}
	return p.idempotent || p.worst == result.NotRun
}

// wait is a full jitter below the growing backoff. A refusal of the whole
// target is waited out. One of a single upstream is waited out only when the
// next attempt goes there again.
func (p *Plan) wait(f Failure, rnd float64) time.Duration {
	d := time.Duration(rnd * float64(p.backoff.NextBackOff()))
	if f.Alone || f.Err.Code == result.NoUpstream {
		d += f.Err.RetryAfter
	}
	return d
}

// final returns the failure as it is, but never as "not run" when an earlier
// attempt may have run.
func (p *Plan) final(failure *result.Error) Decision {
	if failure.Outcome == result.NotRun && p.worst != result.NotRun {
		return Decision{Final: p.uncertain(failure)}
	}
	return Decision{Final: failure}
}

// spent returns the error of a request that gets no further attempt though
// one could have helped.
func (p *Plan) spent(failure *result.Error) Decision {
	if p.worst != result.NotRun {
		return p.final(failure)
	}
	e := result.Wrap(failure, result.RetriesSpent, "refused %d times: %s", p.attempts, failure.Message)
	return Decision{Final: e.WithRetryAfter(max(failure.RetryAfter, p.policy.settings.MaxWait))}
}

func (p *Plan) uncertain(failure *result.Error) *result.Error {
	e := result.Wrap(failure, result.OutcomeUnknown, "an earlier attempt may have run: %s", failure.Message)
	return e.WithOutcome(p.worst)
}

// worse returns the outcome of two attempts together: it ran if one ran, and
// did not run only if neither may have.
func worse(a, b result.Outcome) result.Outcome {
	if a == result.Ran || b == result.Ran {
		return result.Ran
	}
	if a == result.Unknown || b == result.Unknown {
		return result.Unknown
	}
	return result.NotRun
}

// elsewhere reports whether a failure with the code may be cured by another
// upstream or a later attempt.
func elsewhere(c result.Code) bool {
	switch c {
	case result.NoUpstream, result.UpstreamBusy, result.UpstreamLeaving,
		result.UpstreamRefused, result.UpstreamFailed, result.Stopping,
		result.QueueFull, result.Quarantined, result.StaleRevision,
		result.NoConfiguration, result.AnswerCut, result.OutcomeUnknown,
		result.BadFrame, result.UnknownAttempt, result.Tombstoned,
		result.WrongIncarnation, result.BufferSpent:
		return true
	}
	return false
}
