package watch

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"tarragonbay.example/tarragonbay/internal/ports"
)

// Bounds of handing answers in for rating.
const (
	sampleWorkers = 4
	sampleQueue   = 1024
	sampleTimeout = 2 * time.Second
)

// shadowSuffix marks the request ID of a shadow's sample, so that its rating is
// not counted among those of answers that reached callers.
const shadowSuffix = "+shadow"

// SampleID returns the request ID under which an answer is handed in.
func SampleID(requestID string, shadow bool) string {
	if shadow {
		return requestID + shadowSuffix
	}
	return requestID
}

// IsShadow reports whether a rating is that of a shadow.
func IsShadow(sampleID string) bool { return strings.HasSuffix(sampleID, shadowSuffix) }

// Sampler hands answers in for rating, a bounded number at a time. What finds
// no place is dropped and counted.
type Sampler struct {
	ratings ports.Ratings
	pool    pond.Pool
	dropped atomic.Uint64
	failed  atomic.Uint64
}

// NewSampler returns a sampler. Close must be called.
func NewSampler(ratings ports.Ratings) *Sampler {
	return &Sampler{
		ratings: ratings,
		pool:    pond.NewPool(sampleWorkers, pond.WithQueueSize(sampleQueue), pond.WithNonBlocking(true)),
	}
}

// Submit hands an answer in. It does not block.
func (s *Sampler) Submit(sample ports.Sample) {
	err := s.pool.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		defer cancel()
		if s.ratings.Submit(ctx, sample) != nil {
			s.failed.Add(1)
		}
	})
	if err != nil {
		s.dropped.Add(1)
	}
}

// Counts returns the answers that were dropped and those that the rating
// service did not take.
func (s *Sampler) Counts() (dropped, failed uint64) { return s.dropped.Load(), s.failed.Load() }

// Close waits for what was handed in.
func (s *Sampler) Close() { s.pool.StopAndWait() }
