package placement

import (
	"cmp"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/capacity"
)

// UpstreamCost is what an upstream would cost a job, with the parts of it. Times are in
// milliseconds of the upstream's estimated time.
type UpstreamCost struct {
	ID     string `json:"upstream"`
	Domain string `json:"domain"`
	// Cost orders the upstreams: the expected time and the penalties.
	Cost float64 `json:"costMs"`
	// Expected is the expected time to the first event, or of the whole plain answer.
	Expected time.Duration `json:"expectedNanos"`
	Work     float64       `json:"workMs"`
	Unread   float64       `json:"unreadMs"`
	Memory   float64       `json:"memoryMs"`
	Failure  float64       `json:"failureMs"`
	// Leave is the least saving for which the job leaves its failure domain.
	Leave float64 `json:"leaveMs"`
	// Slowdown and Steady are the factors on the time.
	Slowdown float64 `json:"slowdown"`
	Steady   float64 `json:"steady"`
	Running  int     `json:"running"`
	Slots    int     `json:"slots"`
	// Home is true when the upstream is assumed to cache the shared prefix.
	Home bool `json:"home"`
}

// EngineCosts returns what each upstream would cost a generation on a model, the cheapest
// first. It uses the same estimate as Engine and changes nothing.
func EngineCosts(j Job, m Model, loads []Load) []UpstreamCost {
	j.backlogs = domainBacklogs(j, loads)
	homes := affinityHomes(j.Affinity, loads)
	out := make([]UpstreamCost, len(loads))
	for i, l := range loads {
		c, cost := engineDelay(j, m, l, homes[i])
		memory := capacity.Memory{CapacityTokens: j.MemoryTokens, ResidentTokens: l.ResidentTokens, RunTime: j.RunTime}
		out[i] = j.explain(l, c, cost)
		out[i].Memory, out[i].Home = float64(memory.Wait(c.Tokens))/float64(time.Millisecond), homes[i]
	}
	return byCost(out)
}

// PlainCosts is EngineCosts for a plain service.
func PlainCosts(j Job, loads []Load, workMS float64) []UpstreamCost {
	j.backlogs = domainBacklogs(j, loads)
	out := make([]UpstreamCost, len(loads))
	for i, l := range loads {
		c, _ := plainDelay(l, workMS)
		c.WorkMS = workMS
		out[i] = j.explain(l, c, j.plainCost(l, workMS))
	}
	return byCost(out)
}

// explain returns the parts of a cost that all kinds of jobs have.
func (j Job) explain(l Load, c Choice, cost float64) UpstreamCost {
	u := UpstreamCost{
		ID: l.ID, Domain: l.Domain, Cost: cost, Expected: c.Expected, Work: c.WorkMS, Unread: l.UnreadMS,
		Failure: failurePenaltyMS * l.FailureScore, Slowdown: max(1, l.SlowdownFactor), Steady: l.steadyFactor(),
		Running: l.Running, Slots: l.Slots,
	}
	if l.Domain != j.Domain {
		u.Leave = j.leaveMS(l)
	}
	return u
}

func byCost(all []UpstreamCost) []UpstreamCost {
	slices.SortStableFunc(all, func(a, b UpstreamCost) int { return cmp.Compare(a.Cost, b.Cost) })
	return all
}
