package sharedrate

import (
	"math"
	"time"
)

// demand is what one gateway's callers ask of a service.
type demand struct {
	// worths are those of the last requests, a ring.
	worths [worthsKept]float64
	seen   int
	// count is the number of requests, each of which fades over demandSpan, as of at.
	count float64
	at    time.Duration
	// told is the level that the peers know.
	told Level
	// due is when the last of the callers that were told a time comes back.
	due time.Duration
}

const (
	// worthsKept is enough to tell a tenth of the requests from the rest.
	worthsKept = 64
	// demandSpan is the time over which the rate of requests is taken.
	demandSpan = 4 * time.Second
)

// request counts a request.
func (d *demand) request(worth float64, now time.Duration) {
	d.count = d.faded(now) + 1
	d.at = now
	d.worths[d.seen%worthsKept] = worth
	d.seen++
}

func (d *demand) faded(now time.Duration) float64 {
	return d.count * math.Exp(-max(0, now-d.at).Seconds()/demandSpan.Seconds())
}

func (d *demand) perSecond(now time.Duration) float64 { return d.faded(now) / demandSpan.Seconds() }

// better returns the part of the last requests that are worth more.
func (d *demand) better(worth float64) float64 {
	n, more := min(d.seen, worthsKept), 0
	for _, w := range d.worths[:n] {
		if w > worth {
			more++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(more) / float64(n)
}

// worthIt reports whether a request should use one of so many grants of which the first
// lasts for a time, rather than leave it to one that is worth more. With m requests to
// come at random for each grant, waiting yields one of rank m/(m+2) on average.
func (d *demand) worthIt(worth float64, grants int, lasts, now time.Duration) bool {
	toCome := d.perSecond(now) * lasts.Seconds() / float64(grants)
	return d.better(worth) < 2/(toCome+2)
}
