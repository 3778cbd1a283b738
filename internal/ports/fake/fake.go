// Package fake is an in-memory platform with the semantics of the real one:
// conditional multi-row writes, scans, operation IDs, rate limits, a lagging
// host list and late ratings. Typed switches induce its failures, and counters
// tell what a duty cost. It is used by tests and by the stand-in server.
package fake

import (
	"context"
	"time"
)

// Options configure a fake platform. The zero value has no limits.
type Options struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// TableReadsPerSecond and TableWritesPerSecond bound the rows read and
	// written; zero means no bound.
	TableReadsPerSecond  float64
	TableWritesPerSecond float64
	// WeightsPerSecond bounds the reservations of the weight store; zero
	// means no bound.
	WeightsPerSecond float64
	// Judge rates an answer; nil rates every answer good.
	Judge Judge
}

// Platform is one fake of each of the platform's services.
type Platform struct {
	Table   *Table
	Objects *Objects
	Hosts   *Hosts
	Ratings *Ratings
	Weights *Weights
}

// New returns a platform with no faults and no rows.
func New(o Options) *Platform {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Platform{
		Table:   newTable(o),
		Objects: newObjects(),
		Hosts:   newHosts(o.Now),
		Ratings: newRatings(o),
		Weights: newWeights(o),
	}
}

// Faults are all switches of the platform. The zero value is a healthy one.
type Faults struct {
	Table   TableFaults  `json:"table"`
	Objects ObjectFaults `json:"objects"`
	Hosts   HostFaults   `json:"hosts"`
	Ratings RatingFaults `json:"ratings"`
	Weights WeightFaults `json:"weights"`
}

// SetFaults replaces all switches.
func (p *Platform) SetFaults(f Faults) {
	p.Table.SetFaults(f.Table)
	p.Objects.SetFaults(f.Objects)
	p.Hosts.SetFaults(f.Hosts)
	p.Ratings.SetFaults(f.Ratings)
	p.Weights.SetFaults(f.Weights)
}

// Faults returns all switches as they stand.
func (p *Platform) Faults() Faults {
	return Faults{
		Table:   p.Table.Faults(),
		Objects: p.Objects.Faults(),
		Hosts:   p.Hosts.Faults(),
		Ratings: p.Ratings.Faults(),
		Weights: p.Weights.Faults(),
	}
}

// Counters are what the platform was asked for so far.
type Counters struct {
	Table   Usage `json:"table"`
	Objects Usage `json:"objects"`
	Hosts   Usage `json:"hosts"`
	Ratings Usage `json:"ratings"`
	Weights Usage `json:"weights"`
}

// Counters returns what each service was asked for.
func (p *Platform) Counters() Counters {
	return Counters{
		Table:   p.Table.Usage(),
		Objects: p.Objects.Usage(),
		Hosts:   p.Hosts.Usage(),
		Ratings: p.Ratings.Usage(),
		Weights: p.Weights.Usage(),
	}
}

// Usage counts the calls of one service.
type Usage struct {
	// Reads and Writes count rows or objects; a scan that finds none is one
	// read.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// BytesRead and BytesWritten count keys and values.
	BytesRead    uint64 `json:"bytesRead"`
	BytesWritten uint64 `json:"bytesWritten"`
	// Refused counts calls that an outage or a rate limit turned away.
	Refused uint64 `json:"refused"`
}

// wait lets the latency pass. It reports false when the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
