package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/ports/wire"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
)

// tellPlatform posts to the administration of the platform stand-in.
func tellPlatform(t *testing.T, c *harness.Cluster, path string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.Platform.Ready.Address+path, bytes.NewReader([]byte("{}")))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %s", path, resp.Status)
	}
}

func storeOf(c *harness.Cluster) publish.Store {
	return publish.Store{Table: c.Direct.Table, Objects: c.Direct.Objects}
}

// TestPublicationThroughAStoreOutage restarts an agent and an entry while the
// store is out, and publishes once it is back.
func TestPublicationThroughAStoreOutage(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 3})
	first := c.Publish()
	c.WaitRevision(first, c.Nodes()...)
	c.SetFaults(fake.Faults{Table: fake.TableFaults{Outage: true}, Objects: fake.ObjectFaults{Outage: true}})
	edit := func(publish.State) (catalog.Delta, error) { return catalog.Delta{}, nil }
	_, err := publish.NewPublisher(storeOf(c), publish.PublisherOptions{}).Edit(t.Context(), "test", edit)
	if !result.Is(err, result.TableUnavailable) {
		t.Errorf("a publication in the outage got %v", err)
	}
	for _, n := range []*harness.Node{c.Entries[0], c.Agents[0]} {
		n.Proc.Kill()
		c.Restart(n)
	}
	c.WaitRevision(first, c.Nodes()...)
	caller := c.Caller()
	for _, e := range c.Entries {
		if r := caller.Do(e, harness.Ask{MaxTokens: 4}); !r.Whole {
			t.Errorf("in the outage: %+v", r)
		}
	}
	c.SetFaults(fake.Faults{})
	c.Eventually("the test's own circuit breaker closes", func() bool {
		_, _, err := c.Direct.Table.Get(context.Background(), publish.HeadKey)
		return err == nil
	})
	c.Objects.Services[harness.Desk].MicrosPerCall++
	c.WaitRevision(c.Publish(), c.Nodes()...)
	c.Verify()
}

// TestRestoredBackupIsRepaired restores the table under running daemons, one
// of which restarts at once.
func TestRestoredBackupIsRepaired(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 1, Agents: 2})
	tellPlatform(t, c, wire.PathAdminBackup)
	var last uint64
	for range 3 {
		c.Objects.Services[harness.Desk].MicrosPerCall++
		last = c.Publish()
	}
	c.WaitRevision(last, c.Nodes()...)
	tellPlatform(t, c, wire.PathAdminRestore)
	c.Agents[0].Proc.Kill()
	c.Restart(c.Agents[0])
	c.Eventually("the store is repaired", func() bool {
		h, ok, err := storeOf(c).Head(context.Background())
		return err == nil && ok && h.Revision == last
	})
	c.WaitRevision(last, c.Nodes()...)
	c.Verify()
}

// TestPausedLeaseHolder pauses the entry that steps a roll-out past its lease.
func TestPausedLeaseHolder(t *testing.T) {
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 1, Versions: []string{"small@1", "small@2"}, Edit: func(o *harness.Objects) {
		o.Rollouts["up"] = &catalog.Rollout{From: "small@1", To: "small@2", Stages: []float64{0.1, 1}, StageSeconds: 3600}
	}})
	c.Eventually("the lease is taken", func() bool { return ownerOf(c).Fence > 0 })
	first := ownerOf(c)
	holder, other := c.Entries[0], c.Entries[1]
	if first.Holder == other.Name() {
		holder, other = other, holder
	}
	holder.Proc.Pause()
	c.Eventually("the other entry takes over", func() bool { return ownerOf(c).Holder == other.Name() })
	taken := ownerOf(c)
	holder.Proc.Resume()
	c.Eventually("the paused entry knows that it lost the lease", func() bool { return !holds(t, holder) })
	time.Sleep(lease.DefaultDuration)
	if now := ownerOf(c); now != taken || taken.Fence <= first.Fence {
		t.Errorf("first %+v, then %+v, after the resume %+v", first, taken, now)
	}
	c.Eventually("the new holder goes on", func() bool { return holds(t, other) })
	if now := ownerOf(c); now != taken {
		t.Errorf("the lease went from %+v to %+v", taken, now)
	}
	c.Verify()
}

const rolloutItem = "rollout/up"

// ownerOf reads who holds the lease of the roll-out.
func ownerOf(c *harness.Cluster) lease.Owner {
	row, _, err := c.Direct.Table.Get(context.Background(), lease.OwnerKey(rolloutItem))
	var o lease.Owner
	if err != nil || json.Unmarshal(row.Value, &o) != nil {
		return lease.Owner{}
	}
	return o
}

// holds reports whether a daemon believes that it holds the lease.
func holds(t *testing.T, n *harness.Node) bool {
	t.Helper()
	d, err := adminapi.NewClient(n.Proc.Ready.Admin, "").Dump(t.Context())
	if err != nil {
		return true
	}
	for _, p := range d.Parts {
		if p.Part == "leases" {
			return bytes.Contains(p.State, []byte(rolloutItem))
		}
	}
	t.Errorf("%s dumps no leases", n.Name())
	return false
}
