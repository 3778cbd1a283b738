package route

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// objects is a small configuration, by kind and name.
type objects map[catalog.Kind]map[string]any

func baseObjects() objects {
	return objects{
		catalog.KindOrganisation: {
			"alpha": catalog.Organisation{Allow: []string{"small", "large"}},
			"beta":  catalog.Organisation{Allow: []string{"large"}},
		},
		catalog.KindModel: {
			"small": catalog.Model{QualityTarget: 0.9},
			"large": catalog.Model{QualityTarget: 0.9},
		},
		catalog.KindVersion: {
			"small@1": catalog.Version{InputMicros: 1, OutputMicros: 1},
			"small@2": catalog.Version{InputMicros: 1, OutputMicros: 1},
			"large@1": catalog.Version{InputMicros: 10, OutputMicros: 10, PriorQuality: 0.95},
		},
		catalog.KindCascade: {
			"auto": catalog.Cascade{Steps: []string{"small@1", "large"}, QualityTarget: 0.9},
		},
		catalog.KindRule: {
			"tag":  catalog.Rule{Class: "tag"},
			"fast": catalog.Rule{Class: "fast", Use: []string{"small@1", "large@1"}, DeadlineMs: 1000, Objective: catalog.ObjectiveLatency},
			"safe": catalog.Rule{Class: "safe", Use: []string{"small@1", "large@1"}, QualityTarget: 0.9, Objective: catalog.ObjectiveExposure},
		},
	}
}

func compile(t testing.TB, objs objects, s Settings) *Planner {
	t.Helper()
	var list []catalog.Object
	for kind, named := range objs {
		for name, spec := range named {
			raw, err := json.Marshal(spec)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: raw})
		}
	}
	set, err := catalog.NewSet(list)
	if err != nil {
		t.Fatal(err)
	}
	return Compile(set, s)
}

// observed holds the observations of one key for a view.
type observed struct {
	key       quality.Key
	good, bad uint32
	escalated uint32
	latency   time.Duration
}

func newView(ks ...observed) *quality.View {
	b := quality.NewEstimator(quality.Settings{})
	for _, k := range ks {
		b.Add(k.key, quality.Delta{Good: k.good, Bad: k.bad, Escalated: k.escalated, Kept: 100 - k.escalated}, epoch)
		for range 20 {
			b.Add(k.key, quality.AnswerDelta(k.latency, 100, 0), epoch)
		}
	}
	return b.View(epoch)
}

func key(class, via, version string) quality.Key {
	return quality.Key{Class: class, Via: via, Version: version}
}

var noExploration = Settings{ExploreMax: -1, ExploreSurplus: -1, ExploreStandby: -1, ExploreKnown: -1}

func stepNames(c *Chain) string {
	out := ""
	for i := range c.Len() {
		out += string(c.Step(i).Version) + " "
	}
	return out
}

func TestPlanChoosesByObjective(t *testing.T) {
	small := observed{key: key("tag", "", "small@1"), good: 970, bad: 30, latency: time.Second}
	large := observed{key: key("tag", "", "large@1"), good: 990, bad: 10, latency: 300 * time.Millisecond}
	in := func(k observed, class string) observed { k.key.Class = class; return k }
	poor := observed{key: key("tag", "", "small@1"), good: 700, bad: 300, latency: time.Second}
	chain := func(escalated uint32) []observed {
		return []observed{
			{key: key("tag", "auto", "small@1"), good: 980, bad: 20, escalated: escalated, latency: time.Second},
			{key: key("tag", "auto~0/last", "large@1"), good: 980, bad: 20, latency: time.Second},
			large,
		}
	}
	tests := []struct {
		name, target, class string
		view                *quality.View
		want                string
	}{
		{"cheapest that meets the target", "auto", "tag", newView(append(chain(20), small)...), "small@1 "},
		{"single version by name", "small@1", "tag", newView(poor), "small@1 "},
		{"cascade that pays", "auto", "tag", newView(append(chain(20), poor)...), "small@1 large@1 "},
		{"step that mostly escalates is skipped", "auto", "tag", newView(append(chain(98), poor)...), "large@1 "},
		{"nothing known: the best prior", "auto", "tag", quality.EmptyView, "large@1 "},
		{"latency first", "auto", "fast", newView(in(small, "fast"), in(large, "fast")), "large@1 "},
		{"exposure asks for a strict bound", "auto", "safe", newView(
			observed{key: key("safe", "", "small@1"), good: 283, bad: 19, latency: time.Second}, in(large, "safe")), "large@1 "},
		{"exposure with a proven version", "auto", "safe", newView(in(small, "safe"), in(large, "safe")), "small@1 "},
		{"class of no rule counts as none", "auto", "made up", newView(observed{key: key("", "", "large@1"), good: 99, bad: 1}), "large@1 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := compile(t, baseObjects(), noExploration).WithView(tt.view)
			plan, err := p.Plan(Request{Organisation: "alpha", Target: tt.target, Class: tt.class}, epoch, 1)
			if err != nil {
				t.Fatal(err)
			}
			if got := stepNames(&plan.Chain); got != tt.want {
				t.Errorf("steps are %q, want %q", got, tt.want)
			}
			for i := range plan.Len() {
				if plan.Streams(i) != (i == plan.Len()-1) {
					t.Errorf("Streams(%d) = %v, want true for the last step only", i, plan.Streams(i))
				}
			}
		})
	}
}

func TestSessionStartsOnASingleVersion(t *testing.T) {
	p := compile(t, baseObjects(), Settings{ExploreMax: 1})
	for _, newSession := range []bool{false, true} {
		plan, err := p.Plan(Request{Organisation: "alpha", Target: "auto", NewSession: newSession}, epoch, 1)
		if err != nil {
			t.Fatal(err)
		}
		if newSession && plan.Len() != 1 {
			t.Errorf("session starts with steps %q, want a single step", stepNames(&plan.Chain))
		}
	}
}

func TestPlanErrorCodes(t *testing.T) {
	objs := baseObjects()
	objs[catalog.KindVersion]["small@1"] = catalog.Version{State: catalog.VersionWithdrawn}
	objs[catalog.KindVersion]["small@2"] = catalog.Version{State: catalog.VersionDraining}
	p := compile(t, objs, noExploration)
	tests := []struct {
		name string
		req  Request
		want result.Code
	}{
		{"unknown target", Request{Organisation: "alpha", Target: "none"}, result.UnknownModel},
		{"unknown organisation", Request{Organisation: "none", Target: "small"}, result.ModelNotAllowed},
		{"not allowed", Request{Organisation: "beta", Target: "small"}, result.ModelNotAllowed},
		{"withdrawn", Request{Organisation: "alpha", Target: "small@1"}, result.VersionWithdrawn},
		{"draining", Request{Organisation: "alpha", Target: "small"}, result.VersionDraining},
		{"no capacity", Request{Organisation: "alpha", Target: "large", Unavailable: []catalog.VersionName{"large@1"}}, result.NoUpstream},
		{"held", Request{Organisation: "alpha", Target: "large", Held: []catalog.VersionName{"large@1"}}, result.NoUpstream},
		{"session on a withdrawn version", Request{Organisation: "alpha", Target: "small", Session: "small@1"}, result.VersionWithdrawn},
		{"session on a version that is not allowed", Request{Organisation: "beta", Target: "small", Session: "small@2"}, result.ModelNotAllowed},
		{"session on a held version", Request{Organisation: "alpha", Target: "small", Session: "small@2", Held: []catalog.VersionName{"small@2"}}, result.Quarantined},
		{"session on a draining version", Request{Organisation: "alpha", Target: "small", Session: "small@2"}, result.OK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan, err := p.Plan(tt.req, epoch, 1)
			if tt.want == result.OK {
				if err != nil || plan.Step(0).Version != tt.req.Session {
					t.Errorf("got %v, %v", plan.Step(0), err)
				}
				return
			}
			if !result.Is(err, tt.want) || result.From(err).Outcome != result.NotRun {
				t.Errorf("got %v, want %v, not run", err, tt.want)
			}
		})
	}
}

// TestRolloutShareIsSticky checks that a rollout gets its share of the requests, and
// that requests with the same sticky hash get the same version.
func TestRolloutShareIsSticky(t *testing.T) {
	const n = 20000
	tests := []struct {
		state string
		share float64
	}{
		{catalog.RolloutRunning, 0.1}, {catalog.RolloutPaused, 0.1},
		{catalog.RolloutAborted, 0}, {catalog.RolloutDone, 1},
	}
	for _, tt := range tests {
		t.Run(tt.state, func(t *testing.T) {
			objs := baseObjects()
			objs[catalog.KindRollout] = map[string]any{"r": catalog.Rollout{
				From: "small@1", To: "small@2", Stages: []float64{0.1, 1}, State: tt.state}}
			p := compile(t, objs, noExploration)
			rnd := rand.New(rand.NewPCG(1, 2))
			moved := 0
			for range n {
				req := Request{Organisation: "alpha", Target: "small", Sticky: rnd.Uint64()}
				first, err := p.Plan(req, epoch, rnd.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				again, _ := p.Plan(req, epoch, rnd.Uint64())
				if again.Step(0) != first.Step(0) {
					t.Fatal("requests with the same sticky hash got different versions")
				}
				if first.Step(0).Version == "small@2" {
					moved++
				}
				if first.Step(0).RollingOut != (first.Step(0).Version == "small@2" && tt.state != catalog.RolloutDone) {
					t.Fatalf("RollingOut is wrong in step %+v", first.Step(0))
				}
			}
			if got := float64(moved) / n; got < tt.share-0.01 || got > tt.share+0.01 {
				t.Errorf("share is %.3f, want %.2f", got, tt.share)
			}
		})
	}
}

// TestExplorationRateIsBounded checks the share of requests that explore, which falls
// with the probability that the option meets the target and is zero without ratings.
func TestExplorationRateIsBounded(t *testing.T) {
	const n = 50000
	large := observed{key: key("tag", "", "large@1"), good: 990, bad: 10}
	poor := observed{key: key("tag", "", "small@1"), good: 700, bad: 300}
	likely := observed{key: key("tag", "", "small@1"), good: 39, bad: 1}
	unlikely := observed{key: key("tag", "", "small@1"), good: 32, bad: 5}
	likelySafe := observed{key: key("safe", "", "small@1"), good: 39, bad: 1}
	inSafe := observed{key: key("safe", "", "large@1"), good: 990, bad: 10}
	stale := quality.NewEstimator(quality.Settings{})
	stale.Add(large.key, quality.Delta{Good: 990, Bad: 10}, epoch)
	tests := []struct {
		name, class      string
		view             *quality.View
		settings         Settings
		minRate, maxRate float64
		shadow           bool
	}{
		{"unlikely: half the surplus", "tag", newView(large, unlikely), Settings{}, 0.26, 0.3, false},
		{"likely", "tag", newView(large, likely), Settings{}, 0.48, 0.52, false},
		{"known to miss", "tag", newView(large, poor), Settings{}, 0.004, 0.006, false},
		{"rating service away", "tag", stale.View(epoch.Add(time.Hour)), Settings{}, 0, 0, false},
		{"exposure without a shadow", "safe", quality.EmptyView, Settings{}, 0, 0, false},
		{"exposure", "safe", newView(inSafe, likelySafe), Settings{Shadow: true}, 0.97, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			objs := baseObjects()
			objs[catalog.KindRule]["tag"] = catalog.Rule{Class: "tag", Use: []string{"small@1", "large@1"}}
			p := compile(t, objs, tt.settings).WithView(tt.view)
			rnd := rand.New(rand.NewPCG(1, 3))
			explored := 0
			for range n {
				plan, err := p.Plan(Request{Organisation: "alpha", Target: "small", Class: tt.class}, epoch, rnd.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				if !plan.Exploring {
					continue
				}
				explored++
				if (plan.Shadow.Len() > 0) != tt.shadow || (plan.Step(0).Version == "large@1") != tt.shadow {
					t.Fatalf("plan is %+v", plan)
				}
			}
			if got := float64(explored) / n; got < tt.minRate || got > tt.maxRate {
				t.Errorf("%.4f of the requests explore, want %v to %v", got, tt.minRate, tt.maxRate)
			}
		})
	}
}

// TestHeldVersionIsRatedByShadowRequests guards against a held version that never
// gets ratings, and so could be neither confirmed as bad nor cleared.
func TestHeldVersionIsRatedByShadowRequests(t *testing.T) {
	p := compile(t, baseObjects(), Settings{Shadow: true, ExploreMax: -1, ShadowHeld: 0.5})
	rnd := rand.New(rand.NewPCG(1, 4))
	shadows := 0
	const n = 1000
	for range n {
		req := Request{Organisation: "alpha", Target: "small", Held: []catalog.VersionName{"small@1"}}
		plan, err := p.Plan(req, epoch, rnd.Uint64())
		if err != nil || plan.Step(0).Version != "small@2" {
			t.Fatalf("plan is %+v, %v", plan, err)
		}
		if plan.Shadow.Len() == 1 && plan.Shadow.Step(0).Version == "small@1" {
			shadows++
		}
	}
	if shadows < n*4/10 || shadows > n*6/10 {
		t.Errorf("%d of %d requests have a shadow, want about half", shadows, n)
	}
}

// typicalPlanner returns a planner with a view for a configuration of typical size:
// 10 organisations, 4 models with 3 versions each, cascades of 2, 3 and 4 steps,
// and 4 classes.
func typicalPlanner(t testing.TB) *Planner {
	objs := objects{
		catalog.KindOrganisation: {}, catalog.KindModel: {}, catalog.KindVersion: {},
		catalog.KindCascade: {}, catalog.KindRule: {},
	}
	b := quality.NewEstimator(quality.Settings{})
	models := []string{"m0", "m1", "m2", "m3"}
	classes := []string{"draft", "note", "tag", "stamp"}
	for i, m := range models {
		objs[catalog.KindModel][m] = catalog.Model{}
		for v := range 3 {
			name := fmt.Sprintf("%s@%d", m, v)
			objs[catalog.KindVersion][name] = catalog.Version{InputMicros: uint64(1 + i), OutputMicros: uint64(1 + i)}
			for _, class := range classes {
				b.Add(key(class, "", name), quality.Delta{Good: 95, Bad: 5}, epoch)
				b.Add(key(class, "c0", name), quality.Delta{Good: 95, Bad: 5, Kept: 60, Escalated: 40}, epoch)
			}
		}
	}
	for i := range 10 {
		objs[catalog.KindOrganisation][fmt.Sprintf("o%d", i)] = catalog.Organisation{Allow: models}
	}
	for i := range 3 {
		objs[catalog.KindCascade][fmt.Sprintf("c%d", i)] = catalog.Cascade{Steps: models[:2+i], QualityTarget: 0.9}
	}
	for _, class := range classes {
		objs[catalog.KindRule][class] = catalog.Rule{Class: class, DeadlineMs: 5000}
	}
	return compile(t, objs, Settings{}).WithView(b.View(epoch))
}

func TestPlanDoesNotAllocate(t *testing.T) {
	p := typicalPlanner(t)
	req := Request{Organisation: "o3", Target: "c0", Class: "tag", PromptTokens: 500}
	if n := testing.AllocsPerRun(1000, func() {
		if _, err := p.Plan(req, epoch, 42); err != nil {
			t.Fatal(err)
		}
	}); n != 0 {
		t.Errorf("%v allocations per plan, want 0", n)
	}
}

func BenchmarkPlan(b *testing.B) {
	p := typicalPlanner(b)
	for _, target := range []string{"m0", "c0", "c1", "c2"} {
		b.Run(target, func(b *testing.B) {
			req := Request{Organisation: "o3", Target: target, Class: "tag", PromptTokens: 500}
			b.ReportAllocs()
			for i := range b.N {
				if _, err := p.Plan(req, epoch, uint64(i)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestStandbyIsExplored guards against a standby without ratings when the best
// version fails. The best option and an expensive one are proven; the standby,
// small@2, would be explored only if the best version were missing.
func TestStandbyIsExplored(t *testing.T) {
	objs := baseObjects()
	objs[catalog.KindRule]["tag"] = catalog.Rule{Class: "tag", Use: []string{"small@1", "small@2", "large@1"}}
	objs[catalog.KindVersion]["small@2"] = catalog.Version{InputMicros: 2, OutputMicros: 2, PriorQuality: 0.95}
	p := compile(t, objs, Settings{ExploreMax: 1, ExploreStandby: 0.1}).WithView(newView(
		observed{key: key("tag", "", "small@1"), good: 980, bad: 20},
		observed{key: key("tag", "", "large@1"), good: 990, bad: 10}))
	rnd := rand.New(rand.NewPCG(1, 5))
	const n = 10000
	got := map[catalog.VersionName]int{}
	for range n {
		plan, err := p.Plan(Request{Organisation: "alpha", Target: "small", Class: "tag"}, epoch, rnd.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		got[plan.Step(0).Version]++
	}
	if got["small@2"] < n*8/100 || got["small@2"] > n*12/100 || got["small@1"]+got["small@2"] != n {
		t.Errorf("answers by version: %v, want a tenth from the standby and the rest from the best", got)
	}
}
