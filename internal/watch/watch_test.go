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

// The keys of both versions.
var (
	m1 = quality.Key{Version: "m@1"}
	m2 = quality.Key{Version: "m@2"}
)

var start = time.Unix(1_796_000_000, 0)

// rollingOut returns a set in which hosts run m@1 and, in a roll-out, m@2.
func rollingOut(t *testing.T, hosts int) *catalog.Set {
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

// atMost bounds the answers taken of one host in one go.
const atMost = 100

// answers takes as many answers of m@2 as the hosts grant.
func answers(hosts []*Host) int {
	n := 0
	for _, h := range hosts {
		for i := 0; i < atMost && h.Take("m@2", false, start) == nil; i++ {
			n++
		}
	}
	return n
}

func startHosts(set *catalog.Set, n int, ranBefore bool) []*Host {
	var hosts []*Host
	for i := range n {
		h := NewHost(fmt.Sprintf("h%d", i))
		for _, v := range h.SetCatalog(set) {
			h.Marked(v, ranBefore)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func TestBadNewVersionIsBoundedOverAllHostsWithoutRatings(t *testing.T) {
	set := rollingOut(t, 7)
	fresh := startHosts(set, 7, false)
	if n := answers(fresh); n != 4 {
		t.Errorf("%d answers without any rating, want 4", n)
	}
	if n := answers(startHosts(set, 7, true)); n != 0 {
		t.Errorf("restarted hosts granted %d answers again", n)
	}
	unmarked := NewHost("h0")
	unmarked.SetCatalog(set)
	if err := unmarked.Take("m@2", false, start); !result.Is(err, result.ExposureSpent) {
		t.Errorf("a host that does not know its past granted an answer: %v", err)
	}
}

func TestWrongVersionIsConvictedWithinItsBudget(t *testing.T) {
	set := rollingOut(t, 3)
	fleet := NewFleet()
	fleet.SetCatalog(set, start)
	hosts := startHosts(set, 3, false)
	key := quality.Key{Version: "m@2"}
	served := 0
	for round := range 20 {
		now := start.Add(time.Duration(round) * time.Second)
		n := answers(hosts)
		served += n
		for range n {
			fleet.Rated(key, false, false, now)
		}
		for _, h := range hosts {
			h.News("m@2", fleet.News("m@2"))
		}
	}
	if served > 10 {
		t.Errorf("%d answers of a version that is always wrong, want at most 10", served)
	}
	if held := fleet.Held(); len(held) != 1 || held[0] != "m@2" {
		t.Errorf("held versions: %v", held)
	}
}

// TestGoodVersionIsCleared lets a version without a predecessor's ratings use
// up its probation: it is held then, and shadows clear it.
func TestGoodVersionIsCleared(t *testing.T) {
	set := rollingOut(t, 3)
	fleet := NewFleet()
	fleet.SetCatalog(set, start)
	hosts := startHosts(set, 3, false)
	served := 0
	for round := range 40 {
		now := start.Add(time.Duration(round) * time.Second)
		for range answers(hosts) {
			served++
			fleet.Rated(quality.Key{Version: "m@2"}, true, false, now)
		}
		if len(fleet.Held()) > 0 {
			fleet.Rated(quality.Key{Version: "m@2"}, true, true, now)
		}
		for _, h := range hosts {
			h.News("m@2", fleet.News("m@2"))
		}
	}
	if o := fleet.Observation("m@2", start); !o.Tally.Cleared {
		t.Errorf("a version that is always right was not cleared: %+v", o)
	}
	if served < 500 {
		t.Errorf("hosts granted %d answers; they did not learn that the version is cleared", served)
	}
}

func TestFailuresOnOneHostDoNotHoldTheVersion(t *testing.T) {
	set := rollingOut(t, 3)
	fleet := NewFleet()
	fleet.SetCatalog(set, start)
	for second := range 60 {
		for range 5 {
			fleet.Ended(End{Key: m1, Host: "h0", Failed: true}, start)
			fleet.Ended(End{Key: m1, Host: "h1"}, start)
			fleet.Ended(End{Key: m1, Host: "h2"}, start)
		}
		fleet.Weigh(start.Add(time.Duration(second) * time.Second))
	}
	if held := fleet.Held(); len(held) != 0 {
		t.Errorf("held %v for the fault of one host", held)
	}
	for second := range 60 {
		for _, host := range []string{"h0", "h1", "h2"} {
			fleet.Ended(End{Key: m1, Host: host, Failed: true}, start)
			fleet.Ended(End{Key: m2, Host: host}, start)
		}
		fleet.Weigh(start.Add(time.Duration(60+second) * time.Second))
	}
	if held := fleet.Held(); len(held) != 1 || held[0] != "m@1" {
		t.Errorf("held %v, want the version that fails on every host", held)
	}
}

// TestTheHoldLevelIsThatOfTheModel counts the failures that hold a version, with
// a level in the first catalogue and with one published later.
func TestTheHoldLevelIsThatOfTheModel(t *testing.T) {
	failures := func(first, later float64) (n int) {
		fleet := NewFleet()
		set := rollingOut(t, 3)
		for _, level := range []float64{first, later} {
			set.Models["m"].HoldLevel = level
			fleet.SetCatalog(set, start)
		}
		for ; n < 100 && len(fleet.Held()) == 0; n++ {
			for _, host := range []string{"h0", "h1", "h2"} {
				fleet.Ended(End{Key: m1, Host: host, Failed: n >= 10}, start)
				fleet.Ended(End{Key: m2, Host: host}, start)
			}
			fleet.Weigh(start)
		}
		return n
	}
	usual, strict, lax, later := failures(0, 0), failures(2, 2), failures(10, 10), failures(2, 10)
	if strict >= usual || usual >= lax || later != lax {
		t.Errorf("held after %d rounds by default, %d at level 2, %d at 10, %d when it was raised to 10", usual, strict, lax, later)
	}
}

// warm gives both versions 100 answers of one second, as the reference.
func warm(f *Fleet) {
	book := quality.NewBook(quality.Settings{})
	for range 100 {
		book.Add(m1, quality.Answered(time.Second, 10, 0), start)
		book.Add(m2, quality.Answered(time.Second, 10, 0), start)
	}
	f.SetView(book.View(start), start)
}

func TestCutAndSlowAnswersSpeakAgainstAVersion(t *testing.T) {
	tests := []struct {
		name string
		bad  End
		both bool
		held bool
	}{
		{"cut answers", End{Key: m1, Cut: true}, false, true},
		{"slow answers", End{Key: m1, Latency: 5 * time.Second}, false, true},
		{"all versions slow under load", End{Key: m1, Latency: 5 * time.Second}, true, false},
		{"all versions cut", End{Key: m1, Cut: true}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.SetCatalog(rollingOut(t, 3), start)
			warm(fleet)
			for second := range 40 {
				for _, host := range []string{"h0", "h1", "h2"} {
					bad, other := tt.bad, End{Key: m2, Host: host, Latency: time.Second}
					bad.Host = host
					if tt.both {
						other.Latency, other.Cut = bad.Latency, bad.Cut
					}
					fleet.Ended(bad, start)
					fleet.Ended(other, start)
				}
				fleet.Weigh(start.Add(time.Duration(second) * time.Second))
			}
			held := len(fleet.Held()) > 0 && fleet.Held()[0] == "m@1"
			if held != tt.held {
				t.Errorf("held %v, want %v", fleet.Held(), tt.held)
			}
		})
	}
}

// TestAQueueSpeaksAgainstNoVersion leaves one version with too few replicas:
// its answers wait, those of the other do not.
func TestAQueueSpeaksAgainstNoVersion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		backlog float64
		held    bool
	}{{"slow with a queue", 4, false}, {"slow without one", 0, true}} {
		t.Run(tt.name, func(t *testing.T) {
			fleet := NewFleet()
			fleet.SetCatalog(rollingOut(t, 3), start)
			warm(fleet)
			book := quality.NewBook(quality.Settings{})
			for range 100 {
				book.Add(m1, quality.Answered(time.Second, 10, 0), start)
			}
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				for _, host := range []string{"h0", "h1", "h2"} {
					book.Add(m1, quality.Answered(5*time.Second, 10, tt.backlog), now)
					fleet.SetView(book.View(now), now)
					fleet.Ended(End{Key: m1, Host: host, Latency: 5 * time.Second, Backlog: tt.backlog}, now)
					fleet.Ended(End{Key: m2, Host: host, Latency: time.Second}, now)
				}
				fleet.Weigh(now)
			}
			if held := fleet.Held(); (len(held) > 0) != tt.held {
				t.Errorf("held %v, want held: %v", held, tt.held)
			}
		})
	}
}

func TestNewVersionWithoutRatingsIsHeldForShadows(t *testing.T) {
	fleet := NewFleet()
	fleet.SetCatalog(rollingOut(t, 3), start)
	fleet.Ended(End{Key: m2, Host: "h0"}, start)
	fleet.Weigh(start.Add(stalledAfter))
	if held := fleet.Held(); len(held) != 0 {
		t.Errorf("held %v too early", held)
	}
	fleet.Weigh(start.Add(stalledAfter + time.Second))
	if held := fleet.Held(); len(held) != 1 || held[0] != "m@2" {
		t.Errorf("held %v, want the version whose ratings do not come", held)
	}
	fleet.Rated(m2, true, true, start.Add(stalledAfter+2*time.Second))
	fleet.Weigh(start.Add(stalledAfter + 3*time.Second))
	if held := fleet.Held(); len(held) != 0 {
		t.Errorf("held %v after a rating came", held)
	}
}

func TestHostQuarantinesAVersionThatFailsBesideOthers(t *testing.T) {
	h := NewHost("h0")
	failures := 0
	for ; failures < 50 && h.Check("m@1", false, start) == nil; failures++ {
		h.Ended("m@1", true, start)
		h.Ended("m@2", false, start)
	}
	if failures > 10 {
		t.Errorf("quarantined after %d failures, want at most 10", failures)
	}
	if err := h.Check("m@1", false, start.Add(quarantineFor)); err != nil {
		t.Errorf("the version is not tried again: %v", err)
	}
	ill := NewHost("h1")
	for range 50 {
		ill.Ended("m@1", true, start)
		ill.Ended("m@2", true, start)
	}
	if q := ill.Quarantined(start); len(q) == 2 {
		t.Errorf("a host that fails with all versions quarantined %v", q)
	}
}

func TestMarkTellsWhetherTheHostRanBefore(t *testing.T) {
	p := fake.New(fake.Options{})
	set := rollingOut(t, 1)
	for life, want := range []int{4, 0} {
		h := NewHost("h0")
		for _, v := range h.SetCatalog(set) {
			Mark(t.Context(), p.Table, h, v)
		}
		if n := answers([]*Host{h}); n != want {
			t.Errorf("life %d granted %d answers, want %d", life, n, want)
		}
	}
}
