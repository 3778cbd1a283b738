package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/platform"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// Pace of reading ratings.
const (
	ratingsEvery = time.Second
	ratingsBatch = 1000
)

// Rate reads new ratings from the rating service until ctx ends. While the
// service is away the estimates stay as they are.
func (e *Entry) Rate(ctx context.Context, ratings platform.Ratings) error {
	tick := time.NewTicker(ratingsEvery)
	defer tick.Stop()
	var cursor uint64
	away := false
	for {
		next, err := e.readRatings(ctx, ratings, cursor)
		if (err != nil) != away {
			away = err != nil
			e.log.Warn("rating service", zap.Bool("away", away), zap.Error(err))
		}
		cursor = next
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// readRatings reads until nothing is left and returns the next cursor.
func (e *Entry) readRatings(ctx context.Context, ratings platform.Ratings, cursor uint64) (uint64, error) {
	for {
		batch, next, err := ratings.Since(ctx, cursor, ratingsBatch)
		if err != nil {
			return cursor, err
		}
		for _, r := range batch {
			key := quality.ParseKey(r.Class, r.Version)
			e.learner.rated(key, r.Good)
			e.fleet.Rated(key, r.Good, watch.IsShadow(r.RequestID), e.now())
		}
		if len(batch) > 0 {
			e.refreshHeld()
		}
		cursor = next
		if len(batch) < ratingsBatch {
			return cursor, nil
		}
	}
}
