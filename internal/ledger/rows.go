package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
)

// Row keys of the ledger and prefixes of its object names. Keys of blocks that
// are not folded yet sort by minute.
const (
	blockPrefix   = "ledger/in/"
	blockEnd      = "ledger/in0"
	bucketPrefix  = "ledger/bucket/"
	bucketEnd     = "ledger/bucket0"
	segmentPrefix = "ledger/segment/"
	spillPrefix   = "ledger/spill/"
)

// minuteDigits is the zero-padded width at which minutes sort correctly as
// text.
const minuteDigits = 10

func (m minute) String() string { return fmt.Sprintf("%0*d", minuteDigits, int64(m)) }

// blockKey returns the row key of a block. The writer is the agent that writes
// the row; for a block that was handed in, it differs from the agent of the
// charges.
func blockKey(m minute, writer string, incarnation, number uint64, part int) string {
	return fmt.Sprintf("%s%s/%s/%d/%d.%d", blockPrefix, m, writer, incarnation, number, part)
}

// minuteOfBlock parses the minute from the row key of a block.
func minuteOfBlock(rowKey string) (minute, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(rowKey, blockPrefix), "/")
	n, err := strconv.ParseInt(text, 10, 64)
	return minute(n), ok && err == nil
}

func bucketKey(m minute, shard int) string { return fmt.Sprintf("%s%s/%d", bucketPrefix, m, shard) }

// MaxBlockCharges is the maximum number of charges in one block.
const MaxBlockCharges = 1024

// numbered is an entry with the number that its agent gave it.
type numbered struct {
	entry
	number uint64
}

// blockRow is the encoded row of one block.
type blockRow struct {
	key   string
	value []byte
}

// sortByMinute sorts entries by the minute in which the request ID was
// generated.
func sortByMinute(list []numbered) {
	slices.SortStableFunc(list, func(a, b numbered) int {
		return cmp.Compare(a.key.minute(), b.key.minute())
	})
}

// splitByMinute splits sorted entries into parts of one minute and at most
// MaxBlockCharges entries.
func splitByMinute(list []numbered) [][]numbered {
	var out [][]numbered
	for len(list) > 0 {
		m := list[0].key.minute()
		n := 1
		for n < len(list) && n < MaxBlockCharges && list[n].key.minute() == m {
			n++
		}
		out = append(out, list[:n])
		list = list[n:]
	}
	return out
}

func entriesWithoutNumbers(list []numbered) []entry {
	out := make([]entry, len(list))
	for i, n := range list {
		out[i] = n.entry
	}
	return out
}

// createRowsTxn returns the transaction that creates the rows.
func createRowsTxn(operationID string, rows []blockRow) ports.Txn {
	txn := ports.Txn{OperationID: operationID}
	for _, r := range rows {
		txn.Conditions = append(txn.Conditions, ports.Condition{Key: r.key})
		txn.Writes = append(txn.Writes, ports.Write{Key: r.key, Value: r.value})
	}
	return txn
}

// origin identifies the agent incarnation that numbered charges.
type origin struct {
	agent       string
	incarnation uint64
}

func (o origin) setOn(b *linkv1.ChargeBlock, first, last uint64) {
	b.Agent, b.Incarnation = o.agent, o.incarnation
	b.FirstNumber, b.LastNumber = first, last
}
