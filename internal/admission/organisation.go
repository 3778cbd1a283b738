package admission

import (
	"math"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// organisations holds the configured organisations. It is shared by all targets.
type organisations struct {
	byName map[string]*organisation
}

// organisation holds the limits of an organisation and its use of them across all
// targets and priority classes.
type organisation struct {
	weight        float64
	inFlightLimit int
	// inFlight counts the running and the waiting requests.
	inFlight int
	rates    *rates
}

func (o *organisations) isConfigured(name string) bool {
	_, ok := o.byName[name]
	return ok
}

// get returns the organisation, or a new one with defaults if it is not configured.
func (o *organisations) get(name string) *organisation {
	if org, ok := o.byName[name]; ok {
		return org
	}
	return &organisation{weight: catalog.DefaultWeight, rates: newRates()}
}

// configure replaces the organisations. Those that stay keep the used part of their
// rates and their requests in flight.
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

// shareOfCount returns this entry's part of a limit, at least 1; 0 means no limit.
func shareOfCount(limit int, share float64) int {
	if limit == 0 {
		return 0
	}
	return max(1, int(math.Ceil(float64(limit)*share)))
}
