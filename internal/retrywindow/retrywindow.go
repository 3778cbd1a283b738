// Package retrywindow bounds the requests that are sent more than once: in any
// window, the extra ones of a service stay below a ratio of its requests plus
// a fixed slack. It answers a storm: when a part of the upstreams fails, extra
// sends must not multiply the load on the rest.
package retrywindow

import "time"

// Bound is one gateway's part of the budget.
type Bound struct {
	// Ratio of extra sends to requests.
	Ratio float64
	// Slack is allowed in each window besides.
	Slack float64
}

// buckets divides the window; the oldest part is dropped as a whole.
const buckets = 10

type count struct {
	at       int64 // number of the bucket since the epoch of the clock
	requests int
	extra    int
}

// Window counts one service at one gateway. It is not safe for concurrent use.
type Window struct {
	span time.Duration
	ring [buckets + 1]count
}

// New returns an empty window over a span.
func New(span time.Duration) *Window { return &Window{span: span} }

func (w *Window) bucket(now time.Duration) *count {
	at := int64(now / (w.span / buckets))
	c := &w.ring[at%int64(len(w.ring))]
	if c.at != at {
		*c = count{at: at}
	}
	return c
}

// Request counts a caller's request.
func (w *Window) Request(now time.Duration) { w.bucket(now).requests++ }

// Choice asks to send a request once more by choice, such as to a better model. The
// last part of the bound is kept for requests that failed.
func (w *Window) Choice(now time.Duration, b Bound) bool {
	return w.Extra(now, Bound{Ratio: choicePart * b.Ratio, Slack: choicePart * b.Slack})
}

// choicePart is the part of the bound up to which sends by choice are allowed.
const choicePart = 0.85

// Extra asks to send a request once more; it counts it when the bound allows it.
func (w *Window) Extra(now time.Duration, b Bound) bool {
	c := w.bucket(now)
	requests, extra := 0, 0
	for i := range w.ring {
		if o := &w.ring[i]; c.at-o.at <= buckets {
			requests += o.requests
			extra += o.extra
		}
	}
	if float64(extra+1) > b.Ratio*float64(requests)+b.Slack {
		return false
	}
	c.extra++
	return true
}
