package publish

import (
	"strings"
	"testing"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// farAhead is more revisions than a peer keeps deltas of, and more than the
// store does.
const farAhead = keptDeltas + 3*SnapshotEvery

// follow returns a follower that is driven by hand, with what the store has.
func (c *cluster) follow(name string) *Follower {
	f := NewFollower(FollowerOptions{Store: c.store, Name: name, Address: name, Peers: c, PeerAddresses: c.addresses})
	f.Poll(c.t.Context())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers[name] = newPeerHandler(f)
	return f
}

// runAhead publishes far ahead, with peer following each revision.
func (c *cluster) runAhead(p *Publisher, peer *Follower) {
	c.t.Helper()
	for i := range farAhead {
		if _, err := p.Edit(c.t.Context(), "test", putUpstream(100+i)); err != nil {
			c.t.Fatal(err)
		}
		peer.Poll(c.t.Context())
	}
}

// forked returns a daemon at revision 2, and a peer far ahead on another line
// of the same history, published on a store that was restored to revision 1.
func forked(t *testing.T) (c *cluster, behind, other *Follower) {
	c = newCluster(t, fake.Options{})
	c.publish(1)
	backup := c.platform.Table.Backup()
	c.publish(2)
	behind = c.follow("behind")
	c.platform.Table.Restore(backup)
	other = c.follow("other")
	c.runAhead(NewPublisher(c.store, PublisherOptions{}), other)
	return c, behind, other
}

func TestSnapshotOfAnotherLineIsRefused(t *testing.T) {
	c, behind, other := forked(t)
	restarted := c.follow("restarted")
	if restarted.Revision() != other.Revision() {
		t.Fatalf("the restarted peer is at revision %d", restarted.Revision())
	}
	for _, away := range []bool{false, true} {
		c.platform.Table.SetFaults(fake.TableFaults{Outage: away})
		wantCode(t, behind.pull(t.Context(), "other"), result.HistoryReplaced)
		want := result.HistoryReplaced
		if away {
			want = result.LineUnproven
		}
		wantCode(t, behind.pull(t.Context(), "restarted"), want)
		behind.Poll(t.Context())
		wantRevision(t, behind, 2, 0)
	}
}

func TestFarBehindIsProvenByThePeerOrTheStore(t *testing.T) {
	c := newCluster(t, fake.Options{})
	c.publish(1)
	byPeer, byStore, late := c.follow("byPeer"), c.follow("byStore"), c.follow("late")
	peer := c.follow("peer")
	c.runAhead(NewPublisher(c.store, PublisherOptions{}), peer)
	restarted := c.follow("restarted")
	c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
	if err := byPeer.pull(t.Context(), "peer"); err != nil {
		t.Error(err)
	}
	wantRevision(t, byPeer, peer.Revision(), 0)
	wantCode(t, late.pull(t.Context(), "restarted"), result.LineUnproven)
	wantRevision(t, late, 1, 0)
	c.platform.Table.SetFaults(fake.TableFaults{})
	if err := late.pull(t.Context(), "restarted"); err != nil {
		t.Error(err)
	}
	wantRevision(t, late, restarted.Revision(), 0)
	c.setCut(true)
	byStore.Poll(t.Context())
	wantRevision(t, byStore, peer.Revision(), 0)
}

// TestWhereTheLineIsForgottenTheOthersDecide has a daemon that is behind all
// that the store and its peers remember.
func TestWhereTheLineIsForgottenTheOthersDecide(t *testing.T) {
	c := newCluster(t, fake.Options{})
	c.publish(1)
	f := c.follow("f")
	c.runAhead(NewPublisher(c.store, PublisherOptions{}), c.follow("peer"))
	rows, err := c.store.Table.Scan(t.Context(), LineKey(0), LineKey(1<<40), 100)
	if err != nil || len(rows) != farAhead/SnapshotEvery {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	for _, row := range rows {
		txn := ports.Txn{OperationID: row.Key, Writes: []ports.Write{{Key: row.Key, Delete: true}}}
		if err := c.store.Table.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
	}
	delete(c.handlers, "peer")
	f.Poll(t.Context())
	wantRevision(t, f, 1, 0)
	if !strings.Contains(f.Status().Trouble, result.LineUnproven.String()) {
		t.Errorf("the status says %q", f.Status().Trouble)
	}
	restarted := c.follow("restarted")
	f.Poll(t.Context())
	wantRevision(t, f, restarted.Revision(), 0)
}
