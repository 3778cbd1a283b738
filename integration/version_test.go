package integration

import (
	"context"
	"slices"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

var twoVersions = []string{"small@1", "small@2"}

// quick is an engine that answers at once.
var quick = engine.Behaviour{FirstTokenMs: 2, Tokens: 8}

// maxExposed is how many callers may get an answer of a version that turns
// out wrong from its first answer on.
const maxExposed = 10

// inForce returns the configuration of a daemon.
func inForce(c *harness.Cluster, n *harness.Node) *catalog.Set {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	cfg, err := n.Admin().Config(ctx)
	if err != nil {
		c.T.Fatal(err)
	}
	set, err := cfg.Set()
	if err != nil {
		c.T.Fatal(err)
	}
	return set
}

// runsOf counts what the engines ran of a version.
func runsOf(c *harness.Cluster, version string) int {
	n := 0
	for _, a := range c.Agents {
		for _, run := range c.EngineRuns(a) {
			if run.Version == version {
				n++
			}
		}
	}
	return n
}

// exposed counts the callers that got an answer of the version.
func exposed(replies []harness.Reply, version string) int {
	n := 0
	for _, r := range replies {
		if r.Version == version && r.Text != "" {
			n++
		}
	}
	return n
}

// newRollout leads from the first of two versions to the second.
func newRollout(o *harness.Objects) {
	o.Rollouts["up"] = &catalog.Rollout{From: "small@1", To: "small@2", Stages: []float64{0.2, 1}, StageSeconds: 1}
}

// eitherVersion asks for the model and for the second version in turn.
func eitherVersion(worker, _ int) harness.Ask {
	ask := harness.Ask{MaxTokens: 8}
	if worker%2 == 0 {
		ask.Model = "small@2"
	}
	return ask
}

func TestWithdrawnVersionGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Versions: twoVersions, Engine: quick})
	load := c.StartLoad(8, c.Entries, eitherVersion)
	load.WaitFor(c, 60)
	if runsOf(c, "small@2") == 0 {
		t.Error("the version had no work before it was withdrawn")
	}
	c.Objects.Versions["small@2"].State = catalog.VersionWithdrawn
	c.WaitRevision(c.Publish(), c.Nodes()...)
	load.WaitFor(c, 16) // what ran before is over
	before := runsOf(c, "small@2")
	load.WaitFor(c, 200)
	if after := runsOf(c, "small@2"); after != before {
		t.Errorf("%d calls of a withdrawn version", after-before)
	}
	refused := 0
	for _, r := range load.Stop() {
		switch {
		case r.Whole:
		case r.Code == int(result.VersionWithdrawn) && r.Outcome == result.NotRun.String():
			refused++
		default:
			t.Errorf("got %+v", r)
		}
	}
	if refused == 0 {
		t.Error("no caller was told that the version is withdrawn")
	}
	c.Verify()
}

// TestStaleEntryGetsNoWorkOfAWithdrawnVersionDone withdraws a version while one
// entry is frozen, and cuts that entry off from the store before it goes on.
func TestStaleEntryGetsNoWorkOfAWithdrawnVersionDone(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick})
	stale := c.Entries[0]
	c.Pause(stale)
	c.Objects.Versions["small@2"].State = catalog.VersionWithdrawn
	c.WaitRevision(c.Publish(), c.Agents[0], c.Agents[1], c.Entries[1])
	stale.Platform.Cut()
	before := runsOf(c, "small@2")
	stale.Proc.Resume()
	caller := c.Caller()
	for range 20 {
		r := caller.Do(stale, harness.Ask{Model: "small@2", MaxTokens: 8})
		if r.Whole || r.Outcome != result.NotRun.String() {
			t.Errorf("the entry with the old revision got %+v", r)
		}
	}
	if after := runsOf(c, "small@2"); after != before {
		t.Errorf("%d calls of a withdrawn version", after-before)
	}
	stale.Platform.Restore(t)
	c.Verify()
}

func TestDrainingVersionFinishesItsSessionsAndTakesNoNewOnes(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick})
	caller := c.Caller()
	first := caller.Do(c.Entries[0], harness.Ask{Model: "small@2", Session: "new", SessionName: "s"})
	if !first.Whole || first.Session == "" || first.Version != "small@2" {
		t.Fatalf("no session: %+v", first)
	}
	c.Objects.Versions["small@2"].State = catalog.VersionDraining
	c.WaitRevision(c.Publish(), c.Nodes()...)
	token := first.Session
	for i := range 10 {
		r := caller.Do(c.Entries[i%2], harness.Ask{Session: token, SessionName: "s"})
		if !r.Whole || r.Version != "small@2" {
			t.Fatalf("the session went on with %+v", r)
		}
		token = r.Session
		fresh := caller.Do(c.Entries[i%2], harness.Ask{Session: "new"})
		if !fresh.Whole || fresh.Version != "small@1" {
			t.Errorf("a new session got %+v", fresh)
		}
		named := caller.Do(c.Entries[i%2], harness.Ask{Model: "small@2"})
		if named.Code != int(result.VersionDraining) || named.Outcome != result.NotRun.String() {
			t.Errorf("new work for a draining version got %+v", named)
		}
	}
	c.Verify()
}

func TestWrongVersionIsWithdrawnBeforeManyCallersSeeIt(t *testing.T) {
	t.Parallel()
	wrong := engine.Behaviour{FirstTokenMs: 2, Tokens: 8, WrongShare: map[string]float64{"small@2": 1}}
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Versions: twoVersions, Engine: wrong, Edit: newRollout})
	load := c.StartLoad(6, c.Entries, unaryAsk)
	c.Eventually("the wrong version is withdrawn", func() bool {
		return slices.ContainsFunc(c.Entries, func(n *harness.Node) bool {
			return inForce(c, n).Versions["small@2"].State == catalog.VersionWithdrawn
		})
	})
	load.WaitFor(c, 100)
	replies := load.Stop()
	wholeReplies(t, replies)
	n := exposed(replies, "small@2")
	if n == 0 || n > maxExposed {
		t.Errorf("%d callers got a wrong answer, want 1 to %d", n, maxExposed)
	}
	c.Eventually("the roll-out is aborted", func() bool {
		return inForce(c, c.Entries[0]).Rollouts["up"].State == catalog.RolloutAborted
	})
	t.Logf("%d of %d callers got a wrong answer", n, len(replies))
	c.Verify()
}

func TestIllEngineDoesNotGetItsVersionWithdrawn(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3, Versions: twoVersions, Engine: quick})
	load := c.StartLoad(8, c.Entries, eitherVersion)
	load.WaitFor(c, 100)
	c.SetEngine(c.Agents[0], engine.Behaviour{DieBeforeAnswer: true})
	before := len(c.EngineRuns(c.Agents[0]))
	load.WaitFor(c, 800)
	ill := len(c.EngineRuns(c.Agents[0])) - before
	if ill == 0 {
		t.Error("the ill engine got no work, so nothing was shown")
	}
	for _, version := range twoVersions {
		if state := inForce(c, c.Entries[0]).Versions[catalog.VersionName(version)].State; state == catalog.VersionWithdrawn {
			t.Errorf("%s is withdrawn because of one engine", version)
		}
	}
	c.SetEngine(c.Agents[0], quick)
	load.WaitFor(c, 100)
	load.Stop()
	t.Logf("the ill engine ran %d calls", ill)
	c.Verify()
}

// TestRolloutWaitsForTheRatingService shows that a version of which nothing is
// known stays in its first stage and is shown to few callers. That a roll-out
// goes on once ratings come is shown by the tests beside it.
func TestRolloutWaitsForTheRatingService(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick})
	c.SetFaults(fake.Faults{Ratings: fake.RatingFaults{Away: true}})
	newRollout(c.Objects)
	c.WaitRevision(c.Publish(), c.Nodes()...)
	load := c.StartLoad(6, c.Entries, unaryAsk)
	load.WaitFor(c, 2000)
	r := inForce(c, c.Entries[0]).Rollouts["up"]
	if r.Stage != 0 || r.State == catalog.RolloutDone || r.State == catalog.RolloutAborted {
		t.Errorf("the roll-out went on without ratings: %+v", r)
	}
	replies := load.Stop()
	wholeReplies(t, replies)
	if n := exposed(replies, "small@2"); n > maxExposed {
		t.Errorf("%d callers got an answer of a version without ratings", n)
	}
	c.Verify()
}

func TestRolloutGoesOnWithLateRatings(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick})
	c.SetFaults(fake.Faults{Ratings: fake.RatingFaults{Delay: 2 * time.Second}})
	newRollout(c.Objects)
	c.WaitRevision(c.Publish(), c.Nodes()...)
	load := c.StartLoad(6, c.Entries, unaryAsk)
	c.Eventually("the roll-out goes on", func() bool {
		r := inForce(c, c.Entries[0]).Rollouts["up"]
		return r.Stage > 0 || r.State == catalog.RolloutDone
	})
	wholeReplies(t, load.Stop())
	c.Verify()
}
