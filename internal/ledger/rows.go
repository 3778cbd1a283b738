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

// The keys of the ledger's rows and the names of its objects. Blocks that
// wait to be folded come first by minute.
const (
	blockPrefix   = "ledger/in/"
	blockEnd      = "ledger/in0"
	bucketPrefix  = "ledger/bucket/"
	bucketEnd     = "ledger/bucket0"
	segmentPrefix = "ledger/segment/"
	spillPrefix   = "ledger/spill/"
)

// minuteDigits keeps minutes in order as text.
const minuteDigits = 10

func (m minute) String() string { return fmt.Sprintf("%0*d", minuteDigits, int64(m)) }

// blockKey names the row of a block. Writer is who wrote it, which for a
// handed-in block is not the agent of its charges.
func blockKey(m minute, writer string, incarnation, number uint64, part int) string {
	return fmt.Sprintf("%s%s/%s/%d/%d.%d", blockPrefix, m, writer, incarnation, number, part)
}

// minuteOfBlock reads the minute out of the key of a block's row.
func minuteOfBlock(rowKey string) (minute, bool) {
	text, _, ok := strings.Cut(strings.TrimPrefix(rowKey, blockPrefix), "/")
	n, err := strconv.ParseInt(text, 10, 64)
	return minute(n), ok && err == nil
}

func bucketKey(m minute, shard int) string { return fmt.Sprintf("%s%s/%d", bucketPrefix, m, shard) }

// MaxBlock is the most charges in one block.
const MaxBlock = 1024

// numbered is an entry with its number at the agent.
type numbered struct {
	entry
	number uint64
}

// blockRow is the row of one block that is to be written.
type blockRow struct {
	key   string
	value []byte
}

// byMinute orders entries by the minute in which their request was minted.
func byMinute(list []numbered) {
	slices.SortStableFunc(list, func(a, b numbered) int {
		return cmp.Compare(a.key.minute(), b.key.minute())
	})
}

// chunks splits sorted entries into parts of one minute and at most MaxBlock.
func chunks(list []numbered) [][]numbered {
	var out [][]numbered
	for len(list) > 0 {
		m := list[0].key.minute()
		n := 1
		for n < len(list) && n < MaxBlock && list[n].key.minute() == m {
			n++
		}
		out = append(out, list[:n])
		list = list[n:]
	}
	return out
}

func entriesIn(list []numbered) []entry {
	out := make([]entry, len(list))
	for i, n := range list {
		out[i] = n.entry
	}
	return out
}

// writeAll returns the transaction that creates the rows.
func writeAll(operationID string, rows []blockRow) ports.Txn {
	txn := ports.Txn{OperationID: operationID}
	for _, r := range rows {
		txn.Conditions = append(txn.Conditions, ports.Condition{Key: r.key})
		txn.Writes = append(txn.Writes, ports.Write{Key: r.key, Value: r.value})
	}
	return txn
}

// origin names the agent that numbered charges.
type origin struct {
	agent       string
	incarnation uint64
}

func (o origin) stamp(b *linkv1.ChargeBlock, first, last uint64) {
	b.Agent, b.Incarnation = o.agent, o.incarnation
	b.FirstNumber, b.LastNumber = first, last
}
