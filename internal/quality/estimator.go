package quality

import (
	"math"
	"time"
)

// Settings configures an Estimator. Zero fields take the defaults.
type Settings struct {
	// Window is the upper bound of the weight of ratings, drafts or answers. Once it is
	// reached, each new one scales the older ones down.
	Window float64
	// AnswerWindow is the same for the recent latency, which changes with
	// the load.
	AnswerWindow float64
	// Stale is the time without an answer after which the long-term latency
	// replaces the recent one, so that a version that requests avoided
	// because it was slow is tried again.
	Stale time.Duration
	// HalfLife is the time without a rating after which the weight of the
	// ratings has halved.
	HalfLife time.Duration
	// Z is the width of the lower bound in standard errors.
	Z float64
	// StrictZ is the width of the strict lower bound and the upper bound.
	StrictZ float64
	// Fresh is the maximum age of the newest rating at which the rating service
	// counts as available.
	Fresh time.Duration
}

// Defaults of Settings.
const (
	DefaultWindow       = 800
	DefaultAnswerWindow = 50
	DefaultStale        = 30 * time.Second
	DefaultHalfLife     = 7 * 24 * time.Hour
	DefaultZ            = 1.645
	DefaultStrictZ      = 2.326
	DefaultFresh        = 10 * time.Minute
)

func (s Settings) withDefaults() Settings {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.AnswerWindow <= 0 {
		s.AnswerWindow = DefaultAnswerWindow
	}
	if s.Stale <= 0 {
		s.Stale = DefaultStale
	}
	if s.HalfLife <= 0 {
		s.HalfLife = DefaultHalfLife
	}
	if s.Z <= 0 {
		s.Z = DefaultZ
	}
	if s.StrictZ <= 0 {
		s.StrictZ = DefaultStrictZ
	}
	if s.Fresh <= 0 {
		s.Fresh = DefaultFresh
	}
	return s
}

// keySums holds the decayed sums of one key. recent and longTerm are the latencies
// over AnswerWindow and over Window.
type keySums struct {
	good, bad       float64
	kept, escalated float64
	answers         float64
	outputTokens    float64
	recent          latencies
	longTerm        latencies
	rated           time.Time
	answered        time.Time
}

// latencies holds decayed sums of latencies in milliseconds and of their
// squares.
type latencies struct {
	answers, sum, squares float64
}

func (l *latencies) add(d Delta, window float64) {
	l.answers += float64(d.Answers)
	l.sum += d.LatencyMs
	l.squares += d.LatencySqMs
	f := windowFactor(l.answers, window)
	l.answers *= f
	l.sum *= f
	l.squares *= f
}

// meanMs returns the mean in milliseconds.
func (l *latencies) meanMs() float64 {
	if l.answers == 0 {
		return 0
	}
	return l.sum / l.answers
}

// mean returns the mean and the mean plus two standard deviations.
func (l *latencies) mean() (mean, high time.Duration) {
	if l.answers == 0 {
		return 0, 0
	}
	m := l.meanMs()
	deviation := math.Sqrt(max(0, l.squares/l.answers-m*m))
	return millis(m), millis(m + 2*deviation)
}

// Estimator holds the sums of every key and the queue of every version. It is not
// safe for use by several goroutines: one goroutine owns it and publishes Views.
type Estimator struct {
	set      Settings
	sums     map[Key]*keySums
	queues   map[string]*queue
	newest   time.Time
	position position
}

// NewEstimator returns an empty Estimator.
func NewEstimator(s Settings) *Estimator {
	return &Estimator{set: s.withDefaults(), sums: map[Key]*keySums{}, queues: map[string]*queue{}}
}

// Add adds a delta observed at the time now. Deltas may arrive in any order.
func (b *Estimator) Add(k Key, d Delta, now time.Time) {
	c, ok := b.sums[k]
	if !ok {
		c = &keySums{}
		b.sums[k] = c
	}
	if d.Good+d.Bad > 0 {
		c.addRatings(d, b.set, now)
		b.newest = later(b.newest, now)
	}
	c.addDrafts(d, b.set)
	if d.Answers > 0 {
		c.addAnswers(b.recordQueue(k, c, d, now), b.set, now)
	}
}

// recordQueue adds the backlog of the answers to the version's queue estimate and
// returns the delta without the time spent waiting.
func (b *Estimator) recordQueue(k Key, c *keySums, d Delta, now time.Time) Delta {
	q, ok := b.queues[k.Version]
	if !ok {
		q = &queue{}
		b.queues[k.Version] = q
	}
	waitMs := q.waitMs()
	q.add(d, c.longTerm.meanMs(), now)
	return d.withoutWait(waitMs)
}

// RemoveVersion removes all estimates of a version that was replaced under the same
// name or removed from the configuration.
func (b *Estimator) RemoveVersion(version string) {
	for k := range b.sums {
		if k.Version == version {
			delete(b.sums, k)
		}
	}
	delete(b.queues, version)
}

func (c *keySums) addRatings(d Delta, s Settings, now time.Time) {
	decay := c.decay(s, now)
	c.good = c.good*decay + float64(d.Good)
	c.bad = c.bad*decay + float64(d.Bad)
	f := windowFactor(c.good+c.bad, s.Window)
	c.good *= f
	c.bad *= f
	c.rated = later(c.rated, now)
}

// decay returns the factor by which the ratings have decayed since the last
// one.
func (c *keySums) decay(s Settings, now time.Time) float64 {
	if c.rated.IsZero() || !now.After(c.rated) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(c.rated)) / float64(s.HalfLife))
}

func (c *keySums) addDrafts(d Delta, s Settings) {
	c.kept += float64(d.Kept)
	c.escalated += float64(d.Escalated)
	f := windowFactor(c.kept+c.escalated, s.Window)
	c.kept *= f
	c.escalated *= f
}

func (c *keySums) addAnswers(d Delta, s Settings, now time.Time) {
	c.answered = later(c.answered, now)
	c.recent.add(d, s.AnswerWindow)
	c.longTerm.add(d, s.Window)
	c.answers += float64(d.Answers)
	c.outputTokens += float64(d.OutputTokens)
	f := windowFactor(c.answers, s.Window)
	c.answers *= f
	c.outputTokens *= f
}

// windowFactor returns the factor that scales n down to the window.
func windowFactor(n, window float64) float64 {
	if n <= window {
		return 1
	}
	return window / n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
