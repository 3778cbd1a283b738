package claim

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/result"
)

// retryInProgress is the advice to a caller whose first call still runs.
const retryInProgress = time.Second

// meet handles a key that has a row: first is its record.
func (b *Book) meet(ctx context.Context, c *Claim, first *record, version uint64) (*Claim, *Answer, error) {
	now := b.opts.Now()
	if !now.Before(first.Expires) {
		return b.takeOver(ctx, c, version)
	}
	if first.State == Released {
		return b.takeOver(ctx, c, version)
	}
	if first.Call != c.rec.Call {
		return nil, nil, result.New(result.KeyReused, "the idempotency key was used for another call")
	}
	switch first.State {
	case Done:
		if first.Answer != nil && first.Answer.Stored() {
			return nil, first.Answer, nil
		}
		return nil, nil, result.New(result.AnswerCut, "the first call ran; its answer was too large to keep")
	case Lost:
		return nil, nil, result.New(result.AnswerCut, "the first call ran; its answer was lost")
	case Claimed:
		if now.Before(first.Deadline) {
			return nil, nil, result.New(result.InProgress, "the first call may still run").WithRetryAfter(retryInProgress)
		}
	}
	return b.settle(ctx, c, first, version)
}

// settle asks the agent about a claim whose claimant should have ended it, or
// could not learn the outcome itself.
func (b *Book) settle(ctx context.Context, c *Claim, first *record, version uint64) (*Claim, *Answer, error) {
	age := b.opts.Now().Sub(first.ClaimedAt) + attempt.MaxClockSkew
	got, err := b.opts.Settle(ctx, first.Binding, age)
	if err != nil {
		return nil, nil, result.Wrap(err, result.OutcomeUnknown, "the first call's agent does not answer").
			WithRetryAfter(retryInProgress)
	}
	switch {
	case got.Outcome == result.NotRun:
		return b.takeOver(ctx, c, version)
	case got.Running():
		return nil, nil, result.New(result.InProgress, "the first call still runs").WithRetryAfter(retryInProgress)
	case got.Outcome == result.Ran:
		return nil, nil, result.New(result.AnswerCut, "the first call ran; its answer was lost")
	}
	return nil, nil, result.New(result.OutcomeUnknown, "it cannot be known whether the first call ran")
}

// takeOver claims a key whose earlier call did not run, or is forgotten. The
// version shuts out the earlier claimant and every other request.
func (b *Book) takeOver(ctx context.Context, c *Claim, version uint64) (*Claim, *Answer, error) {
	err := c.write(ctx, version)
	switch {
	case err == nil:
		return c, nil, nil
	case result.Is(err, result.TableConflict):
		return nil, nil, result.New(result.InProgress, "another request took the key").
			WithRetryAfter(retryInProgress)
	case result.Is(err, result.TableUnknown):
		c.rec.State = Released
		b.later(change{claim: *c, from: version + 1})
	}
	return nil, nil, result.From(err).WithOutcome(result.NotRun)
}
