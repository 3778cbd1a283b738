package host

import (
	"math/rand/v2"

	"tarragonbay.example/tarragonbay/internal/balance"
)

// picker chooses upstreams at one entry.
type picker interface {
	// pick returns an upstream that was not tried; false when there is none.
	pick(r *request, tried []int) (int, bool)
	// started and finished frame each attempt.
	started(r *request, to int)
	finished(r *request, to int, rep reply)
	// report takes a load report, silent the end of a host's reports and back
	// their return.
	report(to int, l balance.Load)
	silent(to int)
	back(to int)
}

// policy is one column of the comparison.
type policy struct {
	name string
	// picker makes the picker of an entry.
	picker func(f *fleet, entry int, rnd *rand.Rand) picker
	// admits is set for the product's admission and retry rules. The
	// baselines send at once and retry at once, up to the same number of
	// attempts; the agents' gates are the same for all.
	admits bool
}

func policies() []policy {
	return []policy{
		{name: "random", picker: newRandom},
		{name: "round robin", picker: newRoundRobin},
		{name: "least loaded (stale)", picker: newLeastLoaded},
		{name: "power of two", picker: newPowerOfTwo},
		{name: bestBaseline, picker: newAffinity},
		{name: ours, picker: newOurs, admits: true},
		{name: floor, picker: newClairvoyant, admits: true},
	}
}

const (
	// ours is the name of the product's own policy.
	ours = "ours"
	// bestBaseline is the name of the baseline that knows the most.
	bestBaseline = "power of two + affinity"
	// floor is the name of a policy that no system can have. It shows how
	// much is left to gain and counts as no baseline.
	floor = "(clairvoyant floor)"
)
