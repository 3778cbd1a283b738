// Package sharedrate enforces a rate limit that an upstream sets for all gateways together,
// without a coordinator. It guards against overloading an upstream that accepts a few
// requests a second when a hundred gateways would each send it some.
//
// Time is divided into slots of one request at the upstream's rate. Each slot has one
// owner, which all gateways compute alike from the list of gateways, the demand that each
// has sent and a clock that they share. Only the owner may send a request in the slot, and
// only one. Unused slots expire, so an idle fleet accumulates no burst. The package has no
// I/O and no clock: times come in as arguments.
package sharedrate

import "time"

// RateLimit is an upstream's statement of its limit as of a time on this host's clock.
type RateLimit struct {
	// PerSecond is the rate that the upstream accepts from all gateways together; zero when
	// it set none.
	PerSecond float64
	// At is when the answer with the limit was received. For an answer without a limit it
	// is when its request was sent: only a request that was sent after the limit was known
	// shows that the limit has ended, since an answer may have been in transit for long.
	At time.Duration
	// warmUp is true for the rate of a warm-up, which the upstream did not state.
	warmUp bool
}

func (w RateLimit) limited() bool { return w.PerSecond > 0 }

// Bounds on the rates that upstreams set, in requests a second.
const (
	// minRate replaces lower rates: one request every ten seconds checks whether the
	// upstream still has that limit.
	minRate = 0.1
	// maxRate is above what any upstream can serve.
	maxRate = 1e5
)

// limitTable holds the latest limit of each upstream.
type limitTable struct {
	// own are the limits received from upstreams by this gateway, latest those received
	// by any gateway.
	own, latest map[Boot]RateLimit
	// warmUps are the rates of upstreams that warm up, which they do not announce
	// themselves.
	warmUps map[Boot]float64
}

// Boot identifies one boot of an upstream.
type Boot uint32

// observe records the limit that an upstream sent to this gateway (own) or to a peer. It
// reports whether the rate changed.
func (w *limitTable) observe(b Boot, limit RateLimit, own bool) bool {
	known := w.latest[b]
	if limit.At < known.At || (!limit.limited() && (!known.limited() || limit.At == known.At)) {
		return false
	}
	if limit.limited() {
		limit.PerSecond = min(max(limit.PerSecond, minRate), maxRate)
	}
	if w.latest == nil {
		w.own, w.latest = map[Boot]RateLimit{}, map[Boot]RateLimit{}
	}
	w.latest[b] = limit
	if own {
		w.own[b] = limit
	} else {
		delete(w.own, b) // do not send an outdated limit
	}
	return limit.PerSecond != known.PerSecond
}

// limit returns the lower of an upstream's own rate and that of its warm-up, and the time
// as of which the own rate holds.
func (w *limitTable) limit(b Boot) (RateLimit, bool) {
	known := w.latest[b]
	if rate, ok := w.warmUps[b]; ok && (!known.limited() || rate < known.PerSecond) {
		known.PerSecond, known.warmUp = rate, true
	}
	return known, known.limited()
}

// announced reports whether the upstream itself has set a limit.
func (w *limitTable) announced(b Boot) bool { return w.latest[b].limited() }

// empty reports whether no upstream has a limit.
func (w *limitTable) empty() bool { return len(w.latest) == 0 && len(w.warmUps) == 0 }

// prune drops the limits of all boots but the listed ones.
func (w *limitTable) prune(listed map[Boot]bool) {
	for b := range w.latest {
		if !listed[b] {
			delete(w.latest, b)
			delete(w.own, b)
		}
	}
	for b := range w.warmUps {
		if !listed[b] {
			delete(w.warmUps, b)
		}
	}
}
