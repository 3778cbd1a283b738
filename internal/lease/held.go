package lease

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Held is one tenure of a lease: the period from acquiring it to losing or
// releasing it. It is safe for concurrent use.
type Held struct {
	table    ports.Table
	item     string
	owner    Owner
	duration time.Duration

	mu               sync.Mutex
	heartbeatVersion uint64
	renewals         uint64
	validUntil       time.Time
	lost             bool
}

// Item returns the name of the work item.
func (h *Held) Item() string { return h.item }

// Fence returns the fencing number of the tenure. Every order sent under the
// lease carries it.
func (h *Held) Fence() uint64 { return h.owner.Fence }

// Check returns LeaseLost when the lease has expired by this process's own
// clock. Callers check right before each action. Writes must go through Commit
// as well, since the process can be paused after any check.
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

// Condition returns the condition that makes a transaction fail once this
// tenure has ended. Renewals do not change it.
func (h *Held) Condition() ports.Condition {
	return ports.Condition{Key: TenureKey(h.item, h.owner.Fence), Version: 1}
}

// Commit commits the transaction on condition that this tenure still lasts in
// the table, regardless of this process's clock. LeaseLost means that the lease
// has expired, by this process's clock or since the tenure has ended in the
// table; TableConflict means that another condition of the transaction failed.
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
	h.markLost()
	return h.lostError()
}

// LoadProgress returns the progress that the previous holder saved, or nil when
// there is none, and the version of its row. The caller passes the version to SaveProgress.
func (h *Held) LoadProgress(ctx context.Context) (progress []byte, version uint64, err error) {
	row, _, err := h.table.Get(ctx, ProgressKey(h.item))
	return row.Value, row.Version, err
}

// SaveProgress saves the progress for the next holder and returns the new version
// of its row.
func (h *Held) SaveProgress(ctx context.Context, progress []byte, version uint64) (uint64, error) {
	err := h.Commit(ctx, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{{Key: ProgressKey(h.item), Version: version}},
		Writes:      []ports.Write{{Key: ProgressKey(h.item), Value: progress}},
	})
	if err != nil {
		return version, err
	}
	return version + 1, nil
}

// renew writes the heartbeat row and extends the lease, counting its duration
// from before the write was sent. LeaseLost means that the tenure has ended; any
// other error leaves the expiry unchanged.
func (h *Held) renew(ctx context.Context) error {
	started := time.Now()
	h.mu.Lock()
	next := heartbeat{Token: h.owner.Token, Renewals: h.renewals + 1, DurationMs: h.duration.Milliseconds()}
	version := h.heartbeatVersion
	h.mu.Unlock()
	w, err := encodeWrite(HeartbeatKey(h.item), next)
	if err != nil {
		return err
	}
	err = ports.CommitResolved(ctx, h.table, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{h.Condition(), {Key: HeartbeatKey(h.item), Version: version}},
		Writes:      []ports.Write{w},
	})
	if result.Is(err, result.TableConflict) {
		return h.resolveRenewalConflict(ctx)
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewals++
	h.heartbeatVersion++
	h.validUntil = started.Add(h.duration)
	return nil
}

// resolveRenewalConflict determines after a conflict whether the tenure has
// ended, or an earlier renewal whose reply was lost took effect late.
func (h *Held) resolveRenewalConflict(ctx context.Context) error {
	row, _, err := h.table.Get(ctx, HeartbeatKey(h.item))
	if err != nil {
		return err
	}
	b, err := decode[heartbeat](row)
	if err != nil || b.Token != h.owner.Token {
		h.markLost()
		return h.lostError()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heartbeatVersion = row.Version
	h.renewals = b.Renewals
	return result.New(result.TableUnknown, "a renewal of %s took effect late", h.item)
}

func (h *Held) markLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
}

// release marks the lease as released, so that the next holder need not wait for
// it to expire.
func (h *Held) release(ctx context.Context) error {
	h.mu.Lock()
	version := h.heartbeatVersion
	h.lost = true
	h.mu.Unlock()
	w, err := encodeWrite(HeartbeatKey(h.item), heartbeat{Token: h.owner.Token, DurationMs: h.duration.Milliseconds(), Released: true})
	if err != nil {
		return err
	}
	return ports.CommitResolved(ctx, h.table, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{h.Condition(), {Key: HeartbeatKey(h.item), Version: version}},
		Writes:      []ports.Write{w},
	})
}

// remaining returns the time until the lease expires without a renewal, or 0
// when it is lost.
func (h *Held) remaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return 0
	}
	return time.Until(h.validUntil)
}
