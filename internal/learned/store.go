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

// RowKey is the key of the platform's copy.
const RowKey = "learned/memory"

// Item is the work item under whose lease the copy is written.
const Item = "learned/save"

const (
	// SaveEvery is the pause between two writes of the copy.
	SaveEvery = time.Minute
	// emptyPause is the pause while nothing is learned yet.
	emptyPause = 5 * time.Second
)

// row is the value of the copy's row.
type row struct {
	// Address is where the writer serves EntryService.
	Address string `json:"address"`
	Packed  []byte `json:"packed"`
}

// Saver writes the platform's copy while it holds the lease.
type Saver struct {
	Table ports.Table
	// Address of this entry on the link.
	Address string
	// Memory returns what this entry has learned.
	Memory func(ctx context.Context) (quality.Memory, error)
}

// Work writes the copy again and again until ctx ends or a write fails. It is
// the work of the lease of Item.
func (s *Saver) Work(ctx context.Context, held *lease.Held) error {
	for {
		memory, err := s.Memory(ctx)
		if err != nil {
			return err
		}
		pause := emptyPause
		if !memory.Empty() {
			pause = SaveEvery
			err = s.save(ctx, held, memory)
		}
		if err != nil {
			return err
		}
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// save writes the memory, unless the copy holds more ratings: then this entry
// has not learned from it yet.
func (s *Saver) save(ctx context.Context, held *lease.Held, memory quality.Memory) error {
	before, found, err := s.Table.Get(ctx, RowKey)
	if err != nil {
		return err
	}
	if found && ahead(before.Value, memory) {
		return nil
	}
	packed, _, err := Pack(memory)
	if err != nil {
		return err
	}
	value, err := json.Marshal(row{Address: s.Address, Packed: packed})
	if err != nil {
		return result.Wrap(err, result.Internal, "the copy cannot be written")
	}
	return held.Commit(ctx, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{{Key: RowKey, Version: before.Version}},
		Writes:      []ports.Write{{Key: RowKey, Value: value}},
	})
}

// ahead reports whether a readable copy holds more ratings than the memory.
func ahead(value []byte, m quality.Memory) bool {
	_, copied, err := readRow(value, m.SavedAt)
	return err == nil && copied.Cursor > m.Cursor
}

func readRow(value []byte, now time.Time) (address string, m quality.Memory, err error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return "", m, damaged(err)
	}
	m, err = Unpack(r.Packed, now)
	return r.Address, m, err
}
