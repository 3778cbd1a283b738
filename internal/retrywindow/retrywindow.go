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
const buckets = 125

type count struct {
	at       int64 // number of the bucket since the epoch of the clock
	requests int
	extra    int
}

// Window counts the requests and extra sends of one service at one gateway. It is not
// safe for concurrent use.
type Window struct {
	span time.Duration
	ring [kept]count
	// newest is the number of the latest bucket; requests and extra are the sums of the
	// window that ends with it.
	newest          int64
	requests, extra int
}

// New returns an empty window of the given length.
func New(span time.Duration) *Window { return &Window{span: span} }

// bucket returns the bucket of a time. Its counts are changed by add.
func (w *Window) bucket(now time.Duration) *count {
	at := int64(now / (w.span / buckets))
	w.advance(at)
	c := &w.ring[at%kept]
	if c.at != at {
		if w.newest-c.at <= buckets { // a time from long before the last one takes the place
			w.requests, w.extra = w.requests-c.requests, w.extra-c.extra
		}
		*c = count{at: at}
	}
	return c
}

// advance drops from the sums what lies before the window that ends with a bucket.
func (w *Window) advance(at int64) {
	if at-w.newest > buckets {
		w.newest, w.requests, w.extra = at, 0, 0
	}
	for w.newest < at {
		w.newest++
		last := w.newest - buckets - 1
		if o := &w.ring[max(0, last)%kept]; o.at == last {
			w.requests, w.extra = w.requests-o.requests, w.extra-o.extra
		}
	}
}

// add adds counts to the bucket of a time.
func (w *Window) add(now time.Duration, requests, extra int) {
	c := w.bucket(now)
	c.requests, c.extra = c.requests+requests, c.extra+extra
	if w.newest-c.at <= buckets {
		w.requests, w.extra = w.requests+requests, w.extra+extra
	}
}

// spread sets the counts of a past window in which the times are not known as evenly spaced.
func (w *Window) spread(now time.Duration, requests, extra int) {
	last := w.bucket(now).at
	for i := range int64(buckets) {
		part := func(all int) int { return int(int64(all)*(i+1)/buckets - int64(all)*i/buckets) }
		w.ring[(last-i+kept)%kept] = count{at: last - i, requests: part(requests), extra: part(extra)}
	}
	w.requests, w.extra = w.sumSince(last - buckets)
}

// resized returns a window of another length in which the extra sends of w, which may be nil,
// count as made now.
func (w *Window) resized(now, span time.Duration) *Window {
	out := New(span)
	if w != nil {
		_, extra := w.countsWhole(now)
		out.add(now, 0, extra)
	}
	return out
}

// Request counts one request of a caller.
func (w *Window) Request(now time.Duration) { w.add(now, 1, 0) }

// Extra reports whether a request may be sent once more, and counts the send if so.
func (w *Window) Extra(now time.Duration, b Bound) bool {
	requests, extra := w.countsWhole(now)
	if float64(extra+1) > b.Ratio*float64(requests)+b.Slack {
		return false
	}
	w.add(now, 0, 1)
	return true
}

// countsWhole returns the counts of the window, with the whole of its oldest bucket.
func (w *Window) countsWhole(now time.Duration) (requests, extra int) {
	c := w.bucket(now)
	if c.at == w.newest {
		return w.requests, w.extra
	}
	return w.sumSince(c.at - buckets)
}

// sumSince returns the sums of a bucket and all later ones.
func (w *Window) sumSince(first int64) (requests, extra int) {
	for i := range w.ring {
		if o := &w.ring[i]; o.at >= first {
			requests += o.requests
			extra += o.extra
		}
	}
	return requests, extra
}

// counts is like countsWhole, but leaves out the requests of the oldest bucket, a part of
// which lies before the window.
func (w *Window) counts(now time.Duration) (requests, extra int) {
	requests, extra = w.countsWhole(now)
	c := w.bucket(now)
	if oldest := &w.ring[(c.at-buckets+kept)%kept]; c.at-oldest.at == buckets {
		requests -= oldest.requests
	}
	return requests, extra
}
