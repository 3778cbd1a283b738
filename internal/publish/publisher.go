package publish

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// The bounds of a publication.
const (
	// SnapshotEvery is the number of revisions between two snapshots.
	SnapshotEvery = 64
	// compactPerPublish is how many old deltas one publication deletes, so
	// that compaction never comes as a burst of writes.
	compactPerPublish = 4
	// maxRaces is how often a publication starts again behind another one.
	maxRaces = 12
	// racePause is the longest first pause before it starts again; the bound
	// grows with each race.
	racePause = 50 * time.Millisecond
)

// PublisherOptions configure a Publisher. Nil functions take the usual ones.
type PublisherOptions struct {
	Now   func() time.Time
	NewID func() string
	// Floor returns the highest revision that is known to be in force at a
	// daemon. A store behind it was restored from an old backup, and takes no
	// publication until the daemons have repaired it. Nil skips the check.
	Floor func(context.Context) (uint64, error)
}

// Publisher writes revisions. It keeps the last state it read, so that a
// second publication reads only what is new. It is used by one goroutine at a
// time: an operator's command, or the holder of a lease.
type Publisher struct {
	store   Store
	options PublisherOptions
	last    State
}

// NewPublisher returns a publisher that writes to the store.
func NewPublisher(store Store, o PublisherOptions) *Publisher {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	return &Publisher{store: store, options: o}
}

// Change asks for a whole set in the place of another.
type Change struct {
	Author string
	// Base is the revision that the author started from; 0 means the head as
	// it is read first.
	Base uint64
	// Want is the whole set that the author wants.
	Want *catalog.Set
}

// Published is an accepted revision.
type Published struct {
	State State
	// Delta is what changed; it is empty when the set was in force already
	// and no new revision was made.
	Delta       catalog.Delta
	OperationID string
}

// EditFunc returns what to change in a state. It is called again on the newer
// state when another publication came first.
type EditFunc func(current State) (catalog.Delta, error)

// Publish brings the wanted set into force. What the author changed since the
// base is carried over onto the head when another publication changed other
// objects. Errors: *CheckError when the set has faults, *ConflictError when
// the same objects were changed, RevisionBehind when the base is no longer
// known or the store is behind the daemons, TableUnknown when the context
// ended before the effect was known.
func (p *Publisher) Publish(ctx context.Context, c Change) (Published, error) {
	head, _, err := p.store.Head(ctx)
	if err != nil {
		return Published{}, err
	}
	base, err := p.base(ctx, head, c.Base)
	if err != nil {
		return Published{}, err
	}
	edit := func(current State) (catalog.Delta, error) {
		return merge(base.Set, c.Want, current.Set)
	}
	return p.Edit(ctx, c.Author, edit)
}

// base returns the state that the author started from.
func (p *Publisher) base(ctx context.Context, head Head, revision uint64) (State, error) {
	if revision == 0 || revision == head.Revision {
		state, _, err := p.load(ctx, head)
		return state, err
	}
	if revision > head.Revision {
		return State{}, result.New(result.RevisionBehind, "the head is at revision %d, before the base %d", head.Revision, revision)
	}
	return p.store.At(ctx, head, revision)
}

// Edit publishes what the function changes. The guards are further conditions
// of the transaction, such as the row of a lease; LeaseLost means that one of
// them no longer holds.
func (p *Publisher) Edit(ctx context.Context, author string, edit EditFunc, guards ...ports.Condition) (Published, error) {
	var lastErr error
	for race := range maxRaces {
		if race > 0 && !pauseAfterRace(ctx, race) {
			break
		}
		head, _, err := p.store.Head(ctx)
		if err != nil {
			return Published{}, err
		}
		out, err := p.try(ctx, head, author, edit, guards)
		if !result.Is(err, result.TableConflict) {
			return out, err
		}
		lastErr = err
		now, _, err := p.store.Head(ctx)
		if err == nil && now.RowVersion == head.RowVersion && len(guards) > 0 {
			return Published{}, result.Wrap(lastErr, result.LeaseLost, "the lease was lost before the publication")
		}
	}
	return Published{}, result.Wrap(lastErr, result.PublishConflict, "other publications kept coming first")
}

func pauseAfterRace(ctx context.Context, race int) bool {
	timer := time.NewTimer(rand.N(time.Duration(race) * racePause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try makes one publication on the head as read. TableConflict means that
// another one came first.
func (p *Publisher) try(ctx context.Context, head Head, author string, edit EditFunc, guards []ports.Condition) (Published, error) {
	if err := p.checkFloor(ctx, head); err != nil {
		return Published{}, err
	}
	current, intact, err := p.load(ctx, head)
	if err != nil {
		return Published{}, err
	}
	delta, err := edit(current)
	if err != nil {
		return Published{}, err
	}
	if delta.Empty() && head.RowVersion != 0 {
		return Published{State: current}, nil
	}
	next, err := p.check(current, delta)
	if err != nil {
		return Published{}, err
	}
	operation := p.options.NewID()
	newHead, writes, err := p.writes(ctx, head, next, delta, author, operation, intact)
	if err != nil {
		return Published{}, err
	}
	txn := ports.Txn{
		OperationID: operation,
		Conditions:  append([]ports.Condition{{Key: HeadKey, Version: head.RowVersion}}, guards...),
		Writes:      writes,
	}
	if err := ports.CommitResolved(ctx, p.store.Table, txn); err != nil {
		return Published{}, err
	}
	p.last = next
	p.dropOldSnapshots(ctx, head, newHead)
	return Published{State: next, Delta: delta, OperationID: operation}, nil
}

func (p *Publisher) checkFloor(ctx context.Context, head Head) error {
	if p.options.Floor == nil {
		return nil
	}
	floor, err := p.options.Floor(ctx)
	if err != nil {
		return err
	}
	if head.Revision < floor {
		return result.New(result.RevisionBehind, "the store is at revision %d and a daemon at %d; the daemons repair a restored store by themselves", head.Revision, floor)
	}
	return nil
}

// load returns the state of the head, from the state read last if that leads
// there.
func (p *Publisher) load(ctx context.Context, head Head) (State, bool, error) {
	if head.RowVersion == 0 {
		state, err := empty(p.options.NewID())
		return state, true, err
	}
	if p.last.Set != nil && p.last.History == head.History && p.last.Revision <= head.Revision {
		if state, err := p.store.follow(ctx, head, p.last); err == nil {
			p.last = state
			return state, true, nil
		}
	}
	state, intact, err := p.store.Load(ctx, head)
	if err == nil {
		p.last = state
	}
	return state, intact, err
}

// check returns the state after the delta, once its whole set is checked.
func (p *Publisher) check(current State, delta catalog.Delta) (State, error) {
	set, err := current.Set.Apply(delta)
	if err != nil {
		return State{}, result.Wrap(err, result.CheckFailed, "an object cannot be read")
	}
	if faults := set.Check(); len(faults) > 0 {
		return State{}, &CheckError{Faults: faults}
	}
	return State{Revision: current.Revision + 1, Digest: set.Digest(), History: current.History, Set: set}, nil
}

// writes returns the new head and the rows of one publication: the delta, the
// head and the deletion of deltas that no snapshot needs any more.
func (p *Publisher) writes(ctx context.Context, head Head, next State, delta catalog.Delta, author, operation string, intact bool) (Head, []ports.Write, error) {
	message := toWire(delta, next)
	message.Author = author
	message.AtMs = p.options.Now().UnixMilli()
	message.OperationId = operation
	value, err := p.store.encodeDelta(ctx, message)
	if err != nil {
		return Head{}, nil, err
	}
	newHead := p.nextHead(ctx, head, next, message, intact)
	writes := []ports.Write{{Key: DeltaKey(next.Revision), Value: value}}
	writes = append(writes, compact(head, &newHead)...)
	if newest(newHead) == next.Revision {
		writes = append(writes, p.store.lineWrites(ctx, head, next)...)
	}
	row, err := json.Marshal(newHead)
	if err != nil {
		return Head{}, nil, err
	}
	return newHead, append(writes, ports.Write{Key: HeadKey, Value: row}), nil
}

// nextHead returns the head of the next state, with a new snapshot when one
// is due. A publication does not wait for an object store that is out: the
// next one makes the snapshot.
func (p *Publisher) nextHead(ctx context.Context, head Head, next State, d *linkv1.Delta, intact bool) Head {
	out := Head{
		Revision:    next.Revision,
		Digest:      next.Digest,
		History:     next.History,
		Snapshots:   head.Snapshots,
		Oldest:      max(head.Oldest, 1),
		Author:      d.GetAuthor(),
		AtMs:        d.GetAtMs(),
		OperationID: d.GetOperationId(),
	}
	if intact && next.Revision < newest(head)+SnapshotEvery {
		return out
	}
	ref, err := p.store.PutSnapshot(ctx, next)
	if err != nil {
		return out
	}
	older := head.Snapshots
	if !intact && len(older) > 0 {
		older = older[1:]
	}
	out.Snapshots = append([]SnapshotRef{ref}, older...)
	if len(out.Snapshots) > 2 {
		out.Snapshots = out.Snapshots[:2]
	}
	return out
}

// newest returns the revision of the newest snapshot, or 0.
func newest(h Head) uint64 {
	if len(h.Snapshots) == 0 {
		return 0
	}
	return h.Snapshots[0].Revision
}

// compact deletes some deltas that the older of the two snapshots covers.
func compact(head Head, newHead *Head) []ports.Write {
	if len(newHead.Snapshots) < 2 {
		return nil
	}
	covered := newHead.Snapshots[1].Revision
	var writes []ports.Write
	for len(writes) < compactPerPublish && newHead.Oldest <= covered && newHead.Oldest <= head.Revision {
		writes = append(writes, ports.Write{Key: DeltaKey(newHead.Oldest), Delete: true})
		newHead.Oldest++
	}
	return writes
}

// dropOldSnapshots deletes snapshots that the head no longer names. A failure
// leaves an object that nothing reads.
func (p *Publisher) dropOldSnapshots(ctx context.Context, old, head Head) {
	for _, ref := range old.Snapshots {
		if !named(head, ref) {
			_ = p.store.Objects.Delete(ctx, ref.Name)
		}
	}
}

func named(h Head, ref SnapshotRef) bool {
	for _, s := range h.Snapshots {
		if s.Name == ref.Name {
			return true
		}
	}
	return false
}
