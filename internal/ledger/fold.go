package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
)

const (
	// FoldAfter is the age at which a minute is first folded. Nearly all of
	// its charges have arrived by then; later ones are folded by later passes.
	FoldAfter = 12 * time.Minute
	// Retention is how long the folded charges of a minute are kept. Charges
	// that arrive later than that are not folded.
	Retention = 48 * time.Hour
	// foldPage is the maximum number of rows in one scan or delete.
	foldPage = 100
)

// FolderOptions configure a Folder.
type FolderOptions struct {
	Table   ports.Table
	Objects ports.Objects
	Now     func() time.Time
	NewID   func() string
	// MinAge is the age at which a minute is first folded, FoldAfter in
	// production. A smaller value folds more often and bills the same.
	MinAge time.Duration
}

// Folder merges blocks of charges into buckets, one for each minute and shard.
// Folders may run concurrently: conditional writes keep the result correct,
// and a lease only avoids duplicate work.
type Folder struct{ opts FolderOptions }

// NewFolder returns a folder.
func NewFolder(opts FolderOptions) *Folder { return &Folder{opts: opts} }

// Folded counts the results of a pass.
type Folded struct {
	Minutes int `json:"minutes"`
	Blocks  int `json:"blocks"`
	// Charges were billed by this pass; Repeated charges were duplicates.
	Charges  int `json:"charges"`
	Repeated int `json:"repeated"`
	// TooLate counts minutes older than Retention, and Damaged counts blocks
	// that cannot be decoded. Both are left for an operator.
	TooLate int `json:"tooLate"`
	Damaged int `json:"damaged"`
}

// FoldDue folds every minute that is old enough. It calls checkLease before each
// write and returns its error if the lease is lost.
func (f *Folder) FoldDue(ctx context.Context, checkLease func() error) (Folded, error) {
	var total Folded
	from := blockPrefix
	for {
		rows, err := f.opts.Table.Scan(ctx, from, blockEnd, 1)
		if err != nil || len(rows) == 0 {
			return total, err
		}
		m, ok := minuteOfBlock(rows[0].Key)
		if !ok {
			return total, errors.Errorf("row %q is not a block of charges", rows[0].Key)
		}
		now := f.opts.Now()
		if m > minuteOf(now.Add(-f.opts.MinAge)) {
			return total, nil
		}
		from = blockPrefix + (m + 1).String()
		if m < minuteOf(now.Add(-Retention)) {
			total.TooLate++
			continue
		}
		fold := &minuteFold{folder: f, minute: m, checkLease: checkLease, total: &total}
		if err := fold.run(ctx); err != nil {
			return total, err
		}
		total.Minutes++
	}
}

// minuteFold folds one minute. It reads all blocks of the minute once for each
// shard, which bounds the number of charges in memory.
type minuteFold struct {
	folder     *Folder
	minute     minute
	checkLease func() error
	total      *Folded

	// rows and objects were read for shard 0 and are deleted at the end.
	rows    []ports.Row
	objects []string
	// sumRanges are the ranges of charge numbers that sums have counted.
	sumRanges []*linkv1.SumRange
	// sums are the blocks of sums, which are merged into shard 0.
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
	return m.deleteFolded(ctx)
}

// read returns the charges of a shard in row order.
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
			if e.key.shard() == shard && !m.countedInSum(b, i) {
				out = append(out, e)
			}
		}
	})
	return out, err
}

// readSums collects the blocks of sums and the ranges that earlier folds
// counted. It runs before any charge that was handed in is evaluated.
func (m *minuteFold) readSums(ctx context.Context, shard int) error {
	if shard > 0 {
		return nil
	}
	bucket, _, err := m.folder.bucket(ctx, m.minute, 0)
	if err != nil {
		return err
	}
	m.sumRanges = bucket.GetFoldedSums()
	return m.eachBlock(ctx, false, func(b *linkv1.ChargeBlock, _ []entry) {
		if len(b.GetCounts()) > 0 {
			m.sums = append(m.sums, b)
			m.sumRanges = append(m.sumRanges, rangeOf(b))
		}
	})
}

func rangeOf(b *linkv1.ChargeBlock) *linkv1.SumRange {
	return &linkv1.SumRange{
		Agent: b.GetAgent(), Incarnation: b.GetIncarnation(),
		FirstNumber: b.GetFirstNumber(), LastNumber: b.GetLastNumber(),
	}
}

// countedInSum reports whether a sum includes charge i of a block that was
// handed in.
func (m *minuteFold) countedInSum(b *linkv1.ChargeBlock, i int) bool {
	if i >= len(b.GetNumbers()) {
		return false
	}
	n := b.Numbers[i]
	for _, r := range m.sumRanges {
		if r.GetAgent() == b.GetAgent() && r.GetIncarnation() == b.GetIncarnation() &&
			r.GetFirstNumber() <= n && n <= r.GetLastNumber() {
			return true
		}
	}
	return false
}

// eachBlock calls do with each block of the minute. If record is set, it
// records the rows for deletion.
func (m *minuteFold) eachBlock(ctx context.Context, record bool, do func(*linkv1.ChargeBlock, []entry)) error {
	from := blockPrefix + m.minute.String() + "/"
	to := blockPrefix + m.minute.String() + "0"
	for {
		rows, err := m.folder.opts.Table.Scan(ctx, from, to, foldPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := m.visitBlock(ctx, row, record, do); err != nil {
				return err
			}
		}
		if len(rows) < foldPage {
			return nil
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
}

func (m *minuteFold) visitBlock(ctx context.Context, row ports.Row, record bool, do func(*linkv1.ChargeBlock, []entry)) error {
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
		if record {
			m.total.Damaged++
		}
		return nil
	}
	do(b, entries)
	if record {
		m.total.Blocks++
		m.rows = append(m.rows, ports.Row{Key: row.Key, Version: row.Version})
		if object != "" {
			m.objects = append(m.objects, object)
		}
	}
	return nil
}

// deleteFolded deletes the rows whose charges are all folded, and their
// objects.
func (m *minuteFold) deleteFolded(ctx context.Context) error {
	for rows := m.rows; len(rows) > 0; {
		n := min(len(rows), foldPage)
		txn := ports.Txn{OperationID: m.folder.opts.NewID()}
		for _, row := range rows[:n] {
			txn.Conditions = append(txn.Conditions, ports.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, ports.Write{Key: row.Key, Delete: true})
		}
		rows = rows[n:]
		if err := m.checkLease(); err != nil {
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
