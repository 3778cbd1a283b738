package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// maxMergeAttempts is how many times a merge is attempted when other folders
// change the bucket concurrently.
const maxMergeAttempts = 5

// bucket returns the folded state of a minute and shard, and its row version.
func (f *Folder) bucket(ctx context.Context, m minute, shard int) (*linkv1.ChargeBucket, uint64, error) {
	row, ok, err := f.opts.Table.Get(ctx, bucketKey(m, shard))
	if err != nil || !ok {
		return &linkv1.ChargeBucket{}, 0, err
	}
	b := new(linkv1.ChargeBucket)
	if err := proto.Unmarshal(row.Value, b); err != nil {
		return nil, 0, errors.Annotatef(err, "row %s", row.Key)
	}
	return b, row.Version, nil
}

// merge adds the charges that are not billed yet to the bucket. The write is
// conditional on the bucket being unchanged.
func (m *minuteFold) merge(ctx context.Context, shard int, entries []entry) error {
	slices.SortStableFunc(entries, func(a, b entry) int { return a.key.compare(b.key) })
	all := len(entries)
	entries = slices.CompactFunc(entries, func(a, b entry) bool { return a.key == b.key })
	for range maxMergeAttempts {
		var err error
		entries, err = m.mergeOnce(ctx, shard, entries)
		if err == nil {
			m.total.Charges += len(entries)
			m.total.Repeated += all - len(entries)
			return nil
		}
		if !result.Is(err, result.TableConflict) {
			return err
		}
	}
	return result.New(result.TableConflict, "bucket %s was changed concurrently", bucketKey(m.minute, shard))
}

// mergeOnce returns the charges that were not billed before. It filters
// entries in place; a charge that it removes has been billed durably.
func (m *minuteFold) mergeOnce(ctx context.Context, shard int, entries []entry) ([]entry, error) {
	f := m.folder
	bucket, version, err := f.bucket(ctx, m.minute, shard)
	if err != nil {
		return entries, err
	}
	for _, name := range bucket.GetSegments() {
		if entries, err = f.removeBilled(ctx, entries, name); err != nil {
			return entries, err
		}
	}
	sums := sumByAccount(entries)
	if shard == 0 {
		more, err := m.unfoldedSums(bucket)
		if err != nil {
			return entries, err
		}
		sums = append(sums, more...)
	}
	if len(sums) == 0 {
		return entries, nil
	}
	if len(entries) > 0 {
		name, err := f.putSegment(ctx, m.minute, shard, entries)
		if err != nil {
			return entries, err
		}
		bucket.Segments = append(bucket.Segments, name)
	}
	old, err := blockEntries(bucketSums(bucket))
	if err != nil {
		return entries, err
	}
	bucket.Sums = newBlock(sumByAccount(append(old, sums...)), true)
	if err := m.checkLease(); err != nil {
		return entries, err
	}
	key := bucketKey(m.minute, shard)
	return entries, ports.CommitResolved(ctx, f.opts.Table, ports.Txn{
		OperationID: f.opts.NewID(),
		Conditions:  []ports.Condition{{Key: key, Version: version}},
		Writes:      []ports.Write{{Key: key, Value: encode(bucket)}},
	})
}

func bucketSums(b *linkv1.ChargeBucket) *linkv1.ChargeBlock {
	if b.GetSums() == nil {
		return &linkv1.ChargeBlock{}
	}
	return b.GetSums()
}

// unfoldedSums returns the sums that the bucket does not include yet, and
// records their ranges in the bucket.
func (m *minuteFold) unfoldedSums(bucket *linkv1.ChargeBucket) ([]entry, error) {
	var out []entry
	for _, b := range m.sums {
		r := rangeOf(b)
		known := slices.ContainsFunc(bucket.FoldedSums, func(o *linkv1.SumRange) bool { return proto.Equal(r, o) })
		if known {
			continue
		}
		entries, err := blockEntries(b)
		if err != nil {
			return nil, err
		}
		bucket.FoldedSums = append(bucket.FoldedSums, r)
		out = append(out, entries...)
	}
	return out, nil
}

// removeBilled returns the entries that are not in the segment. Both are
// sorted by key.
func (f *Folder) removeBilled(ctx context.Context, entries []entry, segment string) ([]entry, error) {
	billed, err := f.readSegment(ctx, segment)
	if err != nil {
		return entries, err
	}
	i := 0
	return slices.DeleteFunc(entries, func(e entry) bool {
		for i < len(billed) && billed[i].key.compare(e.key) < 0 {
			i++
		}
		return i < len(billed) && billed[i].key == e.key
	}), nil
}

// readSegment returns the billed charges of a segment, sorted by key.
func (f *Folder) readSegment(ctx context.Context, name string) ([]entry, error) {
	raw, err := f.opts.Objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	_, entries, err := decodeBlock(raw)
	if err != nil {
		return nil, result.Wrap(err, result.ObjectDamaged, "segment %s cannot be read", name)
	}
	return entries, nil
}

// putSegment stores billed charges and returns the object's name.
func (f *Folder) putSegment(ctx context.Context, m minute, shard int, entries []entry) (string, error) {
	raw := encode(newBlock(entries, false))
	sum := sha256.Sum256(raw)
	name := fmt.Sprintf("%s%s/%d/%s", segmentPrefix, m, shard, hex.EncodeToString(sum[:]))
	return name, f.opts.Objects.PutIfAbsent(ctx, name, raw)
}
