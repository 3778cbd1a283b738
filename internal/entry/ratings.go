package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// Pace of reading ratings.
const (
	ratingsEvery = time.Second
	ratingsBatch = 1000
)

// Rate takes over what other entries learned, and reads new ratings from the
// rating service until ctx ends. While the service is away the estimates stay
// as they are. A nil recall learns from the first rating on.
func (e *Entry) Rate(ctx context.Context, ratings ports.Ratings, recall Recall) error {
	if !e.configured(ctx) {
		return nil
	}
	tick := time.NewTicker(ratingsEvery)
	defer tick.Stop()
	before := recaller{recall: recall}
	stream := ratingStream{ratings: ratings, limit: ratingsBatch}
	away := false
	for {
		if before.due(e.now()) {
			e.recallOnce(ctx, &before, &stream)
		}
		err := e.readRatings(ctx, &stream)
		if (err != nil) != away {
			away = err != nil
			e.log.Warn("rating service", zap.Bool("away", away), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// readRatings reads until nothing is left.
func (e *Entry) readRatings(ctx context.Context, s *ratingStream) error {
	for {
		batch, more, err := s.next(ctx)
		if err != nil {
			return err
		}
		for _, r := range batch {
			e.fleet.RecordRating(quality.ParseKey(r.Class, r.Version), r.Good, watch.IsShadow(r.RequestID), e.now())
			e.unrated.rated(catalog.VersionName(r.Version), r.RequestID)
		}
		if len(batch) > 0 {
			e.refreshHeld()
		}
		if err := e.countRatings(ctx, s, batch); err != nil {
			return err
		}
		if !more {
			e.countLost()
			return nil
		}
	}
}

// countRatings adds the last batch to the estimates, unless they hold it.
func (e *Entry) countRatings(ctx context.Context, s *ratingStream, batch []ports.Rating) error {
	switch {
	case s.cursor > s.counted:
	case s.wentBack():
		batch = nil
	default:
		return nil
	}
	s.counted = s.cursor
	return e.learner.rated(ctx, batch, s.cursor)
}

// ratingStream is how far this process has read the ratings. Cursors are only
// compared: how far they are apart means nothing.
type ratingStream struct {
	ratings ports.Ratings
	// cursor is the place up to which the watch over versions has read.
	cursor uint64
	// counted is the place up to which the estimates hold the ratings. When
	// they were taken over it is ahead of cursor.
	counted uint64
	// seen drops ratings of answers that were handed in twice.
	seen seenRatings
	// limit of the next batch.
	limit int
	// atEnd is set when the last batch was the last there is.
	atEnd bool
}

// takeOver starts behind estimates that hold the ratings up to counted. Ratings
// that the watch has seen are not read for it again.
func (s *ratingStream) takeOver(counted, replay uint64) {
	s.counted = counted
	s.cursor = max(s.cursor, replay)
}

// next reads one batch. None reaches over the place where counting starts.
func (s *ratingStream) next(ctx context.Context) (batch []ports.Rating, more bool, err error) {
	for {
		batch, next, err := s.ratings.Since(ctx, s.cursor, s.limit)
		if err != nil {
			return nil, false, err
		}
		if s.cursor < s.counted && next > s.counted && s.limit > 1 {
			s.limit /= 2
			continue
		}
		s.atEnd = len(batch) < s.limit
		s.cursor = next
		if s.cursor >= s.counted {
			s.limit = ratingsBatch
		}
		return s.seen.firsts(batch), !s.atEnd, nil
	}
}

// wentBack reports that the rating service ends before what the estimates
// hold: it has lost ratings, and counts from there.
func (s *ratingStream) wentBack() bool { return s.atEnd && s.cursor < s.counted }
