package admission

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// organisations is what the configuration says about each, shared by all
// stations.
type organisations struct {
	byName map[string]*organisation
}

// organisation has its rates and its requests over all stations and classes.
type organisation struct {
	weight        float64
	inFlightLimit int
	// inFlight counts the requests that run or wait.
	inFlight int
	rates    *rates
}

func (o *organisations) known(name string) bool {
	_, ok := o.byName[name]
	return ok
}

// get returns the organisation, with defaults when it is not configured.
func (o *organisations) get(name string) *organisation {
	if org, ok := o.byName[name]; ok {
		return org
	}
	return &organisation{weight: catalog.DefaultWeight, rates: newRates()}
}

// configure replaces the organisations. Those that stay keep what they have
// spent and what is in flight.
func (o *organisations) configure(
	orgs map[string]*catalog.Organisation, weightsOnly bool, share float64, now time.Time,
) {
	next := make(map[string]*organisation, len(orgs))
	for name, spec := range orgs {
		org, ok := o.byName[name]
		if !ok {
			org = &organisation{rates: newRates()}
		}
		limits := spec.Limits
		if weightsOnly {
			limits = catalog.Limits{}
		}
		org.weight = weightOf(spec)
		org.inFlightLimit = shareOfCount(limits.InFlight, share)
		org.rates.set(limits, share, now)
		next[name] = org
	}
	o.byName = next
}

// shareOfCount returns the entry's part of a count, at least one.
func shareOfCount(limit int, share float64) int {
	if limit == 0 {
		return 0
	}
	return max(1, int(math.Ceil(float64(limit)*share)))
}
