package quality

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Record is the encoded state of one key, as daemons exchange it or store it in
// one row. It holds about fifty bytes besides the names.
type Record struct {
	Key Key `json:"key"`
	// Good and Bad are the weights of the ratings at the time Rated.
	Good  float32   `json:"good"`
	Bad   float32   `json:"bad"`
	Rated time.Time `json:"rated"`
	// Kept and Escalated are the weights of the drafts.
	Kept      float32 `json:"kept,omitempty"`
	Escalated float32 `json:"escalated,omitempty"`
	// Answers is the weight of the answers behind the sums. The latency is
	// the long-term one.
	Answers      float32 `json:"answers"`
	OutputTokens float32 `json:"outputTokens"`
	LatencyMs    float32 `json:"latencyMs"`
	LatencySqMs  float32 `json:"latencySqMs"`
}

// Export returns the state of every key, sorted by key.
func (b *Estimator) Export() []Record {
	out := make([]Record, 0, len(b.sums))
	for k, c := range b.sums {
		out = append(out, Record{
			Key:          k,
			Good:         float32(c.good),
			Bad:          float32(c.bad),
			Rated:        c.rated,
			Kept:         float32(c.kept),
			Escalated:    float32(c.escalated),
			Answers:      float32(c.answers),
			OutputTokens: float32(c.outputTokens),
			LatencyMs:    float32(c.longTerm.sum),
			LatencySqMs:  float32(c.longTerm.squares),
		})
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Key.compare(b.Key) })
	return out
}

// Import replaces the estimator's state of the keys by the records.
func (b *Estimator) Import(records []Record) {
	for i := range records {
		r := &records[i]
		c := &keySums{}
		c.setRatings(r)
		c.setDrafts(r)
		c.setAnswers(r)
		b.sums[r.Key] = c
		b.newest = later(b.newest, r.Rated)
	}
}

func (c *keySums) setRatings(r *Record) {
	c.good, c.bad = float64(r.Good), float64(r.Bad)
	c.rated = r.Rated
}

func (c *keySums) setDrafts(r *Record) {
	c.kept, c.escalated = float64(r.Kept), float64(r.Escalated)
}

func (c *keySums) setAnswers(r *Record) {
	c.answers, c.outputTokens = float64(r.Answers), float64(r.OutputTokens)
	c.longTerm = latencies{
		answers: float64(r.Answers),
		sum:     float64(r.LatencyMs),
		squares: float64(r.LatencySqMs),
	}
}

// valid reports whether an estimator could have made the record: finite sums that
// are not negative, and weights within the window.
func (r *Record) valid() bool {
	for _, weight := range [...]float32{r.Good + r.Bad, r.Kept + r.Escalated, r.Answers} {
		if !(weight <= DefaultWindow+1) {
			return false
		}
	}
	for _, sum := range [...]float32{r.Good, r.Bad, r.Kept, r.Escalated, r.Answers, r.OutputTokens, r.LatencyMs, r.LatencySqMs} {
		if !(sum >= 0 && sum <= math.MaxFloat32) {
			return false
		}
	}
	return r.Key.Version != ""
}

func (k Key) compare(o Key) int {
	if c := strings.Compare(k.Class, o.Class); c != 0 {
		return c
	}
	if c := strings.Compare(k.Via, o.Via); c != 0 {
		return c
	}
	return strings.Compare(k.Version, o.Version)
}
