package balance

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// identity is the configured part of an upstream. It is immutable; a change
// replaces the whole value.
type identity struct {
	name   string
	host   string
	agent  string
	domain string
	region string
	// sameDomain is set when the upstream is in the entry's own failure domain.
	sameDomain bool
}

// replica is the state of one upstream as this entry sees it. It outlives
// rebuilds of the view. All fields are safe for concurrent use.
type replica struct {
	hash uint64
	id   atomic.Pointer[identity]

	// configuredSlots is the configured number of requests that may run at a time.
	// slots is the number that the agent reported, else the configured one.
	configuredSlots atomic.Int32
	slots           atomic.Int32
	// own counts this entry's requests in flight.
	own atomic.Int32
	// others is the load of the other entries in the last report.
	others     atomic.Int32
	reportedAt atomic.Int64

	// tokenTime is the reported time between tokens in nanoseconds; slow is set
	// while classifySpeed finds it slow.
	tokenTime atomic.Int64
	slow      atomic.Bool

	// unansweredSince is when the first attempt since the upstream's last answer
	// was sent, in Unix nanoseconds; 0 when there is none.
	unansweredSince atomic.Int64

	// The upstream is leaving when the configuration, the agent or the host
	// list says so.
	leavingConfig atomic.Bool
	leavingAgent  atomic.Bool
	leavingHost   atomic.Bool

	// ramp is the slow start of the whole upstream.
	ramp ramp

	health health

	// members holds one member per target, guarded by Picker.mu.
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

// notLeaving reports whether the upstream is not leaving.
func (r *replica) notLeaving() bool { return !r.leaving() }

// takesWork reports whether the upstream is neither leaving nor ejected.
func (r *replica) takesWork() bool { return !r.health.ejected() && !r.leaving() }

// recordSuccess records an answer. It does not end the ejection of a slow
// upstream.
func (r *replica) recordSuccess(now int64) {
	if !r.slow.Load() && r.health.recordSuccess() {
		r.ramp.begin(now)
	}
}

// unresponsiveTimeout is how long an upstream must answer nothing before expired
// deadlines count as failures. Otherwise a caller whose deadlines are shorter
// than its answers take would get the upstream ejected for every caller.
const unresponsiveTimeout = 5 * time.Second

// unresponsive reports whether no caller got an answer for
// unresponsiveTimeout.
func (r *replica) unresponsive(now int64) bool {
	from := r.unansweredSince.Load()
	return from != 0 && now-from >= int64(unresponsiveTimeout)
}

// othersHalfLife is the age at which a report of the other entries' load
// counts half.
const othersHalfLife = 2 * time.Second

// inFlight estimates the requests in flight from every entry: the other
// entries' part of the last report, decaying with its age, and the own ones.
func (r *replica) inFlight(now int64) float64 {
	own := float64(r.own.Load())
	others := float64(r.others.Load())
	if others <= 0 {
		return own
	}
	age := float64(max(0, now-r.reportedAt.Load()))
	return own + others/(1+age/float64(othersHalfLife))
}

// observe applies a load report. It subtracts the own requests in flight, so
// that the other entries' load remains.
func (r *replica) observe(l Load, now int64) {
	if l.Slots > 0 {
		r.slots.Store(int32(l.Slots))
	}
	others := int32(l.InFlight+l.Queued) - r.own.Load()
	r.others.Store(max(0, others))
	r.reportedAt.Store(now)
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
