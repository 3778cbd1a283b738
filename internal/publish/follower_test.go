package publish

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
)

// inForceTarget is the time in which an accepted revision is in force
// everywhere.
const inForceTarget = 3 * time.Second

// startAll runs n followers and waits until they have what there is.
func (c *cluster) startAll(n int) []*Follower {
	out := make([]*Follower, n)
	for i := range out {
		out[i] = c.start(fmt.Sprintf("d%03d", i))
	}
	time.Sleep(2 * inForceTarget)
	return out
}

func TestRevisionIsInForceEverywhereInTime(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("peers cut %v", cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, fake.Options{})
				c.publish(1)
				all := c.startAll(40)
				c.setCut(cut)
				for i := range 5 {
					s := c.publish(i + 2)
					time.Sleep(inForceTarget)
					for _, f := range all {
						wantRevision(t, f, s.Revision, 0)
					}
				}
				c.checkNoRevert()
			})
		})
	}
}

func TestNoStoreAndNoPeerServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		f := c.start("a")
		time.Sleep(time.Minute)
		_, err := f.Current()
		wantCode(t, err, result.NoConfiguration)
		if f.Status().StoreError == "" {
			t.Error("the status does not name the outage")
		}
		c.platform.Table.SetFaults(fake.TableFaults{})
		wantRevision(t, f, 1, inForceTarget)
	})
}

func TestRestartInAStoreOutage(t *testing.T) {
	for _, restarted := range []int{3, 6} {
		t.Run(fmt.Sprintf("%d of 6", restarted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, fake.Options{})
				c.publish(1)
				c.startAll(6)
				c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
				for i := range restarted {
					c.stop(fmt.Sprintf("d%03d", i))
				}
				var fresh []*Follower
				for i := range restarted {
					fresh = append(fresh, c.start(fmt.Sprintf("d%03d", i)))
				}
				var want uint64
				if restarted < 6 {
					want = 1
				}
				time.Sleep(time.Hour)
				for _, f := range fresh {
					wantRevision(t, f, want, 0)
				}
				c.platform.Table.SetFaults(fake.TableFaults{})
				time.Sleep(inForceTarget)
				for _, f := range fresh {
					wantRevision(t, f, 1, 0)
				}
			})
		})
	}
}

func TestPeersBringARevisionForwardInAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		all := c.startAll(3)
		c.setCut(true)
		c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		time.Sleep(inForceTarget)
		c.platform.Table.SetFaults(fake.TableFaults{})
		c.publish(2)
		all[0].Poll(t.Context())
		c.platform.Table.SetFaults(fake.TableFaults{Outage: true})
		c.setCut(false)
		all[1].SawEnvelope(all[0].Envelope())
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		wantRevision(t, all[1], 2, 0)
		all[2].Saw("d001", all[1].Revision())
		wantRevision(t, all[2], 2, 10*time.Millisecond)
		if got := all[2].Status().Source; got != sourcePeer {
			t.Errorf("source %q", got)
		}
	})
}

func TestRestoredBackupNeverRevertsAndIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		all := c.startAll(5)
		backup := c.platform.Table.Backup()
		for i := range 10 {
			c.publish(i + 2)
		}
		time.Sleep(inForceTarget)
		c.platform.Table.Restore(backup)
		c.stop("d000")
		fresh := c.start("d000")
		time.Sleep(time.Millisecond)
		floor := func() uint64 { return Highest(t.Context(), c, c.addresses()) }
		if floor() != 11 {
			t.Errorf("the floor is %d, want 11", floor())
		}
		time.Sleep(2 * inForceTarget)
		for _, f := range append(all[1:], fresh) {
			wantRevision(t, f, 11, 0)
		}
		head, _, _ := c.store.Head(t.Context())
		if head.Revision != 11 {
			t.Errorf("the store is at revision %d after the repair", head.Revision)
		}
		if s := c.publish(50); s.Revision != 12 {
			t.Errorf("the next publication made revision %d", s.Revision)
		}
		time.Sleep(inForceTarget)
		for _, f := range append(all[1:], fresh) {
			wantRevision(t, f, 12, 0)
		}
		c.checkNoRevert()
	})
}

func TestPublisherHoldsBackWhileTheStoreIsBehind(t *testing.T) {
	c := newCluster(t, fake.Options{})
	c.publish(1)
	p := NewPublisher(c.store, PublisherOptions{Floor: fixedFloor(7)})
	_, err := p.Edit(t.Context(), "test", putUpstream(2))
	wantCode(t, err, result.RevisionBehind)
}

// TestForeignHistoryIsRefusedUntilReplaced has an operator publish on a store
// that was restored, before any daemon could repair it.
func TestForeignHistoryIsRefusedUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		all := c.startAll(3)
		backup := c.platform.Table.Backup()
		c.publish(2)
		time.Sleep(inForceTarget)
		c.platform.Table.Restore(backup)
		foreign := func(State) (catalog.Delta, error) {
			return catalog.Delta{Puts: []catalog.Object{upstreamObject("v", 1)}}, nil
		}
		if _, err := NewPublisher(c.store, PublisherOptions{}).Edit(t.Context(), "test", foreign); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceTarget)
		c.publish(21)
		time.Sleep(inForceTarget)
		for _, f := range all {
			set, revision := f.Set()
			if revision != 2 || set.Upstreams["u"].Slots != 2 {
				t.Errorf("revision %d with %d slots is in force", revision, set.Upstreams["u"].Slots)
			}
			if s := f.Status(); s.Trouble == "" {
				t.Error("the status does not say that the store is refused")
			}
		}
		kept, _ := all[0].Current()
		p := NewPublisher(c.store, PublisherOptions{})
		state, err := p.Replace(t.Context(), kept, Highest(t.Context(), c, c.addresses()), "test")
		if err != nil || state.Revision != 4 {
			t.Fatalf("revision %d, %v", state.Revision, err)
		}
		time.Sleep(inForceTarget)
		for _, f := range all {
			wantRevision(t, f, 4, 0)
		}
		c.checkNoRevert()
	})
}

// TestFarAheadForeignLineIsRefused has the foreign line run ahead of what is
// read delta by delta, while the daemon was cut off.
func TestFarAheadForeignLineIsRefused(t *testing.T) {
	c := newCluster(t, fake.Options{})
	c.publish(1)
	backup := c.platform.Table.Backup()
	c.publish(2)
	f := NewFollower(FollowerOptions{Store: c.store, Name: "f"})
	f.Poll(t.Context())
	c.platform.Table.Restore(backup)
	p := NewPublisher(c.store, PublisherOptions{})
	for i := range maxDeltasBehind + 3 {
		if _, err := p.Edit(t.Context(), "test", putUpstream(100+i)); err != nil {
			t.Fatal(err)
		}
	}
	f.Poll(t.Context())
	if s := f.Status(); s.Revision != 2 || !strings.Contains(s.Trouble, result.HistoryReplaced.String()) {
		t.Errorf("got %+v", s)
	}
}

func TestStalePeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		stale := c.start("stale")
		wantRevision(t, stale, 1, inForceTarget)
		old, _ := stale.Current()
		c.publish(2)
		f := c.start("fresh")
		wantRevision(t, f, 2, inForceTarget)
		f.mu.Lock()
		err := f.log.Install(old)
		f.mu.Unlock()
		wantCode(t, err, result.RevisionBehind)
		before := c.pullCount()
		f.Saw("stale", 1)
		f.Saw("stale", 2)
		synctest.Wait()
		if c.pullCount() != before {
			t.Error("a revision that is not higher led to a pull")
		}
		c.checkNoRevert()
	})
}

func TestSnapshotDamagedOrMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		p := NewPublisher(c.store, PublisherOptions{})
		for i := range 3 * SnapshotEvery {
			if _, err := p.Edit(t.Context(), "test", putUpstream(i+1)); err != nil {
				t.Fatal(err)
			}
		}
		const revision = 3 * SnapshotEvery
		head, _, _ := c.store.Head(t.Context())
		c.platform.Objects.SetFaults(fake.ObjectFaults{Damaged: []string{head.Snapshots[0].Name}})
		first := c.start("first")
		wantRevision(t, first, revision, inForceTarget)
		c.platform.Objects.SetFaults(fake.ObjectFaults{Missing: []string{fake.AllObjects}})
		second := c.start("second")
		wantRevision(t, second, revision, inForceTarget)
		if got := second.Status().Source; got != sourcePeer {
			t.Errorf("with no snapshot the revision came from %q", got)
		}
		c.stop("first")
		c.stop("second")
		third := c.start("third")
		time.Sleep(inForceTarget)
		if s := third.Status(); third.Revision() != 0 || !strings.Contains(s.Trouble, result.ObjectMissing.String()) {
			t.Errorf("with neither snapshot nor peer: %+v", s)
		}
	})
}

func TestSilentPeersDoNotHoldUpTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{})
		c.publish(1)
		c.setCut(true)
		f := c.start("a")
		wantRevision(t, f, 1, inForceTarget)
	})
}
