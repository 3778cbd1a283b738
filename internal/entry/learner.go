package entry

import (
	"context"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/telemetry"
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
	book    *quality.Book
	publish func(*quality.View)
	current atomic.Pointer[quality.View]
	dropped metrics.Counter
}

func newLearner(now func() time.Time, publish func(*quality.View), m *telemetry.Metrics) *learner {
	l := &learner{
		now:     now,
		in:      make(chan observed, observationBuffer),
		book:    quality.NewBook(quality.Settings{}),
		publish: publish,
		dropped: m.Counter("entry", "observations_dropped"),
	}
	l.current.Store(quality.EmptyView)
	return l
}

func (l *learner) view() *quality.View { return l.current.Load() }

func (l *learner) answered(k quality.Key, latency time.Duration, outputTokens uint64, backlog float64) {
	l.put(observed{key: k, delta: quality.Answered(latency, outputTokens, backlog)})
}

func (l *learner) drafted(k quality.Key, escalated bool) {
	l.put(observed{key: k, delta: quality.Drafted(escalated)})
}

func (l *learner) rated(k quality.Key, good bool) {
	l.put(observed{key: k, delta: quality.Rated(good)})
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
		case <-tick.C:
			view := l.book.View(l.now())
			l.current.Store(view)
			l.publish(view)
		}
	}
}
