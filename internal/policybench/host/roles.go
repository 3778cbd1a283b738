package host

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tarragonbay.example/tarragonbay/internal/enginemodel"
	"tarragonbay.example/tarragonbay/internal/policybench"
)

const (
	// kvToken is the time to move one prompt token's KV cache between hosts:
	// 128 KiB over a link of 25 Gbit/s.
	kvToken = 42 * time.Microsecond
	// prefillChunk is the chunk of an engine that only reads prompts.
	prefillChunk = 4096
	// prefillCache is how much larger its prefix cache is, since it keeps no
	// answers in memory.
	prefillCache = 2
	// prefillQueue is the load up to which a prefix stays on its engine.
	prefillQueue = 8
)

// bothRoles names the variant in which every engine reads and decodes.
const bothRoles = "20 both"

// RunRoles compares engines that read prompts and decode with a split into
// prefill and decode engines and KV transfer between them, at 80% load.
// Choices are made with exact knowledge, so that only the roles differ.
func RunRoles(seed uint64, quick bool) []policybench.Row {
	s := scenarios(quick)[0]
	capacity := fleetCapacity(seed)
	reqs := s.requests(seed, capacity)
	rows := []policybench.Row{runRoles(seed, s, reqs, 0, capacity)}
	for _, prefill := range []int{6, 7, 8, 9} {
		rows = append(rows, runRoles(seed, s, reqs, prefill, capacity))
	}
	return rows
}

// roles is one run with some engines that only read prompts; none means that
// all do both.
type roles struct {
	clock   *enginemodel.Clock
	stats   *stats
	readers []*enginemodel.Engine
	decode  []*enginemodel.Engine
}

func runRoles(seed uint64, s scenario, reqs []*request, prefill int, capacity float64) policybench.Row {
	clock := &enginemodel.Clock{}
	r := &roles{clock: clock, stats: &stats{scenario: &s}}
	for i := range replicas {
		c := enginemodel.DefaultConfig()
		if i < prefill {
			c.Chunk = prefillChunk
			c.CacheTokens *= prefillCache
		}
		e := enginemodel.NewEngine(c, clock, rand.New(rand.NewPCG(seed, uint64(100+i))))
		if i < prefill {
			r.readers = append(r.readers, e)
		} else {
			r.decode = append(r.decode, e)
		}
	}
	arrive(clock, reqs, func(req *request) {
		r.stats.began(req)
		r.take(req)
	})
	clock.RunUntil(s.duration + drainTime)
	name := bothRoles
	if prefill > 0 {
		name = fmt.Sprintf("%d prefill, %d decode", prefill, replicas-prefill)
	}
	row := r.stats.row(name, seed, capacity)
	row.Bench = "roles"
	return row
}

func (r *roles) take(req *request) {
	if len(r.readers) == 0 {
		home := homeOf(r.decode, req.prefix, enginemodel.DefaultConfig().Slots)
		home.Submit(r.job(req, 0))
		return
	}
	reader := homeOf(r.readers, req.prefix, prefillQueue)
	reader.Submit(&enginemodel.Job{
		Prefix: req.prefix, PrefixTokens: req.prefixTokens,
		PromptTokens: req.prompt, OutputTokens: 1,
		Done: func(enginemodel.Result) {
			r.clock.After(time.Duration(req.prompt)*kvToken, func() {
				leastOf(r.decode).Submit(r.job(req, req.prompt))
			})
		},
	})
}

// job makes the answering job, with the KV cache of some prompt tokens.
func (r *roles) job(req *request, fromKV int) *enginemodel.Job {
	return &enginemodel.Job{
		Prefix: req.prefix, PrefixTokens: req.prefixTokens,
		PromptTokens: req.prompt, OutputTokens: req.output, FromKV: fromKV,
		Done: func(enginemodel.Result) {
			how := answered
			if r.clock.Now() > req.deadline() {
				how = missed
			}
			r.stats.ended(req, how, r.clock.Now()+client)
		},
	}
}

// homeOf returns the prefix's engine while its load is below the bound, and
// the least loaded one otherwise.
func homeOf(engines []*enginemodel.Engine, prefix uint64, bound int) *enginemodel.Engine {
	best := 0
	for i := range engines {
		if rankOf(prefix, i) > rankOf(prefix, best) {
			best = i
		}
	}
	if loadOf(engines[best]) < bound {
		return engines[best]
	}
	return leastOf(engines)
}

func leastOf(engines []*enginemodel.Engine) *enginemodel.Engine {
	best := engines[0]
	for _, e := range engines {
		if loadOf(e) < loadOf(best) {
			best = e
		}
	}
	return best
}

func loadOf(e *enginemodel.Engine) int {
	l := e.Load()
	return l.InFlight + l.Queued
}
