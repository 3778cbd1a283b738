package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is one host as the configuration names it.
type Host struct {
	Name   string
	Domain string
	// Agent is the address of the host's agent.
	Agent string
}

// State is the last known state of a host.
type State int

// The states of a host.
const (
	// Unknown is a host that has not responded yet; state dumps show "unheard".
	Unknown State = iota
	// Alive is a host whose last heartbeat or request got a response.
	Alive
	// Suspect is a host that failed once and is to be probed soon.
	Suspect
	// Silent is a host that failed the probe as well. The host list still names
	// it, or cannot be read, so the link may be cut; probes continue.
	Silent
	// Removed is a silent host that the host list lacks. It is not probed until the
	// list or the configuration names it again.
	Removed
)

// String names the state for state dumps.
func (s State) String() string {
	return [...]string{"unheard", "alive", "suspect", "silent", "removed"}[s]
}

// Observation is one response of a host, to a heartbeat or to a request.
type Observation struct {
	// SentAt is when the request of this response was sent.
	SentAt time.Time
	// Incarnation of the agent that responded.
	Incarnation uint64
	// Leaving is set when the agent takes no new work.
	Leaving bool
	// Changed is set when the response differs from the host's previous one.
	Changed bool
	// Bytes of the heartbeat, both ways; 0 for a response to a request.
	Bytes int
}

// leaving reports whether the host is leaving. A response to a request can
// report that it is, but only a heartbeat can revoke that.
func (b Observation) leaving(m *member) bool {
	return b.Leaving || (b.Bytes == 0 && m.reportedLeaving)
}

// EventKind is the kind of change of a host.
type EventKind int

// The kinds of event.
const (
	// HostReachable is a host that responds for the first time, or again.
	HostReachable EventKind = iota
	// HostRestarted is a host whose agent has a new incarnation: the requests
	// it ran before are lost.
	HostRestarted
	// HostSilent is a host that gets no new work until it responds again.
	HostSilent
	// HostRemoved is a dead host: silent for long enough and missing from the host list.
	HostRemoved
	// HostLeaving is a host that takes no new work and finishes its running work.
	HostLeaving
	// HostLeaveCancelled is a host that is no longer leaving.
	HostLeaveCancelled
)

// String names the kind for logs.
func (k EventKind) String() string {
	return [...]string{"back", "restarted", "silent", "removed", "leaving", "staying"}[k]
}

// Event is one change of a host.
type Event struct {
	Kind EventKind
	Host Host
	// Incarnation is the last one that the agent reported.
	Incarnation uint64
}

// member holds the state of one host.
type member struct {
	host  Host
	state State
	// watched is set for the hosts of the subset, which get heartbeats.
	watched bool

	incarnation uint64
	// lastSentAt is when the newest request that got a response was sent.
	lastSentAt time.Time
	// nextAt is when the next heartbeat is due; interval is the time from that to
	// the one after it.
	nextAt   time.Time
	interval time.Duration
	inFlight bool

	silentSince time.Time
	// reportedLeaving and listedLeaving hold whether the host's agent and the host
	// list say that it is leaving.
	reportedLeaving bool
	listedLeaving   bool
	// listed is set once the host list has named the host. absences counts the
	// reads in a row since then that lack it.
	listed   bool
	absences int
}

func (m *member) leaving() bool { return m.reportedLeaving || m.listedLeaving }

func (m *member) event(kind EventKind) Event {
	return Event{Kind: kind, Host: m.host, Incarnation: m.incarnation}
}

// rank orders hosts for one entry by rendezvous hashing, so that entries watch
// different subsets and the removal of a host leaves the other choices as they are.
func rank(entry, host string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + host)
}

// The parts of an incarnation number.
const (
	incarnationRandomBits = 20
	incarnationEpoch      = 1_700_000_000_000 // ms since 1970
)

// NewIncarnation returns the incarnation of a process, made from its start time
// and a random number. Two incarnations on one host differ even when its clock
// goes back; incarnations are not ordered.
func NewIncarnation(now time.Time, random uint64) uint64 {
	ms := max(0, now.UnixMilli()-incarnationEpoch)
	return uint64(ms)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1) | 1
}
