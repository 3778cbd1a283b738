// Package retry decides whether and when a failed request is retried.
//
// A Plan belongs to one request. It allows another attempt only if all earlier
// ones are proven not to have run or the request is idempotent, no part of an
// answer has reached the caller, the retry budget allows it and enough time is
// left before the deadline. Otherwise it returns the final error at once. The
// package does no I/O; time and random numbers are arguments.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Settings configure the retry policy. Zero fields take the defaults.
type Settings struct {
	// MaxAttempts is the maximum number of attempts of one request, including the first.
	MaxAttempts int
	// InitialBackoff is the upper bound of the wait before the first retry. It doubles
	// with each retry.
	InitialBackoff time.Duration
	// MaxBackoff is the upper bound of one wait, without the RetryAfter of an error.
	MaxBackoff time.Duration
	// MinAttemptTime is the minimum time before the deadline to start an attempt.
	MinAttemptTime time.Duration
	// RetriesPerSuccess is the number of retries added to the budget by each
	// successful request.
	RetriesPerSuccess float64
	// RetriesPerSecond is the rate of retries added to the budget without any success.
	RetriesPerSecond float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
}

// Defaults of the settings.
const (
	DefaultMaxAttempts       = 4
	DefaultInitialBackoff    = 5 * time.Millisecond
	DefaultMaxBackoff        = 500 * time.Millisecond
	DefaultMinAttemptTime    = 20 * time.Millisecond
	DefaultRetriesPerSuccess = 0.1
	DefaultRetriesPerSecond  = 1.0
	DefaultBurst             = 20.0
)

func (s *Settings) setDefaults() {
	if s.MaxAttempts == 0 {
		s.MaxAttempts = DefaultMaxAttempts
	}
	if s.InitialBackoff == 0 {
		s.InitialBackoff = DefaultInitialBackoff
	}
	if s.MaxBackoff == 0 {
		s.MaxBackoff = DefaultMaxBackoff
	}
	if s.MinAttemptTime == 0 {
		s.MinAttemptTime = DefaultMinAttemptTime
	}
	if s.RetriesPerSuccess == 0 {
		s.RetriesPerSuccess = DefaultRetriesPerSuccess
	}
	if s.RetriesPerSecond == 0 {
		s.RetriesPerSecond = DefaultRetriesPerSecond
	}
	if s.Burst == 0 {
		s.Burst = DefaultBurst
	}
}

// Policy creates the plans of one entry and holds its retry budgets. It is safe for
// concurrent use.
type Policy struct {
	settings Settings
	budgets  *budgets
}

// New returns a policy with full budgets.
func New(s Settings, now time.Time) *Policy {
	s.setDefaults()
	return &Policy{settings: s, budgets: newBudgets(s, now)}
}

// Succeeded credits the budgets of the entry and of the organisation for a successful
// request. The caller calls it once for each.
func (p *Policy) Succeeded(organisation string) { p.budgets.deposit(organisation) }

// Plan returns the plan of one request. A plan is not safe for concurrent use.
func (p *Policy) Plan(organisation string, idempotent bool, deadline time.Time) *Plan {
	b := &backoff.ExponentialBackOff{
		InitialInterval: p.settings.InitialBackoff,
		Multiplier:      2,
		MaxInterval:     p.settings.MaxBackoff,
	}
	b.Reset()
	return &Plan{
		policy: p, organisation: organisation, idempotent: idempotent,
		deadline: deadline, backoff: b, outcome: result.NotRun,
	}
}

// Plan decides on the retries of one request.
type Plan struct {
	policy       *Policy
	organisation string
	idempotent   bool
	deadline     time.Time
	// backoff computes the upper bound of the wait. Its own jitter is off, because
	// random numbers are arguments of this package.
	backoff  *backoff.ExponentialBackOff
	attempts int
	// outcome is the combined outcome of all attempts so far.
	outcome result.Outcome
}

// Decision is the action after a failed attempt: retry after Wait, or return Final to
// the caller.
type Decision struct {
	// Wait is the time until the next attempt. It is valid if Final is nil.
	Wait time.Duration
	// Final is the error for the caller, or nil for a retry.
	Final *result.Error
}

// Failure describes a failed attempt.
type Failure struct {
	Err *result.Error
	// AnswerStarted is true if a part of an answer has reached the caller.
	AnswerStarted bool
	// AllTried is true if every upstream was tried, so that the next attempt goes
	// to one that failed before.
	AllTried bool
}

// Next decides what to do after a failed attempt. rnd is a random number from 0 to 1,
// drawn for each call.
func (p *Plan) Next(f Failure, now time.Time, rnd float64) Decision {
	failure := f.Err
	p.attempts++
	p.outcome = combineOutcomes(p.outcome, failure.Outcome)
	if f.AnswerStarted || !p.mayRetry(failure) {
		return p.final(failure)
	}
	if p.attempts >= p.policy.settings.MaxAttempts {
		return p.exhausted(failure)
	}
	wait := p.wait(f, rnd)
	if now.Add(wait + p.policy.settings.MinAttemptTime).After(p.deadline) {
		return p.exhausted(failure)
	}
	if !p.policy.budgets.withdraw(p.organisation, now) {
		return p.exhausted(failure)
	}
	return Decision{Wait: wait}
}

// mayRetry reports whether another attempt could succeed and would not run a request
// twice that is not idempotent.
func (p *Plan) mayRetry(failure *result.Error) bool {
	if !retryable(failure.Code) {
		return false
	}
	return p.idempotent || p.outcome == result.NotRun
}

// wait returns the time until the next attempt: exponential backoff with full jitter.
// It adds the RetryAfter of the failure if there is no upstream for the whole target, or
// if the next attempt goes to an upstream that was tried before.
func (p *Plan) wait(f Failure, rnd float64) time.Duration {
	d := time.Duration(rnd * float64(p.backoff.NextBackOff()))
	if f.AllTried || f.Err.Code == result.NoUpstream {
		d += f.Err.RetryAfter
	}
	return d
}

// final returns the failure unchanged, unless its outcome is NotRun and an earlier
// attempt may have run.
func (p *Plan) final(failure *result.Error) Decision {
	if failure.Outcome == result.NotRun && p.outcome != result.NotRun {
		return Decision{Final: p.outcomeUnknown(failure)}
	}
	return Decision{Final: failure}
}

// exhausted returns the error of a request whose failure is retryable but that has no
// attempts, time or budget left.
func (p *Plan) exhausted(failure *result.Error) Decision {
	if p.outcome != result.NotRun {
		return p.final(failure)
	}
	e := result.Wrap(failure, result.RetriesSpent, "refused %d times: %s", p.attempts, failure.Message)
	return Decision{Final: e.WithRetryAfter(max(failure.RetryAfter, p.policy.settings.MaxBackoff))}
}

// outcomeUnknown returns the error of a request of which an earlier attempt may have run.
func (p *Plan) outcomeUnknown(failure *result.Error) *result.Error {
	e := result.Wrap(failure, result.OutcomeUnknown, "an earlier attempt may have run: %s", failure.Message)
	return e.WithOutcome(p.outcome)
}

// combineOutcomes returns the combined outcome of two attempts: Ran if either ran,
// NotRun only if neither can have run.
func combineOutcomes(a, b result.Outcome) result.Outcome {
	if a == result.Ran || b == result.Ran {
		return result.Ran
	}
	if a == result.Unknown || b == result.Unknown {
		return result.Unknown
	}
	return result.NotRun
}

// retryable reports whether a request that failed with the code may succeed on another
// upstream or in a later attempt.
func retryable(c result.Code) bool {
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
