package entry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// sampledRun is a deployment in which a version in use answers so many requests
// a second, of which some are rated after 2 to 4 s; entries read once a second.
type sampledRun struct {
	rnd      *rand.Rand
	fleet    *watch.Fleet
	now      time.Time
	requests float64
	rated    float64
	due      []dueRating
}

const samplingStep = 50 * time.Millisecond

// exposure returns the requests answered until the version is held, once the
// share of its answers is wrong, or -1 when it is not held in ten minutes.
func (r *sampledRun) exposure(wrong float64) int {
	answered, carry, carryRated := 0, 0.0, 0.0
	start := r.now
	for r.now.Sub(start) < 10*time.Minute {
		r.now = r.now.Add(samplingStep)
		carry += r.requests * samplingStep.Seconds()
		carryRated += r.rated * samplingStep.Seconds()
		answered += int(carry)
		carry -= float64(int(carry))
		for ; carryRated >= 1; carryRated-- {
			lag := 2*time.Second + time.Duration(r.rnd.Int64N(int64(2*time.Second)))
			r.due = append(r.due, dueRating{at: r.now.Add(lag), good: r.rnd.Float64() >= wrong})
		}
		if r.now.Sub(start)%time.Second == 0 && r.read() {
			return answered
		}
	}
	return -1
}

// read takes the ratings that are due and reports whether the version is held.
func (r *sampledRun) read() bool {
	var later []dueRating
	for _, d := range r.due {
		if d.at.After(r.now) {
			later = append(later, d)
			continue
		}
		r.fleet.RecordRating(oldKey, d.good, false, r.now)
	}
	r.due = later
	return len(r.fleet.Held()) > 0
}

// TestSamplingAndTheExposureOfAVersionInUse measures; the target has no bound
// for a version in use whose answers are not all rated.
func TestSamplingAndTheExposureOfAVersionInUse(t *testing.T) {
	for _, c := range []struct {
		what            string
		requests, rated float64
	}{
		{"1 request a second, all rated", 1, 1},
		{"10 a second, all rated", 10, 10},
		{"10 a second, a quarter rated", 10, 2.5},
		{"100 a second, all rated", 100, 100},
		{"100 a second, 11 rated", 100, 11},
		{"27 entries, 593 a second each, all rated", 27 * 593, 27 * 593},
		{"27 entries, 593 a second each, 100 rated each", 27 * 593, 2700},
		{"27 entries, 593 a second each, 100 rated in all", 27 * 593, 100},
		{"27 entries, 593 a second each, 11 rated in all", 27 * 593, 11},
	} {
		for _, wrong := range []float64{0.2, 1} {
			median, worst := exposures(t, c.requests, c.rated, wrong)
			t.Logf("%s, %.0f%% wrong: %d answers in the median, %d at worst", c.what, 100*wrong, median, worst)
			if median < 0 {
				t.Errorf("%s, %.0f%% wrong: not held", c.what, 100*wrong)
			}
		}
	}
}

// exposures returns the median and the worst of some seeds.
func exposures(t *testing.T, requests, rated, wrong float64) (median, worst int) {
	t.Helper()
	const seeds = 20
	var found []int
	for seed := range uint64(seeds) {
		r := &sampledRun{
			rnd: rand.New(rand.NewPCG(seed, 5)), fleet: watch.NewFleet(),
			now: time.Unix(1_796_000_000, 0), requests: requests, rated: rated,
		}
		r.fleet.SetCatalog(rollingOut(t, 0).set, r.now)
		book := quality.NewEstimator(quality.Settings{})
		book.Add(oldKey, quality.Delta{Good: 784, Bad: 16}, r.now)
		r.fleet.SetView(book.View(r.now), r.now)
		r.now = r.now.Add(time.Hour)
		found = append(found, r.exposure(wrong))
	}
	slices.Sort(found)
	if found[0] < 0 {
		return found[0], found[0]
	}
	return found[seeds/2], found[seeds-1]
}
