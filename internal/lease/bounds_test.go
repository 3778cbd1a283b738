package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports/fake"
)

// Upper bounds of the table load of leases, derived from the target of 320
// daemons, 2,000 table reads and several hundred table writes per second.
const (
	boundDaemons = 320
	// boundEntries is the number of entry daemons among them.
	boundEntries = 27
	// boundItems is the number of work items held at the same time: ledger
	// partitions, rollouts and engine orders.
	boundItems = 20
	// boundReadsPerItem is the number of rows that all daemons read per second
	// for one item: a tenth of the 2,000 for all items.
	boundReadsPerItem = 200.0 / boundItems
	// boundWritesPerItem is the number of rows written per second for one item:
	// a twentieth of the several hundred for all items.
	boundWritesPerItem = 20.0 / boundItems
)

// TestBoundsSlopeOverDaemons guards against table load that grows with the number
// of daemons: it bounds the reads and writes per item for several numbers.
func TestBoundsSlopeOverDaemons(t *testing.T) {
	for _, n := range []int{16, 26, 160, boundDaemons} {
		t.Run(fmt.Sprintf("daemons=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkTableLoad(t, n, true) })
		})
	}
	t.Run("entries that do not know one another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { checkTableLoad(t, boundEntries, false) })
	})
}

func checkTableLoad(t *testing.T, n int, known bool) {
	table := fake.New(fake.Options{}).Table
	ctx, stop := context.WithCancel(t.Context())
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("d%03d", i))
	}
	var candidates func() []string
	if known {
		candidates = func() []string { return names }
	}
	var done sync.WaitGroup
	wait := func(ctx context.Context, _ *Held) error { <-ctx.Done(); return nil }
	for _, name := range names {
		m := NewManager(Options{Table: table, Name: name, Candidates: candidates})
		for i := range boundItems {
			done.Go(func() { _ = m.Run(ctx, fmt.Sprintf("item-%02d", i), wait) })
		}
	}
	time.Sleep(time.Minute)
	before := table.Usage()
	const seconds = 300
	time.Sleep(seconds * time.Second)
	after := table.Usage()
	stop()
	done.Wait()
	reads := float64(after.Reads-before.Reads) / seconds / boundItems
	writes := float64(after.Writes-before.Writes) / seconds / boundItems
	t.Logf("%d daemons: %.2f reads/s and %.2f writes/s per item", n, reads, writes)
	if reads > boundReadsPerItem {
		t.Errorf("%.2f reads/s per item, bound %.2f", reads, boundReadsPerItem)
	}
	if writes > boundWritesPerItem {
		t.Errorf("%.2f writes/s per item, bound %.2f", writes, boundWritesPerItem)
	}
}
