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

// State is what is believed of a host.
type State int

// The states of a host.
const (
	// Unknown is a host that has not answered yet.
	Unknown State = iota
	// Alive is a host that answered last time.
	Alive
	// Suspect has failed once; a probe is under way.
	Suspect
	// Silent has failed the probe too. The host list says that it lives, or
	// cannot be read, so the link may be cut; it is probed on.
	Silent
	// Removed is silent and off the host list. It is not probed until the
	// list or the configuration names it again.
	Removed
)

// String names the state for state dumps.
func (s State) String() string {
	return [...]string{"unheard", "alive", "suspect", "silent", "removed"}[s]
}

// Observation is one sign of life: the answer to a heartbeat, or an answer to work.
type Observation struct {
	// SentAt is when the request was sent whose answer this is.
	SentAt time.Time
	// Incarnation of the agent that answered.
	Incarnation uint64
	// Leaving is set when the agent takes no new work.
	Leaving bool
	// Changed is set when the answer told something that was not known.
	Changed bool
	// Bytes the heartbeat took both ways; 0 for an answer to work.
	Bytes int
}

// leaving returns whether the host leaves. An answer to work may say that it
// does, but only a heartbeat takes that back.
func (b Observation) leaving(m *member) bool {
	return b.Leaving || (b.Bytes == 0 && m.reportedLeaving)
}

// EventKind says what happened to a host.
type EventKind int

// The kinds of event.
const (
	// HostBack is a host that answers for the first time, or again.
	HostBack EventKind = iota
	// HostRestarted is a host whose agent has a new incarnation: what it ran
	// before is lost.
	HostRestarted
	// HostSilent is a host that takes no new work until it is back.
	HostSilent
	// HostRemoved is a dead host.
	HostRemoved
	// HostLeaving is a host that takes no new work and finishes what it has.
	HostLeaving
	// HostStaying is a host that was leaving and is not any more.
	HostStaying
)

// String names the kind for logs.
func (k EventKind) String() string {
	return [...]string{"back", "restarted", "silent", "removed", "leaving", "staying"}[k]
}

// Event is one change of a host.
type Event struct {
	Kind EventKind
	Host Host
	// Incarnation is that of the agent heard last.
	Incarnation uint64
}

// member is what is known of one host.
type member struct {
	host  Host
	state State
	// watched is set for the hosts of the subset, which get heartbeats.
	watched bool

	incarnation uint64
	// lastSentAt is when the newest request was sent that the host answered.
	lastSentAt time.Time
	// nextAt is when the next heartbeat is sent; interval is the pause after it.
	nextAt      time.Time
	interval time.Duration
	inFlight bool

	silentSince time.Time
	// reportedLeaving and listedLeaving are the two sources of leaving.
	reportedLeaving   bool
	listedLeaving bool
	// listed is set once the host list has named the host. absences counts the
	// reads in a row since then that lack it.
	listed   bool
	absences int
}

func (m *member) leaving() bool { return m.reportedLeaving || m.listedLeaving }

func (m *member) event(kind EventKind) Event {
	return Event{Kind: kind, Host: m.host, Incarnation: m.incarnation}
}

// rank orders hosts for one entry by rendezvous hashing, so that each entry
// watches another subset and a host that goes changes no other choice.
func rank(entry, host string) uint64 {
	return xxhash.Sum64String(entry + "\x00" + host)
}

// The parts of an incarnation number.
const (
	incarnationRandomBits = 20
	incarnationEpoch      = 1_700_000_000_000 // ms since 1970
)

// NewIncarnation returns the number of a process's life from its start time
// and a random number. Two lives of one host differ even when its clock goes
// back; their order means nothing.
func NewIncarnation(now time.Time, random uint64) uint64 {
	ms := max(0, now.UnixMilli()-incarnationEpoch)
	return uint64(ms)<<incarnationRandomBits | random&(1<<incarnationRandomBits-1) | 1
}
