package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// Pace of looking for what was learned before this process started.
const (
	recallEvery = 10 * time.Second
	// recallTries bounds the rounds that find nothing.
	recallTries = 30
)

// Recall returns what other entries and the platform know: sound memories, or
// none. It is implemented by learned.Source.
type Recall func(ctx context.Context) []quality.Snapshot

// Memory returns what this entry has learned.
func (e *Entry) Memory(ctx context.Context) (quality.Snapshot, error) { return e.learner.memory(ctx) }

// recaller asks for memories until it has one or gives up.
type recaller struct {
	recall Recall
	tries  int
	next   time.Time
}

// due reports whether another round is due.
func (r *recaller) due(now time.Time) bool {
	return r.recall != nil && r.tries < recallTries && !now.Before(r.next)
}

// recallOnce takes what one round finds and has the stream go on from there.
func (e *Entry) recallOnce(ctx context.Context, r *recaller, s *ratingStream) {
	r.tries++
	r.next = e.now().Add(recallEvery)
	memories := r.recall(ctx)
	if len(memories) == 0 {
		return
	}
	r.recall = nil
	for i := range memories {
		e.keepKnown(&memories[i])
	}
	known, err := e.learner.merge(ctx, memories)
	if err != nil {
		return
	}
	for version, total := range known.ReplayTotals {
		e.fleet.Resume(catalog.VersionName(version), total.Good, total.Bad)
	}
	s.takeOver(known.Cursor, known.Replay)
	e.log.Info("what was learned before is taken over", zap.Int("copies", len(memories)),
		zap.Int("keys", len(known.Records)), zap.Uint64("ratings to", known.Cursor))
}

// keepKnown drops what the configuration does not name: it would only grow the
// state.
func (e *Entry) keepKnown(m *quality.Snapshot) {
	set, _ := e.config.Set()
	classes := map[string]bool{"": true}
	for _, r := range set.Rules {
		classes[r.Class] = true
	}
	dropped := m.Filter(func(k quality.Key) bool {
		return set.Versions[catalog.VersionName(k.Version)] != nil && classes[k.Class]
	})
	if dropped > 0 {
		err := result.New(result.LearnedForeign, "%d records are of another configuration", dropped)
		e.log.Warn("records are dropped", zap.Error(err))
	}
}

// configured waits for the first configuration.
func (e *Entry) configured(ctx context.Context) bool {
	for e.planner.Load() == nil {
		if !wait.For(ctx, configuredPause) {
			return false
		}
	}
	return true
}

// configuredPause is the time between two looks for the first configuration.
const configuredPause = 100 * time.Millisecond
