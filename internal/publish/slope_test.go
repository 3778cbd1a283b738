package publish

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

// revisionEvery is the time between two revisions at the target.
const revisionEvery = 3600 * time.Millisecond

// traffic lets every daemon send one stamp a second to a daemon picked at
// random, far less than 16,000 requests a second do.
func (c *cluster) traffic(all []*Follower, d time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range int(d / (100 * time.Millisecond)) {
		for range max(1, len(all)/10) {
			from, to := all[rng.IntN(len(all))], all[rng.IntN(len(all))]
			to.SawEnvelope(from.Envelope())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestBoundsSlopeOverDaemons counts what publication costs as the number of
// daemons grows, at one revision in 3.6 s.
func TestBoundsSlopeOverDaemons(t *testing.T) {
	for _, n := range []int{16, 26, 160, boundDaemons} {
		t.Run(fmt.Sprintf("daemons=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDaemons(t, n) })
		})
	}
}

func checkDaemons(t *testing.T, n int) {
	const revisions = 10
	const seconds = revisions * float64(revisionEvery) / float64(time.Second)
	c := newCluster(t, fake.Options{TableReadsPerSecond: 2000})
	publisher := NewPublisher(c.store, PublisherOptions{})
	for i := range 2 * SnapshotEvery {
		if _, err := publisher.Edit(t.Context(), "test", putUpstream(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	all := c.startAll(n)
	before := c.platform.Table.Usage()
	pulls, bytes := c.pullCount(), c.bytes
	late := 0
	for i := range revisions {
		s := c.publish(1000 + i)
		c.traffic(all, inForceTarget)
		for _, f := range all {
			if f.Revision() < s.Revision {
				late++
			}
		}
		time.Sleep(revisionEvery - inForceTarget)
	}
	after := c.platform.Table.Usage()
	reads := float64(after.Reads-before.Reads) / seconds
	wire := float64(after.BytesRead-before.BytesRead+uint64(c.bytes-bytes)) / seconds
	wire += callOverhead * (reads + float64(c.pullCount()-pulls)/seconds)
	writes := float64(after.Writes-before.Writes) / revisions
	t.Logf("%d daemons: %.1f reads/s (%.2f a daemon), %.1f writes a revision, %.0f B/s a daemon, %.1f pulls/s",
		n, reads, reads/float64(n), writes, wire/float64(n), float64(c.pullCount()-pulls)/seconds)
	if late > 0 {
		t.Errorf("%d times a daemon had not got a revision after %v", late, inForceTarget)
	}
	atMost(t, "reads a second a daemon", reads/float64(n), boundReadsPerDaemon)
	atMost(t, "writes a revision", writes, boundWritesPerRevision)
	atMost(t, "bytes a second a daemon", wire/float64(n), boundBytesPerDaemon)
	if after.Refused > before.Refused {
		t.Errorf("%d reads were refused as over the rate", after.Refused-before.Refused)
	}
	c.checkNoRevert()
}

func atMost(t *testing.T, what string, got, bound float64) {
	t.Helper()
	if got > bound {
		t.Errorf("%s: %.2f, bound %.2f", what, got, bound)
	}
}

// TestBoundsHerd restarts every daemon at once against the table's limit, as
// far behind a snapshot as can be.
func TestBoundsHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, fake.Options{TableReadsPerSecond: 2000, TableWritesPerSecond: 300})
		p := NewPublisher(c.store, PublisherOptions{})
		for i := range 2*SnapshotEvery - 1 {
			if _, err := p.Edit(t.Context(), "test", putUpstream(i+1)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		before := c.platform.Table.Usage()
		var all []*Follower
		for i := range boundDaemons {
			all = append(all, c.start(fmt.Sprintf("d%03d", i)))
		}
		seconds := 0
		for missing := len(all); missing > 0 && seconds < 10*boundHerdSeconds; seconds++ {
			time.Sleep(time.Second)
			missing = 0
			for _, f := range all {
				if f.Revision() == 0 {
					missing++
				}
			}
		}
		after := c.platform.Table.Usage()
		t.Logf("%d daemons in %d s: %d reads, %d refused, %d pulls", len(all), seconds, after.Reads-before.Reads, after.Refused-before.Refused, c.pullCount())
		atMost(t, "seconds until all have a configuration", float64(seconds), boundHerdSeconds)
	})
}

// bigState returns a state of n upstreams on n/14 hosts.
func bigState(t testing.TB, n int) State {
	t.Helper()
	objects := smallObjects()
	for i := range n {
		objects = append(objects, bigUpstream(i, 16))
	}
	set, err := catalog.NewSet(objects)
	if err != nil {
		t.Fatal(err)
	}
	return State{Revision: 1, Digest: set.Digest(), History: "h", Set: set}
}

func bigUpstream(i, slots int) catalog.Object {
	host := i / 14
	spec := fmt.Sprintf(`{"address":"10.0.%d.%d:9000","agent":"10.0.%d.%d:7000","domain":"domain-%d","host":"host-%04d","slots":%d,"versions":["m@1"]}`,
		i/250, i%250, host/250, host%250, host%3, host, slots)
	return catalog.Object{Key: catalog.Key{Kind: catalog.KindUpstream, Name: fmt.Sprintf("upstream-%05d", i)}, Spec: []byte(spec)}
}

// TestBoundsSlopeOverObjects measures what the state of a daemon weighs, and
// what travels, as the number of upstreams grows.
func TestBoundsSlopeOverObjects(t *testing.T) {
	for _, n := range []int{13, 23, 410, boundUpstreams} {
		heap := heapOf(n, func() any { return bigState(t, n) })
		state := bigState(t, n)
		c := newCluster(t, fake.Options{})
		ref, err := c.store.PutSnapshot(t.Context(), state)
		if err != nil {
			t.Fatal(err)
		}
		packed, _ := c.platform.Objects.Get(t.Context(), ref.Name)
		delta := toWire(catalog.Delta{Puts: []catalog.Object{bigUpstream(0, 8)}}, state)
		size := proto.Size(delta)
		t.Logf("%d upstreams: %d B in memory (%d each), snapshot %d B, %d B packed, delta of one %d B",
			n, heap, heap/n, proto.Size(snapshotOf(state)), len(packed), size)
		if n == boundUpstreams {
			atMost(t, "bytes in memory an upstream", float64(heap)/float64(n), boundStateBytesPerObject)
			atMost(t, "bytes of a packed snapshot", float64(len(packed)), boundSnapshotBytes)
			atMost(t, "bytes of a delta", float64(size), boundDeltaBytes)
		}
	}
}

// TestBoundsSlopeOverOrganisations measures what an organisation with three
// keys and ten allowed models weighs.
func TestBoundsSlopeOverOrganisations(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		heap := heapOf(n, func() any { return organisations(t, n) })
		t.Logf("%d organisations: %d B in memory each", n, heap/n)
		atMost(t, "bytes in memory an organisation", float64(heap)/float64(n), boundStateBytesPerObject)
	}
}

func organisations(t *testing.T, n int) *catalog.Set {
	t.Helper()
	var objects []catalog.Object
	for i := range n {
		keys := fmt.Sprintf(`"sha256:%064x","sha256:%064x","sha256:%064x"`, 3*i, 3*i+1, 3*i+2)
		spec := `{"allow":["m0","m1","m2","m3","m4","m5","m6","m7","m8","m9"],"keys":[` + keys + `]}`
		key := catalog.Key{Kind: catalog.KindOrganisation, Name: fmt.Sprintf("organisation-%d", i)}
		objects = append(objects, catalog.Object{Key: key, Spec: []byte(spec)})
	}
	set, err := catalog.NewSet(objects)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// heapOf returns the bytes that stay in use by what f returns. A small thing
// of n parts is made many times, and the mean is returned.
func heapOf(n int, f func() any) int {
	copies := max(1, 4000/n)
	kept := make([]any, copies)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range kept {
		kept[i] = f()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(0, int(after.HeapAlloc)-int(before.HeapAlloc)) / copies
}

// BenchmarkApply is the processor time of one revision at a daemon.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{13, 23, 410, boundUpstreams} {
		state := bigState(b, n)
		d := catalog.Delta{Puts: []catalog.Object{bigUpstream(0, 8)}}
		set, err := state.Set.Apply(d)
		if err != nil {
			b.Fatal(err)
		}
		next := State{Revision: 2, Digest: set.Digest(), History: "h", Set: set}
		delta := toWire(d, next)
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var l Log
				if err := l.Install(state); err != nil {
					b.Fatal(err)
				}
				if err := l.Append([]*linkv1.Delta{delta}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
