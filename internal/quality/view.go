package quality

import "time"

// Estimate holds the estimates of one key at the time of a View.
type Estimate struct {
	// Ratings is the weight of the ratings behind the bounds.
	Ratings float64
	// Mean is the share of good ratings and Low its lower bound. Strict and
	// High are lower and upper bounds with more confidence, since a version that
	// High rules out for a target stays ruled out for a long time. Without ratings
	// Mean, Low and Strict are 0 and High is 1.
	Mean, Low, High, Strict float64
	// Drafts is the weight behind Escalation, the share of drafts that were
	// escalated to the next step.
	Drafts, Escalation float64
	// Answers is the weight behind the means below.
	Answers float64
	// OutputTokens is the mean per answer.
	OutputTokens float64
	// Latency is the recent mean, or the long-term one while no answers arrive.
	// LatencyHigh is the mean plus two standard deviations. Both exclude the
	// time in a queue.
	Latency, LatencyHigh time.Duration
	// Wait is the estimated time in the version's queue now.
	Wait time.Duration
}

// ClassEstimate is the mean over all versions that answer a class.
type ClassEstimate struct {
	Answers      float64
	OutputTokens float64
}

// View is an immutable snapshot of an Estimator's estimates. Goroutines share it
// without locks.
type View struct {
	estimates map[Key]Estimate
	classes   map[string]ClassEstimate
	set       Settings
	fresh     bool
}

// EmptyView is the view before the first observation.
var EmptyView = &View{}

// View returns the estimates at the time now.
func (b *Estimator) View(now time.Time) *View {
	v := &View{
		estimates: make(map[Key]Estimate, len(b.sums)),
		classes:   map[string]ClassEstimate{},
		set:       b.set,
	}
	classSums := map[string]*keySums{}
	for k, c := range b.sums {
		e := c.estimate(b.set, now)
		e.Wait = b.queues[k.Version].wait(now, b.set.Stale)
		v.estimates[k] = e
		sum, ok := classSums[k.Class]
		if !ok {
			sum = &keySums{}
			classSums[k.Class] = sum
		}
		sum.answers += c.answers
		sum.outputTokens += c.outputTokens
	}
	for class, c := range classSums {
		e := c.estimate(b.set, now)
		v.classes[class] = ClassEstimate{Answers: e.Answers, OutputTokens: e.OutputTokens}
	}
	v.fresh = b.newest.IsZero() || now.Sub(b.newest) <= b.set.Fresh
	return v
}

// Get returns the estimate of a key.
func (v *View) Get(k Key) (Estimate, bool) {
	e, ok := v.estimates[k]
	return e, ok
}

// Successor returns the estimate of a version that took over the work of
// another: its own, supplemented by that of its predecessor up to maxWeight.
func (v *View) Successor(k Key, predecessor string, maxWeight float64) (Estimate, bool) {
	own, ok := v.Get(k)
	k.Version = predecessor
	old, okOld := v.Get(k)
	switch {
	case !okOld:
		return own, ok
	case !ok:
		own.High = 1
	}
	if own.Answers < old.Answers {
		own.Answers, own.OutputTokens = old.Answers, old.OutputTokens
		own.Latency, own.LatencyHigh = old.Latency, old.LatencyHigh
	}
	if own.Drafts < old.Drafts {
		own.Drafts, own.Escalation = old.Drafts, old.Escalation
	}
	if weight := min(old.Ratings, maxWeight-own.Ratings); weight > 0 {
		own.setBounds(own.Mean*own.Ratings+old.Mean*weight, own.Ratings+weight, v.set)
	}
	return own, true
}

// Class returns the means of a class; zero when no answer was seen.
func (v *View) Class(class string) ClassEstimate { return v.classes[class] }

// Fresh reports whether the newest rating is recent enough. It is true before
// the first rating, so that a new installation can start learning.
func (v *View) Fresh() bool { return v.estimates == nil || v.fresh }

// Len returns the number of keys.
func (v *View) Len() int { return len(v.estimates) }

func (c *keySums) estimate(s Settings, now time.Time) Estimate {
	e := Estimate{High: 1}
	decay := c.decay(s, now)
	good, n := c.good*decay, (c.good+c.bad)*decay
	if n > 0 {
		e.setBounds(good, n, s)
	}
	if drafts := c.kept + c.escalated; drafts > 0 {
		e.Drafts = drafts
		e.Escalation = c.escalated / drafts
	}
	if c.answers > 0 {
		e.Answers = c.answers
		e.OutputTokens = c.outputTokens / c.answers
		e.Latency, e.LatencyHigh = c.longTerm.mean()
		if now.Sub(c.answered) <= s.Stale {
			e.Latency, e.LatencyHigh = c.recent.mean()
		}
	}
	return e
}

// setBounds sets the mean and its bounds.
func (e *Estimate) setBounds(good, n float64, s Settings) {
	e.Ratings = n
	e.Mean = good / n
	e.Low, _ = Wilson(good, n, s.Z)
	e.Strict, e.High = Wilson(good, n, s.StrictZ)
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
