package learned

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// RowKey is the table key of the stored copy.
const RowKey = "learned/memory"

// LeaseItem is the work item whose lease the writer of the stored copy holds.
const LeaseItem = "learned/save"

const (
	// SaveInterval is the interval between writes of the stored copy.
	SaveInterval = time.Minute
	// emptyInterval is the interval between checks until something is learned.
	emptyInterval = 5 * time.Second
)

// row is the table value of the stored copy.
type row struct {
	// Address is the link address at which the writer serves EntryService.
	Address string `json:"address"`
	// Packed is the learned state as encoded by Pack.
	Packed []byte `json:"packed"`
}

// Saver writes the stored copy while this entry holds the lease of LeaseItem.
type Saver struct {
	Table ports.Table
	// Address is the link address of this entry.
	Address string
	// Memory returns the learned state of this entry.
	Memory func(ctx context.Context) (quality.Snapshot, error)
}

// Run writes the stored copy every SaveInterval until ctx ends or a write fails. The
// caller runs it under the lease of LeaseItem.
func (s *Saver) Run(ctx context.Context, held *lease.Held) error {
	for {
		memory, err := s.Memory(ctx)
		if err != nil {
			return err
		}
		interval := emptyInterval
		if !memory.Empty() {
			interval = SaveInterval
			err = s.save(ctx, held, memory)
		}
		if err != nil {
			return err
		}
		if !wait.For(ctx, interval) {
			return nil
		}
	}
}

// save writes the learned state, unless the stored copy covers more ratings: then this
// entry has not merged the copy yet.
func (s *Saver) save(ctx context.Context, held *lease.Held, memory quality.Snapshot) error {
	stored, found, err := s.Table.Get(ctx, RowKey)
	if err != nil {
		return err
	}
	if found && coversMoreRatings(stored.Value, memory) {
		return nil
	}
	packed, _, err := Pack(memory)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Address: s.Address, Packed: packed})
	if err != nil {
		return result.Wrap(err, result.Internal, "encode the stored copy")
	}
	return held.Commit(ctx, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{{Key: RowKey, Version: stored.Version}},
		Writes:      []ports.Write{{Key: RowKey, Value: value}},
	})
}

// coversMoreRatings reports whether the stored value is valid and has a later rating
// cursor than m.
func coversMoreRatings(value []byte, m quality.Snapshot) bool {
	_, stored, err := readRow(value, m.SavedAt)
	return err == nil && stored.Cursor > m.Cursor
}

// readRow decodes a table value. The address is valid even if the learned state is not.
func readRow(value []byte, now time.Time) (address string, m quality.Snapshot, err error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return "", m, damaged(err)
	}
	m, err = Unpack(r.Packed, now)
	return r.Address, m, err
}
