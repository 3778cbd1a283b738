package gateway

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// judgement counts one run of a stream for or against its version, once. A
// slow run counts as soon as it shows, since its end may be far off.
type streamObservation struct {
	g           *Gateway
	request     string
	observation observation
	start       time.Time
	// expected is the time to the first event that was estimated, usual what it
	// would be if the upstream were as fast as others: a version is not excused by
	// how slow its upstreams are known to be.
	expected, usual time.Duration
	// work is the part of it that the prompt itself takes.
	promptTime time.Duration
	lastEvent  time.Time
	gaps       eventGaps
	events     int
	reported   bool
}

// Events of a run after which its pace is judged.
const (
	// leastEvents is how many events make a pace.
	minGapEvents = 4
	// judgeEvery is how many events pass between two looks at it.
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

// event notes that an event has come.
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

// whole notes that the run came to its end.
func (j *streamObservation) complete() {
	if !j.reported && j.events > 0 {
		j.report()
	}
}

// silent notes that the upstream went silent for too long.
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
