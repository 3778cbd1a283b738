package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// Limits on reading the host list.
const (
	// minListInterval is the minimum time between two reads of the host list.
	minListInterval = 2 * time.Second
	// listBytesPerSecond bounds the reads of the host list; a long list is
	// read less often.
	listBytesPerSecond = 1250
	// listLineBytes is the size of one line of the host list.
	listLineBytes = 100
	// listJitter is the fraction by which the interval is longer or shorter.
	listJitter = 0.25
	// maxNotifiers is how many daemons notify a host of a change of its list entry.
	// Their reads are spread over the interval, so that the first comes soon.
	maxNotifiers = 64
	// notifyInterval is the time between two notifications.
	notifyInterval = 50 * time.Millisecond
)

// ListOptions configure a ListWatch.
type ListOptions struct {
	// Self is the name of this daemon.
	Self  string
	Hosts ports.Hosts
	// OnRead is called after each read; bytes is the size of the read.
	OnRead func(list []ports.HostState, bytes int, err error)
	// Notify notifies a host's agent that the host's leaving flag in the list
	// changed. Nil disables notifications.
	Notify func(ctx context.Context, host string, leaving bool)
	// Rand returns numbers from 0 up to 1; rand.Float64 when nil.
	Rand func() float64
}

// ListWatch reads the host list at a rate that is bounded in bytes. A daemon
// with a long list sees a change late, so the daemons that see it first notify
// the host.
type ListWatch struct {
	options ListOptions
	// leaving holds each host's leaving flag in the last list; nil before the first.
	leaving map[string]bool
}

// NewListWatch returns a watch that has read nothing.
func NewListWatch(o ListOptions) *ListWatch {
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.OnRead == nil {
		o.OnRead = func([]ports.HostState, int, error) {}
	}
	return &ListWatch{options: o}
}

// Run reads the list until the context ends.
func (w *ListWatch) Run(ctx context.Context) error {
	first := true
	for {
		list, err := w.options.Hosts.List(ctx)
		bytes := listLineBytes*len(list) + wireOverhead
		w.options.OnRead(list, bytes, err)
		if err == nil {
			w.notify(ctx, w.changes(list))
		}
		if !wait.For(ctx, w.interval(bytes, first)) {
			return nil
		}
		first = false
	}
}

// interval returns the time to the next read. The first one is anything up to a
// whole interval, so that daemons that start together read at different times.
func (w *ListWatch) interval(bytes int, first bool) time.Duration {
	interval := max(minListInterval, time.Duration(float64(bytes)/listBytesPerSecond*float64(time.Second)))
	if first {
		return time.Duration(float64(interval) * w.options.Rand())
	}
	spread := 1 + listJitter*(2*w.options.Rand()-1)
	return time.Duration(float64(interval) * spread)
}

// changes returns the hosts whose leaving flag changed and that this daemon is to
// notify. The first list counts as no change.
func (w *ListWatch) changes(list []ports.HostState) []ports.HostState {
	before := w.leaving
	w.leaving = make(map[string]bool, len(list))
	var out []ports.HostState
	for _, h := range list {
		w.leaving[h.Name] = h.Leaving
		was, known := before[h.Name]
		changed := was != h.Leaving && (known || h.Leaving)
		if before != nil && changed && w.shouldNotify(list, h.Name) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b ports.HostState) int {
		return cmp.Compare(rank(w.options.Self, a.Name), rank(w.options.Self, b.Name))
	})
	return out
}

// shouldNotify reports whether this daemon is among those that notify the host.
func (w *ListWatch) shouldNotify(list []ports.HostState, host string) bool {
	mine := rank(w.options.Self, host)
	lower := 0
	for _, h := range list {
		if rank(h.Name, host) < mine {
			lower++
		}
	}
	return lower < maxNotifiers
}

func (w *ListWatch) notify(ctx context.Context, changed []ports.HostState) {
	if w.options.Notify == nil {
		return
	}
	for _, h := range changed {
		w.options.Notify(ctx, h.Name, h.Leaving)
		if !wait.For(ctx, notifyInterval) {
			return
		}
	}
}
