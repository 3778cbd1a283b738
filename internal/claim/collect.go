package claim

import (
	"context"
	"fmt"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
)

// Slices is the number of parts into which the rows are divided for
// collection.
const Slices = 256

// collectPageSize is the number of rows that one scan reads.
const collectPageSize = 100

// Collected counts the rows that a collection read and deleted.
type Collected struct {
	Read    int
	Deleted int
}

// Collect deletes the expired rows of one slice, 0 to Slices-1. A work item
// calls it for each slice in turn and takes KeyRetention for a pass over all slices, so
// that every row is read once in that time. Collect calls pause between pages.
func Collect(ctx context.Context, t ports.Table, slice int, now time.Time, newID func() string, pause func(context.Context) error) (Collected, error) {
	var total Collected
	from := fmt.Sprintf("%s%02x", prefix, slice)
	to := prefixEnd
	if slice+1 < Slices {
		to = fmt.Sprintf("%s%02x", prefix, slice+1)
	}
	for {
		rows, err := t.Scan(ctx, from, to, collectPageSize)
		if err != nil {
			return total, err
		}
		total.Read += len(rows)
		n, err := deleteExpired(ctx, t, rows, now, newID())
		total.Deleted += n
		if err != nil || len(rows) < collectPageSize {
			return total, err
		}
		from = rows[len(rows)-1].Key + "\x00"
		if err := pause(ctx); err != nil {
			return total, err
		}
	}
}

// deleteExpired deletes the expired rows in one transaction.
func deleteExpired(ctx context.Context, t ports.Table, rows []ports.Row, now time.Time, operationID string) (int, error) {
	txn := ports.Txn{OperationID: operationID}
	for _, row := range rows {
		rec, err := decode(row.Value)
		if err != nil || now.Before(rec.Expires) {
			continue
		}
		txn.Conditions = append(txn.Conditions, ports.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, ports.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	if err := ports.CommitResolved(ctx, t, txn); err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}
