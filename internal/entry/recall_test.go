package entry

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/learned"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

var (
	oldKey = quality.Key{Version: "m@1"}
	newKey = quality.Key{Version: "m@2"}
)

// inForce is a configuration that does not change: m@2 replaces m@1.
type inForce struct{ set *catalog.Set }

func (c inForce) Set() (*catalog.Set, uint64)   { return c.set, 1 }
func (c inForce) Updates() <-chan publish.State { return nil }
func (c inForce) Saw(string, uint64)            {}

func rollingOut(t *testing.T, hosts int) inForce {
	t.Helper()
	object := func(kind catalog.Kind, name, spec string) catalog.Object {
		return catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: []byte(spec)}
	}
	objects := []catalog.Object{
		object(catalog.KindModel, "m", `{"qualityTarget":0.9}`),
		object(catalog.KindVersion, "m@1", `{"inputMicros":1,"outputMicros":1}`),
		object(catalog.KindVersion, "m@2", `{"inputMicros":1,"outputMicros":1,"exposure":50}`),
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
	return inForce{set}
}

type noMembers struct{}

func (noMembers) SetCatalog(*catalog.Set)                        {}
func (noMembers) RecordResponse(string, uint64, bool, time.Time) {}
func (noMembers) RecordRequestFailure(string)                    {}

// site is a few entries around one platform.
type site struct {
	t        *testing.T
	config   inForce
	platform *fake.Platform

	mu       sync.Mutex
	entries  map[string]*Entry
	requests int
	// version is whose answers are rated.
	version string
	// bad is the number of the next answers that are rated bad.
	bad int
}

func newSite(t *testing.T) *site {
	s := &site{t: t, config: rollingOut(t, 0), entries: map[string]*Entry{}, version: oldKey.Version}
	s.platform = fake.New(fake.Options{Judge: func(ports.Sample) bool {
		s.bad--
		return s.bad < 0
	}})
	return s
}

// rate has the rating service rate n answers.
func (s *site) rate(n int) {
	s.t.Helper()
	for range n {
		s.requests++
		sample := ports.Sample{RequestID: fmt.Sprint(s.requests), Version: s.version}
		if err := s.platform.Ratings.Submit(s.t.Context(), sample); err != nil {
			s.t.Fatal(err)
		}
	}
}

// start runs an entry that asks the others; stop ends it.
func (s *site) start(name string, peers ...string) (e *Entry, stop func()) {
	e = New(Options{Name: name, Config: s.config, Link: link.NewClient(link.Options{}),
		InFlight: 8, Queue: 8, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()})
	e.SetMembers(noMembers{})
	source := learned.Source{Table: s.platform.Table, Self: name, Peers: peers, Fetch: s.ask, Now: time.Now, Log: zap.NewNop()}
	saver := learned.Saver{Table: s.platform.Table, Address: name, Memory: e.Memory}
	leases := lease.NewManager(lease.Options{Table: s.platform.Table, Name: name})
	ctx, cancel := context.WithCancel(s.t.Context())
	var duties sync.WaitGroup
	for _, run := range []func() error{
		func() error { return e.Run(ctx) },
		func() error { return e.Learn(ctx) },
		func() error { return e.Rate(ctx, s.platform.Ratings, source.Load) },
		func() error { return leases.Run(ctx, learned.LeaseItem, saver.Run) },
	} {
		duties.Go(func() { _ = run() })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[name] = e
	return e, func() {
		s.mu.Lock()
		delete(s.entries, name)
		s.mu.Unlock()
		cancel()
		duties.Wait()
	}
}

// ask is the link to an entry that runs.
func (s *site) ask(ctx context.Context, address string) (*linkv1.LearnedResponse, error) {
	s.mu.Lock()
	e := s.entries[address]
	s.mu.Unlock()
	if e == nil {
		return nil, result.New(result.NoUpstream, "nobody at %s", address)
	}
	m, err := e.Memory(ctx)
	if err != nil || m.Empty() {
		return &linkv1.LearnedResponse{}, err
	}
	packed, _, err := learned.Pack(m)
	return &linkv1.LearnedResponse{Packed: packed}, err
}

// fading is the weight that ratings may lose in the minutes of a test.
const fading = 0.1

// expect checks the ratings that an entry knows of m@1.
func (s *site) expect(when string, e *Entry, want float64) {
	s.t.Helper()
	got, _ := e.learner.view().Get(oldKey)
	if math.Abs(got.Ratings-want) > fading {
		s.t.Errorf("%s: %s knows %.2f ratings, want %.0f", when, e.name, got.Ratings, want)
	}
}

// referenceTime is more than the age of the estimates by which a version in use is
// judged.
const referenceTime = 25 * time.Minute

func settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

func TestRestartedEntryLearnsFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		a, stopA := s.start("a")
		defer stopA()
		s.rate(300)
		settle()
		a.learner.answered(oldKey, time.Second, 64, 0)
		settle()
		s.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		b, stopB := s.start("b", "a")
		defer stopB()
		settle()
		s.expect("after the restart", b, 300)
		if e, _ := b.learner.view().Get(oldKey); e.Answers != 1 || e.OutputTokens != 64 {
			t.Errorf("what the peer saw of answers was lost: %+v", e)
		}
		s.rate(20)
		settle()
		s.expect("of new ratings", a, 320)
		s.expect("of new ratings", b, 320)
	})
}

func TestAllEntriesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		_, stopA := s.start("a")
		s.rate(300)
		time.Sleep(2 * learned.SaveInterval)
		stopA()
		s.platform.Ratings.SetFaults(fake.RatingFaults{Away: true})
		b, stopB := s.start("b", "a")
		defer stopB()
		settle()
		s.expect("with the rating service away", b, 300)
		s.platform.Ratings.SetFaults(fake.RatingFaults{})
		s.rate(5)
		settle()
		s.expect("with the rating service back", b, 305)
	})
}

func TestStoreAndPeersAwayAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		_, stopA := s.start("a")
		s.rate(300)
		time.Sleep(2 * learned.SaveInterval)
		stopA()
		s.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		s.platform.Ratings.SetFaults(fake.RatingFaults{Away: true})
		b, stopB := s.start("b", "a")
		defer stopB()
		settle()
		s.expect("with all away", b, 0)
		s.platform.Table.SetFaults(fake.TableFaults{})
		time.Sleep(recallEvery)
		settle()
		s.expect("with the store back", b, 300)
		s.platform.Ratings.SetFaults(fake.RatingFaults{})
		s.rate(5)
		settle()
		s.expect("with all back", b, 305)
	})
}

func TestAStaleCopyCountsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		_, stopA := s.start("a")
		s.rate(300)
		time.Sleep(2 * learned.SaveInterval)
		stopA()
		s.rate(200)
		s.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		b, stopB := s.start("b")
		defer stopB()
		settle()
		s.expect("read anew", b, 500)
		s.platform.Table.SetFaults(fake.TableFaults{})
		time.Sleep(recallEvery)
		settle()
		s.expect("after the older copy", b, 500)
		c, stopC := s.start("c")
		defer stopC()
		settle()
		s.expect("from the older copy and the stream", c, 500)
	})
}

func TestWatchReadsTheLastRatingsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		a, stopA := s.start("a")
		defer stopA()
		s.rate(1500)
		time.Sleep(referenceTime)
		s.bad = 30
		s.rate(30)
		settle()
		if len(a.fleet.Held()) == 0 {
			t.Fatal("the version that turned bad is not held")
		}
		b, stopB := s.start("b", "a")
		defer stopB()
		settle()
		if len(b.fleet.Held()) == 0 {
			t.Error("an entry that restarts forgets its suspicion")
		}
		s.expect("of ratings read twice", b, ratingsOf(a))
	})
}

func ratingsOf(e *Entry) float64 {
	known, _ := e.learner.view().Get(oldKey)
	return known.Ratings
}

// TestBudgetOfANewVersionIsKept has agents that count on the ratings of a new
// version go on after all entries restarted.
func TestBudgetOfANewVersionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		a, stopA := s.start("a")
		s.version = newKey.Version
		for range 6 {
			s.rate(500)
			settle()
		}
		s.version = oldKey.Version
		for range 6 {
			s.rate(500)
			settle()
		}
		want := a.fleet.RatingCounts("m@2")
		time.Sleep(2 * learned.SaveInterval)
		stopA()
		b, stopB := s.start("b")
		defer stopB()
		settle()
		got := b.fleet.RatingCounts("m@2")
		if got.GetGood() != want.GetGood() || got.GetGood() != 3000 || got.GetBad() != want.GetBad() {
			t.Errorf("the ratings of the new version were %v, and are %v after the restart", want, got)
		}
		if got.GetCleared() {
			t.Error("the version is cleared without a rating that was read")
		}
	})
}

func TestWhatIsTakenOverJudgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, good := range map[string]bool{"good": true, "bad": false} {
			s := newSite(t)
			r := quality.Record{Key: newKey, Rated: time.Now()}
			if good {
				r.Good = quality.DefaultWindow
			} else {
				r.Bad = quality.DefaultWindow
			}
			foreign := r
			foreign.Key.Version = "other@1"
			m := quality.Snapshot{SavedAt: time.Now(), Records: []quality.Record{r, foreign}}
			e, stop := s.start("a")
			settle()
			before := e.fleet.RatingCounts("m@2")
			rec := &recaller{recall: func(context.Context) []quality.Snapshot { return []quality.Snapshot{m} }}
			e.recallOnce(t.Context(), rec, &ratingStream{})
			settle()
			after := e.fleet.RatingCounts("m@2")
			if before.String() != after.String() || len(e.fleet.Held()) > 0 || len(e.fleet.ToWithdraw()) > 0 {
				t.Errorf("%s: news from %v to %v, held %v, convicted %v", name, before, after, e.fleet.Held(), e.fleet.ToWithdraw())
			}
			if e.learner.view().Len() != 1 {
				t.Errorf("%s: %d keys, want that of the configuration alone", name, e.learner.view().Len())
			}
			stop()
		}
	})
}
