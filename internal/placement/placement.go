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
	// Running counts the requests sent and not yet answered.
	Running int
	// Unread is the prompt work, in milliseconds of the upstream's time, of
	// requests that have had no event yet.
	UnreadMS float64
	// Doubt is the upstream's recent rate of failures, from 0 to 1.
	Doubt float64
}

// Model is one choice for a generation, with the speed that was measured.
type Model struct {
	Name string
	// MSPerToken is the time to read one prompt token.
	MSPerToken float64
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
	// Domain is the gateway's own failure domain.
	Domain string
}

// Choice is where a request goes.
type Choice struct {
	// Index of the load that was chosen; negative when nothing can take the
	// request in time.
	Index int
	// Model is the name of the model, empty for plain requests.
	Model string
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// WorkMS is the prompt work that the request adds.
	WorkMS float64
	// Wait is, for a refusal, when the earliest upstream may have room.
	Wait time.Duration
}

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
	// farMS is the preference for the own failure domain.
	farMS = 2.0
	// onTime is the part of the target that an estimate may use, for what it
	// does not see: other gateways' work and the path.
	onTime = 0.6
	// refuseAt is the part of the time left beyond which waiting is in vain.
	refuseAt = 0.8
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
	best := Choice{Index: -1, Model: m.Name}
	least := 0.0
	for i, l := range loads {
		tokens := float64(j.Tokens)
		if kept[i] {
			tokens -= keptShare * float64(j.Shared)
		}
		work := tokens * m.MSPerToken
		delay := work + l.UnreadMS + runningMS*float64(l.Running)
		if over := l.Running - l.Slots; l.Slots > 0 && over >= 0 {
			delay += queueMS * float64(over+1)
		}
		cost := delay + doubtMS*l.Doubt
		if l.Domain != j.Domain {
			cost += farMS
		}
		if best.Index < 0 || cost < least {
			least = cost
			best.Index, best.WorkMS, best.Expected = i, work, ms(delay)
		}
	}
	return best
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

// Plain places a request of a service whose upstreams run a few requests at a
// time. It answers a burst: an upstream with a free slot is preferred, near
// before far, and a request that would wait past its time is refused at once.
func Plain(j Job, loads []Load, workMS float64) Choice {
	best := Choice{Index: -1}
	least := 0.0
	for i, l := range loads {
		delay := workMS
		if l.Slots > 0 && l.Running >= l.Slots {
			delay += workMS * float64(l.Running-l.Slots+1) / float64(l.Slots)
		}
		cost := delay + doubtMS*l.Doubt + 0.2*float64(l.Running)
		if l.Domain != j.Domain {
			cost += farMS
		}
		if best.Index < 0 || cost < least {
			least = cost
			best.Index, best.Expected = i, ms(delay)
		}
	}
	if best.Index >= 0 && best.Expected > scale(j.Left, refuseAt) {
		return Choice{Index: -1, Wait: best.Expected - scale(j.Left, refuseAt)}
	}
	return best
}

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
