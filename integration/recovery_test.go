package integration

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/entry"
	"tarragonbay.example/tarragonbay/internal/learned"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
)

func TestDaemonsRestartedInAnOutageServeNothingAndRecover(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: quick})
	c.SetFaults(outage())
	for _, n := range c.Nodes() {
		c.Kill(n)
	}
	for _, n := range c.Nodes() {
		c.Restart(n)
	}
	caller := c.Caller()
	for _, n := range c.Nodes() {
		s, err := c.Status(n)
		if err != nil || s.Ready || s.Reason == "" || s.Revision != 0 {
			t.Errorf("%s without a configuration says %+v, %v", n.Name(), s, err)
		}
	}
	for _, n := range c.Entries {
		r := caller.Do(n, harness.Ask{})
		if r.Code != int(result.NoConfiguration) || r.Outcome != result.NotRun.String() {
			t.Errorf("%s without a configuration answered %+v", n.Name(), r)
		}
	}
	if n := runsOf(c, "small@1"); n != 0 {
		t.Errorf("%d calls reached the engines", n)
	}
	c.SetFaults(healthy())
	c.WaitReady()
	load := c.StartLoad(4, c.Entries, unaryAsk)
	load.WaitFor(c, 50)
	wholeReplies(t, load.Stop())
	c.Verify()
}

// TestRestartedEntriesKnowWhatWasLearned restarts one entry while store and rating
// service are away, so that it must ask the other, of which agents tell it. Then
// all restart with the store up.
func TestRestartedEntriesKnowWhatWasLearned(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Engine: quick})
	load := c.StartLoad(4, c.Entries, unaryAsk)
	load.WaitFor(c, 100)
	wholeReplies(t, load.Stop())
	c.Eventually("the platform has a copy", func() bool {
		_, found, err := c.Direct.Table.Get(t.Context(), learned.RowKey)
		return err == nil && found
	})
	away := fake.RatingFaults{Away: true}
	out := outage()
	out.Ratings = away
	c.SetFaults(out)
	first := c.Entries[0]
	c.Kill(first)
	c.Restart(first)
	c.Eventually(first.Name()+" asks the other", func() bool { return estimatesOf(t, first) > 0 })
	c.SetFaults(fake.Faults{Ratings: away})
	for _, n := range c.Entries {
		c.Kill(n)
	}
	for _, n := range c.Entries {
		c.Restart(n)
	}
	for _, n := range c.Entries {
		c.Eventually(n.Name()+" knows the version", func() bool { return estimatesOf(t, n) > 0 })
	}
	c.SetFaults(healthy())
	load = c.StartLoad(4, c.Entries, unaryAsk)
	load.WaitFor(c, 50)
	wholeReplies(t, load.Stop())
	c.Verify()
}

// estimatesOf returns of how many keys an entry has an estimate.
func estimatesOf(t *testing.T, n *harness.Node) int {
	t.Helper()
	d, err := adminapi.NewClient(n.Proc.Ready.Admin, "").Dump(t.Context())
	if err != nil {
		return 0
	}
	for _, p := range d.Parts {
		var s entry.State
		if p.Part == "entry" && json.Unmarshal(p.State, &s) == nil {
			return s.Estimates
		}
	}
	return 0
}

// TestStoreRestoredFromABackupRevertsNothing puts the rows from before a
// withdrawal back.
func TestStoreRestoredFromABackupRevertsNothing(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick})
	c.BackupTable()
	c.Objects.Versions["small@2"].State = catalog.VersionWithdrawn
	revision := c.Publish()
	c.WaitRevision(revision, c.Nodes()...)
	before := runsOf(c, "small@2")
	c.RestoreTable()
	load := c.StartLoad(4, c.Entries, eitherVersion)
	c.Eventually("the daemons repair the store", func() bool { return headOf(c) >= revision })
	load.WaitFor(c, 200)
	load.Stop()
	for _, n := range c.Nodes() {
		if s, err := c.Status(n); err != nil || s.Revision < revision {
			t.Errorf("%s went back: %+v, %v", n.Name(), s, err)
		}
	}
	if after := runsOf(c, "small@2"); after != before {
		t.Errorf("%d calls of a withdrawn version", after-before)
	}
	c.Objects.Versions["small@1"].OutputMicros = 11
	c.WaitRevision(c.Publish(), c.Nodes()...)
	if price := inForce(c, c.Entries[0]).Versions["small@1"].OutputMicros; price != 11 {
		t.Errorf("the next publication is not in force: price %d", price)
	}
	if state := inForce(c, c.Entries[0]).Versions["small@2"].State; state != catalog.VersionWithdrawn {
		t.Errorf("the withdrawal is lost: %q", state)
	}
	c.Verify()
}

// headOf reads the store's newest revision.
func headOf(c *harness.Cluster) uint64 {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	head, _, err := publish.Store{Table: c.Direct.Table, Objects: c.Direct.Objects}.Head(ctx)
	if err != nil {
		c.T.Fatal(err)
	}
	return head.Revision
}
