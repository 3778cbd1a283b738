package enginemodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config is the speed and size of an engine.
type Config struct {
	// Slots is the number of sequences in a batch.
	Slots int
	// StepBase is the time of one step of an empty batch, StepPerSequence
	// what each sequence adds to it.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// PromptToken is the time to read one prompt token, at most Chunk tokens
	// in a step.
	PromptToken time.Duration
	Chunk       int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// EventLag is the greatest delay of a cache event, EventLoss the share
	// of events that are lost.
	EventLag  time.Duration
	EventLoss float64
}

// DefaultConfig is a mid-sized model on one accelerator.
func DefaultConfig() Config {
	return Config{
		Slots:           16,
		StepBase:        18 * time.Millisecond,
		StepPerSequence: 600 * time.Microsecond,
		PromptToken:     150 * time.Microsecond,
		Chunk:           512,
		CacheTokens:     60_000,
		EventLag:        500 * time.Millisecond,
		EventLoss:       0.1,
	}
}

// Job is one request on an engine.
type Job struct {
	// Prefix identifies the part of the prompt that can be cached.
	Prefix       uint64
	PrefixTokens int
	// PromptTokens is the whole prompt, OutputTokens the answer.
	PromptTokens int
	OutputTokens int
	// FromKV is the number of prompt tokens whose KV cache was imported.
	FromKV int
	// Priority orders the queue, 0 first.
	Priority int
	// FirstToken, when set, is called when the prompt has been read.
	FirstToken func()
	// Done is called once, unless the job is cancelled.
	Done func(Result)

	unread  int
	unmade  int
	cached  int
	started bool
	gone    bool
}

// Result is how a job ended.
type Result struct {
	// Failed is set when the engine died.
	Failed       bool
	CachedTokens int
}

// Load is what an engine reports about itself.
type Load struct {
	InFlight int
	Queued   int
}

// CacheEvent says that a prefix was cached or dropped.
type CacheEvent struct {
	Prefix  uint64
	Dropped bool
}

// Engine models one replica.
type Engine struct {
	config Config
	clock  *Clock
	rnd    *rand.Rand
	cache  *prefixCache

	batch    []*Job
	queue    []*Job
	stepping bool
	down     bool
	// slowdown is how much longer each step takes than usual; 0 reads as 1.
	slowdown float64
	// epoch rises when the engine dies, so that its pending step is void.
	epoch int

	// OnCacheEvent, when set, takes cache events as they are published.
	OnCacheEvent func(CacheEvent)
	// OnTokens, when set, is told of the tokens that each step makes and the
	// time it takes.
	OnTokens func(tokens int, step time.Duration)
	// BusyTime is the time spent in steps.
	BusyTime time.Duration
	// PromptRead and PromptCached count prompt tokens.
	PromptRead   int
	PromptCached int
}

// NewEngine returns an idle engine on the clock.
func NewEngine(c Config, clock *Clock, rnd *rand.Rand) *Engine {
	return &Engine{config: c, clock: clock, rnd: rnd, cache: newPrefixCache(c.CacheTokens)}
}

// Load returns the present load. Callers model the lag of reports.
func (e *Engine) Load() Load { return Load{InFlight: len(e.batch), Queued: len(e.queue)} }

// Down reports whether the engine is dead.
func (e *Engine) Down() bool { return e.down }

// Submit queues the job. It returns false when the engine is dead.
func (e *Engine) Submit(j *Job) bool {
	if e.down {
		return false
	}
	e.enqueue(j)
	e.step()
	return true
}

// enqueue keeps the queue in order of priority, then of arrival.
func (e *Engine) enqueue(j *Job) {
	i := len(e.queue)
	for i > 0 && e.queue[i-1].Priority > j.Priority {
		i--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[i+1:], e.queue[i:])
	e.queue[i] = j
}

// Cancel drops the job; Done is not called any more.
func (e *Engine) Cancel(j *Job) {
	j.gone = true
	e.queue = without(e.queue, j)
	e.batch = without(e.batch, j)
}

func without(jobs []*Job, j *Job) []*Job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// Kill fails every job and empties the cache.
func (e *Engine) Kill() {
	e.down = true
	e.epoch++
	jobs := slices.Concat(e.batch, e.queue)
	e.batch, e.queue, e.stepping = nil, nil, false
	e.cache = newPrefixCache(e.config.CacheTokens)
	for _, j := range jobs {
		if !j.gone {
			j.Done(Result{Failed: true})
		}
	}
}

// Revive brings the engine back with an empty cache.
func (e *Engine) Revive() { e.down = false }

// SlowDown makes each step from the next on take that many times its usual
// time. The engine answers and reports as before.
func (e *Engine) SlowDown(factor float64) { e.slowdown = factor }

// admit moves jobs from the queue into the batch.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < e.config.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.start(j)
		e.batch = append(e.batch, j)
	}
}

func (e *Engine) start(j *Job) {
	if j.started {
		return
	}
	j.started = true
	j.cached = max(j.FromKV, min(e.cache.cached(j.Prefix), j.PrefixTokens))
	j.unread = max(1, j.PromptTokens-j.cached)
	j.unmade = max(1, j.OutputTokens)
	e.PromptRead += j.unread
	e.PromptCached += j.cached
}

// step plans one step of the batch, unless one is under way.
func (e *Engine) step() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	e.stepping = true
	reading := e.planReads()
	d := e.config.StepBase + time.Duration(len(e.batch))*e.config.StepPerSequence
	for _, r := range reading {
		d += time.Duration(r.tokens) * e.config.PromptToken
	}
	if e.slowdown > 0 {
		d = time.Duration(float64(d) * e.slowdown)
	}
	e.BusyTime += d
	epoch := e.epoch
	batch := append([]*Job(nil), e.batch...)
	e.clock.After(d, func() {
		if e.epoch == epoch {
			e.tellTokens(batch, d)
			e.finishStep(batch, reading)
		}
	})
}

// tellTokens counts the sequences that make a token in the step.
func (e *Engine) tellTokens(batch []*Job, step time.Duration) {
	if e.OnTokens == nil {
		return
	}
	making := 0
	for _, j := range batch {
		if !j.gone && j.unread == 0 {
			making++
		}
	}
	e.OnTokens(making, step)
}

// read is the part of a prompt read in one step.
type read struct {
	job    *Job
	tokens int
}

// planReads shares the step's prompt tokens among the batch in order.
func (e *Engine) planReads() []read {
	var out []read
	left := e.config.Chunk
	for _, j := range e.batch {
		if j.unread > 0 && left > 0 {
			n := min(j.unread, left)
			left -= n
			out = append(out, read{j, n})
		}
	}
	return out
}

func (e *Engine) finishStep(batch []*Job, reading []read) {
	e.stepping = false
	var ended []*Job
	for _, j := range batch {
		if j.gone || j.unread > 0 {
			continue
		}
		j.unmade--
		if j.unmade <= 0 {
			ended = append(ended, j)
		}
	}
	for _, r := range reading {
		if r.job.gone {
			continue
		}
		r.job.unread -= r.tokens
		if r.job.unread == 0 {
			e.promptRead(r.job)
		}
	}
	for _, j := range ended {
		e.batch = without(e.batch, j)
	}
	for _, j := range ended {
		j.Done(Result{CachedTokens: j.cached})
	}
	e.step()
}

// promptRead caches the prefix and tells the first token.
func (e *Engine) promptRead(j *Job) {
	if j.Prefix != 0 {
		dropped := e.cache.put(j.Prefix, j.PrefixTokens)
		e.publish(CacheEvent{Prefix: j.Prefix})
		for _, p := range dropped {
			e.publish(CacheEvent{Prefix: p, Dropped: true})
		}
	}
	if j.FirstToken != nil {
		j.FirstToken()
	}
}

// publish sends a cache event late, or loses it.
func (e *Engine) publish(ev CacheEvent) {
	if e.OnCacheEvent == nil || e.rnd.Float64() < e.config.EventLoss {
		return
	}
	lag := time.Duration(e.rnd.Float64() * float64(e.config.EventLag))
	e.clock.After(lag, func() { e.OnCacheEvent(ev) })
}
