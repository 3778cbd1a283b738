package rolloutrun

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// retireEvery is the pause between two looks for roll-outs that have ended.
const retireEvery = time.Hour

// itemPrefix is that of the work items of roll-outs.
const itemPrefix = "rollout/"

// Retire deletes the lease rows of roll-outs that have ended or left the
// configuration, until ctx ends.
func (r *Runner) Retire(ctx context.Context) error {
	for wait.For(ctx, retireEvery) {
		if err := r.RetireOnce(ctx); err != nil {
			r.options.Log.Info("rows of ended roll-outs are kept", zap.Error(err))
		}
	}
	return nil
}

// RetireOnce looks once. A lease that may still be held is left to a later look.
func (r *Runner) RetireOnce(ctx context.Context) error {
	items, err := r.options.Leases.Items(ctx, itemPrefix)
	if err != nil {
		return err
	}
	for _, item := range items {
		set := r.options.Set()
		if set == nil {
			return nil
		}
		x := set.Rollouts[strings.TrimPrefix(item, itemPrefix)]
		if x != nil && !ended(x) {
			continue
		}
		if err := r.options.Leases.Retire(ctx, item); err != nil && !result.Is(err, result.LeaseHeld) {
			return err
		}
	}
	return nil
}
