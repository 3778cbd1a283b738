package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// The bounds of the target on the requests that a faulty version answers.
const (
	maxExposedFifth = 60
	maxExposedAll   = 10
)

// lossy is one entry and three agents that run a new version whose ratings are
// lost at times, a request a second.
type lossy struct {
	rnd     *rand.Rand
	now     time.Time
	fleet   *watch.Fleet
	unrated unrated
	book    *quality.Estimator
	hosts   []*watch.Host
	loss    float64
	wrong   float64
	due     []dueRating
	// counts is off for a run without the counting of lost ratings.
	counts   bool
	answered int
}

type dueRating struct {
	at           time.Time
	request      string
	good, shadow bool
}

func newLossy(t *testing.T, seed uint64, loss float64) *lossy {
	t.Helper()
	l := &lossy{rnd: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_796_000_000, 0), fleet: watch.NewFleet(), loss: loss, counts: true}
	set := rollingOut(t, 3).set
	l.fleet.SetCatalog(set, l.now)
	l.book = quality.NewEstimator(quality.Settings{})
	l.book.Add(oldKey, quality.Delta{Good: 784, Bad: 16}, l.now)
	l.fleet.SetView(l.book.View(l.now), l.now)
	for i := range 3 {
		h := watch.NewHost(fmt.Sprintf("h%d", i))
		for _, v := range h.SetCatalog(set) {
			h.SetRanBefore(v, false)
		}
		l.hosts = append(l.hosts, h)
	}
	return l
}

// step lets one second pass: one request, to a caller or, while the version is
// held, as a shadow.
func (l *lossy) step() {
	l.now = l.now.Add(time.Second)
	for len(l.due) > 0 && !l.due[0].at.After(l.now) {
		r := l.due[0]
		l.due = l.due[1:]
		l.fleet.RecordRating(newKey, r.good, r.shadow, l.now)
		l.book.Add(newKey, quality.RatingDelta(r.good), l.now)
		l.unrated.rated("m@2", r.request)
	}
	if l.counts {
		tally := l.fleet.Observation("m@2", l.now).Tally
		l.fleet.Lost("m@2", l.unrated.lost("m@2", tally.Good+tally.Bad, l.now))
	}
	if l.now.Unix()%10 == 0 {
		l.fleet.SetView(l.book.View(l.now), l.now)
	}
	l.fleet.Evaluate(l.now)
	l.request()
}

func (l *lossy) request() {
	if len(l.fleet.ToWithdraw()) > 0 {
		return
	}
	request := fmt.Sprint(l.now.Unix())
	shadow := len(l.fleet.Held()) > 0
	if !shadow {
		h := l.hosts[l.rnd.IntN(len(l.hosts))]
		h.MergeRatingCounts("m@2", l.fleet.RatingCounts("m@2"))
		if h.Take("m@2", false, l.now) != nil {
			return
		}
		l.answered++
		l.fleet.RecordAttempt(watch.AttemptEnd{Key: newKey, Host: "h0", Latency: time.Second}, l.now)
		l.unrated.answered("m@2", request, l.now)
	}
	if good := l.rnd.Float64() >= l.wrong; l.rnd.Float64() >= l.loss {
		l.due = append(l.due, dueRating{at: l.now.Add(3 * time.Second), request: request, good: good, shadow: shadow})
	}
}

func (l *lossy) run(seconds int) (answered int) {
	before := l.answered
	for range seconds {
		l.step()
	}
	return l.answered - before
}

func TestLostRatingsDoNotStopARollout(t *testing.T) {
	const hours = 6
	for _, loss := range []float64{0, 0.01, 0.02, 0.04, 0.09} {
		off := newLossy(t, 1, loss)
		off.counts = false
		on := newLossy(t, 1, loss)
		answeredOff, answeredOn := off.run(hours*3600), on.run(hours*3600)
		t.Logf("%.0f%% lost: %d of %d answered without the count, %d with it", 100*loss, answeredOff, hours*3600, answeredOn)
		if loss < maxLostShare && answeredOn < hours*3600*9/10 {
			t.Errorf("%.0f%% lost: %d answers in %d s", 100*loss, answeredOn, hours*3600)
		}
	}
}

// turnsBad returns how many requests a new version answers from the moment on,
// after half an hour, in which that share of its answers becomes wrong.
func turnsBad(t *testing.T, seed uint64, loss, wrong float64) int {
	t.Helper()
	l := newLossy(t, seed, loss)
	l.run(1800)
	l.wrong = wrong
	return l.run(900)
}

func TestLostRatingsKeepTheExposureBound(t *testing.T) {
	const seeds = 40
	for wrong, bound := range map[float64]int{0.2: maxExposedFifth, 1: maxExposedAll} {
		for _, loss := range []float64{0, 0.04, 0.09} {
			worst, sum := 0, 0
			for seed := range uint64(seeds) {
				n := turnsBad(t, seed, loss, wrong)
				sum += n
				worst = max(worst, n)
			}
			t.Logf("%.0f%% wrong, %.0f%% lost: %.1f answers in the mean, %d at worst",
				100*wrong, 100*loss, float64(sum)/seeds, worst)
			if worst > bound {
				t.Errorf("%.0f%% wrong, %.0f%% lost: %d answers, want at most %d", 100*wrong, 100*loss, worst, bound)
			}
		}
	}
}

// TestRareRunsKeepTheExposureBound are the seeds up to 300 in which a version
// that turns bad after it was cleared answers most, without any rating lost.
func TestRareRunsKeepTheExposureBound(t *testing.T) {
	for _, seed := range []uint64{47, 164, 167, 249} {
		if n := turnsBad(t, seed, 0, 0.2); n > maxExposedFifth {
			t.Errorf("seed %d: %d answers, want at most %d", seed, n, maxExposedFifth)
		}
	}
}

func TestLateRatingsAreNotLost(t *testing.T) {
	var u unrated
	now := time.Unix(1_796_000_000, 0)
	given := func(i int) time.Time { return now.Add(time.Duration(i) * time.Minute) }
	for i := range 200 {
		u.answered("m@2", fmt.Sprint(i), given(i))
	}
	for i := range 100 {
		u.rated("m@2", fmt.Sprint(i))
		if n := u.lost("m@2", 1000, given(i+100)); n != 0 {
			t.Fatalf("%d answers are lost although all ratings come, 100 minutes late", n)
		}
	}
	u.rated("m@2", "120")
	if n := u.lost("m@2", 1000, given(220)); n != 1000*maxLostShare {
		t.Errorf("%d answers are lost, want the bound of %v", n, 1000*maxLostShare)
	}
	if names := u.keep(&catalog.Set{}); len(names) != 0 {
		t.Errorf("left %v of a version that is gone", names)
	}
}
