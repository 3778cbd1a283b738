// Package fairshare divides the requests a second that the upstreams of a service can
// complete among gateways, organisations and urgencies. Every gateway computes its own
// part from the demands that the gateways tell one another; no gateway coordinates. The
// package has no I/O and no clock.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Flow identifies the requests of one organisation and urgency.
type Flow struct {
	// Organisation is a hash of the organisation's name; zero stands for callers without one.
	Organisation uint32
	// Rank is the urgency; 0 is the most urgent.
	Rank uint8
}

// rankWeightStep is the ratio of the weights of two neighbouring ranks. The weights of the
// most and the least urgent route of an organisation differ by a factor of four, so that
// urgent requests go first and the others are slowed but not starved.
const rankWeightStep = 2

// weight returns the weight of a flow while it gets less than it asks for.
func (f Flow) weight() float64 { return math.Pow(rankWeightStep, -float64(f.Rank)) }

// Demands holds requests a second by flow.
type Demands map[Flow]float64

// total adds the demands in order of size, so that the sum does not depend on the order of
// the map.
func (d Demands) total() float64 {
	sum := 0.0
	for _, v := range slices.Sorted(maps.Values(d)) {
		sum += v
	}
	return sum
}

// Room is what one gateway knows about the demand for a service.
type Room struct {
	// Capacity is what the service's upstreams can complete, in requests a second.
	Capacity float64
	// Own is the demand of this gateway's callers, Peers that of the other gateways.
	Own   Demands
	Peers []Demands
	// Unspecified is the demand in requests a second of gateways that have not told which
	// flows it belongs to.
	Unspecified float64
}

// Demand returns the demand over all gateways in requests a second.
func (r Room) Demand() float64 {
	sum := r.Own.total() + r.Unspecified
	for _, p := range r.Peers {
		sum += p.total()
	}
	return sum
}

// Division is one gateway's part of a service's capacity.
type Division struct {
	// Held are the flows that ask for more than their share, with this gateway's part of
	// each in requests a second. All others get what they ask for and need not wait.
	Held Demands
	// PerSecond is the sum of Held.
	PerSecond float64
}

// Divide returns this gateway's part. It answers an organisation that sends many times
// its usual, and demand that exceeds what is left after a loss of upstreams: capacity is
// divided among flows by weighted max-min fairness, and the part of each flow that gets
// less than it asks for is divided among gateways in proportion to their demands.
// Gateways that know the same demands compute parts whose sum is the capacity.
func Divide(r Room) Division {
	all := Demands{}
	for _, d := range append([]Demands{r.Own}, r.Peers...) {
		for f, v := range d {
			all[f] += v
		}
	}
	out := Division{Held: Demands{}}
	specified := all.total()
	if specified <= 0 {
		return out
	}
	allowed := maxMin(all, r.Capacity*specified/(specified+r.Unspecified))
	for f, own := range r.Own {
		if own > 0 && allowed[f] < heldShare*all[f] {
			out.Held[f] = allowed[f] * own / all[f]
			out.PerSecond += out.Held[f]
		}
	}
	return out
}

// heldShare is the share of its demand below which a flow is held to its part.
const heldShare = 0.999

// maxMin divides capacity among flows: each gets its demand, or its weight times a level
// that is equal for all flows, whichever is less.
func maxMin(demands Demands, capacity float64) Demands {
	flows := make([]Flow, 0, len(demands))
	weights := 0.0
	for f := range demands {
		flows = append(flows, f)
		weights += f.weight()
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(demands[a]/a.weight(), demands[b]/b.weight()),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Rank, b.Rank))
	})
	out, left := make(Demands, len(demands)), capacity
	for _, f := range flows {
		out[f] = min(demands[f], left*f.weight()/weights)
		left -= out[f]
		weights -= f.weight()
	}
	return out
}
