package host

import (
	"time"
)

// scenario is one load with its faults. Rates are in multiples of the fleet's
// capacity.
type scenario struct {
	name string
	// duration is the whole run; figures are taken from warm on.
	duration time.Duration
	warm     time.Duration
	// rate is an organisation's demand as a share of the capacity.
	rate func(at time.Duration, org int) float64
	// most is the greatest sum of the rates.
	most float64
	// faultFrom is when the engines picked by down die and those picked by
	// slow slow down, faultTo when they come back.
	faultFrom time.Duration
	faultTo   time.Duration
	down      func(engine int) bool
	slow      func(engine int) bool
}

func steady(load float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, org int) float64 { return load * usualShare(org) }
}

// The names of the loads that bounds refer to.
const (
	loadSteady     = "80% steady"
	loadFull       = "100% steady"
	loadOverload   = "3x overload"
	loadFlood      = "quiet week into a flood"
	loadLargeFlood = "one large organisation floods"
	loadDomainLost = "failure domain lost"
	loadCapacity   = "capacity gone"
	loadSlow       = "two engines slow"
)

// slowdown is how many times longer the steps of a slow engine take.
const slowdown = 6

// slowEngines is the number of engines that slow down at a time.
const slowEngines = 2

// scenarios returns the loads. A quick run is shorter; rates and bounds are
// the same.
func scenarios(quick bool) []scenario {
	unit := 60 * time.Second
	if quick {
		unit = 30 * time.Second
	}
	return []scenario{
		{name: loadSteady, duration: 4 * unit, warm: unit, rate: steady(0.8), most: 0.8},
		{name: loadFull, duration: 3 * unit, warm: unit, rate: steady(1), most: 1},
		{name: loadOverload, duration: 3 * unit, warm: unit, rate: steady(3), most: 3},
		flood(unit),
		largeFlood(unit),
		{
			name: loadDomainLost, duration: 4 * unit, warm: unit, rate: steady(0.8), most: 0.8,
			faultFrom: unit, faultTo: 3 * unit,
			down: func(engine int) bool { return engine%domains == 0 },
		},
		{
			name: loadCapacity, duration: 3 * unit, warm: unit, rate: steady(0.8), most: 0.8,
			faultFrom: unit, faultTo: 4 * unit,
			down: func(engine int) bool { return engine%5 < 3 },
		},
		{
			name: loadSlow, duration: 4 * unit, warm: unit, rate: steady(0.8), most: 0.8,
			faultFrom: unit, faultTo: 3 * unit,
			slow: func(engine int) bool { return engine%(replicas/slowEngines) == 0 },
		},
	}
}

// flood rises from 30% to ten times that within two units.
func flood(unit time.Duration) scenario {
	const quiet, factor = 0.3, 10
	rate := func(at time.Duration, org int) float64 {
		rise := min(1, max(0, (at-unit).Seconds()/(2*unit).Seconds()))
		return quiet * (1 + (factor-1)*rise) * usualShare(org)
	}
	return scenario{name: loadFlood, duration: 4 * unit, warm: unit, rate: rate, most: quiet * factor}
}

// largeFlood lets one large organisation ask for ten times its usual rate.
func largeFlood(unit time.Duration) scenario {
	const load, factor = 0.8, 10
	rate := func(at time.Duration, org int) float64 {
		r := load * usualShare(org)
		if org == 0 && at >= unit {
			r *= factor
		}
		return r
	}
	most := load * (1 + largeShare*(factor-1))
	return scenario{name: loadLargeFlood, duration: 3 * unit, warm: unit, rate: rate, most: most}
}
