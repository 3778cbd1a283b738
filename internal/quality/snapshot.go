package quality

import (
	"maps"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// MaxMemoryAge is the maximum age of a Snapshot: beyond it, its ratings have lost
// half their weight.
const MaxMemoryAge = DefaultHalfLife

// replayRatings is the minimum number of ratings between a snapshot's replay
// position and its cursor, once so many were counted. The maximum is twice that.
const replayRatings = 1000

// Snapshot is the state of an Estimator that entries exchange. All entries read one
// stream of ratings, so of two snapshots the one with the higher cursor includes
// every rating of the other.
type Snapshot struct {
	// Cursor is the position in the stream of ratings: all ratings up to it are
	// counted, and none after it.
	Cursor uint64 `json:"cursor"`
	// Replay is an earlier position. An entry that merges the snapshot reads the
	// ratings after it again, only to monitor versions.
	Replay uint64 `json:"replay"`
	// Totals count the ratings of callers' answers up to Cursor, and
	// ReplayTotals those up to Replay.
	Totals       Totals    `json:"totals,omitempty"`
	ReplayTotals Totals    `json:"replayTotals,omitempty"`
	SavedAt      time.Time `json:"savedAt"`
	Records      []Record  `json:"records"`
}

// Total counts ratings of one version without decay.
type Total struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

// Totals are the totals of versions by name.
type Totals map[string]Total

// Add counts one rating.
func (t Totals) Add(version string, good bool) {
	x := t[version]
	if good {
		x.Good++
	} else {
		x.Bad++
	}
	t[version] = x
}

// keep drops the versions that do not match.
func (t Totals) keep(match func(version string) bool) {
	for version := range t {
		if !match(version) {
			delete(t, version)
		}
	}
}

// Empty reports whether the snapshot holds no rating and no record.
func (m *Snapshot) Empty() bool { return m.Cursor == 0 && len(m.Records) == 0 }

// Check returns LearnedDamaged for a snapshot that no Estimator can produce, and
// LearnedStale for one that is too old.
func (m *Snapshot) Check(now time.Time) error {
	for i := range m.Records {
		if !m.Records[i].valid() {
			return result.New(result.LearnedDamaged, "the record of %+v holds impossible sums", m.Records[i].Key)
		}
	}
	if m.Replay > m.Cursor {
		return result.New(result.LearnedDamaged, "the replay position %d is after the cursor %d", m.Replay, m.Cursor)
	}
	if age := now.Sub(m.SavedAt); age > MaxMemoryAge {
		return result.New(result.LearnedStale, "the snapshot is %v old", age)
	}
	return nil
}

// Filter drops the records that do not match and returns how many there were. It
// drops the totals of versions that have no class which matches.
func (m *Snapshot) Filter(match func(Key) bool) (dropped int) {
	named := func(version string) bool { return match(Key{Version: version}) }
	m.Totals.keep(named)
	m.ReplayTotals.keep(named)
	kept := make([]Record, 0, len(m.Records))
	for _, r := range m.Records {
		if match(r.Key) {
			kept = append(kept, r)
		}
	}
	dropped = len(m.Records) - len(kept)
	m.Records = kept
	return dropped
}

// position is the position up to which the stream of ratings is counted.
type position struct {
	mark
	// older and newer are earlier positions, replayRatings or more apart.
	older, newer mark
	// sinceNewer counts the ratings after newer.
	sinceNewer int
}

// mark is a position in the stream with the totals up to it.
type mark struct {
	cursor uint64
	totals Totals
}

func (m mark) clone() mark { return mark{cursor: m.cursor, totals: maps.Clone(m.totals)} }

// Cursor returns the position up to which the ratings are counted.
func (b *Estimator) Cursor() uint64 { return b.position.cursor }

// Advance records that the given number of further ratings is counted, up to the
// cursor, with the totals of callers' answers among them. A lower cursor means
// that the rating service itself was reset to an earlier position.
func (b *Estimator) Advance(cursor uint64, ratings int, totals Totals) {
	p := &b.position
	back := cursor < p.cursor
	p.cursor = cursor
	if p.totals == nil {
		p.totals = Totals{}
	}
	for version, more := range totals {
		x := p.totals[version]
		p.totals[version] = Total{Good: x.Good + more.Good, Bad: x.Bad + more.Bad}
	}
	p.sinceNewer += ratings
	if back {
		p.older, p.newer, p.sinceNewer = p.clone(), p.clone(), 0
	}
	if p.sinceNewer >= replayRatings {
		p.older, p.newer, p.sinceNewer = p.newer, p.clone(), 0
	}
}

// Snapshot returns a snapshot of the estimator.
func (b *Estimator) Snapshot(now time.Time) Snapshot {
	p := &b.position
	return Snapshot{
		Cursor:       p.cursor,
		Totals:       maps.Clone(p.totals),
		Replay:       p.older.cursor,
		ReplayTotals: maps.Clone(p.older.totals),
		SavedAt:      now,
		Records:      b.Export(),
	}
}

// Merge merges a snapshot that passed Check. The ratings come from the side with
// the higher cursor, the drafts and answers of each key from the side with the
// higher weight. Nothing is added up, so nothing counts twice.
func (b *Estimator) Merge(m Snapshot, now time.Time) {
	otherIsAhead := m.Cursor > b.position.cursor
	for i := range m.Records {
		r := m.Records[i]
		if r.Rated.After(now) {
			r.Rated = now
		}
		b.mergeRecord(&r, otherIsAhead)
	}
	if otherIsAhead {
		at := mark{cursor: m.Cursor, totals: m.Totals}
		older := mark{cursor: m.Replay, totals: m.ReplayTotals}
		b.position = position{mark: at.clone(), older: older.clone(), newer: at.clone()}
	}
}

func (b *Estimator) mergeRecord(r *Record, otherIsAhead bool) {
	c, known := b.sums[r.Key]
	if !known {
		c = &keySums{}
		b.sums[r.Key] = c
	}
	if otherIsAhead {
		c.setRatings(r)
		b.newest = later(b.newest, r.Rated)
	}
	if float64(r.Kept+r.Escalated) > c.kept+c.escalated {
		c.setDrafts(r)
	}
	if float64(r.Answers) > c.answers {
		c.setAnswers(r)
	}
}
