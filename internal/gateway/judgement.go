package gateway

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// judgement counts one run of a stream for or against its version, once. A
// slow run counts as soon as it shows, since its end may be far off.
type judgement struct {
	g       *Gateway
	request string
	seen    observed
	began   time.Time
	// expected is the time to the first event that was estimated, usual what it
	// would be if the upstream were as fast as others: a version is not excused by
	// how slow its upstreams are known to be.
	expected, usual time.Duration
	// work is the part of it that the prompt itself takes.
	work    time.Duration
	last    time.Time
	pauses  pauses
	events  int
	counted bool
}

// Events of a run after which its pace is judged.
const (
	// leastEvents is how many events make a pace.
	leastEvents = 4
	// judgeEvery is how many events pass between two looks at it.
	judgeEvery = 4
)

func newJudgement(g *Gateway, q *request, p picked, began time.Time) *judgement {
	return &judgement{
		g: g, request: q.call.ID, began: began, expected: p.choice.Expected, usual: p.choice.Usual, work: p.choice.Work(),
		seen: observed{
			service: q.service, version: p.up.Version, upstream: p.up.ID,
			key:   paceKey{route: q.route.Name, model: p.choice.Model},
			level: versionshift.LevelOf(p.choice.Running, p.choice.Active, p.choice.Slots),
		},
	}
}

// event notes that an event has come.
func (j *judgement) event(now time.Time) {
	j.events++
	if j.events > 1 {
		j.pauses.add(now.Sub(j.last))
	}
	j.last = now
	if j.events == 1 {
		j.seen.timed(now.Sub(j.began), j.usual)
		j.g.speeds.learn(j.seen.service, j.seen.key.model, j.work, j.expected, now.Sub(j.began))
	} else if j.events >= leastEvents {
		j.seen.gap = float64(j.pauses.median()) / float64(time.Millisecond)
	}
	if j.counted || (j.events > 1 && j.events%judgeEvery != 0) {
		return
	}
	if j.g.shifts.slow(j.seen) {
		j.count()
	}
}

// whole notes that the run came to its end.
func (j *judgement) whole() {
	if !j.counted && j.events > 0 {
		j.count()
	}
}

// silent notes that the upstream went silent for too long.
func (j *judgement) silent() {
	j.seen.failed = true
	if !j.counted {
		j.count()
	}
}

func (j *judgement) count() {
	j.counted = true
	j.g.observe(j.request, j.seen)
}
