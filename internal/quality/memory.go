package quality

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// MaxMemoryAge is the age from which a memory is dropped: its ratings have
// lost half their weight by then.
const MaxMemoryAge = DefaultHalfLife

// replayRatings is the least number of ratings between a memory's replay place
// and its cursor, once so many were counted. There are at most twice as many.
const replayRatings = 1000

// Memory is what an entry has learned, in the form in which it is handed to
// others. All entries read one stream of ratings, so of two memories the one
// with the higher cursor holds every rating of the other.
type Memory struct {
	// Cursor is the place in the stream of ratings up to which all are
	// counted, and none after it.
	Cursor uint64 `json:"cursor"`
	// Replay is an earlier place. An entry that takes the memory reads the
	// ratings from there on once more, for its watch over versions alone.
	Replay  uint64    `json:"replay"`
	SavedAt time.Time `json:"savedAt"`
	Records []Record  `json:"records"`
}

// Empty reports whether nothing was learned.
func (m *Memory) Empty() bool { return m.Cursor == 0 && len(m.Records) == 0 }

// Check returns LearnedDamaged for a memory that no book can have made, and
// LearnedStale for one that is too old.
func (m *Memory) Check(now time.Time) error {
	for i := range m.Records {
		if !m.Records[i].sound() {
			return result.New(result.LearnedDamaged, "the record of %+v holds impossible sums", m.Records[i].Key)
		}
	}
	if m.Replay > m.Cursor {
		return result.New(result.LearnedDamaged, "the replay place %d is after the cursor %d", m.Replay, m.Cursor)
	}
	if age := now.Sub(m.SavedAt); age > MaxMemoryAge {
		return result.New(result.LearnedStale, "the memory is %v old", age)
	}
	return nil
}

// Keep drops the records that do not match and returns how many there were.
func (m *Memory) Keep(match func(Key) bool) (dropped int) {
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

// place is how far the stream of ratings is counted.
type place struct {
	cursor uint64
	// older and newer are earlier cursors, replayRatings or more apart.
	older, newer uint64
	// sinceNewer counts the ratings after newer.
	sinceNewer int
}

// Cursor returns the place up to which the ratings are counted.
func (b *Book) Cursor() uint64 { return b.place.cursor }

// Advance notes that so many more ratings are counted, up to the cursor. A
// cursor that is lower says that the rating service itself went back.
func (b *Book) Advance(cursor uint64, ratings int) {
	p := &b.place
	if cursor < p.cursor {
		*p = place{cursor: cursor, older: cursor, newer: cursor}
		return
	}
	p.cursor = cursor
	p.sinceNewer += ratings
	if p.sinceNewer >= replayRatings {
		p.older, p.newer, p.sinceNewer = p.newer, cursor, 0
	}
}

// Memory returns what the book has learned.
func (b *Book) Memory(now time.Time) Memory {
	return Memory{Cursor: b.place.cursor, Replay: b.place.older, SavedAt: now, Records: b.Export()}
}

// Merge takes from a checked memory what the book does not know. Ratings are
// those of whoever counted further, drafts and answers of each key those of
// whoever saw more: nothing is added up, so nothing counts twice.
func (b *Book) Merge(m Memory, now time.Time) {
	further := m.Cursor > b.place.cursor
	for i := range m.Records {
		r := m.Records[i]
		if r.Rated.After(now) {
			r.Rated = now
		}
		b.mergeRecord(&r, further)
	}
	if further {
		b.place = place{cursor: m.Cursor, older: m.Replay, newer: m.Cursor}
	}
}

func (b *Book) mergeRecord(r *Record, further bool) {
	c, known := b.cells[r.Key]
	if !known {
		c = &cell{}
		b.cells[r.Key] = c
	}
	if further {
		c.takeRatings(r)
		b.newest = later(b.newest, r.Rated)
	}
	if float64(r.Kept+r.Escalated) > c.kept+c.escalated {
		c.takeDrafts(r)
	}
	if float64(r.Answers) > c.answers {
		c.takeAnswers(r)
	}
}
