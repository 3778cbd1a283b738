package entry

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// sentAttempt is an attempt whose answer was read to its end.
type sentAttempt struct {
	id     string
	choice balance.Choice
	at     time.Time
	stream *link.Stream
	// err is why the answer is not whole or did not reach the caller.
	err error
}

// closeAttempt records the end of an attempt of the request, and returns its
// failure, if any.
func (e *Entry) closeAttempt(ctx context.Context, req *attempt.Request, a sentAttempt) *result.Error {
	ending := a.stream.Ending()
	var failure *result.Error
	if a.err != nil {
		failure = result.From(a.err)
		if !ending.Whole {
			ending = attempt.Ending{Outcome: failure.Outcome, Code: failure.Code}
		}
		if unwanted(ctx, req, failure) {
			e.cancel(a.stream, ctx.Err() == nil && failure.Code != result.CallerGone)
		}
	}
	if err := req.Conclude(a.id, ending); err != nil {
		failure = result.Wrap(err, result.Internal, "attempt cannot be closed")
	}
	e.learnFrom(a, failure)
	return failure
}

// learnFrom tells every part what the end of an attempt says of its agent, host
// and upstream, and keeps a copy of its charge.
func (e *Entry) learnFrom(a sentAttempt, failure *result.Error) {
	agent := a.choice.Agent
	e.agents.heard(agent, a.stream.Incarnation())
	if failure != nil && (failure.Code == result.WrongIncarnation || failure.Code == result.NoUpstream) {
		e.agents.forget(agent)
	}
	e.tellMembers(a.choice.Host, a.at, a.stream, failure)
	e.config.Saw(agent, a.stream.Revision())
	e.picker.Finished(a.choice, observation(failure, a.stream.Load()), e.now())
	if c := a.stream.Final().GetCharge(); c != nil {
		e.copies.Add(agent, c)
	}
}

// Bounds of telling agents that an answer is no longer wanted.
const (
	cancelTimeout = 2 * time.Second
	cancelWorkers = 16
	cancelQueue   = 1024
)

// cancel tells the agent in the background that nobody waits for the answer.
// One that is not told finishes in vain: its charge counts once all the same.
func (e *Entry) cancel(stream *link.Stream, superseded bool) {
	err := e.cancels.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if err := stream.Cancel(ctx, superseded); err != nil {
			e.metrics.cancelLost.Inc(1)
		}
	})
	if err != nil {
		e.metrics.cancelLost.Inc(1)
	}
}

// unwanted reports whether the agent is told that nobody waits for the answer. A
// call that may not be repeated goes on, so that its key can get the answer.
func unwanted(ctx context.Context, req *attempt.Request, failure *result.Error) bool {
	if !req.Idempotent() {
		return false
	}
	return ctx.Err() != nil || failure.Code == result.CallerGone || failure.Outcome == result.Unknown
}

// observation turns the end of an attempt into what it tells of the upstream.
func observation(failure *result.Error, load *linkv1.Load) balance.Observation {
	o := balance.Observation{Outcome: balance.Answered}
	if load != nil {
		l := loadOf(load)
		o.Load = &l
	}
	if failure == nil {
		return o
	}
	switch failure.Code {
	case result.UpstreamLeaving:
		// The agent may know it from the host list before this entry does.
		o.Outcome = balance.Busy
		o.Load = &balance.Load{Leaving: true}
	case result.CallerGone:
		o.Outcome = balance.Cancelled
	case result.UpstreamRefused, result.NoUpstream:
		o.Outcome = balance.Refused
	case result.DeadlineExceeded:
		o.Outcome = balance.Expired
	case result.OutcomeUnknown, result.BadFrame:
		o.Outcome = balance.TimedOut
	case result.UpstreamFailed, result.AnswerCut:
		o.Outcome = balance.Failed
	default:
		o.Outcome = balance.Busy
	}
	return o
}
