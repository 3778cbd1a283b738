package entry

import (
	"context"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/telemetry"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// observationBuffer is how many observations may wait for the learner. More
// are dropped and counted: an estimate can miss one, a request cannot wait.
const observationBuffer = 4096

// viewEvery is the pause between two readings of the estimates.
const viewEvery = 500 * time.Millisecond

// observed is one observation of a key.
type observed struct {
	key   quality.Key
	delta quality.Delta
}

// learner owns the quality book. Requests hand observations in over a bounded
// channel; each new view goes to the planner.
type learner struct {
	now     func() time.Time
	in      chan observed
	work    chan func(*quality.Estimator)
	book    *quality.Estimator
	publish func(*quality.View)
	current atomic.Pointer[quality.View]
	dropped metrics.Counter
}

func newLearner(now func() time.Time, publish func(*quality.View), m *telemetry.Metrics) *learner {
	l := &learner{
		now:     now,
		in:      make(chan observed, observationBuffer),
		work:    make(chan func(*quality.Estimator)),
		book:    quality.NewEstimator(quality.Settings{}),
		publish: publish,
		dropped: m.Counter("entry", "observations_dropped"),
	}
	l.current.Store(quality.EmptyView)
	return l
}

func (l *learner) view() *quality.View { return l.current.Load() }

func (l *learner) answered(k quality.Key, latency time.Duration, outputTokens uint64, backlog float64) {
	l.put(observed{key: k, delta: quality.AnswerDelta(latency, outputTokens, backlog)})
}

func (l *learner) drafted(k quality.Key, escalated bool) {
	l.put(observed{key: k, delta: quality.DraftDelta(escalated)})
}

// do runs the work on the book, between two observations.
func (l *learner) do(ctx context.Context, work func(*quality.Estimator)) error {
	done := make(chan struct{})
	job := func(b *quality.Estimator) {
		work(b)
		close(done)
	}
	select {
	case l.work <- job:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// rated counts a batch of the stream of ratings, which ends at the cursor.
func (l *learner) rated(ctx context.Context, batch []ports.Rating, cursor uint64) error {
	return l.do(ctx, func(b *quality.Estimator) {
		totals := quality.Totals{}
		for _, r := range batch {
			b.Add(quality.ParseKey(r.Class, r.Version), quality.RatingDelta(r.Good), l.now())
			if !watch.IsShadow(r.RequestID) {
				totals.Add(r.Version, r.Good)
			}
		}
		b.Advance(cursor, len(batch), totals)
	})
}

// memory returns what was learned.
func (l *learner) memory(ctx context.Context) (m quality.Snapshot, err error) {
	err = l.do(ctx, func(b *quality.Estimator) { m = b.Snapshot(l.now()) })
	return m, err
}

// merge takes checked memories and returns what is known from then on.
func (l *learner) merge(ctx context.Context, memories []quality.Snapshot) (m quality.Snapshot, err error) {
	err = l.do(ctx, func(b *quality.Estimator) {
		for _, m := range memories {
			b.Merge(m, l.now())
		}
		l.show()
		m = b.Snapshot(l.now())
	})
	return m, err
}

func (l *learner) put(o observed) {
	select {
	case l.in <- o:
	default:
		l.dropped.Inc(1)
	}
}

func (l *learner) run(ctx context.Context) error {
	tick := time.NewTicker(viewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-l.in:
			l.book.Add(o.key, o.delta, l.now())
		case work := <-l.work:
			work(l.book)
		case <-tick.C:
			l.show()
		}
	}
}

// show hands a new view of the book out.
func (l *learner) show() {
	view := l.book.View(l.now())
	l.current.Store(view)
	l.publish(view)
}
