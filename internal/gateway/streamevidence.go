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
	// expected is the estimated time to the first event; usual is the estimate for an
	// upstream of average speed. Versions are compared against usual, so that known slow
	// upstreams do not excuse a slow version.
	expected, usual time.Duration
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
		g: g, request: q.call.ID, start: start, expected: p.choice.Expected, usual: p.choice.Usual, promptTime: p.choice.Work(),
		observation: observation{
			service: q.service, version: p.up.Version, upstream: p.up.ID,
			key:   baselineKey{route: q.route.Name, model: p.choice.Model},
			level: versionshift.LevelOf(p.choice.Running, p.choice.Active, p.choice.Slots),
		},
	}
}

// recordEvent records the arrival of an event.
func (j *streamObservation) recordEvent(now time.Time) {
	j.events++
	if j.events > 1 {
		j.gaps.add(now.Sub(j.lastEvent))
	}
	j.lastEvent = now
	if j.events == 1 {
		j.observation.setLatency(now.Sub(j.start), j.usual)
		j.g.speeds.observe(j.observation.service, j.observation.key.model, j.promptTime, j.expected, now.Sub(j.start))
	} else if j.events >= minGapEvents {
		j.observation.eventGapMS = float64(j.gaps.median()) / float64(time.Millisecond)
	}
	if j.reported || (j.events > 1 && j.events%evaluateEvery != 0) {
		return
	}
	if j.g.shifts.isSlow(j.observation) {
		j.report()
	}
}

// complete records that the run ended normally.
func (j *streamObservation) complete() {
	if !j.reported && j.events > 0 {
		j.report()
	}
}

// timedOut records that the upstream was silent for too long.
func (j *streamObservation) timedOut() {
	j.observation.failed = true
	if !j.reported {
		j.report()
	}
}

func (j *streamObservation) report() {
	j.reported = true
	j.g.recordObservation(j.request, j.observation)
}
