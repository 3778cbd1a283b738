package following

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/store"
)

// Bounds on the rows of one table that a gossip message carries.
const (
	// maxTailAge is how long a changed row is sent again, in case a datagram was lost:
	// several reads at the longest read interval.
	maxTailAge = 4 * time.Second
	// maxTailBytes bounds the size of the rows before compression. A configuration of a
	// hundred routes compresses to a quarter of its size.
	maxTailBytes = 32 << 10
	// rowOverheadBytes is the size of a row without its name and value.
	rowOverheadBytes = 24
)

// Tail holds the most recently changed rows of a table, from which a peer that missed a
// few reads can catch up. The zero value is empty at revision 0.
type Tail struct {
	after uint64
	rows  []tailRow
	bytes int
}

type tailRow struct {
	store.Row
	addedAt time.Duration
}

func (r tailRow) size() int { return len(r.Name) + len(r.Value) + rowOverheadBytes }

// Reset empties the tail: it then holds only changes after revision rev.
func (t *Tail) Reset(rev uint64) { *t = Tail{after: rev} }

// Add appends changed rows, in the order of their revisions, and evicts rows from the
// front that are too old or exceed the size bound. A row that exceeds the bound by itself
// is evicted together with all rows before it.
func (t *Tail) Add(rows []store.Row, now time.Duration) {
	for _, r := range rows {
		tr := tailRow{Row: r, addedAt: now}
		t.rows, t.bytes = append(t.rows, tr), t.bytes+tr.size()
	}
	for len(t.rows) > 0 && (t.bytes > maxTailBytes || now-t.rows[0].addedAt > maxTailAge) {
		t.after, t.bytes = max(t.after, t.rows[0].Rev), t.bytes-t.rows[0].size()
		t.rows = t.rows[1:]
	}
}

// Rows returns a revision and all rows that changed after it.
func (t *Tail) Rows() (after uint64, rows []store.Row) {
	rows = make([]store.Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r.Row)
	}
	return t.after, rows
}
