package quality

import (
	"slices"
	"strings"
	"time"
)

// Record is the whole state of one key, in the form in which daemons hand a
// book to each other or fold it into one row. It holds about fifty bytes
// beside the names.
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
	// the usual one.
	Answers      float32 `json:"answers"`
	OutputTokens float32 `json:"outputTokens"`
	LatencyMs    float32 `json:"latencyMs"`
	LatencySqMs  float32 `json:"latencySqMs"`
}

// Export returns the state of every key, sorted by key.
func (b *Book) Export() []Record {
	out := make([]Record, 0, len(b.cells))
	for k, c := range b.cells {
		out = append(out, Record{
			Key:          k,
			Good:         float32(c.good),
			Bad:          float32(c.bad),
			Rated:        c.rated,
			Kept:         float32(c.kept),
			Escalated:    float32(c.escalated),
			Answers:      float32(c.answers),
			OutputTokens: float32(c.outputTokens),
			LatencyMs:    float32(c.usual.sum),
			LatencySqMs:  float32(c.usual.squares),
		})
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Key.compare(b.Key) })
	return out
}

// Import takes the state of the keys in place of what the book holds of them.
// A daemon that starts takes it from a peer or the fold, and adds deltas from
// then on.
func (b *Book) Import(records []Record) {
	for _, r := range records {
		b.cells[r.Key] = &cell{
			good:         float64(r.Good),
			bad:          float64(r.Bad),
			kept:         float64(r.Kept),
			escalated:    float64(r.Escalated),
			answers:      float64(r.Answers),
			outputTokens: float64(r.OutputTokens),
			usual: latencies{
				answers: float64(r.Answers),
				sum:     float64(r.LatencyMs),
				squares: float64(r.LatencySqMs),
			},
			rated: r.Rated,
		}
		b.newest = later(b.newest, r.Rated)
	}
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
