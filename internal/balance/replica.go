package balance

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// identity is the configured part of an upstream. It is replaced whole.
type identity struct {
	name   string
	host   string
	agent  string
	domain string
	region string
	// near is set in the entry's own failure domain.
	near bool
}

// replica is the state of one upstream as this entry sees it. It outlives
// rebuilds of the view. All fields are safe for concurrent use.
type replica struct {
	hash uint64
	id   atomic.Pointer[identity]

	// slots is the number of requests that may run at a time, as reported by
	// the agent, else as configured.
	configuredSlots atomic.Int32
	slots           atomic.Int32
	// own counts this entry's requests in flight.
	own atomic.Int32
	// others is the load of the other entries in the last report.
	others   atomic.Int32
	reportAt atomic.Int64

	// tokenTime is the reported time between tokens in nanoseconds, slow the
	// verdict on it.
	tokenTime atomic.Int64
	slow      atomic.Bool

	// silentFrom is when the first attempt since its last answer was sent, in
	// Unix nanoseconds; 0 when there is none.
	silentFrom atomic.Int64

	// leaving is set by the configuration, the agent or the host list.
	leavingConfig atomic.Bool
	leavingAgent  atomic.Bool
	leavingHost   atomic.Bool

	// ramp is the slow start of the whole upstream.
	ramp ramp

	health health

	// members are its places in the pools, under Picker.mu.
	members []*member
}

func newReplica(name string, rampFrom int64) *replica {
	r := &replica{hash: xxhash.Sum64String(name)}
	r.ramp.begin(rampFrom)
	return r
}

func (r *replica) leaving() bool {
	return r.leavingConfig.Load() || r.leavingAgent.Load() || r.leavingHost.Load()
}

// staying reports whether the upstream is not leaving.
func (r *replica) staying() bool { return !r.leaving() }

// takesWork reports whether the upstream stays and is not ejected.
func (r *replica) takesWork() bool { return !r.health.ejected() && !r.leaving() }

// succeeded notes an answer, which does not clear one that is slow.
func (r *replica) succeeded(now int64) {
	if !r.slow.Load() && r.health.succeeded() {
		r.ramp.begin(now)
	}
}

// hungAfter is how long an upstream answers nothing until deadlines that pass
// speak against it. A caller whose deadline is shorter than its answers would
// have it ejected for everyone otherwise.
const hungAfter = 5 * time.Second

// hung reports whether nobody got an answer for long.
func (r *replica) hung(now int64) bool {
	from := r.silentFrom.Load()
	return from != 0 && now-from >= int64(hungAfter)
}

// othersFade is the age at which a report of others' load counts half.
const othersFade = 2 * time.Second

// inFlight estimates the requests in flight from every entry: the others'
// part of the last report, fading with its age, and the own ones.
func (r *replica) inFlight(now int64) float64 {
	own := float64(r.own.Load())
	others := float64(r.others.Load())
	if others <= 0 {
		return own
	}
	age := float64(max(0, now-r.reportAt.Load()))
	return own + others/(1+age/float64(othersFade))
}

// observe takes a report. The own requests in flight now are taken out of it,
// so that what is left is the others'.
func (r *replica) observe(l Load, now int64) {
	if l.Slots > 0 {
		r.slots.Store(int32(l.Slots))
	}
	others := int32(l.InFlight+l.Queued) - r.own.Load()
	r.others.Store(max(0, others))
	r.reportAt.Store(now)
	r.tokenTime.Store(int64(l.TokenTime))
	r.leavingAgent.Store(l.Leaving)
}

// mix is a finaliser of 64-bit hashes (SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
