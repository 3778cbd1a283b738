package lease

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// scanPageSize is the number of rows requested per scan.
const scanPageSize = 200

// Items returns the names of the items that have an owner row and whose name
// starts with the prefix.
func (m *Manager) Items(ctx context.Context, prefix string) ([]string, error) {
	var items []string
	from, to := keyPrefix+prefix, keyPrefix+prefix+"\xff"
	for {
		rows, err := m.options.Table.Scan(ctx, from, to, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if item, ok := strings.CutSuffix(row.Key, ownerSuffix); ok {
				items = append(items, strings.TrimPrefix(item, keyPrefix))
			}
		}
		if len(rows) < scanPageSize {
			return items, nil
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
}

// Retire deletes the rows of an item whose work is finished. It acquires the
// lease first, so it returns LeaseHeld while another tenure may still be valid,
// and must be called again later. If the item is started again it gets a higher
// fencing number, and writes of earlier holders take no effect.
func (m *Manager) Retire(ctx context.Context, item string) error {
	held, err := m.TryAcquire(ctx, item)
	if err != nil {
		return err
	}
	err = held.retire(ctx)
	if err != nil {
		_ = held.release(ctx)
	}
	return err
}

func (h *Held) retire(ctx context.Context) error {
	if err := h.Check(); err != nil {
		return err
	}
	current, version, err := readFloor(ctx, h.table)
	if err != nil {
		return err
	}
	raised, err := encodeWrite(FenceFloorKey, fenceFloor{Fence: max(current.Fence, h.owner.Fence)})
	if err != nil {
		return err
	}
	writes := []ports.Write{raised}
	for _, key := range []string{OwnerKey(h.item), HeartbeatKey(h.item), ProgressKey(h.item), h.Condition().Key} {
		writes = append(writes, ports.Write{Key: key, Delete: true})
	}
	err = ports.CommitResolved(ctx, h.table, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{h.Condition(), {Key: FenceFloorKey, Version: version}},
		Writes:      writes,
	})
	if result.Is(err, result.TableConflict) {
		return result.Wrap(err, result.LeaseHeld, "the rows of %s are not deleted yet", h.item)
	}
	return err
}
