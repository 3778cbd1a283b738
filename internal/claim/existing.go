package claim

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/result"
)

// retryInProgress is the retry delay advised to a caller whose first call may
// still be running.
const retryInProgress = time.Second

// handleExisting handles a key that has a row. first is the row's record.
func (b *Registry) handleExisting(ctx context.Context, c *Claim, first *record, version uint64) (*Claim, *Answer, error) {
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
	if first.State == Done && first.Answer != nil && first.Answer.Stored() {
		return nil, first.Answer, nil
	}
	existing := &Claim{registry: b, key: c.key, version: version, rec: *first}
	switch {
	case first.State == Done:
		return b.replay(ctx, existing, result.New(result.AnswerCut, "the first call ran; its answer was too large to keep"))
	case first.State == Lost:
		return b.replay(ctx, existing, errAnswerLost())
	case first.State == Claimed && now.Before(first.Deadline):
		return b.replay(ctx, existing, inProgress("the first call may still run"))
	}
	return b.settle(ctx, c, existing)
}

// settle asks the agent for the outcome of a claim that its claimant has not ended
// by the deadline, or has ended without knowing the outcome.
func (b *Registry) settle(ctx context.Context, c, first *Claim) (*Claim, *Answer, error) {
	age := b.opts.Now().Sub(first.rec.ClaimedAt) + attempt.MaxClockSkew
	got, err := b.opts.Settle(ctx, first.rec.Binding, age)
	if err != nil {
		return nil, nil, result.Wrap(err, result.OutcomeUnknown, "the first call's agent does not answer").
			WithRetryAfter(retryInProgress)
	}
	switch {
	case got.Outcome == result.NotRun:
		return b.takeOver(ctx, c, first.version)
	case got.Running():
		return nil, nil, inProgress("the first call still runs")
	case got.Outcome == result.Ran:
		return b.replay(ctx, first, errAnswerLost())
	}
	return nil, nil, result.New(result.OutcomeUnknown, "it cannot be known whether the first call ran")
}

// errAnswerLost returns the error for a first call that ran and whose answer is
// not available.
func errAnswerLost() *result.Error {
	return result.New(result.AnswerCut, "the first call ran; its answer was lost")
}

// takeOver claims a key whose earlier call did not run or has expired. The
// condition on the version excludes the earlier claimant and concurrent requests.
func (b *Registry) takeOver(ctx context.Context, c *Claim, version uint64) (*Claim, *Answer, error) {
	err := c.write(ctx, version)
	switch {
	case err == nil:
		return c, nil, nil
	case result.Is(err, result.TableConflict):
		return nil, nil, inProgress("another request took the key")
	case result.Is(err, result.TableUnknown):
		c.rec.State = Released
		b.enqueue(pendingWrite{claim: *c, expectedVersion: version + 1})
	}
	return nil, nil, result.From(err).WithOutcome(result.NotRun)
}
