package fairshare

import (
	"math"
	"time"
)

// Keeper is the state that one gateway keeps for one service: the demand of its callers,
// whether demand nears the capacity, and what answers show about the estimate of the
// capacity. Times are on any monotonic clock. It is not safe for concurrent use.
type Keeper struct {
	flows     map[Flow]*rate
	contended bool
	// calmSince is when demand was first low enough to end the contention.
	calmSince  time.Duration
	correction correction
}

// Thresholds of contention, as shares of the capacity.
const (
	// contendedShare is the demand from which the capacity is divided: queues at the
	// upstreams grow quickly beyond it.
	contendedShare = 0.85
	// calmShare is the demand below which, for calmTime, it is not divided any more.
	calmShare = 0.7
	calmTime  = time.Second
	// turnAwayShare is the least demand at which upstreams that turn requests away show
	// contention. Below it they have failed.
	turnAwayShare = 0.5
	// usableShare is the share of the capacity that is divided. Upstreams that are used
	// fully have queues of any length.
	usableShare = 0.98
)

// Observe counts a caller's request.
func (k *Keeper) Observe(f Flow, now time.Duration) {
	if k.flows == nil {
		k.flows = map[Flow]*rate{}
	}
	r := k.flows[f]
	if r == nil {
		r = &rate{}
		k.flows[f] = r
	}
	r.add(now)
}

// Demands returns the demand by flow and forgets flows that have ended.
func (k *Keeper) Demands(now time.Duration) Demands {
	out := make(Demands, len(k.flows))
	for f, r := range k.flows {
		if v := r.perSecond(now); v >= minFlowDemand {
			out[f] = v
		} else {
			delete(k.flows, f)
		}
	}
	return out
}

// Contended reports whether the capacity is divided.
func (k *Keeper) Contended() bool { return k.contended }

// Update decides from the demand over all gateways whether the capacity is divided. It
// reports whether that has changed.
func (k *Keeper) Update(demand, capacity float64, now time.Duration) (changed bool) {
	was := k.contended
	turnedAway := k.correction.takeTurnedAway()
	switch {
	case capacity <= 0:
		k.contended = false // nothing to divide: the choice of an upstream tells why
	case demand >= contendedShare*capacity*k.correction.value(), turnedAway && demand >= turnAwayShare*capacity:
		k.contended, k.calmSince = true, 0
	case !k.contended:
	case demand >= calmShare*capacity*k.correction.value():
		k.calmSince = 0
	case k.calmSince == 0:
		k.calmSince = now
	case now-k.calmSince >= calmTime:
		k.contended, k.correction = false, correction{}
	}
	return k.contended != was
}

// Capacity returns the part of the estimated capacity that is divided.
func (k *Keeper) Capacity(estimated float64) float64 {
	return usableShare * estimated * k.correction.value()
}

// Answer is what the end of an attempt showed about the load of its upstream.
type Answer struct {
	// TurnedAway is true when the upstream had no room for the request.
	TurnedAway bool
	// Took is the time from sending to the answer, Usual the time without a queue and
	// Longest the time within which the answer was due.
	Took, Usual, Longest time.Duration
}

// ObserveAnswer adds an answer.
func (k *Keeper) ObserveAnswer(a Answer, now time.Duration) { k.correction.add(a, now) }

// rate is an exponentially decaying rate of events.
type rate struct {
	count float64
	at    time.Duration
}

const (
	// rateTime is the time constant of rates: long enough for the rate of a gateway with
	// ten requests a second, short enough for a flood to show within a second or two.
	rateTime = 1500 * time.Millisecond
	// minFlowDemand is the demand in requests a second below which a flow has ended.
	minFlowDemand = 0.02
)

func (r *rate) decayed(now time.Duration) float64 {
	return r.count * math.Exp(-max(0, now-r.at).Seconds()/rateTime.Seconds())
}

func (r *rate) add(now time.Duration) { r.count, r.at = r.decayed(now)+1, max(r.at, now) }

func (r *rate) perSecond(now time.Duration) float64 { return r.decayed(now) / rateTime.Seconds() }
