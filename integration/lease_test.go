package integration

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/rolloutrun"
)

// leaseOwner reads who holds a work item's lease, past every proxy.
func leaseOwner(c *harness.Cluster, item string) lease.Owner {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	row, found, err := c.Direct.Table.Get(ctx, lease.OwnerKey(item))
	if err != nil {
		c.T.Fatal(err)
	}
	var owner lease.Owner
	if found && json.Unmarshal(row.Value, &owner) != nil {
		c.T.Fatalf("owner row of %s: %s", item, row.Value)
	}
	return owner
}

// entryNamed returns the entry with the name.
func entryNamed(c *harness.Cluster, name string) *harness.Node {
	c.T.Helper()
	for _, n := range c.Entries {
		if n.Name() == name {
			return n
		}
	}
	c.T.Fatalf("no entry is named %q", name)
	return nil
}

// TestFrozenLeaseHolderChangesNothing freezes the entry that steps a roll-out
// past its lease. Another goes on to its end, and the first holder, which goes
// on in the middle of that, takes nothing back.
func TestFrozenLeaseHolderChangesNothing(t *testing.T) {
	t.Parallel()
	c := harness.New(t, harness.Spec{Entries: 2, Agents: 2, Versions: twoVersions, Engine: quick, Edit: newRollout})
	item := rolloutrun.Item("up")
	c.Eventually("an entry steps the roll-out", func() bool { return leaseOwner(c, item).Holder != "" })
	first := leaseOwner(c, item)
	frozen := entryNamed(c, first.Holder)
	c.Pause(frozen)
	c.Eventually("another entry takes the lease", func() bool { return leaseOwner(c, item).Fence > first.Fence })
	second := leaseOwner(c, item)
	if second.Holder == first.Holder {
		t.Fatalf("the frozen entry holds the lease again: %+v", second)
	}
	other := entryNamed(c, second.Holder)
	load := c.StartLoad(4, []*harness.Node{other}, unaryAsk)
	c.Eventually("the other entry goes on with the roll-out", func() bool {
		r := inForce(c, other).Rollouts["up"]
		return r.Stage > 0 || r.State == catalog.RolloutDone
	})
	frozen.Proc.Resume()
	c.Eventually("the roll-out is done", func() bool {
		return inForce(c, other).Rollouts["up"].State == catalog.RolloutDone
	})
	c.Eventually("the frozen entry sees it", func() bool {
		return inForce(c, frozen).Rollouts["up"].State == catalog.RolloutDone
	})
	if now := leaseOwner(c, item); now.Fence != second.Fence {
		t.Errorf("the lease went from %+v to %+v", second, now)
	}
	wholeReplies(t, load.Stop())
	c.Verify()
}
