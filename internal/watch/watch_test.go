package watch

import (
	"fmt"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
)

// The keys of the old and the new version.
var (
	m1 = quality.Key{Version: "m@1"}
	m2 = quality.Key{Version: "m@2"}
)

var start = time.Unix(1_796_000_000, 0)

// newRolloutSet returns a catalogue in which n hosts run m@1 and m@2 during a
// rollout from m@1 to m@2.
func newRolloutSet(t *testing.T, hosts int) *catalog.Set {
	t.Helper()
	objects := []catalog.Object{
		object(catalog.KindModel, "m", `{"qualityTarget":0.9}`),
		object(catalog.KindVersion, "m@1", `{"inputMicros":1,"outputMicros":1}`),
		object(catalog.KindVersion, "m@2", `{"inputMicros":1,"outputMicros":1}`),
		object(catalog.KindRollout, "r", `{"from":"m@1","to":"m@2","stages":[0.5,1]}`),
	}
	for i := range hosts {
		objects = append(objects, object(catalog.KindUpstream, fmt.Sprintf("u%d", i), fmt.Sprintf(
			`{"host":"h%d","domain":"d","agent":"127.0.0.1:1","address":"127.0.0.1:2","versions":["m@1","m@2"]}`, i)))
	}
	set, err := catalog.NewSet(objects)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func object(kind catalog.Kind, name, spec string) catalog.Object {
	return catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: []byte(spec)}
}

// maxAnswersPerHost bounds the answers that takeAllAnswers takes from each host.
const maxAnswersPerHost = 100

// takeAllAnswers takes as many answers of m@2 as the hosts grant.
func takeAllAnswers(hosts []*Host) int {
	n := 0
	for _, h := range hosts {
		for i := 0; i < maxAnswersPerHost && h.Take("m@2", false, start) == nil; i++ {
			n++
		}
	}
	return n
}

// startHosts returns n hosts with their marks looked up; ranBefore is the result.
func startHosts(set *catalog.Set, n int, ranBefore bool) []*Host {
	var hosts []*Host
	for i := range n {
		h := NewHost(fmt.Sprintf("h%d", i))
		for _, v := range h.SetCatalog(set) {
			h.SetRanBefore(v, ranBefore)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func TestBadNewVersionIsBoundedOverAllHostsWithoutRatings(t *testing.T) {
	set := newRolloutSet(t, 7)
	firstStart := startHosts(set, 7, false)
	if n := takeAllAnswers(firstStart); n != 4 {
		t.Errorf("%d answers without any rating, want 4", n)
	}
	if n := takeAllAnswers(startHosts(set, 7, true)); n != 0 {
		t.Errorf("restarted hosts granted %d answers again", n)
	}
	unmarked := NewHost("h0")
	unmarked.SetCatalog(set)
	if err := unmarked.Take("m@2", false, start); !result.Is(err, result.ExposureSpent) {
		t.Errorf("a host whose mark was not looked up granted an answer: %v", err)
	}
}

func TestWrongVersionIsHeldWithinItsBudget(t *testing.T) {
	set := newRolloutSet(t, 3)
	fleet := NewFleet()
	fleet.SetCatalog(set, start)
	hosts := startHosts(set, 3, false)
	key := quality.Key{Version: "m@2"}
	served := 0
	for round := range 20 {
		now := start.Add(time.Duration(round) * time.Second)
		n := takeAllAnswers(hosts)
		served += n
		for range n {
			fleet.RecordRating(key, false, false, now)
		}
		for _, h := range hosts {
			h.MergeRatingCounts("m@2", fleet.RatingCounts("m@2"))
		}
	}
	if served > 10 {
		t.Errorf("%d answers of a version that is always wrong, want at most 10", served)
	}
	if held := fleet.Held(); len(held) != 1 || held[0] != "m@2" {
		t.Errorf("held versions: %v", held)
	}
}

// TestGoodVersionIsCleared guards against a good version staying held. The old
// version has no ratings, so the new one uses up its budget and is held. Ratings
// of shadow answers must then clear it.
func TestGoodVersionIsCleared(t *testing.T) {
	set := newRolloutSet(t, 3)
	fleet := NewFleet()
	fleet.SetCatalog(set, start)
	hosts := startHosts(set, 3, false)
	served := 0
	for round := range 40 {
		now := start.Add(time.Duration(round) * time.Second)
		for range takeAllAnswers(hosts) {
			served++
			fleet.RecordRating(quality.Key{Version: "m@2"}, true, false, now)
		}
		if len(fleet.Held()) > 0 {
			fleet.RecordRating(quality.Key{Version: "m@2"}, true, true, now)
		}
		for _, h := range hosts {
			h.MergeRatingCounts("m@2", fleet.RatingCounts("m@2"))
		}
	}
	if o := fleet.Observation("m@2", start); !o.Tally.Cleared {
		t.Errorf("a version that is always right was not cleared: %+v", o)
	}
	if served < 500 {
		t.Errorf("hosts granted %d answers; they did not apply that the version is cleared", served)
	}
}

func TestFailuresOnOneHostDoNotHoldTheVersion(t *testing.T) {
	set := newRolloutSet(t, 3)
	fleet := NewFleet()
	fleet.SetCatalog(set, start)
	for second := range 60 {
		for range 5 {
			fleet.RecordAttempt(AttemptEnd{Key: m1, Host: "h0", Failed: true}, start)
			fleet.RecordAttempt(AttemptEnd{Key: m1, Host: "h1"}, start)
			fleet.RecordAttempt(AttemptEnd{Key: m1, Host: "h2"}, start)
		}
		fleet.Evaluate(start.Add(time.Duration(second) * time.Second))
	}
	if held := fleet.Held(); len(held) != 0 {
		t.Errorf("held %v for a fault of one host", held)
	}
	for second := range 60 {
		for _, host := range []string{"h0", "h1", "h2"} {
			fleet.RecordAttempt(AttemptEnd{Key: m1, Host: host, Failed: true}, start)
			fleet.RecordAttempt(AttemptEnd{Key: m2, Host: host}, start)
		}
		fleet.Evaluate(start.Add(time.Duration(60+second) * time.Second))
	}
	if held := fleet.Held(); len(held) != 1 || held[0] != "m@1" {
		t.Errorf("held %v, want the version that fails on every host", held)
	}
}

// TestTheHoldLevelIsThatOfTheModel guards against ignoring the hold level of a
// model. It counts the rounds of failures until a version is held, with a level in
// the first catalogue and with one published later.
func TestTheHoldLevelIsThatOfTheModel(t *testing.T) {
	failures := func(first, later float64) (n int) {
		fleet := NewFleet()
		set := newRolloutSet(t, 3)
		for _, level := range []float64{first, later} {
			set.Models["m"].HoldLevel = level
			fleet.SetCatalog(set, start)
		}
		for ; n < 100 && len(fleet.Held()) == 0; n++ {
			for _, host := range []string{"h0", "h1", "h2"} {
				fleet.RecordAttempt(AttemptEnd{Key: m1, Host: host, Failed: n >= 10}, start)
				fleet.RecordAttempt(AttemptEnd{Key: m2, Host: host}, start)
			}
			fleet.Evaluate(start)
		}
		return n
	}
	usual, strict, lax, later := failures(0, 0), failures(2, 2), failures(10, 10), failures(2, 10)
	if strict >= usual || usual >= lax || later != lax {
		t.Errorf("held after %d rounds by default, %d at level 2, %d at 10, %d when it was raised to 10", usual, strict, lax, later)
	}
}

// addReferenceLatency sets a reference of 100 answers of one second for both
// versions.
func addReferenceLatency(f *Fleet) {
	estimator := quality.NewEstimator(quality.Settings{})
	for range 100 {
		estimator.Add(m1, quality.AnswerDelta(time.Second, 10, 0), start)
		estimator.Add(m2, quality.AnswerDelta(time.Second, 10, 0), start)
	}
	f.SetView(estimator.View(start), start)
}

func TestCutAndSlowAnswersHoldAVersion(t *testing.T) {
	tests := []struct {
		name string
		bad  AttemptEnd
		both bool
		held bool
	}{
		{"cut answers", AttemptEnd{Key: m1, Cut: true}, false, true},
		{"slow answers", AttemptEnd{Key: m1, Latency: 5 * time.Second}, false, true},
		{"all versions slow under load", AttemptEnd{Key: m1, Latency: 5 * time.Second}, true, false},
		{"all versions cut", AttemptEnd{Key: m1, Cut: true}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.SetCatalog(newRolloutSet(t, 3), start)
			addReferenceLatency(fleet)
			for second := range 40 {
				for _, host := range []string{"h0", "h1", "h2"} {
					bad, other := tt.bad, AttemptEnd{Key: m2, Host: host, Latency: time.Second}
					bad.Host = host
					if tt.both {
						other.Latency, other.Cut = bad.Latency, bad.Cut
					}
					fleet.RecordAttempt(bad, start)
					fleet.RecordAttempt(other, start)
				}
				fleet.Evaluate(start.Add(time.Duration(second) * time.Second))
			}
			held := len(fleet.Held()) > 0 && fleet.Held()[0] == "m@1"
			if held != tt.held {
				t.Errorf("held %v, want %v", fleet.Held(), tt.held)
			}
		})
	}
}

// TestQueueWaitsDoNotHoldAVersion guards against holding a version that has too few
// replicas: its answers wait in a queue, those of the other version do not.
func TestQueueWaitsDoNotHoldAVersion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backlog float64
		held    bool
	}{{"slow with a queue", 4, false}, {"slow without one", 0, true}} {
		t.Run(tt.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.SetCatalog(newRolloutSet(t, 3), start)
			addReferenceLatency(fleet)
			estimator := quality.NewEstimator(quality.Settings{})
			for range 100 {
				estimator.Add(m1, quality.AnswerDelta(time.Second, 10, 0), start)
			}
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				for _, host := range []string{"h0", "h1", "h2"} {
					estimator.Add(m1, quality.AnswerDelta(5*time.Second, 10, tt.backlog), now)
					fleet.SetView(estimator.View(now), now)
					fleet.RecordAttempt(AttemptEnd{Key: m1, Host: host, Latency: 5 * time.Second, Backlog: tt.backlog}, now)
					fleet.RecordAttempt(AttemptEnd{Key: m2, Host: host, Latency: time.Second}, now)
				}
				fleet.Evaluate(now)
			}
			if held := fleet.Held(); (len(held) > 0) != tt.held {
				t.Errorf("held %v, want held: %v", held, tt.held)
			}
		})
	}
}

func TestNewVersionWithoutRatingsIsHeldForShadows(t *testing.T) {
	fleet := NewFleet()
	fleet.SetCatalog(newRolloutSet(t, 3), start)
	fleet.RecordAttempt(AttemptEnd{Key: m2, Host: "h0"}, start)
	fleet.Evaluate(start.Add(ratingsStalledAfter))
	if held := fleet.Held(); len(held) != 0 {
		t.Errorf("held %v too early", held)
	}
	fleet.Evaluate(start.Add(ratingsStalledAfter + time.Second))
	if held := fleet.Held(); len(held) != 1 || held[0] != "m@2" {
		t.Errorf("held %v, want the version that receives no ratings", held)
	}
	fleet.RecordRating(m2, true, true, start.Add(ratingsStalledAfter+2*time.Second))
	fleet.Evaluate(start.Add(ratingsStalledAfter + 3*time.Second))
	if held := fleet.Held(); len(held) != 0 {
		t.Errorf("held %v after a rating arrived", held)
	}
}

func TestHostQuarantinesAVersionThatFailsBesideOthers(t *testing.T) {
	h := NewHost("h0")
	failures := 0
	for ; failures < 50 && h.Check("m@1", false, start) == nil; failures++ {
		h.RecordAnswer("m@1", true, start)
		h.RecordAnswer("m@2", false, start)
	}
	if failures > 10 {
		t.Errorf("quarantined after %d failures, want at most 10", failures)
	}
	if err := h.Check("m@1", false, start.Add(quarantineDuration)); err != nil {
		t.Errorf("the version is not retried after the quarantine: %v", err)
	}
	faulty := NewHost("h1")
	for range 50 {
		faulty.RecordAnswer("m@1", true, start)
		faulty.RecordAnswer("m@2", true, start)
	}
	if q := faulty.Quarantined(start); len(q) == 2 {
		t.Errorf("a host that fails with all versions quarantined %v", q)
	}
}

func TestMarkReportsWhetherTheHostRanBefore(t *testing.T) {
	p := fake.New(fake.Options{})
	set := newRolloutSet(t, 1)
	for run, want := range []int{4, 0} {
		h := NewHost("h0")
		for _, v := range h.SetCatalog(set) {
			Mark(t.Context(), p.Table, h, v)
		}
		if n := takeAllAnswers([]*Host{h}); n != want {
			t.Errorf("process run %d granted %d answers, want %d", run, n, want)
		}
	}
}
