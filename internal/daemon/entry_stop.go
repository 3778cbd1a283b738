package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

func (r *entryRole) drain(ctx context.Context) error {
	r.entry.Drain()
	left := r.entry.Wait(ctx)
	r.finishClaims(ctx)
	r.handInAll(ctx)
	if left > 0 {
		return result.New(result.Stopping, "%d requests were cut at the end of the drain time", left)
	}
	return nil
}

// flushTimeout bounds each flush at a stop; flushPause is the pause after a
// failed try.
const (
	flushTimeout = 10 * time.Second
	flushPause   = 100 * time.Millisecond
)

// finishClaims waits until the ends of calls that may not be repeated are
// written. What is left is settled with the agents when a key is repeated.
func (r *entryRole) finishClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for r.claims.Pending() > 0 && ctx.Err() == nil {
		wait.For(ctx, flushPause)
	}
	if left := r.claims.Pending(); left > 0 {
		r.daemon.log.Part("claims").Warn("ends of claims not written", zap.Int("claims", left))
	}
}

// handInAll hands in the copies of all charges that are not known to be
// durable, since their agents may die after this entry.
func (r *entryRole) handInAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.copies.MarkAllAgentsGone()
	for r.copies.Counts().Orphans > 0 && ctx.Err() == nil {
		if !r.copies.HandInOnce(ctx) {
			wait.For(ctx, flushPause)
		}
	}
	if left := r.copies.Counts().Orphans; left > 0 {
		r.daemon.log.Part("ledger").Warn("copies of charges not handed in", zap.Int("charges", left))
	}
}
