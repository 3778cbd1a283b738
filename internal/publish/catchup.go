package publish

import (
	"context"

	"tarragonbay.example/tarragonbay/internal/result"
)

// catchUp takes the revisions between the state in force and the head.
func (f *Follower) catchUp(ctx context.Context, head Head) {
	err := f.takeHead(ctx, head)
	if err == nil || result.Is(err, result.RevisionBehind) {
		return
	}
	f.mu.Lock()
	f.trouble(err)
	f.mu.Unlock()
	f.askPeers(ctx)
}

// takeHead reads the deltas up to the head, or its snapshot when they do not
// lead on from the state in force.
func (f *Follower) takeHead(ctx context.Context, head Head) error {
	f.mu.Lock()
	current := f.log.Current()
	f.mu.Unlock()
	if !deltasLeadOn(current, head) {
		if err := f.options.Store.checkLine(ctx, current, head); err != nil {
			return err
		}
		return f.takeSnapshot(ctx, head)
	}
	deltas, err := f.options.Store.Deltas(ctx, current.Revision, head.Revision)
	if err != nil {
		return err
	}
	return f.append(deltas, sourceStore)
}

// maxDeltasBehind is how many deltas a daemon reads one by one before a
// snapshot is cheaper.
const maxDeltasBehind = SnapshotEvery

// deltasLeadOn reports whether the store keeps the deltas between the state
// and the head, and they are few.
func deltasLeadOn(current State, head Head) bool {
	return current.Set != nil &&
		current.History == head.History &&
		current.Revision+1 >= head.Oldest &&
		head.Revision-current.Revision <= maxDeltasBehind
}

// takeSnapshot loads the whole state of the head.
func (f *Follower) takeSnapshot(ctx context.Context, head Head) error {
	state, _, err := f.options.Store.Load(ctx, head)
	if err != nil {
		return err
	}
	return f.install(state, sourceStore)
}
