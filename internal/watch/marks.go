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

// markRetry is the pause before a mark is tried again.
const markRetry = time.Second

// MarkKey returns the key of the row that a host writes before its first
// answer of a new version. A host that starts and finds it has answered with
// the version before, and takes its share so far for used up.
func MarkKey(version catalog.VersionName, host string) string {
	return "exposure/" + string(version) + "/" + host
}

// Mark finds out whether the host ran the version before, and leaves the mark.
// It tries until the table service answers or ctx ends; until then the host
// grants no answer of the version.
func Mark(ctx context.Context, t ports.Table, h *Host, version catalog.VersionName) {
	for {
		ranBefore, err := mark(ctx, t, MarkKey(version, h.name))
		if err == nil {
			h.Marked(version, ranBefore)
			return
		}
		if !wait.For(ctx, markRetry) {
			return
		}
	}
}

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
