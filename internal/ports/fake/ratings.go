package fake

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Judge decides whether an answer is good.
type Judge func(ports.Sample) bool

// RatingFaults are the switches of the rating service.
type RatingFaults struct {
	// Away refuses every call.
	Away bool `json:"away"`
	// Delay passes between the hand-in of an answer and its rating.
	Delay time.Duration `json:"delay"`
	// SampleEvery rates only each n-th answer; 0 and 1 rate all.
	SampleEvery int `json:"sampleEvery"`
}

// Ratings is the answer-rating service. All methods are safe for concurrent
// use.
type Ratings struct {
	now   func() time.Time
	judge Judge

	mu      sync.Mutex
	pending []ports.Rating
	made    []ports.Rating
	seen    int
	faults  RatingFaults
	usage   Usage
}

var _ ports.Ratings = (*Ratings)(nil)

func newRatings(o Options) *Ratings {
	judge := o.Judge
	if judge == nil {
		judge = func(ports.Sample) bool { return true }
	}
	return &Ratings{now: o.Now, judge: judge}
}

// SetFaults replaces the switches.
func (r *Ratings) SetFaults(f RatingFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Faults returns the switches as they stand.
func (r *Ratings) Faults() RatingFaults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Usage returns what was asked for so far.
func (r *Ratings) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}

// Submit takes an answer in; it is rated after the delay, if sampled.
func (r *Ratings) Submit(ctx context.Context, s ports.Sample) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.refused(ctx); err != nil {
		return err
	}
	r.usage.Writes++
	r.usage.BytesWritten += uint64(len(s.Prompt) + len(s.Answer))
	r.seen++
	if n := r.faults.SampleEvery; n > 1 && r.seen%n != 0 {
		return nil
	}
	r.pending = append(r.pending, ports.Rating{
		RequestID: s.RequestID,
		Version:   s.Version,
		Class:     s.Class,
		Good:      r.judge(s),
		At:        r.now().Add(r.faults.Delay),
	})
	return nil
}

// refused returns an error when the service is away. The caller holds the
// lock.
func (r *Ratings) refused(ctx context.Context) error {
	if !r.faults.Away && ctx.Err() == nil {
		return nil
	}
	r.usage.Refused++
	return result.New(result.RatingsAway, "the rating service does not answer")
}

// Since returns at most limit ratings made after the cursor.
func (r *Ratings) Since(ctx context.Context, cursor uint64, limit int) ([]ports.Rating, uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.refused(ctx); err != nil {
		return nil, cursor, err
	}
	r.settle()
	r.usage.Reads++
	from := min(cursor, uint64(len(r.made)))
	out := r.made[from:]
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return append([]ports.Rating(nil), out...), from + uint64(len(out)), nil
}

// settle moves the ratings that are due. The caller holds the lock.
func (r *Ratings) settle() {
	now := r.now()
	var later []ports.Rating
	for _, p := range r.pending {
		if p.At.After(now) {
			later = append(later, p)
			continue
		}
		r.made = append(r.made, p)
	}
	r.pending = later
}

// WeightFaults are the switches of the weight store.
type WeightFaults struct {
	// Limited refuses every reservation as over the rate.
	Limited bool `json:"limited"`
}

// Weights is the rate-limited weight store. All methods are safe for
// concurrent use.
type Weights struct {
	now     func() time.Time
	limiter *rate.Limiter

	mu     sync.Mutex
	faults WeightFaults
	usage  Usage
}

var _ ports.Weights = (*Weights)(nil)

func newWeights(o Options) *Weights {
	return &Weights{now: o.Now, limiter: limiter(o.WeightsPerSecond)}
}

// SetFaults replaces the switches.
func (w *Weights) SetFaults(f WeightFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the switches as they stand.
func (w *Weights) Faults() WeightFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Usage returns what was asked for so far.
func (w *Weights) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage
}

// weightRetry is the least advice given on when to come back.
const weightRetry = time.Second

// Reserve takes a place in the rate limit, or says when to come back.
func (w *Weights) Reserve(_ context.Context, version string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if !w.faults.Limited && w.limiter.AllowN(now, 1) {
		w.usage.Reads++
		return nil
	}
	w.usage.Refused++
	return result.New(result.WeightsLimited, "the weight store is over its rate for %s", version).
		WithRetryAfter(weightRetry)
}
