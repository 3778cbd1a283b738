// Package placement decides which model and which upstream take a request, and
// whether any should. It has no I/O, clock or randomness of its own.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is what is known of one upstream, over all gateways.
type Load struct {
	ID     string
	Domain string
	// Slots is how many requests the upstream runs together; more wait there.
	Slots int
	// Running counts the requests sent and not yet answered, Waiting those of
	// them that have had no event yet.
	Running int
	Waiting int
	// Unread is the prompt work, in milliseconds of the upstream's time, of
	// requests that have had no event yet.
	UnreadMS float64
	// Doubt is the upstream's recent rate of failures, from 0 to 1.
	Doubt float64
	// Slow is how many times longer work has taken there of late than expected (see
	// Pace); below one it counts as one.
	Slow float64
	// Passed is true when the upstream is not to be filled (see Job.Fill).
	Passed bool
}

// Model is one choice for a generation, with the speed that was measured.
type Model struct {
	Name string
	// MSPerToken is the time to read one prompt token.
	MSPerToken float64
	// Late is how many times longer than estimated first events take of late over all
	// upstreams (see Usual); below one it counts as one.
	Late float64
}

// Job is a request to be placed.
type Job struct {
	// Affinity names the shared parts of the prompt; empty when there are none.
	Affinity string
	// Shared and Tokens are the sizes of the shared parts and of all parts.
	Shared int
	Tokens int
	// Models are tried from the last, the largest, to the first.
	Models []Model
	// Target is the time in which the first event is due, Left the time until
	// the caller gives up.
	Target time.Duration
	Left   time.Duration
	// Domain is the gateway's own failure domain. Lagging is true when news of work in
	// the others come late.
	Domain  string
	Lagging bool
	// Fill asks for the fullest of the loads that has room instead of the
	// emptiest one, FillAny for any that has room: where news of the other gateways
	// lag, all would meet at the fullest one.
	Fill, FillAny bool
}

// Choice is where a request goes.
type Choice struct {
	// Index of the load that was chosen; negative when nothing can take the
	// request in time.
	Index int
	// Model is the name of the model, empty for plain requests.
	Model string
	// Expected is the estimated time to the first event, Usual what it would be if
	// the upstream were as fast as others.
	Expected, Usual time.Duration
	// WorkMS is the prompt work that the request adds.
	WorkMS float64
	// Running, Active and Slots are those of the chosen load, Doubt its failures.
	Running, Active, Slots int
	Doubt                  float64
	// Wait is, for a refusal, when the earliest upstream may have room.
	Wait time.Duration
}

// Work is the prompt work as a time.
func (c Choice) Work() time.Duration { return ms(c.WorkMS) }

// Weights of the choice.
const (
	// homes is how many upstreams are taken to keep a shared part: two bear a
	// popular part without reading it everywhere.
	homes = 2
	// keptShare is the share of a shared part that a home has kept on average.
	keptShare = 0.8
	// runningMS is how much a running request delays the first event of
	// another: a part of one step.
	runningMS = 4.0
	// doubtMS is the delay that a certain failure counts as.
	doubtMS = 3000.0
	// farMS is the preference of plain requests for the own failure domain: the way
	// there and back.
	farMS = 2.0
	// farPromptMS is that of generations, whose bodies are large.
	farPromptMS = 15.0
	// laggingMS is that of generations while news of work elsewhere lag: what others
	// have sent there within a second or so is missing in the estimate, and all would
	// meet at the same idle upstream.
	laggingMS = 100.0
	// onTime is the part of the target that an estimate may use, for what it
	// does not see: other gateways' work and the path.
	onTime = 0.6
	// refuseAt is the part of the time left beyond which waiting is in vain.
	refuseAt = 0.8
	// fillTo is the part of its slots to which an upstream is filled: above the
	// half from which it counts as busy, by what the news of peers lag behind.
	fillTo = 0.65
	// fillDoubt is the doubt about an upstream that is filled no further: two
	// failures.
	fillDoubt = 0.5
	// fillOnTime is the part of the target that the estimate may use at an
	// upstream that is filled.
	fillOnTime = 0.8
	// fillWorkMS is the most prompt work of a request that fills an upstream:
	// long prompts would make the others wait before the slots are used.
	fillWorkMS = 120.0
)

// Engine places a generation. It answers two loads: a rush of long prompts, in
// which the largest model would start late, so a smaller one is used; and the
// loss of engines, in which even the smallest would start after the caller has
// left, so the request is refused at once with the time of the earliest room.
func Engine(j Job, loads []Load) Choice {
	if len(loads) == 0 {
		return Choice{Index: -1}
	}
	kept := keepers(j.Affinity, loads)
	var best Choice
	for m := len(j.Models) - 1; m >= 0; m-- {
		best = leastDelay(j, j.Models[m], loads, kept)
		if best.Expected <= scale(j.Target, onTime) {
			return best
		}
	}
	if best.Expected > scale(j.Left, refuseAt) {
		return Choice{Index: -1, Wait: best.Expected - scale(j.Left, refuseAt)}
	}
	return best
}

func leastDelay(j Job, m Model, loads []Load, kept map[int]bool) Choice {
	best, full := Choice{Index: -1, Model: m.Name}, Choice{Index: -1}
	least := 0.0
	for i, l := range loads {
		c, cost := engineDelay(j, m, l, kept[i])
		c.Index = i
		if j.fills(l, c) && (full.Index < 0 || (!j.FillAny && l.Running > full.Running)) {
			full = c
		}
		if best.Index < 0 || cost < least {
			best, least = c, cost
		}
	}
	if full.Index >= 0 {
		return full
	}
	return best
}

// fills reports whether the job should go to an upstream to fill it.
func (j Job) fills(l Load, c Choice) bool {
	return j.Fill && l.hasRoom() && c.WorkMS <= fillWorkMS && c.Expected <= scale(j.Target, fillOnTime)
}

// Fills reports whether a job is of the kind that fills an upstream: its prompt
// is short, whichever of the models reads it.
func (j Job) Fills() bool {
	for _, m := range j.Models {
		if float64(j.Tokens)*m.MSPerToken > fillWorkMS {
			return false
		}
	}
	return true
}

// engineDelay estimates the first event at one engine; the cost counts what
// speaks against the engine besides.
func engineDelay(j Job, m Model, l Load, kept bool) (c Choice, cost float64) {
	tokens := float64(j.Tokens)
	if kept {
		tokens -= keptShare * float64(j.Shared)
	}
	work := tokens * m.MSPerToken
	usual := work + l.UnreadMS + runningMS*float64(l.Running)
	if over := l.Running - l.Slots; l.Slots > 0 && over >= 0 {
		usual += queueMS * float64(over+1)
	}
	delay := usual * max(1, l.Slow)
	c = Choice{
		Model: m.Name, WorkMS: work, Expected: ms(delay * max(1, m.Late)), Usual: ms(usual),
		Running: l.Running, Active: l.Running - l.Waiting, Slots: l.Slots, Doubt: l.Doubt,
	}
	far := farPromptMS
	if j.Lagging {
		far = laggingMS
	}
	return c, delay + j.bias(l, far)
}

// bias is what speaks against an upstream besides its delay, in milliseconds.
func (j Job) bias(l Load, far float64) float64 {
	bias := doubtMS * l.Doubt
	if l.Domain != j.Domain {
		bias += far
	}
	return bias
}

// hasRoom reports whether an upstream is filled further.
func (l Load) hasRoom() bool {
	return l.Running < l.Slots && float64(l.Running-l.Waiting) < fillTo*float64(l.Slots) && !l.Passed && l.Doubt < fillDoubt
}

// queueMS is the wait for a slot behind one other request of a full engine.
const queueMS = 100.0

// keepers returns the homes of the shared parts: the upstreams that rank first
// by a hash of part and upstream, which is the same at every gateway.
func keepers(affinity string, loads []Load) map[int]bool {
	if affinity == "" {
		return nil
	}
	out := make(map[int]bool, homes)
	var first, second uint64
	a, b := -1, -1
	for i := range loads {
		h := xxhash.Sum64String(affinity + "\x00" + loads[i].ID)
		switch {
		case a < 0 || h > first:
			b, second = a, first
			a, first = i, h
		case b < 0 || h > second:
			b, second = i, h
		}
	}
	out[a] = true
	if b >= 0 {
		out[b] = true
	}
	return out
}

// evenMS spreads requests over upstreams that all have free slots.
const evenMS = 0.2

// Plain places a request of a service whose upstreams run a few requests at a
// time. It answers a burst: an upstream with a free slot is preferred, near
// before far, and a request that would wait past its time is refused at once.
func Plain(j Job, loads []Load, workMS float64) Choice {
	best, full := Choice{Index: -1}, Choice{Index: -1}
	least := 0.0
	for i, l := range loads {
		usual := workMS
		if l.Slots > 0 && l.Running >= l.Slots {
			usual += workMS * float64(l.Running-l.Slots+1) / float64(l.Slots)
		}
		delay := usual * max(1, l.Slow)
		c := Choice{Index: i, Expected: ms(delay), Usual: ms(usual), Running: l.Running, Active: l.Running, Slots: l.Slots, Doubt: l.Doubt}
		if j.fills(l, c) && (full.Index < 0 || (!j.FillAny && l.Running > full.Running)) {
			full = c
		}
		if cost := delay + j.bias(l, farMS) + evenMS*float64(l.Running); best.Index < 0 || cost < least {
			best, least = c, cost
		}
	}
	if full.Index >= 0 {
		best = full
	}
	if best.Index >= 0 && best.Expected > scale(j.Left, refuseAt) {
		return Choice{Index: -1, Wait: best.Expected - scale(j.Left, refuseAt)}
	}
	return best
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
