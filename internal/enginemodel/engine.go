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
	// StepBase is the duration of a step of an empty batch, StepPerSequence what each
	// sequence adds to it.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// PromptToken is the time to read one prompt token. A step reads at most Chunk
	// prompt tokens.
	PromptToken time.Duration
	Chunk       int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// EventLag is the maximum delay of a cache event, EventLoss the fraction of cache
	// events that are lost.
	EventLag  time.Duration
	EventLoss float64
}

// DefaultConfig returns the configuration of a mid-sized model on one accelerator.
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

// Job is one request at an engine.
type Job struct {
	// Prefix identifies the part of the prompt that can be cached.
	Prefix       uint64
	PrefixTokens int
	// PromptTokens is the length of the whole prompt, OutputTokens that of the answer.
	PromptTokens int
	OutputTokens int
	// FromKV is the number of prompt tokens whose KV cache was imported.
	FromKV int
	// Priority orders the queue; lower values run first.
	Priority int
	// FirstToken, when set, is called when the prompt has been read.
	FirstToken func()
	// Done is called once, when the job ends or fails, unless it is cancelled.
	Done func(Result)

	unread     int
	unproduced int
	cached     int
	started    bool
	cancelled  bool
}

// Result is how a job ended.
type Result struct {
	// Failed is true when the engine was killed.
	Failed       bool
	CachedTokens int
}

// Load is what an engine reports about itself.
type Load struct {
	InFlight int
	Queued   int
}

// CacheEvent reports that a prefix was cached or evicted.
type CacheEvent struct {
	Prefix  uint64
	Dropped bool
}

// Engine simulates one replica.
type Engine struct {
	config Config
	clock  *Clock
	rnd    *rand.Rand
	cache  *prefixCache

	batch    []*Job
	queue    []*Job
	stepping bool
	down     bool
	// slowdown is the factor on the duration of each step; 0 means 1.
	slowdown float64
	// epoch is incremented by Kill, so that a pending step is ignored.
	epoch int

	// OnCacheEvent, when set, is called for each cache event when it is delivered.
	OnCacheEvent func(CacheEvent)
	// OnTokens, when set, is called at the end of each step with the number of output
	// tokens and the duration of the step.
	OnTokens func(tokens int, step time.Duration)
	// BusyTime is the time spent in steps.
	BusyTime time.Duration
	// PromptRead and PromptCached count the prompt tokens read and those found cached.
	PromptRead   int
	PromptCached int
}

// NewEngine returns an idle engine that runs on the clock.
func NewEngine(c Config, clock *Clock, rnd *rand.Rand) *Engine {
	return &Engine{config: c, clock: clock, rnd: rnd, cache: newPrefixCache(c.CacheTokens)}
}

// Load returns the current load. Callers simulate the lag of load reports.
func (e *Engine) Load() Load { return Load{InFlight: len(e.batch), Queued: len(e.queue)} }

// Down reports whether the engine has been killed and not revived.
func (e *Engine) Down() bool { return e.down }

// Submit queues the job. It returns false when the engine is down.
func (e *Engine) Submit(j *Job) bool {
	if e.down {
		return false
	}
	e.enqueue(j)
	e.step()
	return true
}

// enqueue inserts the job in order of priority, then of arrival.
func (e *Engine) enqueue(j *Job) {
	i := len(e.queue)
	for i > 0 && e.queue[i-1].Priority > j.Priority {
		i--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[i+1:], e.queue[i:])
	e.queue[i] = j
}

// Cancel removes the job; its Done is not called.
func (e *Engine) Cancel(j *Job) {
	j.cancelled = true
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

// Kill takes the engine down: it fails every job and empties the cache.
func (e *Engine) Kill() {
	e.down = true
	e.epoch++
	jobs := slices.Concat(e.batch, e.queue)
	e.batch, e.queue, e.stepping = nil, nil, false
	e.cache = newPrefixCache(e.config.CacheTokens)
	for _, j := range jobs {
		if !j.cancelled {
			j.Done(Result{Failed: true})
		}
	}
}

// Revive restarts a killed engine; its cache is empty.
func (e *Engine) Revive() { e.down = false }

// SlowDown multiplies the duration of each step from the next one on by the factor. The
// engine still accepts jobs and reports its load as before.
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
	j.unproduced = max(1, j.OutputTokens)
	e.PromptRead += j.unread
	e.PromptCached += j.cached
}

// step schedules one step of the batch, unless one is running.
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
			e.reportTokens(batch, d)
			e.finishStep(batch, reading)
		}
	})
}

// reportTokens calls OnTokens with the number of sequences that produce a token in the
// step.
func (e *Engine) reportTokens(batch []*Job, step time.Duration) {
	if e.OnTokens == nil {
		return
	}
	producing := 0
	for _, j := range batch {
		if !j.cancelled && j.unread == 0 {
			producing++
		}
	}
	e.OnTokens(producing, step)
}

// read is the part of a prompt that is read in one step.
type read struct {
	job    *Job
	tokens int
}

// planReads assigns up to Chunk prompt tokens to the jobs in batch order.
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
		if j.cancelled || j.unread > 0 {
			continue
		}
		j.unproduced--
		if j.unproduced <= 0 {
			ended = append(ended, j)
		}
	}
	for _, r := range reading {
		if r.job.cancelled {
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

// promptRead caches the prefix and calls FirstToken.
func (e *Engine) promptRead(j *Job) {
	if j.Prefix != 0 {
		evicted := e.cache.put(j.Prefix, j.PrefixTokens)
		e.publish(CacheEvent{Prefix: j.Prefix})
		for _, p := range evicted {
			e.publish(CacheEvent{Prefix: p, Dropped: true})
		}
	}
	if j.FirstToken != nil {
		j.FirstToken()
	}
}

// publish delivers a cache event after a random delay, or loses it.
func (e *Engine) publish(ev CacheEvent) {
	if e.OnCacheEvent == nil || e.rnd.Float64() < e.config.EventLoss {
		return
	}
	lag := time.Duration(e.rnd.Float64() * float64(e.config.EventLag))
	e.clock.After(lag, func() { e.OnCacheEvent(ev) })
}
