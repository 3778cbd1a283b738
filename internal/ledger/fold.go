package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
)

const (
	// FoldAfter is how old a minute is when it is folded. Nearly all of its
	// charges have come by then; later ones are folded as well.
	FoldAfter = 12 * time.Minute
	// Retention is how long the folded charges of a minute are kept, and so
	// how late a charge may come.
	Retention = 48 * time.Hour
	// foldPage is how many rows one scan or delete handles.
	foldPage = 100
)

// FolderOptions configure a Folder.
type FolderOptions struct {
	Table   ports.Table
	Objects ports.Objects
	Now     func() time.Time
	NewID   func() string
	// After is how old a minute is when it is folded, FoldAfter in service.
	// A smaller value folds more often and bills the same.
	After time.Duration
}

// Folder folds the blocks of charges. Any number of folders may run at the
// same time: a lease only saves work.
type Folder struct{ opts FolderOptions }

// NewFolder returns a folder.
func NewFolder(opts FolderOptions) *Folder { return &Folder{opts: opts} }

// Folded counts what a pass did.
type Folded struct {
	Minutes int `json:"minutes"`
	Blocks  int `json:"blocks"`
	// Charges were billed; Repeated ones had been billed before.
	Charges  int `json:"charges"`
	Repeated int `json:"repeated"`
	// TooLate minutes are older than Retention and Damaged blocks cannot be
	// read; both are left for an operator.
	TooLate int `json:"tooLate"`
	Damaged int `json:"damaged"`
}

// Pass folds every minute that is old enough. It calls held right before each
// write, and stops with its error when the lease is lost.
func (f *Folder) Pass(ctx context.Context, held func() error) (Folded, error) {
	var total Folded
	from := blockPrefix
	for {
		rows, err := f.opts.Table.Scan(ctx, from, blockEnd, 1)
		if err != nil || len(rows) == 0 {
			return total, err
		}
		m, ok := minuteOfBlock(rows[0].Key)
		if !ok {
			return total, errors.Errorf("row %q is no block of charges", rows[0].Key)
		}
		now := f.opts.Now()
		if m > minuteOf(now.Add(-f.opts.After)) {
			return total, nil
		}
		from = blockPrefix + (m + 1).String()
		if m < minuteOf(now.Add(-Retention)) {
			total.TooLate++
			continue
		}
		fold := &minuteFold{folder: f, minute: m, held: held, total: &total}
		if err := fold.run(ctx); err != nil {
			return total, err
		}
		total.Minutes++
	}
}

// minuteFold is the fold of one minute. It goes through the blocks once for
// each shard, which bounds the charges in memory.
type minuteFold struct {
	folder *Folder
	minute minute
	held   func() error
	total  *Folded

	// rows and objects are what the first pass saw and the end deletes.
	rows    []ports.Row
	objects []string
	// ranges are the charges that are counted in sums.
	ranges []*linkv1.SumRange
	// sums are the blocks of sums, which belong to shard 0.
	sums []*linkv1.ChargeBlock
}

func (m *minuteFold) run(ctx context.Context) error {
	for shard := range shards {
		entries, err := m.read(ctx, shard)
		if err != nil {
			return err
		}
		if err := m.merge(ctx, shard, entries); err != nil {
			return err
		}
	}
	return m.clean(ctx)
}

// read returns the charges of a shard, in the order of their rows.
func (m *minuteFold) read(ctx context.Context, shard int) ([]entry, error) {
	if err := m.readSums(ctx, shard); err != nil {
		return nil, err
	}
	var out []entry
	err := m.eachBlock(ctx, shard == 0, func(b *linkv1.ChargeBlock, entries []entry) {
		if len(b.GetCounts()) > 0 {
			return
		}
		for i, e := range entries {
			if e.key.shard() == shard && !m.counted(b, i) {
				out = append(out, e)
			}
		}
	})
	return out, err
}

// readSums collects the blocks of sums, before any charge that was handed in
// is looked at, and the ranges that earlier folds counted.
func (m *minuteFold) readSums(ctx context.Context, shard int) error {
	if shard > 0 {
		return nil
	}
	bucket, _, err := m.folder.bucket(ctx, m.minute, 0)
	if err != nil {
		return err
	}
	m.ranges = bucket.GetFoldedSums()
	return m.eachBlock(ctx, false, func(b *linkv1.ChargeBlock, _ []entry) {
		if len(b.GetCounts()) > 0 {
			m.sums = append(m.sums, b)
			m.ranges = append(m.ranges, rangeOf(b))
		}
	})
}

func rangeOf(b *linkv1.ChargeBlock) *linkv1.SumRange {
	return &linkv1.SumRange{
		Agent: b.GetAgent(), Incarnation: b.GetIncarnation(),
		FirstNumber: b.GetFirstNumber(), LastNumber: b.GetLastNumber(),
	}
}

// counted reports whether a charge that was handed in is part of a sum.
func (m *minuteFold) counted(b *linkv1.ChargeBlock, i int) bool {
	if i >= len(b.GetNumbers()) {
		return false
	}
	n := b.Numbers[i]
	for _, r := range m.ranges {
		if r.GetAgent() == b.GetAgent() && r.GetIncarnation() == b.GetIncarnation() &&
			r.GetFirstNumber() <= n && n <= r.GetLastNumber() {
			return true
		}
	}
	return false
}

// eachBlock calls do with each block of the minute. The rows are noted for
// deletion when note is set.
func (m *minuteFold) eachBlock(ctx context.Context, note bool, do func(*linkv1.ChargeBlock, []entry)) error {
	from := blockPrefix + m.minute.String() + "/"
	to := blockPrefix + m.minute.String() + "0"
	for {
		rows, err := m.folder.opts.Table.Scan(ctx, from, to, foldPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := m.oneBlock(ctx, row, note, do); err != nil {
				return err
			}
		}
		if len(rows) < foldPage {
			return nil
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
}

func (m *minuteFold) oneBlock(ctx context.Context, row ports.Row, note bool, do func(*linkv1.ChargeBlock, []entry)) error {
	b, entries, err := decodeBlock(row.Value)
	object := b.GetObject()
	if err == nil && object != "" {
		raw, getErr := m.folder.opts.Objects.Get(ctx, object)
		if getErr != nil {
			return getErr
		}
		b, entries, err = decodeBlock(raw)
	}
	if err != nil {
		if note {
			m.total.Damaged++
		}
		return nil
	}
	do(b, entries)
	if note {
		m.total.Blocks++
		m.rows = append(m.rows, ports.Row{Key: row.Key, Version: row.Version})
		if object != "" {
			m.objects = append(m.objects, object)
		}
	}
	return nil
}

// clean deletes the rows whose charges are all folded, and their objects.
func (m *minuteFold) clean(ctx context.Context) error {
	for rows := m.rows; len(rows) > 0; {
		n := min(len(rows), foldPage)
		txn := ports.Txn{OperationID: m.folder.opts.NewID()}
		for _, row := range rows[:n] {
			txn.Conditions = append(txn.Conditions, ports.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, ports.Write{Key: row.Key, Delete: true})
		}
		rows = rows[n:]
		if err := m.held(); err != nil {
			return err
		}
		if err := ports.CommitResolved(ctx, m.folder.opts.Table, txn); err != nil {
			return err
		}
	}
	for _, name := range m.objects {
		if err := m.folder.opts.Objects.Delete(ctx, name); err != nil {
			return err
		}
	}
	return nil
}
