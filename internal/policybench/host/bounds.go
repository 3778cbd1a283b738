package host

// The bounds of the policy runs. They come from the stated targets and are
// not moved to fit a measurement.
const (
	// minOverloadGoodput is the least goodput at three times the capacity, as
	// a share of the peak goodput over all steady loads. Reason: overload is
	// to degrade by refusing early, so what is answered must stay flat.
	minOverloadGoodput = 0.90
	// minSmallShare is the least part of its fair share that a small
	// organisation gets while a large one floods. Reason: callers of a small
	// organisation must not notice another's launch.
	minSmallShare = 0.95
	// maxP95OfBest is the greatest p95 latency at 80% load as a share of the
	// best baseline's. Reason: the choice of host is worth its complexity
	// only if callers feel it; the target is 20% under.
	maxP95OfBest = 0.80
	// minAnswered is the least share of requests answered in time at 80%
	// load. Reason: a policy must not buy its p95 by refusing slow requests.
	minAnswered = 0.995
	// minDomainLostGoodput is the least goodput while one of three failure
	// domains is away at 80% load, as a share of what the other two can
	// answer. Reason: two thirds of the capacity are left and must be used.
	minDomainLostGoodput = 0.90
	// maxSlowP95 is the greatest p95 latency while some engines are slow, as
	// a share of that while the same engines are dead, and maxSlowLosses how
	// many more requests may be lost: as many as run on them when they slow
	// down. Reason: a host that limps must harm callers no more than one that
	// is gone.
	maxSlowP95    = 1.10
	maxSlowLosses = slowEngines * 16
	// minNoHarm is the least goodput in any load as a share of the best
	// baseline's. Reason: no load may be left worse than a plain policy does.
	minNoHarm = 0.95
)
