// Package retrywindow limits the requests that are sent more than once: in any window,
// the extra sends of a service stay within a ratio of its requests plus a fixed slack. It
// guards against retry storms: when some upstreams fail, retries must not multiply the
// load on the others.
package retrywindow

import "time"

// Bound is the upper bound on extra sends in a window: Ratio times the requests, plus
// Slack.
type Bound struct {
	// Ratio is that of extra sends to requests.
	Ratio float64
	// Slack is the number of extra sends allowed in each window in addition.
	Slack float64
}

// buckets is the number of buckets in a window; the oldest one expires as a whole.
const buckets = 10

type count struct {
	at       int64 // number of the bucket since the epoch of the clock
	requests int
	extra    int
}

// Window counts the requests and extra sends of one service at one gateway. It is not
// safe for concurrent use.
type Window struct {
	span time.Duration
	ring [buckets + 1]count
}

// New returns an empty window of the given length.
func New(span time.Duration) *Window { return &Window{span: span} }

func (w *Window) bucket(now time.Duration) *count {
	at := int64(now / (w.span / buckets))
	c := &w.ring[at%int64(len(w.ring))]
	if c.at != at {
		*c = count{at: at}
	}
	return c
}

// Request counts one request of a caller.
func (w *Window) Request(now time.Duration) { w.bucket(now).requests++ }

// AllowOptional is like Extra, for a send that no failure requires, such as one to a larger
// model. It may use only a share of the bound; the rest is reserved for failed requests.
func (w *Window) AllowOptional(now time.Duration, b Bound) bool {
	return w.Extra(now, Bound{Ratio: maxOptionalShare * b.Ratio, Slack: maxOptionalShare * b.Slack})
}

// maxOptionalShare is the share of the bound that AllowOptional may use.
const maxOptionalShare = 0.85

// Extra reports whether a request may be sent once more, and counts the send if so.
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
