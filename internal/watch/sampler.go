package watch

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"tarragonbay.example/tarragonbay/internal/ports"
)

// Bounds on submitting answers for rating.
const (
	sampleWorkers = 4
	sampleQueue   = 1024
	sampleTimeout = 2 * time.Second
)

// shadowSuffix marks the request ID of a shadow answer's sample, so that its rating
// is not counted among those of answers that reached callers.
const shadowSuffix = "+shadow"

// SampleID returns the request ID under which an answer is submitted for rating.
func SampleID(requestID string, shadow bool) string {
	if shadow {
		return requestID + shadowSuffix
	}
	return requestID
}

// IsShadow reports whether a sample ID belongs to a shadow answer.
func IsShadow(sampleID string) bool { return strings.HasSuffix(sampleID, shadowSuffix) }

// Sampler submits answers for rating, with bounded concurrency and a bounded queue.
// Answers that do not fit in the queue are dropped and counted.
type Sampler struct {
	ratings ports.Ratings
	pool    pond.Pool
	dropped atomic.Uint64
	failed  atomic.Uint64
}

// NewSampler returns a Sampler. The caller must call Close.
func NewSampler(ratings ports.Ratings) *Sampler {
	return &Sampler{
		ratings: ratings,
		pool:    pond.NewPool(sampleWorkers, pond.WithQueueSize(sampleQueue), pond.WithNonBlocking(true)),
	}
}

// Submit queues an answer for rating. It does not block.
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

// Counts returns how many answers were dropped and how many the rating service
// failed to accept.
func (s *Sampler) Counts() (dropped, failed uint64) { return s.dropped.Load(), s.failed.Load() }

// Close waits until the queued answers are submitted.
func (s *Sampler) Close() { s.pool.StopAndWait() }
