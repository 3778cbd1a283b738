// Package placement chooses the model and the upstream for a request, or refuses it.
// It has no I/O, clock or randomness of its own.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/capacity"
)

// Load is the known load of one upstream, summed over all gateways.
type Load struct {
	ID     string
	Domain string
	// Slots is how many requests the upstream runs concurrently; it queues the others.
	Slots int
	// Running counts the requests in flight, Waiting those of them without a first event.
	Running int
	Waiting int
	// UnreadMS is the prompt work of requests without a first event, in milliseconds of
	// the upstream's time.
	UnreadMS float64
	// ResidentTokens is what the requests in flight hold in the upstream's memory.
	ResidentTokens float64
	// FailureScore is the upstream's failure score: its recent rate of failures, from 0 to 1.
	FailureScore float64
	// SlowdownFactor is the upstream's slowdown factor (see UpstreamSlowdown); values below
	// 1 count as 1.
	SlowdownFactor float64
	// SteadyFactor is how many times as long as the average the upstream takes for good
	// (see SteadySpeed); zero counts as 1.
	SteadyFactor float64
	// ExcludeFromFill excludes the upstream from filling (see Job.Fill).
	ExcludeFromFill bool
}

// Model is one model that may serve a generation, with its measured speed.
type Model struct {
	Name string
	// MSPerToken is the time to read one prompt token.
	MSPerToken float64
	// AverageSlowdown is the average slowdown factor over all upstreams (see the type
	// AverageSlowdown); values below 1 count as 1.
	AverageSlowdown float64
}

// Job is a request to be placed.
type Job struct {
	// Affinity identifies the shared prefix of the prompt; empty when there is none.
	Affinity string
	// Shared and Tokens are the sizes of the shared prefix and of the whole prompt, in
	// tokens.
	Shared int
	Tokens int
	// OutputTokens is the expected size of the answer.
	OutputTokens int
	// MemoryTokens is the memory of one engine in tokens, RunTime the mean time that a
	// generation runs; without MemoryTokens memory is not considered.
	MemoryTokens int
	RunTime      time.Duration
	// Models are tried from the last, the largest, to the first.
	Models []Model
	// Target is the time left until the first event is due, TimeLeft the time left until
	// the caller's deadline.
	Target   time.Duration
	TimeLeft time.Duration
	// Domain is the gateway's own failure domain. GossipLags is true when gossip about
	// load in other failure domains arrives late.
	Domain     string
	GossipLags bool
	// MinSaving is the time that another failure domain must save (see crossing.Terms).
	MinSaving time.Duration
	// Fill selects the fullest upstream that has room instead of the emptiest one.
	// FillAny, together with Fill, selects any that has room: where gossip lags, all
	// gateways would otherwise choose the same fullest upstream.
	Fill, FillAny bool
	// Spread holds two random numbers in [0, 1) when the upstreams of a plain service are
	// nearly full; it is nil otherwise.
	Spread *[2]float64
	// backlogs are the mean backlogs of failure domains; nil without MinSaving.
	backlogs map[string]float64
}

// Choice is the placement of a request, or its refusal.
type Choice struct {
	// Index is that of the chosen load; negative when no upstream can serve the request
	// in time.
	Index int
	// Model is the name of the model, empty for plain requests.
	Model string
	// Expected is the estimated time to first event, ExpectedUnscaled the same without the
	// slowdown factors.
	Expected, ExpectedUnscaled time.Duration
	// WorkMS is the prompt work that the request adds.
	WorkMS float64
	// Tokens is the memory that the request takes.
	Tokens float64
	// Running, Slots and FailureScore are those of the chosen load; Active counts its
	// running requests without the waiting ones.
	Running, Active, Slots int
	FailureScore           float64
	// Wait is the time until an upstream may have room; set only when refused.
	Wait time.Duration
}

// Work returns the prompt work as a duration.
func (c Choice) Work() time.Duration { return ms(c.WorkMS) }

// Weights and limits of the placement.
const (
	// homeCount is how many upstreams are assumed to cache a shared prefix: two can serve
	// a popular prefix without every upstream having to read it.
	homeCount = 2
	// cachedShare is the share of a shared prefix that a home has in its cache on average.
	cachedShare = 0.8
	// runningDelayMS is the delay that a running request adds to another's first event: a
	// part of one engine step.
	runningDelayMS = 4.0
	// failurePenaltyMS is the delay that counts as much as a certain failure.
	failurePenaltyMS = 3000.0
	// plainCrossDomainMS is the penalty of plain requests for another failure domain: one
	// round trip.
	plainCrossDomainMS = 2.0
	// crossDomainMS is the same for generations, whose bodies are large.
	crossDomainMS = 15.0
	// laggingCrossDomainMS is the same for generations while gossip from other failure
	// domains lags: requests sent there within the last second or so are missing from the
	// estimate, and all gateways would choose the same idle upstream.
	laggingCrossDomainMS = 100.0
	// maxTargetShare is the share of the target that an estimate may use. The rest is for
	// what it does not include: other gateways' work and the network path.
	maxTargetShare = 0.6
	// maxTimeLeftShare is the share of the time left beyond which a request is refused, since
	// it would not be answered before its deadline.
	maxTimeLeftShare = 0.8
	// maxFillShare is the share of its slots up to which an upstream is filled: above the
	// half from which it counts as busy, by a margin for the lag of gossip.
	maxFillShare = 0.65
	// maxFillFailureScore is the failure score from which an upstream is filled no
	// further: two failures.
	maxFillFailureScore = 0.5
	// maxFillTargetShare is the share of the target that the estimate may use at an
	// upstream that is filled.
	maxFillTargetShare = 0.8
	// maxFillWorkMS is the maximum prompt work of a request that fills an upstream: other
	// requests would queue behind longer prompts before the slots are used.
	maxFillWorkMS = 120.0
)

// Engine places a generation. It uses the largest model whose first event is expected on
// time: in a burst of long prompts this is a smaller one. When even the smallest model
// would start after the caller's deadline, such as after the loss of engines, it refuses
// the request at once, with the time until an engine may have room.
func Engine(j Job, loads []Load) Choice {
	if len(loads) == 0 {
		return Choice{Index: -1}
	}
	j.backlogs = domainBacklogs(j, loads)
	homes := affinityHomes(j.Affinity, loads)
	var best Choice
	for m := len(j.Models) - 1; m >= 0; m-- {
		best = cheapest(j, j.Models[m], loads, homes)
		if best.Expected <= scale(j.Target, maxTargetShare) {
			return best
		}
	}
	if best.Expected > scale(j.TimeLeft, maxTimeLeftShare) {
		return Choice{Index: -1, Wait: best.Expected - scale(j.TimeLeft, maxTimeLeftShare)}
	}
	return best
}

// cheapest returns the fullest suitable load if the job fills upstreams, else the load of
// lowest cost.
func cheapest(j Job, m Model, loads []Load, homes map[int]bool) Choice {
	best, full := Choice{Index: -1, Model: m.Name}, Choice{Index: -1}
	minCost := 0.0
	for i, l := range loads {
		c, cost := engineDelay(j, m, l, homes[i])
		c.Index = i
		if j.fills(l, c) && (full.Index < 0 || (!j.FillAny && l.Running > full.Running)) {
			full = c
		}
		if best.Index < 0 || cost < minCost {
			best, minCost = c, cost
		}
	}
	if full.Index >= 0 {
		return full
	}
	return best
}

// fills reports whether the job should go to an upstream to fill it.
func (j Job) fills(l Load, c Choice) bool {
	return j.Fill && l.hasRoom() && c.WorkMS <= maxFillWorkMS && c.Expected <= scale(j.Target, maxFillTargetShare)
}

// Fills reports whether the job may fill an upstream: its prompt is short enough for
// every one of its models.
func (j Job) Fills() bool {
	for _, m := range j.Models {
		if float64(j.Tokens)*m.MSPerToken > maxFillWorkMS {
			return false
		}
	}
	return true
}

// engineDelay estimates the time to first event at one engine. The cost is that delay in
// milliseconds plus the penalties of the engine.
func engineDelay(j Job, m Model, l Load, cached bool) (c Choice, cost float64) {
	tokens := float64(j.Tokens)
	if cached {
		tokens -= cachedShare * float64(j.Shared)
	}
	work := tokens * m.MSPerToken
	unscaled := work + l.UnreadMS + runningDelayMS*float64(l.Running)
	if over := l.Running - l.Slots; l.Slots > 0 && over >= 0 {
		unscaled += queueDelayMS * float64(over+1)
	}
	need := tokens + float64(j.OutputTokens)
	memory := capacity.Memory{CapacityTokens: j.MemoryTokens, ResidentTokens: l.ResidentTokens, RunTime: j.RunTime}
	unscaled += float64(memory.Wait(need)) / float64(time.Millisecond)
	unscaled *= l.steadyFactor()
	delay := unscaled * max(1, l.SlowdownFactor)
	c = Choice{
		Model: m.Name, WorkMS: work, Tokens: need, Expected: ms(delay * max(1, m.AverageSlowdown)), ExpectedUnscaled: ms(unscaled),
		Running: l.Running, Active: l.Running - l.Waiting, Slots: l.Slots, FailureScore: l.FailureScore,
	}
	crossDomain := crossDomainMS
	if j.GossipLags {
		crossDomain = laggingCrossDomainMS
	}
	// Work that a cache saves would hold up all requests that run there.
	saved := (float64(j.Tokens)*m.MSPerToken - work) * float64(l.Running)
	crossDomain = max(crossDomain, j.leaveMS(l)-saved)
	return c, delay + j.penaltyMS(l, crossDomain)
}

// penaltyMS returns the penalty for the failures and the distance of an upstream.
func (j Job) penaltyMS(l Load, crossDomain float64) float64 {
	penalty := failurePenaltyMS * l.FailureScore
	if l.Domain != j.Domain {
		penalty += crossDomain
	}
	return penalty
}

// hasRoom reports whether the upstream may be filled further.
func (l Load) hasRoom() bool {
	return l.Running < l.Slots && float64(l.Running-l.Waiting) < maxFillShare*float64(l.Slots) && !l.ExcludeFromFill && l.FailureScore < maxFillFailureScore
}

// queueDelayMS is the delay per request queued for a slot of a full engine.
const queueDelayMS = 100.0

// affinityHomes returns the indexes of the upstreams assumed to cache the shared prefix:
// those that rank highest by a hash of prefix and upstream (rendezvous hashing), which
// every gateway computes alike.
func affinityHomes(affinity string, loads []Load) map[int]bool {
	if affinity == "" {
		return nil
	}
	type home struct {
		index int
		rank  uint64
	}
	best := make([]home, 0, homeCount+1) // highest rank first
	for i := range loads {
		h := home{i, xxhash.Sum64String(affinity + "\x00" + loads[i].ID)}
		at, _ := slices.BinarySearchFunc(best, h, func(a, b home) int { return cmp.Compare(b.rank, a.rank) })
		if at == homeCount {
			continue
		}
		best = slices.Insert(best, at, h)
		best = best[:min(len(best), homeCount)]
	}
	out := make(map[int]bool, len(best))
	for _, h := range best {
		out[h.index] = true
	}
	return out
}

// spreadMS is the cost per running request, which spreads requests over upstreams that
// all have free slots.
const spreadMS = 0.2

// Plain places a request of a service whose upstreams run a few requests at a time. It
// prefers upstreams with a free slot, those of the own failure domain first, and refuses
// at once a request that would wait past its deadline.
func Plain(j Job, loads []Load, workMS float64) Choice {
	j.backlogs = domainBacklogs(j, loads)
	best := Choice{Index: -1}
	if j.Spread != nil && !j.Fill {
		best = spread(*j.Spread, loads, workMS)
	}
	if best.Index < 0 {
		best = leastDelayed(j, loads, workMS)
	}
	if best.Index >= 0 && best.Expected > scale(j.TimeLeft, maxTimeLeftShare) {
		return Choice{Index: -1, Wait: best.Expected - scale(j.TimeLeft, maxTimeLeftShare)}
	}
	return best
}

// leastDelayed returns the fullest suitable upstream if the job fills upstreams, else the
// one of lowest cost.
func leastDelayed(j Job, loads []Load, workMS float64) Choice {
	best, full := Choice{Index: -1}, Choice{Index: -1}
	minCost := 0.0
	for i, l := range loads {
		c, _ := plainDelay(l, workMS)
		c.Index = i
		if j.fills(l, c) && (full.Index < 0 || (!j.FillAny && l.Running > full.Running)) {
			full = c
		}
		if cost := j.plainCost(l, workMS); best.Index < 0 || cost < minCost {
			best, minCost = c, cost
		}
	}
	if full.Index >= 0 {
		return full
	}
	return best
}

// plainCost returns the cost of an upstream of a plain service in milliseconds.
func (j Job) plainCost(l Load, workMS float64) float64 {
	_, delay := plainDelay(l, workMS)
	return delay + j.penaltyMS(l, max(plainCrossDomainMS, j.leaveMS(l))) + spreadMS*float64(l.Running)
}

// plainDelay estimates the time of a request at one upstream of a plain service, also in
// milliseconds.
func plainDelay(l Load, workMS float64) (c Choice, delayMS float64) {
	unscaled := workMS
	if l.Slots > 0 && l.Running >= l.Slots {
		unscaled += workMS * float64(l.Running-l.Slots+1) / float64(l.Slots)
	}
	delayMS = unscaled * max(1, l.SlowdownFactor)
	return Choice{
		Expected: ms(delayMS), ExpectedUnscaled: ms(unscaled), Running: l.Running, Active: l.Running,
		Slots: l.Slots, FailureScore: l.FailureScore,
	}, delayMS
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
