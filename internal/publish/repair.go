package publish

import (
	"context"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
)

// repair writes the state in force back to a store that was restored from an
// old backup, so that no accepted revision is lost. It waits for a second
// poll to agree, and all daemons but the first find the head repaired.
func (f *Follower) repair(ctx context.Context, head Head) {
	f.mu.Lock()
	state := f.log.Current()
	f.trouble(result.New(result.RevisionBehind,
		"the store is at revision %d; revision %d stays in force", head.Revision, state.Revision))
	wait := f.behindPolls < repairAfterPolls || f.options.NoRepair
	f.mu.Unlock()
	if wait {
		return
	}
	err := f.options.Store.write(ctx, head, state, f.options.Name, uuid.NewString())
	if err != nil {
		f.options.Log.Info("publish: the store was not repaired", zap.Error(err))
		return
	}
	f.mu.Lock()
	f.status.Repairs++
	f.mu.Unlock()
	f.options.Log.Warn("publish: repaired the store", zap.Uint64("revision", state.Revision), zap.Uint64("was", head.Revision))
}

// repairAfterPolls is how many polls in a row must find the store behind.
const repairAfterPolls = 2
