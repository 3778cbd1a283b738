package gateway

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// streamObservation counts one run of a stream for or against its version, exactly once. A
// slow run is counted as soon as it is detected, since it may end much later.
type streamObservation struct {
	g           *Gateway
	request     string
	observation observation
	start       time.Time
	// expected is the estimated time to the first event; unscaled is the estimate for an
	// upstream of average speed. Versions are compared against unscaled, so that known slow
	// upstreams do not excuse a slow version.
	expected, unscaled time.Duration
	// promptTime is the part of it that processing the prompt takes.
	promptTime time.Duration
	lastEvent  time.Time
	gaps       eventGaps
	events     int
	reported   bool
}

// Numbers of events at which the gaps of a run are evaluated.
const (
	// minGapEvents is the minimum number of events from which a median gap is computed.
	minGapEvents = 4
	// evaluateEvery is the number of events between two evaluations.
	evaluateEvery = 4
)

func newStreamObservation(g *Gateway, q *request, p selection, start time.Time) *streamObservation {
	return &streamObservation{
		g: g, request: q.call.ID, start: start, expected: p.choice.Expected, unscaled: p.choice.ExpectedUnscaled, promptTime: p.choice.Work(),
		observation: observation{
			service: q.service, version: p.up.Version, upstream: p.up.ID,
			key:   baselineKey{route: q.route.Name, model: p.choice.Model},
			level: versionshift.LoadLevelOf(p.choice.Running, p.choice.Active, p.choice.Slots),
		},
	}
}

// recordEvent records the arrival of an event.
func (so *streamObservation) recordEvent(now time.Time) {
	so.events++
	if so.events > 1 {
		so.gaps.add(now.Sub(so.lastEvent))
	}
	so.lastEvent = now
	if so.events == 1 {
		so.observation.setLatency(now.Sub(so.start), so.unscaled)
		so.g.speeds.observe(so.observation.service, so.observation.key.model, so.promptTime, so.expected, now.Sub(so.start))
	} else if so.events >= minGapEvents {
		so.observation.eventGapMS = float64(so.gaps.median()) / float64(time.Millisecond)
	}
	if so.reported || (so.events > 1 && so.events%evaluateEvery != 0) {
		return
	}
	if so.g.shifts.isSlow(so.observation) {
		so.report()
	}
}

// complete records that the run ended normally.
func (so *streamObservation) complete() {
	if !so.reported && so.events > 0 {
		so.report()
	}
}

// timedOut records that the upstream was silent for too long.
func (so *streamObservation) timedOut() {
	so.observation.failed = true
	if !so.reported {
		so.report()
	}
}

func (so *streamObservation) report() {
	so.reported = true
	so.g.recordObservation(so.request, so.observation)
}
