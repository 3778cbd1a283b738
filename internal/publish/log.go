package publish

import (
	"strconv"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// The bounds of what a daemon keeps beside its current state.
const (
	// keptDeltas and keptDeltaBytes bound the deltas kept for peers.
	keptDeltas     = 256
	keptDeltaBytes = 1 << 20
	// keptMarks bounds the digests kept to recognise an older head of the
	// same history; a day at the target rate is 24,000 revisions.
	keptMarks = 1 << 15
	// markLength is the length of a kept digest, in hex digits.
	markLength = 16
)

// Log is the configuration in force at a daemon with the deltas that led to
// it. It never goes back to a lower revision. It does no I/O and holds no
// lock; the Follower guards it.
type Log struct {
	current State
	deltas  []*linkv1.Delta
	bytes   int
	// marks are the starts of the digests of consecutive revisions, the last
	// of them that of the current state.
	marks []uint64
}

// Current returns the state in force; its Set is nil before the first one.
func (l *Log) Current() State { return l.current }

// Append takes the deltas after the current state. Those at or below its
// revision are skipped. DeltaBroken means that they do not lead on from it.
func (l *Log) Append(deltas []*linkv1.Delta) error {
	for len(deltas) > 0 && deltas[0].GetRevision() <= l.current.Revision {
		deltas = deltas[1:]
	}
	if l.current.Set == nil {
		return result.New(result.NoConfiguration, "there is no state that deltas could lead on from")
	}
	next, err := l.current.next(deltas)
	if err != nil {
		return err
	}
	l.current = next
	for _, d := range deltas {
		l.keep(d)
		l.mark(d.GetDigest())
	}
	return nil
}

// Install takes a whole state. It returns RevisionBehind for one that is not
// higher than the current one.
func (l *Log) Install(s State) error {
	if l.current.Set != nil && s.Revision <= l.current.Revision {
		return result.New(result.RevisionBehind, "revision %d is not above %d, which is in force", s.Revision, l.current.Revision)
	}
	l.current = s
	l.deltas = nil
	l.bytes = 0
	l.marks = nil
	l.mark(s.Digest)
	return nil
}

// keep remembers one delta for peers and drops the oldest beyond the bounds.
func (l *Log) keep(d *linkv1.Delta) {
	l.deltas = append(l.deltas, d)
	l.bytes += proto.Size(d)
	for len(l.deltas) > keptDeltas || l.bytes > keptDeltaBytes {
		l.bytes -= proto.Size(l.deltas[0])
		l.deltas[0] = nil
		l.deltas = l.deltas[1:]
	}
}

func (l *Log) mark(digest string) {
	if len(l.marks) == 2*keptMarks {
		l.marks = append([]uint64(nil), l.marks[keptMarks:]...)
	}
	l.marks = append(l.marks, digestStart(digest))
}

// digestStart returns the start of a hex digest as a number; 0 for one that
// cannot be read.
func digestStart(digest string) uint64 {
	n, err := strconv.ParseUint(digest[:min(len(digest), markLength)], 16, 64)
	if err != nil {
		return 0
	}
	return n
}

// Since returns the deltas after a revision, or false when they are no longer
// kept.
func (l *Log) Since(revision uint64) ([]*linkv1.Delta, bool) {
	if revision >= l.current.Revision {
		return nil, true
	}
	first := l.current.Revision - uint64(len(l.deltas))
	if revision < first {
		return nil, false
	}
	return append([]*linkv1.Delta(nil), l.deltas[revision-first:]...), true
}

// Relation says how the head of a store relates to the state in force.
type Relation int

// The relations of a head.
const (
	// HeadEqual is the state in force.
	HeadEqual Relation = iota
	// HeadAhead has a higher revision.
	HeadAhead
	// HeadBehind is an earlier revision of the same line: the store was
	// restored from an old backup.
	HeadBehind
	// HeadForeign is not higher, and not known as an earlier revision of the
	// same line: the store holds another history.
	HeadForeign
)

// String names the relation for state dumps.
func (r Relation) String() string {
	return [...]string{"equal", "ahead", "behind", "foreign"}[r]
}

// Relate compares a head with the state in force. The zero head stands for a
// store without one.
func (l *Log) Relate(h Head) Relation {
	switch {
	case l.current.Set == nil && h.Revision > 0:
		return HeadAhead
	case l.current.Set == nil:
		return HeadEqual
	case h.Revision == 0:
		return HeadBehind
	case h.Revision > l.current.Revision:
		return HeadAhead
	case h.History == l.current.History && h.Digest == l.current.Digest && h.Revision == l.current.Revision:
		return HeadEqual
	case h.History == l.current.History && l.knows(h.Revision, h.Digest):
		return HeadBehind
	}
	return HeadForeign
}

// knows reports whether the digest is that of an earlier revision in force
// here.
func (l *Log) knows(revision uint64, digest string) bool {
	start := l.DigestStart(revision)
	return start != 0 && start == digestStart(digest)
}

// DigestStart returns the start of the digest of a revision that was in force
// here, or 0 when it is not known.
func (l *Log) DigestStart(revision uint64) uint64 {
	back := l.current.Revision - revision
	if back >= uint64(len(l.marks)) {
		return 0
	}
	return l.marks[uint64(len(l.marks))-1-back]
}
