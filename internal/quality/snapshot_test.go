package quality

import (
	"math"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

var small = Key{Class: "tag", Version: "small@1"}

// addRatingsUpTo adds ratings to the estimator as the stream up to the cursor.
func addRatingsUpTo(b *Estimator, good, bad uint32, cursor uint64) {
	b.Add(small, Delta{Good: good, Bad: bad}, epoch)
	b.Advance(cursor, int(good+bad), Totals{small.Version: {Good: int(good), Bad: int(bad)}})
}

func ratings(b *Estimator) float64 {
	e, _ := b.View(epoch).Get(small)
	return e.Ratings
}

func TestMergeCountsNoRatingTwice(t *testing.T) {
	ahead, behind := NewEstimator(Settings{}), NewEstimator(Settings{})
	addRatingsUpTo(ahead, 90, 10, 100)
	addRatingsUpTo(behind, 36, 4, 40)
	behind.Add(small, AnswerDelta(time.Second, 8, 0), epoch)
	snapshot := ahead.Snapshot(epoch)
	older := behind.Snapshot(epoch)
	for range 2 {
		behind.Merge(snapshot, epoch)
		ahead.Merge(older, epoch)
	}
	for name, b := range map[string]*Estimator{"ahead": ahead, "behind": behind} {
		e, _ := b.View(epoch).Get(small)
		if e.Ratings != 100 || b.Cursor() != 100 || e.Answers != 1 {
			t.Errorf("%s: %v ratings, %v answers, cursor %d", name, e.Ratings, e.Answers, b.Cursor())
		}
	}
	addRatingsUpTo(behind, 1, 0, 101)
	if got := ratings(behind); got != 101 {
		t.Errorf("%v ratings after one more, want 101", got)
	}
}

func TestReplayPositionIsBounded(t *testing.T) {
	b := NewEstimator(Settings{})
	for i := uint64(1); i <= 5000; i++ {
		addRatingsUpTo(b, 1, 0, i)
		m := b.Snapshot(epoch)
		if back := m.Cursor - m.Replay; back > 2*replayRatings || (i > replayRatings && back < replayRatings) {
			t.Fatalf("at %d the replay is %d ratings long", i, back)
		}
		if total, replayed := m.Totals[small.Version].Good, m.ReplayTotals[small.Version].Good; uint64(total) != m.Cursor || uint64(replayed) != m.Replay {
			t.Fatalf("at %d the totals are %d and %d, the positions %d and %d", i, total, replayed, m.Cursor, m.Replay)
		}
	}
	b.Advance(3, 0, nil)
	if m := b.Snapshot(epoch); m.Cursor != 3 || m.Replay != 3 {
		t.Errorf("after the service went back: %+v", m)
	}
}

func TestInvalidSnapshotsAreRejected(t *testing.T) {
	valid := Record{Key: small, Good: 3, Rated: epoch}
	nan, heavy, negative, nameless := valid, valid, valid, valid
	nan.LatencyMs = float32(math.NaN())
	heavy.Good = 10 * DefaultWindow
	negative.Bad = -1
	nameless.Key.Version = ""
	for _, r := range []Record{nan, heavy, negative, nameless} {
		m := Snapshot{SavedAt: epoch, Records: []Record{r}}
		if err := m.Check(epoch); !result.Is(err, result.LearnedDamaged) {
			t.Errorf("%+v: %v", r, err)
		}
	}
	m := Snapshot{SavedAt: epoch, Records: []Record{valid}}
	if err := m.Check(epoch.Add(MaxMemoryAge)); err != nil {
		t.Error(err)
	}
	if err := m.Check(epoch.Add(MaxMemoryAge + 1)); !result.Is(err, result.LearnedStale) {
		t.Errorf("too old: %v", err)
	}
	if dropped := m.Filter(func(Key) bool { return false }); dropped != 1 || !m.Empty() {
		t.Errorf("%d dropped, left %+v", dropped, m)
	}
}

func TestARatingFromTheFutureDoesNotStayFresh(t *testing.T) {
	b := NewEstimator(Settings{})
	b.Merge(Snapshot{Cursor: 1, Records: []Record{{Key: small, Good: 1, Rated: epoch.Add(time.Hour)}}}, epoch)
	if b.View(epoch.Add(DefaultFresh + 1)).Fresh() {
		t.Error("ratings count as fresh after DefaultFresh")
	}
}
