package lease

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// scanLimit is how many rows are asked for at a time.
const scanLimit = 200

// Items lists the items whose name starts with the prefix and that have rows.
func (m *Manager) Items(ctx context.Context, prefix string) ([]string, error) {
	var items []string
	from, to := keyPrefix+prefix, keyPrefix+prefix+"\xff"
	for {
		rows, err := m.options.Table.Scan(ctx, from, to, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if item, ok := strings.CutSuffix(row.Key, ownerSuffix); ok {
				items = append(items, strings.TrimPrefix(item, keyPrefix))
			}
		}
		if len(rows) < scanLimit {
			return items, nil
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
}

// Retire deletes the rows of an item whose work is over. It takes the lease for
// that, so it returns LeaseHeld while a tenure may last, and must be called
// again later. An item that begins anew takes a higher fencing number, and
// nothing that a holder of before writes takes effect.
func (m *Manager) Retire(ctx context.Context, item string) error {
	held, err := m.Try(ctx, item)
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
	before, version, err := readFloor(ctx, h.table)
	if err != nil {
		return err
	}
	raised, err := write(FloorKey, floor{Fence: max(before.Fence, h.owner.Fence)})
	if err != nil {
		return err
	}
	writes := []ports.Write{raised}
	for _, key := range []string{OwnerKey(h.item), BeatKey(h.item), NoteKey(h.item), h.Condition().Key} {
		writes = append(writes, ports.Write{Key: key, Delete: true})
	}
	err = ports.CommitResolved(ctx, h.table, ports.Txn{
		OperationID: uuid.NewString(),
		Conditions:  []ports.Condition{h.Condition(), {Key: FloorKey, Version: version}},
		Writes:      writes,
	})
	if result.Is(err, result.TableConflict) {
		return result.Wrap(err, result.LeaseHeld, "the rows of %s are not deleted yet", h.item)
	}
	return err
}
