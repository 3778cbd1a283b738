package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/result"
)

// change is a write of a claim's end that waits for the table service.
type change struct {
	claim Claim
	// from is the version it is written over.
	from uint64
}

// The pauses between tries to write a pending change.
const (
	firstPause = 200 * time.Millisecond
	maxPause   = 10 * time.Second
	tryTimeout = 5 * time.Second
)

// endTimeout is how long an answer waits for its record.
const endTimeout = 500 * time.Millisecond

// Complete records the answer, with one write. When the table service does
// not take it in time, Run goes on, and the caller gets its answer all the
// same. The end of ctx does not stop it.
func (c *Claim) Complete(ctx context.Context, a Answer) {
	kept := a.kept()
	c.rec.Answer = &kept
	c.end(ctx, Done)
}

// Fail records that the call ran without an answer (outcome Ran), or that it
// may have run (any other).
func (c *Claim) Fail(ctx context.Context, o result.Outcome) {
	if o == result.Ran {
		c.end(ctx, Lost)
		return
	}
	c.end(ctx, Unknown)
}

// Release frees the key. It is right only when the bound attempt is proven
// not run.
func (c *Claim) Release(ctx context.Context) { c.end(ctx, Released) }

func (c *Claim) end(ctx context.Context, s State) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	c.rec.State = s
	from := c.version
	if err := c.write(ctx, from); err != nil && !result.Is(err, result.TableConflict) {
		c.book.later(change{claim: *c, from: from})
	}
}

// later queues a change. When the queue is full the change is dropped: the
// row stays claimed, and a repeated key is settled with the agent.
func (b *Book) later(ch change) {
	select {
	case b.pending <- ch:
	default:
	}
}

// Pending is how many changes wait for the table service.
func (b *Book) Pending() int { return len(b.pending) }

// Run writes the changes that the table service did not take, in order, until
// ctx ends.
func (b *Book) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case ch := <-b.pending:
			b.writeUntilTaken(ctx, ch)
		}
	}
}

func (b *Book) writeUntilTaken(ctx context.Context, ch change) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = maxPause
	for ctx.Err() == nil {
		if b.writeOnce(ctx, ch) {
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

// writeOnce reports whether the change is settled: written, or overtaken. The
// row must still be the claim's own, since a write whose reply was lost may
// never have taken effect.
func (b *Book) writeOnce(ctx context.Context, ch change) bool {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	row, ok, err := b.opts.Table.Get(ctx, ch.claim.key)
	if err != nil {
		return false
	}
	if !ok || row.Version != ch.from {
		return true
	}
	held, err := decode(row.Value)
	if err != nil || held.Binding != ch.claim.rec.Binding || held.State != Claimed {
		return true
	}
	err = ch.claim.write(ctx, ch.from)
	return err == nil || result.Is(err, result.TableConflict)
}
