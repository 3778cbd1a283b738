package watch

import (
	"context"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// markRetryInterval is the pause before writing a mark is retried.
const markRetryInterval = time.Second

// MarkKey returns the key of the mark, a row that a host writes before its first
// answer of a new version. A host that finds the mark when it starts served the
// version before, and treats its share granted so far as used up.
func MarkKey(version catalog.VersionName, host string) string {
	return "exposure/" + string(version) + "/" + host
}

// Mark looks up whether the host ran the version before, writes the mark if it did
// not, and calls h.SetRanBefore. It retries until the table service succeeds or ctx
// ends. Until then the host grants no answers of the version.
func Mark(ctx context.Context, t ports.Table, h *Host, version catalog.VersionName) {
	for {
		ranBefore, err := mark(ctx, t, MarkKey(version, h.name))
		if err == nil {
			h.SetRanBefore(version, ranBefore)
			return
		}
		if !wait.For(ctx, markRetryInterval) {
			return
		}
	}
}

// mark reports whether the mark exists already, and writes it otherwise.
func mark(ctx context.Context, t ports.Table, key string) (ranBefore bool, err error) {
	_, found, err := t.Get(ctx, key)
	if err != nil || found {
		return found, err
	}
	err = ports.CommitResolved(ctx, t, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{{Key: key}},
		Writes:      []ports.Write{{Key: key, Value: []byte("1")}},
	})
	if result.Is(err, result.TableConflict) {
		return true, nil
	}
	return false, err
}
