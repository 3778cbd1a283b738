package enginemodel

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newEngine(c Config) (*Engine, *Clock) {
	clock := &Clock{}
	return NewEngine(c, clock, rand.New(rand.NewPCG(1, 2))), clock
}

// finishTimes submits all jobs at the same time and returns the time at which each ended.
func finishTimes(c Config, jobs ...Job) []time.Duration {
	e, clock := newEngine(c)
	out := make([]time.Duration, len(jobs))
	for i := range jobs {
		jobs[i].Done = func(Result) { out[i] = clock.Now() }
		e.Submit(&jobs[i])
	}
	clock.RunUntil(time.Hour)
	return out
}

func TestBatchSharesSteps(t *testing.T) {
	job := Job{PromptTokens: 100, OutputTokens: 100}
	alone := finishTimes(DefaultConfig(), job)[0]
	many := finishTimes(DefaultConfig(), job, job, job, job, job, job, job, job)
	if last := many[7]; last < alone || last > 2*alone {
		t.Fatalf("8 in a batch took %v, one alone %v", last, alone)
	}
	c := DefaultConfig()
	c.Slots = 1
	if last := finishTimes(c, job, job, job, job)[3]; last < 39*alone/10 {
		t.Fatalf("4 in a row took %v, one alone %v", last, alone)
	}
}

func TestCachedPrefixIsNotReadAgainUntilDropped(t *testing.T) {
	c := DefaultConfig()
	c.CacheTokens = 5000
	e, clock := newEngine(c)
	run := func(prefix uint64) int {
		got := -1
		e.Submit(&Job{
			Prefix: prefix, PrefixTokens: 2000, PromptTokens: 2100, OutputTokens: 1,
			Done: func(r Result) { got = r.CachedTokens },
		})
		clock.RunUntil(clock.Now() + time.Minute)
		return got
	}
	for i, want := range []int{0, 2000, 0, 0, 0} {
		prefix := []uint64{1, 1, 2, 3, 1}[i]
		if got := run(prefix); got != want {
			t.Fatalf("run %d of prefix %d had %d tokens cached, want %d", i, prefix, got, want)
		}
	}
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	e, clock := newEngine(DefaultConfig())
	var published, late int
	var read time.Duration
	e.OnCacheEvent = func(CacheEvent) {
		published++
		if clock.Now() > read {
			late++
		}
	}
	const jobs = 1000
	for i := range jobs {
		e.Submit(&Job{
			Prefix: uint64(i + 1), PrefixTokens: 10, PromptTokens: 10, OutputTokens: 1,
			FirstToken: func() { read = clock.Now() }, Done: func(Result) {},
		})
		clock.RunUntil(clock.Now() + time.Second)
	}
	if published < jobs*85/100 || published > jobs*95/100 || late != published {
		t.Fatalf("%d of %d events were delivered, %d of them late", published, jobs, late)
	}
}

func TestDeadEngineFailsItsJobsAndComesBackEmpty(t *testing.T) {
	e, clock := newEngine(DefaultConfig())
	failed := 0
	job := func() *Job {
		return &Job{PromptTokens: 10, OutputTokens: 1000, Done: func(r Result) {
			if r.Failed {
				failed++
			}
		}}
	}
	for range 20 {
		e.Submit(job())
	}
	cancelled := job()
	e.Submit(cancelled)
	e.Cancel(cancelled)
	clock.RunUntil(time.Second)
	e.Kill()
	if failed != 20 || e.Submit(job()) {
		t.Fatalf("%d of 20 failed", failed)
	}
	e.Revive()
	if !e.Submit(job()) || e.Load() != (Load{InFlight: 1}) {
		t.Fatalf("load after Revive is %+v", e.Load())
	}
}
