package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/result"
)

// pendingWrite is the write of a claim's final state, queued until the table
// service accepts it.
type pendingWrite struct {
	claim Claim
	// expectedVersion is the version that the row must have.
	expectedVersion uint64
}

// Bounds of retrying a pending write.
const (
	initialRetryPause   = 200 * time.Millisecond
	maxRetryPause       = 10 * time.Second
	pendingWriteTimeout = 5 * time.Second
)

// finalWriteTimeout is the maximum time for which an answer is delayed by the write
// of its record.
const finalWriteTimeout = 500 * time.Millisecond

// Complete records the answer, with one write. When the table service does
// not accept it within finalWriteTimeout, Run retries the write, and the caller
// gets its answer all the same. Cancelling ctx does not stop the write.
func (c *Claim) Complete(ctx context.Context, a Answer) {
	stored := a.storable()
	c.rec.Answer = &stored
	c.writeFinalState(ctx, Done)
}

// Fail records that the call ran without an answer (outcome Ran), or that it
// may have run (any other).
func (c *Claim) Fail(ctx context.Context, o result.Outcome) {
	if o == result.Ran {
		c.writeFinalState(ctx, Lost)
		return
	}
	c.writeFinalState(ctx, Unknown)
}

// Release frees the key. It may be called only when the bound attempt is proven
// not to have run.
func (c *Claim) Release(ctx context.Context) { c.writeFinalState(ctx, Released) }

func (c *Claim) writeFinalState(ctx context.Context, s State) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer cancel()
	c.rec.State = s
	expectedVersion := c.version
	if err := c.write(ctx, expectedVersion); err != nil && !result.Is(err, result.TableConflict) {
		c.registry.enqueue(pendingWrite{claim: *c, expectedVersion: expectedVersion})
	}
}

// enqueue queues a write for Run. When the queue is full the write is dropped: the
// row stays claimed, and a repeat of the key asks the agent for the outcome.
func (b *Registry) enqueue(pw pendingWrite) {
	select {
	case b.pending <- pw:
	default:
	}
}

// Pending returns the number of writes queued for the table service.
func (b *Registry) Pending() int { return len(b.pending) }

// Run retries the queued writes in order until ctx ends.
func (b *Registry) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case pw := <-b.pending:
			b.retryUntilSettled(ctx, pw)
		}
	}
}

func (b *Registry) retryUntilSettled(ctx context.Context, pw pendingWrite) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialRetryPause
	pause.MaxInterval = maxRetryPause
	for ctx.Err() == nil {
		if b.writeOnce(ctx, pw) {
			return
		}
		timer := time.NewTimer(pause.NextBackOff())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// writeOnce tries a queued write once and reports whether it is settled: written,
// or superseded by another write. The row must still be the
// claim's own, since a write whose reply was lost may never have taken effect.
func (b *Registry) writeOnce(ctx context.Context, pw pendingWrite) bool {
	ctx, cancel := context.WithTimeout(ctx, pendingWriteTimeout)
	defer cancel()
	row, ok, err := b.opts.Table.Get(ctx, pw.claim.key)
	if err != nil {
		return false
	}
	if !ok || row.Version != pw.expectedVersion {
		return true
	}
	current, err := decode(row.Value)
	if err != nil || current.Binding != pw.claim.rec.Binding || current.State != Claimed {
		return true
	}
	err = pw.claim.write(ctx, pw.expectedVersion)
	return err == nil || result.Is(err, result.TableConflict)
}
