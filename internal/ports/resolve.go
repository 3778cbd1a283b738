package ports

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// The pauses between the tries of CommitResolved.
const (
	firstResolvePause = 50 * time.Millisecond
	maxResolvePause   = time.Second
)

// CommitResolved commits the transaction and resolves a lost reply: it sends
// the same transaction again and reads back its operation ID until the effect
// is known or the context ends. The transaction must exclude itself: one of
// its conditions must stop holding once it has taken effect.
//
// It returns nil when the transaction took effect, TableConflict when it never
// will, and TableUnknown when the context ended before that was known. Any
// other error means that the first try was refused and nothing was written.
func CommitResolved(ctx context.Context, t Table, txn Txn) error {
	err := t.Commit(ctx, txn)
	if !result.Is(err, result.TableUnknown) {
		return err
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstResolvePause
	pause.MaxInterval = maxResolvePause
	for wait.For(ctx, pause.NextBackOff()) {
		applied, readErr := t.Applied(ctx, txn.OperationID)
		if readErr != nil {
			continue
		}
		if applied {
			return nil
		}
		again := t.Commit(ctx, txn)
		if again == nil {
			return nil
		}
		if !result.Is(again, result.TableConflict) {
			continue
		}
		if done, known := settled(ctx, t, txn.OperationID); known {
			return conflictUnless(done, again)
		}
	}
	return result.Wrap(err, result.TableUnknown, "the effect of operation %s is not known", txn.OperationID)
}

// settled reads back an operation that conflicted after a lost reply: either
// its first copy took effect, or none will.
func settled(ctx context.Context, t Table, operationID string) (applied, known bool) {
	applied, err := t.Applied(ctx, operationID)
	return applied, err == nil
}

func conflictUnless(applied bool, conflict error) error {
	if applied {
		return nil
	}
	return conflict
}
