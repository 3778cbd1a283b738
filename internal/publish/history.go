package publish

import (
	"context"
	"encoding/json"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// At returns an earlier state of the head's history. It returns
// RevisionBehind when compaction has removed what leads there.
func (s Store) At(ctx context.Context, h Head, revision uint64) (State, error) {
	for _, ref := range h.Snapshots {
		if ref.Revision > revision {
			continue
		}
		state, err := s.Snapshot(ctx, ref, h.History)
		if damaged(err) {
			continue
		}
		if err != nil {
			return State{}, err
		}
		return s.advance(ctx, state, revision)
	}
	if h.Oldest != 1 {
		return State{}, result.New(result.RevisionBehind, "revision %d is no longer kept", revision)
	}
	first, err := empty(h.History)
	if err != nil {
		return State{}, err
	}
	return s.advance(ctx, first, revision)
}

func (s Store) advance(ctx context.Context, from State, upTo uint64) (State, error) {
	deltas, err := s.Deltas(ctx, from.Revision, upTo)
	if err != nil {
		return State{}, err
	}
	return from.next(deltas)
}

// Outcome tells what became of a publication whose reply was lost: the
// revision that it made, or false when it took no effect. The table service
// keeps operation IDs for an hour; the delta keeps its own for longer.
func (s Store) Outcome(ctx context.Context, operationID string) (uint64, bool, error) {
	head, ok, err := s.Head(ctx)
	if err != nil || !ok {
		return 0, false, err
	}
	deltas, err := s.Deltas(ctx, max(head.Oldest, 1)-1, head.Revision)
	if err != nil {
		return 0, false, err
	}
	for _, d := range deltas {
		if d.GetOperationId() == operationID {
			return d.GetRevision(), true, nil
		}
	}
	return 0, false, nil
}

// write puts the state in the place of the head as read, with a snapshot of
// its own. It is how a store that lost revisions gets them back.
func (s Store) write(ctx context.Context, head Head, state State, author, operation string) error {
	ref, err := s.PutSnapshot(ctx, state)
	if err != nil {
		return err
	}
	row, err := json.Marshal(Head{
		Revision:    state.Revision,
		Digest:      state.Digest,
		History:     state.History,
		Snapshots:   []SnapshotRef{ref},
		Oldest:      state.Revision + 1,
		Author:      author,
		OperationID: operation,
	})
	if err != nil {
		return err
	}
	return ports.CommitResolved(ctx, s.Table, ports.Txn{
		OperationID: operation,
		Conditions:  []ports.Condition{{Key: HeadKey, Version: head.RowVersion}},
		Writes:      []ports.Write{{Key: HeadKey, Value: row}},
	})
}

// Replace starts a new history whose first revision is above every revision
// known at a daemon. An operator calls it when the store was lost or holds a
// line of revisions that the daemons refuse.
func (p *Publisher) Replace(ctx context.Context, state State, floor uint64, author string) (State, error) {
	head, _, err := p.store.Head(ctx)
	if err != nil {
		return State{}, err
	}
	if faults := state.Set.Check(); len(faults) > 0 {
		return State{}, &CheckError{Faults: faults}
	}
	state.Revision = max(head.Revision, floor, state.Revision) + 1
	state.Digest = state.Set.Digest()
	state.History = p.options.NewID()
	if err := p.store.write(ctx, head, state, author, p.options.NewID()); err != nil {
		return State{}, err
	}
	p.last = state
	return state, nil
}
