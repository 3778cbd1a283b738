package rolloutrun

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// retireInterval is the interval at which the leases of ended rollouts are
// deleted.
const retireInterval = time.Hour

// itemPrefix is the common prefix of the work items of rollouts.
const itemPrefix = "rollout/"

// Retire periodically deletes the lease rows of rollouts that have ended or were
// removed from the configuration, until ctx is done.
func (r *Runner) Retire(ctx context.Context) error {
	for wait.For(ctx, retireInterval) {
		if err := r.RetireOnce(ctx); err != nil {
			r.options.Log.Info("cannot delete lease rows of ended rollouts", zap.Error(err))
		}
	}
	return nil
}

// RetireOnce does one pass of Retire. It skips a lease that may still be held;
// a later pass deletes it.
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
