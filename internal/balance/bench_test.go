package balance

import (
	"testing"
	"time"
)

// Upper bounds of one Pick with its accounting: at today's size, and with every
// replica of the target size configured.
const (
	maxPickToday  = 2 * time.Microsecond
	maxPickTarget = 10 * time.Microsecond
)

func benchmarkPick(b *testing.B, replicas int, bound time.Duration) {
	p := newPicker(b, replicas)
	req := Request{Target: target, PromptTokens: 2000}
	rnd := uint64(1)
	load := Load{InFlight: 1, Slots: 8, TokenTime: baseTokenTime}
	b.ReportAllocs()
	for b.Loop() {
		rnd = mix(rnd + 1)
		req.Prefix = rnd
		c, err := p.Pick(&req, start, rnd)
		if err != nil {
			b.Fatal(err)
		}
		p.Started(c)
		p.Finished(c, Observation{Load: &load}, start)
	}
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(bound), "of-bound")
}

// BenchmarkPick measures Pick, Started and Finished together.
func BenchmarkPick(b *testing.B) {
	b.Run("20", func(b *testing.B) { benchmarkPick(b, 20, maxPickToday) })
	b.Run("4100", func(b *testing.B) { benchmarkPick(b, 4100, maxPickTarget) })
}

// BenchmarkPickParallel measures contention between callers.
func BenchmarkPickParallel(b *testing.B) {
	p := newPicker(b, 20)
	b.RunParallel(func(pb *testing.PB) {
		rnd := uint64(1)
		req := Request{Target: target, PromptTokens: 2000}
		for pb.Next() {
			rnd = mix(rnd + 1)
			req.Prefix = rnd
			if c, err := p.Pick(&req, start, rnd); err == nil {
				p.Started(c)
				p.Finished(c, Observation{}, start)
			}
		}
	})
}

func TestPickAllocatesNothing(t *testing.T) {
	p := newPicker(t, 20)
	req := Request{Target: target, PromptTokens: 2000, Prefix: 9}
	got := testing.AllocsPerRun(1000, func() {
		c, err := p.Pick(&req, start, 3)
		if err != nil {
			t.Fatal(err)
		}
		p.Started(c)
		p.Finished(c, Observation{Load: &Load{InFlight: 1}}, start)
	})
	if got != 0 {
		t.Fatalf("one decision allocates %v times", got)
	}
}

// BenchmarkRebuild measures a new revision in which no upstream changed.
func BenchmarkRebuild(b *testing.B) {
	p := newPicker(b, 4100)
	set := fleet(b, 4100)
	for b.Loop() {
		p.Rebuild(set, start)
	}
}
