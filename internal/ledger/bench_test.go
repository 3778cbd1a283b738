package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFold folds one minute at the target load: 16,000 charges a second
// from 320 agents, each of which writes one block every MaxFlushInterval.
func BenchmarkFold(b *testing.B) {
	const agents, charges = 320, 16_000 * 60
	flushes := int(time.Minute / MaxFlushInterval)
	for b.Loop() {
		b.StopTimer()
		store := newFixture()
		n := uint64(0)
		for i := range agents {
			c := store.charger(fmt.Sprint("agent-", i), 1)
			for range flushes {
				for range charges / agents / flushes {
					n++
					ch := charge(testRequestID(n), 0, 1)
					ch.Organisation = fmt.Sprint("org-", n%10)
					ch.Version = fmt.Sprint("model@", n%14)
					c.Charge(ch)
				}
				c.Flush(b.Context())
			}
		}
		before := store.Table.Usage()
		base, peak := heapBytes(), uint64(0)
		b.StartTimer()
		got, err := store.folder().FoldDue(b.Context(), func() error {
			b.StopTimer()
			peak = max(peak, heapBytes())
			b.StartTimer()
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
		usage := store.Table.Usage()
		b.ReportMetric(float64(got.Charges), "charges")
		b.ReportMetric(float64(peak-base)/(1<<20), "peak-MB")
		b.ReportMetric(float64(before.Writes), "agent-writes")
		b.ReportMetric(float64(before.BytesWritten)/float64(n), "bytes/charge")
		b.ReportMetric(float64(usage.Reads-before.Reads), "fold-reads")
		b.ReportMetric(float64(usage.Writes-before.Writes), "fold-writes")
	}
	b.ReportAllocs()
}

// heapBytes returns the size of the reachable heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
