package version

import "time"

// load is what happens to a site in one run.
type load struct {
	name string
	// combined is set when two things happen at a time.
	combined bool
	// learned is how long the product has run at the quiet rate before the
	// run, warm the time in the run before figures are taken, and length the
	// time after.
	learned time.Duration
	warm    time.Duration
	length  time.Duration
	// floodAt is when the rate rises tenfold within floodRise, for
	// floodFor; zero is never. All times count from the end of warm.
	floodAt  time.Duration
	floodFor time.Duration
	// wrong is the share of the answers of badVersion that are wrong from
	// badAt on, on top of its ordinary ones.
	wrong      float64
	badVersion int
	badAt      time.Duration
	// rollout brings the new version in at rolloutAt.
	rollout   bool
	rolloutAt time.Duration
	// stoppedAt and stoppedFor tell when no daemon steps the roll-out.
	stoppedAt  time.Duration
	stoppedFor time.Duration
	// awayAt and awayFor tell when the rating service does not answer.
	awayAt  time.Duration
	awayFor time.Duration
	// lostAt and lostFor tell when the first failure domain is lost.
	lostAt  time.Duration
	lostFor time.Duration
	// goneAt and goneFor tell when only one replica of the middle version
	// is left.
	goneAt  time.Duration
	goneFor time.Duration
}

const (
	flood     = 10
	floodRise = 3 * time.Minute
	never     = time.Duration(0)
)

// hasBad reports whether a version turns bad under the load.
func (l *load) hasBad() bool { return l.wrong > 0 }

const (
	hour = time.Hour
	// warmTime fills the queues.
	warmTime = 10 * time.Minute
	// quietWeek is the time before each load, and of the cold start itself.
	quietWeek = 7 * 24 * hour
	// fullLength is how much longer the loads of a full run last.
	fullLength = 4
)

// loads returns the loads of a run. All begin with what a quiet week taught.
func loads(quick bool) []load {
	out := []load{
		{name: "quiet, then flood", length: 3 * hour, floodAt: 2 * hour, floodFor: 40 * time.Minute},
		{name: "rating service away", length: 4 * hour, awayAt: hour / 2, awayFor: 3 * hour},
		{name: "capacity gone", length: 2 * hour, goneAt: hour / 2, goneFor: hour},
		{name: "failure domain lost", length: 2 * hour, lostAt: hour / 2, lostFor: hour},
		{name: "capacity gone in a flood", length: 2 * hour, combined: true,
			goneAt: hour / 2, goneFor: hour / 2, floodAt: hour / 3, floodFor: hour},
		{name: "failure domain lost in a flood", length: 2 * hour, combined: true,
			lostAt: hour / 2, lostFor: hour / 2, floodAt: hour / 3, floodFor: hour},
		{name: "roll-out stopped halfway", length: 4 * hour, rollout: true, rolloutAt: 5 * time.Minute,
			stoppedAt: hour, stoppedFor: hour},
	}
	out = append(out, badLoads()...)
	for i := range out {
		out[i].learned, out[i].warm = quietWeek, warmTime
		if !quick {
			out[i].length *= fullLength
		}
	}
	return append([]load{coldStart()}, out...)
}

// coldStart is a quiet week from the first request on.
func coldStart() load {
	return load{name: "cold start", length: quietWeek}
}

// badLoads returns the loads in which a version turns bad: a new one from its
// first answer, and one in use long after its roll-out.
func badLoads() []load {
	var out []load
	for _, b := range []struct {
		name  string
		wrong float64
	}{{"1%", 0.01}, {"5%", 0.05}, {"20%", 0.2}, {"100%", 1}} {
		out = append(out,
			load{name: "new version " + b.name + " wrong", length: 2 * hour,
				wrong: b.wrong, badVersion: fresh, rollout: true, rolloutAt: 5 * time.Minute},
			load{name: "version in use turns " + b.name + " wrong", length: 2 * hour,
				wrong: b.wrong, badVersion: cheap, badAt: 5 * time.Minute})
	}
	return out
}

// within reports whether t lies in the span that begins at from.
func within(t, from, length time.Duration) bool {
	return length != never && t >= from && t < from+length
}

// rate returns the rate at the time t as a multiple of the quiet rate.
func (l *load) rate(t time.Duration) float64 {
	if !within(t, l.floodAt, l.floodFor) {
		return 1
	}
	rise := float64(t-l.floodAt) / float64(floodRise)
	return 1 + (flood-1)*min(1, rise)
}

// faulty returns the share of a version's answers that are wrong through its
// fault at the time t.
func (l *load) faulty(version int, t time.Duration) float64 {
	if !l.isBad(version, t) {
		return 0
	}
	return l.wrong
}

// isBad reports whether the version is the bad one at the time t.
func (l *load) isBad(version int, t time.Duration) bool {
	return l.hasBad() && version == l.badVersion && t >= l.badAt
}
