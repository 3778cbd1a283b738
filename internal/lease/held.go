package lease

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Held is one tenure of a lease. It is safe for concurrent use.
type Held struct {
	table    ports.Table
	item     string
	owner    Owner
	duration time.Duration

	mu          sync.Mutex
	beatVersion uint64
	renewals    uint64
	validUntil  time.Time
	lost        bool
}

// Item returns the name of the work item.
func (h *Held) Item() string { return h.item }

// Fence returns the fencing number, which every order under the lease carries.
func (h *Held) Fence() uint64 { return h.owner.Fence }

// Check returns LeaseLost when the lease is no longer held, by this process's
// own clock. It is called right before each act; what is written goes through
// Commit besides, since a pause can come after any check.
func (h *Held) Check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost || !time.Now().Before(h.validUntil) {
		return h.lostError()
	}
	return nil
}

func (h *Held) lostError() error {
	return result.New(result.LeaseLost, "the lease of %s with fencing number %d is no longer held", h.item, h.owner.Fence)
}

// Condition returns what a transaction must hold to be this tenure's. It
// stays the same through renewals.
func (h *Held) Condition() ports.Condition {
	return ports.Condition{Key: TenureKey(h.item, h.owner.Fence), Version: 1}
}

// Commit writes under the lease: the transaction takes effect only while this
// tenure lasts, whatever this process believes. LeaseLost means that it did
// not and that another tenure has begun; TableConflict that another of its
// conditions failed.
func (h *Held) Commit(ctx context.Context, txn ports.Txn) error {
	if err := h.Check(); err != nil {
		return err
	}
	txn.Conditions = append([]ports.Condition{h.Condition()}, txn.Conditions...)
	err := ports.CommitResolved(ctx, h.table, txn)
	if !result.Is(err, result.TableConflict) {
		return err
	}
	_, lasts, readErr := h.table.Get(ctx, h.Condition().Key)
	if readErr != nil || lasts {
		return err
	}
	h.lose()
	return h.lostError()
}

// Note reads the progress that the last holder left; nil when there is none.
// The version is for SaveNote.
func (h *Held) Note(ctx context.Context) (note []byte, version uint64, err error) {
	row, _, err := h.table.Get(ctx, NoteKey(h.item))
	return row.Value, row.Version, err
}

// SaveNote leaves progress for the next holder and returns the new version.
func (h *Held) SaveNote(ctx context.Context, note []byte, version uint64) (uint64, error) {
	err := h.Commit(ctx, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{{Key: NoteKey(h.item), Version: version}},
		Writes:      []ports.Write{{Key: NoteKey(h.item), Value: note}},
	})
	if err != nil {
		return version, err
	}
	return version + 1, nil
}

// renew writes the beat row. The time held is reckoned from before the write
// was sent. LeaseLost means that the tenure is over; any other error leaves
// it as long as it was.
func (h *Held) renew(ctx context.Context) error {
	started := time.Now()
	h.mu.Lock()
	next := beat{Token: h.owner.Token, Renewals: h.renewals + 1, DurationMs: h.duration.Milliseconds()}
	version := h.beatVersion
	h.mu.Unlock()
	w, err := write(BeatKey(h.item), next)
	if err != nil {
		return err
	}
	err = ports.CommitResolved(ctx, h.table, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{h.Condition(), {Key: BeatKey(h.item), Version: version}},
		Writes:      []ports.Write{w},
	})
	if result.Is(err, result.TableConflict) {
		return h.reread(ctx)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewals++
	h.beatVersion++
	h.validUntil = started.Add(h.duration)
	return nil
}

// reread finds out after a conflict whether the tenure is over, or an earlier
// renewal whose reply was lost took effect late.
func (h *Held) reread(ctx context.Context) error {
	row, _, err := h.table.Get(ctx, BeatKey(h.item))
	if err != nil {
		return err
	}
	b, err := decode[beat](row)
	if err != nil || b.Token != h.owner.Token {
		h.lose()
		return h.lostError()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beatVersion = row.Version
	h.renewals = b.Renewals
	return result.New(result.TableUnknown, "a renewal of %s took effect late", h.item)
}

func (h *Held) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
}

// release gives the lease back, so that the next holder need not wait.
func (h *Held) release(ctx context.Context) error {
	h.mu.Lock()
	version := h.beatVersion
	h.lost = true
	h.mu.Unlock()
	w, err := write(BeatKey(h.item), beat{Token: h.owner.Token, DurationMs: h.duration.Milliseconds(), Released: true})
	if err != nil {
		return err
	}
	return ports.CommitResolved(ctx, h.table, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{h.Condition(), {Key: BeatKey(h.item), Version: version}},
		Writes:      []ports.Write{w},
	})
}

// validFor returns how long the lease is held without a renewal.
func (h *Held) validFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return 0
	}
	return time.Until(h.validUntil)
}
