// Package sharedrate keeps a rate that an upstream names for all gateways together,
// without a coordinator. It answers an upstream in need that takes a few requests a second
// where a hundred gateways would each send it some.
//
// Time is cut into slots of one request at the named rate. Each slot belongs to one
// gateway, which all gateways work out alike from the list of gateways, the demand that
// each has told and a clock that they share; the owner may send one request within the
// life of the slot, and nobody else may. What is not used lapses, so an idle fleet saves
// up no burst. The package has no I/O and no clock: times come in as arguments.
package sharedrate

import "time"

// Word is what an upstream has said of its limit, as of a time on this host's clock.
type Word struct {
	// PerSecond is the rate that it takes from all gateways together; zero when it named
	// none.
	PerSecond float64
	// At is when the answer came that named the limit. For an answer that named none it
	// is when its request was sent: only a request that was sent after the limit was known
	// shows that the limit has ended, since an answer may have been on its way for long.
	At time.Duration
}

func (w Word) limited() bool { return w.PerSecond > 0 }

// Bounds on named rates, in requests a second.
const (
	// leastRate is used for lower ones: a request each ten seconds finds out whether the
	// upstream still means it.
	minRate = 0.1
	// mostRate is above what any upstream can serve.
	maxRate = 1e5
)

// words holds the latest word of each upstream.
type limitTable struct {
	// own are those that upstreams have said to this gateway, latest those that any
	// gateway has heard.
	own, latest map[Boot]Word
}

// Boot names one boot of an upstream.
type Boot uint32

// hear takes in what an upstream has said to this gateway, or to a peer. It reports
// whether the rate has changed.
func (w *limitTable) observe(b Boot, word Word, own bool) bool {
	known := w.latest[b]
	if word.At < known.At || (!word.limited() && (!known.limited() || word.At == known.At)) {
		return false
	}
	if word.limited() {
		word.PerSecond = min(max(word.PerSecond, minRate), maxRate)
	}
	if w.latest == nil {
		w.own, w.latest = map[Boot]Word{}, map[Boot]Word{}
	}
	w.latest[b] = word
	if own {
		w.own[b] = word
	} else {
		delete(w.own, b) // a word that is out of date is not told any more
	}
	return word.PerSecond != known.PerSecond
}

// limit returns the rate of an upstream and as of when it was named.
func (w *limitTable) limit(b Boot) (Word, bool) {
	known, ok := w.latest[b]
	return known, ok && known.limited()
}

// forget drops the words of all boots but the listed ones.
func (w *limitTable) prune(listed map[Boot]bool) {
	for b := range w.latest {
		if !listed[b] {
			delete(w.latest, b)
			delete(w.own, b)
		}
	}
}
