package following

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/store"
)

// Bounds on what is told of a table at once.
const (
	// tailTime is how long a changed row is told again, in case a datagram was
	// lost: several reads of the slowest pace.
	tailTime = 4 * time.Second
	// tailBytes bounds the rows told at once. They are packed: a configuration of
	// a hundred routes takes a quarter of its size.
	tailBytes = 32 << 10
	// rowBytes is what a row takes besides its name and value.
	rowBytes = 24
)

// Tail holds the last changed rows of a table: what a gateway that has missed a
// few reads needs to catch up. The zero value is empty at revision 0.
type Tail struct {
	after uint64
	rows  []tailRow
	bytes int
}

type tailRow struct {
	store.Row
	at time.Duration
}

func (r tailRow) size() int { return len(r.Name) + len(r.Value) + rowBytes }

// Reset empties the tail: changes up to the revision are not told.
func (t *Tail) Reset(rev uint64) { *t = Tail{after: rev} }

// Add appends rows that changed, in the order of their revisions. A row that is
// too large is left out with all before it.
func (t *Tail) Add(rows []store.Row, now time.Duration) {
	for _, r := range rows {
		tr := tailRow{Row: r, at: now}
		t.rows, t.bytes = append(t.rows, tr), t.bytes+tr.size()
	}
	for len(t.rows) > 0 && (t.bytes > tailBytes || now-t.rows[0].at > tailTime) {
		t.after, t.bytes = max(t.after, t.rows[0].Rev), t.bytes-t.rows[0].size()
		t.rows = t.rows[1:]
	}
}

// Rows returns all rows that changed after a revision.
func (t *Tail) Rows() (after uint64, rows []store.Row) {
	rows = make([]store.Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r.Row)
	}
	return t.after, rows
}
