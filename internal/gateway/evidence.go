package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// evidence holds what this gateway has observed of the two versions of a shift within the
// evidence window, in buckets of one second, by class.
type evidence struct {
	buckets   [evidenceBuckets]evidenceBucket
	evaluated map[string]int
	// sent and sentNew count requests sent since the order, to any version and to the new
	// one.
	sent, sentNew int
}

type evidenceBucket struct {
	second  int64
	classes map[string]*answerCounts
}

// answerCounts counts the answers of one class in one second.
type answerCounts struct {
	byUpstream      map[uint32]versionshift.Tally // of the new version
	oldGood, oldBad int
}

const evidenceBuckets = int(versionshift.EvidenceWindow/time.Second) + 1

// monotonicSecond counts seconds on the monotonic clock, since the wall clock may jump.
func monotonicSecond(now time.Time) int64 {
	return int64((now.Sub(processStart) + evidenceOrigin) / time.Second)
}

// evidenceOrigin keeps the count above zero for times before the process start, which
// occur only in tests.
const evidenceOrigin = time.Hour

func (e *evidence) countsAt(class string, now time.Time) *answerCounts {
	sec := monotonicSecond(now)
	s := &e.buckets[sec%int64(evidenceBuckets)]
	if s.second != sec {
		*s = evidenceBucket{second: sec, classes: map[string]*answerCounts{}}
	}
	a := s.classes[class]
	if a == nil {
		a = &answerCounts{byUpstream: map[uint32]versionshift.Tally{}}
		s.classes[class] = a
	}
	return a
}

func (e *evidence) total(now time.Time) versionshift.EvidenceByClass {
	out := versionshift.EvidenceByClass{"": {Sent: e.sent, SentNew: e.sentNew}}
	for class, n := range e.evaluated {
		out[class] = versionshift.Evidence{GoodTotal: n}
	}
	for i := range e.buckets {
		s := &e.buckets[i]
		if monotonicSecond(now)-s.second >= int64(evidenceBuckets) {
			continue
		}
		for class, a := range s.classes {
			out[class] = out[class].Add(versionshift.Evidence{New: a.byUpstream, OldGood: a.oldGood, OldBad: a.oldBad})
		}
	}
	return out
}

// baselineKey groups answers that take about the same time.
type baselineKey struct {
	route, model string
}

// latencyBaseline holds the average latency of the old version's answers.
type latencyBaseline struct {
	// latencyRatio is the time to the answer or the first event, as a multiple of the time
	// expected when the request was sent. eventGapMS is the gap between events.
	latencyRatio, eventGapMS float64
	samples                  int
}

// Thresholds for slow answers.
const (
	// baselineWeight is the weight of one answer in the moving average.
	baselineWeight = 0.05
	// minBaselineSamples is the number of answers from which the average is compared
	// against.
	minBaselineSamples = 8
	// slowFactor is the multiple of the average from which an answer counts as slow.
	slowFactor = 4.0
	// minSlowDelay is the minimum delay beyond the expected time that counts as slow; a
	// short queue explains smaller ones.
	minSlowDelay = 250 * time.Millisecond
	// expectedOffsetMS is added to an expected time: the time of the network path when no
	// work is expected.
	expectedOffsetMS = 20.0
)

func (p *latencyBaseline) add(latencyRatio, eventGapMS float64) {
	p.samples++
	w := max(baselineWeight, 1/float64(p.samples))
	p.latencyRatio += w * (latencyRatio - p.latencyRatio)
	if eventGapMS > 0 {
		p.eventGapMS += w * (eventGapMS - p.eventGapMS)
	}
}

func (p *latencyBaseline) isSlow(o observation) bool {
	if p.samples < minBaselineSamples {
		return false
	}
	return (o.delay > minSlowDelay && o.latencyRatio > slowFactor*p.latencyRatio) || (p.eventGapMS > 0 && o.eventGapMS > slowFactor*p.eventGapMS)
}

// observation is one answer as it counts for or against its version.
type observation struct {
	service, version, upstream string
	key                        baselineKey
	failed                     bool
	// level is the load of the upstream when the request was sent.
	level versionshift.LoadLevel
	// latencyRatio is the time to the answer or the first event, as a multiple of the
	// expected time. eventGapMS is the median gap between events; zero when there were too
	// few events.
	latencyRatio, eventGapMS float64
	// delay is the time beyond the expected time.
	delay time.Duration
}

// setLatency sets latencyRatio and delay.
func (o *observation) setLatency(took, expected time.Duration) {
	o.latencyRatio = float64(took) / (float64(expected) + expectedOffsetMS*float64(time.Millisecond))
	o.delay = took - expected
}

// isSlow reports whether an answer that is still in flight already counts as slow.
func (tr *shiftTracker) isSlow(o observation) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(o.service)
	p := s.baselines[o.key]
	return p != nil && p.isSlow(o) && s.state.CountsSlowResponses()
}

// observe counts an answer for or against a version; it reports whether the answer counts
// against a new version. Broken connections are not counted: they indicate a fault of an
// upstream or a network path, not of the version.
func (tr *shiftTracker) observe(o observation, now time.Time) (against bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.shift(o.service)
	p := s.baselines[o.key]
	if p == nil {
		p = &latencyBaseline{}
		s.baselines[o.key] = p
	}
	isNew := s.ordered && o.version == s.order.To
	if !s.ordered || (s.stateCurrent() && s.state.Ended()) {
		if !o.failed {
			p.add(o.latencyRatio, o.eventGapMS)
		}
		return false
	}
	class := versionshift.Class(o.key.route, o.level)
	counts := s.evidence.countsAt(class, now)
	bad := o.failed || (p.isSlow(o) && (!isNew || s.state.CountsSlowResponses()))
	switch {
	case isNew:
		s.evidence.record(counts, class, o.upstream, bad)
	case bad:
		counts.oldBad++
	default:
		counts.oldGood++
	}
	if !isNew && !o.failed {
		p.add(o.latencyRatio, o.eventGapMS)
	}
	return isNew && bad
}

// record counts an answer of the new version.
func (e *evidence) record(counts *answerCounts, class, upstream string, bad bool) {
	id := peers.Hash(upstream)
	t := counts.byUpstream[id]
	if bad {
		t.Bad++
	} else {
		t.Good++
		if e.evaluated == nil {
			e.evaluated = map[string]int{}
		}
		e.evaluated[class]++
	}
	counts.byUpstream[id] = t
}

// observeAnswer counts a complete answer of a plain service, or a failure that an upstream
// reported itself.
func (g *Gateway) observeAnswer(q *request, p selection, a *answer, v attemptResult, start time.Time) {
	if v != answered || a == nil || a.restRequested {
		return
	}
	o := observation{
		service: q.service, version: p.up.Version, upstream: p.up.ID,
		key:    baselineKey{route: q.route.Name, model: p.choice.Model},
		failed: a.status >= http.StatusInternalServerError,
		level:  versionshift.LoadLevelOf(p.choice.Running, p.choice.Active, p.choice.Slots),
	}
	o.setLatency(time.Since(start), p.choice.ExpectedUnscaled)
	g.recordObservation(q.call.ID, o)
}

// recordObservation counts an answer and logs one that counts against a new version.
func (g *Gateway) recordObservation(request string, o observation) {
	if !g.shifts.observe(o, time.Now()) {
		return
	}
	g.log.Event(component, "answer against a version", zap.String("request", request), zap.String("service", o.service),
		zap.String("version", o.version), zap.String("upstream", o.upstream), zap.String("route", o.key.route),
		zap.String("model", o.key.model), zap.Bool("failed", o.failed), zap.Float64("late", o.latencyRatio),
		zap.Duration("overMs", o.delay), zap.Float64("gapMs", o.eventGapMS), zap.Uint8("level", uint8(o.level)))
}
