// Package warmup decides which upstreams get requests only at the rate that a cold
// upstream tolerates. It answers the load after upstreams return empty, one by one or a
// whole failure domain at once: they are the first choice of every gateway, and a cold one
// that all of them choose crashes. The package has no I/O and no clock: times come in as
// arguments, on any monotonic clock.
package warmup

import "time"

// Policy is how a service's upstreams warm up. The zero value is for upstreams that are
// never cold.
type Policy struct {
	// PerSecond is the rate of requests that a cold upstream tolerates from all gateways.
	PerSecond float64
	// Duration is how long an upstream stays cold after its start.
	Duration time.Duration
}

// Limits reports whether upstreams of the service can be cold.
func (p Policy) Limits() bool { return p.PerSecond > 0 }

// rateShare is the share of the tolerated rate that is used. The users' rule allows half
// more and five requests in a second, which parted fleets and slots that are used late need.
const rateShare = 0.9

// Rate returns the requests a second that all gateways together send to a cold upstream.
func (p Policy) Rate() float64 { return rateShare * p.PerSecond }

// idleBelow is the number of requests in flight, over all gateways, below which an upstream
// may have just returned. At the rate of a cold upstream it takes well under a second to
// get there, so gateways notice an empty upstream before they have filled it.
const idleBelow = 4

// State is what is known of one upstream.
type State uint8

// The states, in the order of precedence.
const (
	// Warm upstreams are not limited.
	Warm State = iota
	// Suspected upstreams may be cold: they have failed or were idle a moment ago.
	Suspected
	// Cold upstreams have said so.
	Cold
)

// String returns the state as it is logged.
func (s State) String() string { return [...]string{"warm", "suspected", "cold"}[s] }

// boot is the knowledge of one boot of an upstream.
type boot struct {
	// coldUntil is when the upstream is warm by its own statement, suspectUntil when it is
	// warm if it has returned since it was last suspected.
	coldUntil, suspectUntil time.Duration
}

// Tracker holds what is known of upstreams, by an identifier of their boot. The zero value
// is empty. It is not safe for concurrent use.
type Tracker struct{ boots map[uint32]boot }

// Announce records that an upstream says how long it stays cold. Statements arrive late, so
// a shorter one does not end an earlier one sooner.
func (t *Tracker) Announce(id uint32, left, now time.Duration) {
	if b := t.boots[id]; left > 0 && now+left > b.coldUntil {
		b.coldUntil = now + left
		t.put(id, b)
	}
}

// Suspect records that an upstream has failed a request: it may have crashed, and be cold
// on its return.
func (t *Tracker) Suspect(id uint32, p Policy, now time.Duration) {
	if b := t.boots[id]; p.Limits() && now+p.Duration > b.suspectUntil {
		b.suspectUntil = now + p.Duration
		t.put(id, b)
	}
}

// ObserveRunning records how many requests run at an upstream. An idle one may have just
// returned, whatever is known of it.
func (t *Tracker) ObserveRunning(id uint32, running int, p Policy, now time.Duration) {
	if running < idleBelow {
		t.Suspect(id, p, now)
	}
}

// IdleIsSuspicious reports whether an idle upstream among those with the given requests in
// flight may have just returned. Where most are idle, load is low: requests spread over
// all of them, and none is everyone's first choice. Where news of requests lag, upstreams
// look idle that are not.
func IdleIsSuspicious(running []int, lags bool) bool {
	idle := 0
	for _, n := range running {
		if n < idleBelow {
			idle++
		}
	}
	return !lags && 2*idle <= len(running)
}

// State returns the state of an upstream.
func (t *Tracker) State(id uint32, now time.Duration) State {
	switch b := t.boots[id]; {
	case now < b.coldUntil:
		return Cold
	case now < b.suspectUntil:
		return Suspected
	}
	return Warm
}

// Prune drops the upstreams that are warm.
func (t *Tracker) Prune(now time.Duration) {
	for id := range t.boots {
		if t.State(id, now) == Warm {
			delete(t.boots, id)
		}
	}
}

func (t *Tracker) put(id uint32, b boot) {
	if t.boots == nil {
		t.boots = map[uint32]boot{}
	}
	t.boots[id] = b
}
