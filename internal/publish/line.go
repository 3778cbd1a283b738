package publish

import (
	"context"
	"encoding/binary"
	"fmt"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// linePrefix is that of the rows which keep the starts of digests after their
// deltas are compacted: one row for the revisions between two snapshots.
const linePrefix = "config/line/"

// LineKey returns the key of the row whose last revision is this one.
func LineKey(last uint64) string { return fmt.Sprintf("%s%020d", linePrefix, last) }

const (
	// keptLine is how many revisions the rows go back; a day at the target
	// rate is 24,000.
	keptLine = 1 << 16
	// lineDeletes bounds the rows deleted by one publication.
	lineDeletes = 2
	// startBytes is the size of one digest's start.
	startBytes = 8
)

// lineWrites returns the writes that keep the starts of the digests since the
// snapshot before the one of the next state. A publication does not fail for
// them: without the row, peers prove the line.
func (s Store) lineWrites(ctx context.Context, head Head, next State) []ports.Write {
	first := max(newest(head)+1, head.Oldest)
	deltas, err := s.Deltas(ctx, first-1, head.Revision)
	if err != nil {
		return nil
	}
	value := binary.BigEndian.AppendUint64(nil, first)
	for _, d := range deltas {
		value = binary.BigEndian.AppendUint64(value, digestStart(d.GetDigest()))
	}
	value = binary.BigEndian.AppendUint64(value, digestStart(next.Digest))
	writes := []ports.Write{{Key: LineKey(next.Revision), Value: value}}
	if next.Revision <= keptLine {
		return writes
	}
	old, err := s.Table.Scan(ctx, LineKey(0), LineKey(next.Revision-keptLine), lineDeletes)
	if err != nil {
		return writes
	}
	for _, row := range old {
		writes = append(writes, ports.Write{Key: row.Key, Delete: true})
	}
	return writes
}

// lineStart returns the start of the digest of a revision whose delta is no
// longer kept, or 0 when no row holds it.
func (s Store) lineStart(ctx context.Context, revision, upTo uint64) (uint64, error) {
	rows, err := s.Table.Scan(ctx, LineKey(revision), LineKey(upTo+1), 1)
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	value := rows[0].Value
	if len(value) < startBytes {
		return 0, nil
	}
	first := binary.BigEndian.Uint64(value)
	value = value[startBytes:]
	if revision < first || uint64(len(value)) < (revision-first+1)*startBytes {
		return 0, nil
	}
	return binary.BigEndian.Uint64(value[(revision-first)*startBytes:]), nil
}

// checkLine returns nil when the head leads on from the state: HistoryReplaced
// when it does not, and LineUnproven when the store no longer knows. A head of
// another history needs no proof: an operator has replaced the state.
func (s Store) checkLine(ctx context.Context, from State, head Head) error {
	if from.Set == nil || from.History != head.History {
		return nil
	}
	start, err := s.startOf(ctx, from.Revision, head)
	if err != nil {
		return err
	}
	return compareStart(from, start, "the store")
}

// startOf returns the start of the digest of a revision of the head's line, or
// 0 when the store no longer knows it.
func (s Store) startOf(ctx context.Context, revision uint64, head Head) (uint64, error) {
	switch {
	case revision == head.Revision:
		return digestStart(head.Digest), nil
	case revision < head.Oldest:
		return s.lineStart(ctx, revision, head.Revision)
	}
	deltas, err := s.Deltas(ctx, revision-1, revision)
	if err != nil {
		return 0, err
	}
	return digestStart(deltas[0].GetDigest()), nil
}

// compareStart compares the state with what another knows of its revision.
func compareStart(state State, start uint64, who string) error {
	switch start {
	case digestStart(state.Digest):
		return nil
	case 0:
		return result.New(result.LineUnproven, "%s no longer knows revision %d", who, state.Revision)
	}
	return result.New(result.HistoryReplaced, "revision %d of %s is not the one in force here", state.Revision, who)
}

// provePeer returns nil when a peer's snapshot leads on from the state with
// which it was asked for. A peer that has restarted since does not know: then
// the store must say that the snapshot is of its line.
func (f *Follower) provePeer(ctx context.Context, asked, snapshot State, start uint64) error {
	f.mu.Lock()
	current := f.log.Current()
	f.mu.Unlock()
	if current.Set == nil || current.History != snapshot.History {
		return nil
	}
	if current.Revision != asked.Revision {
		return result.New(result.RevisionBehind, "revision %d came into force meanwhile", current.Revision)
	}
	err := compareStart(current, start, "the peer")
	if !result.Is(err, result.LineUnproven) {
		return err
	}
	head, found, headErr := f.options.Store.Head(ctx)
	if headErr != nil || !found || head.History != snapshot.History || head.Revision < snapshot.Revision {
		return err
	}
	if ours := f.options.Store.checkLine(ctx, current, head); !result.Is(ours, result.LineUnproven) {
		return ours
	}
	return f.options.Store.checkLine(ctx, snapshot, head)
}
