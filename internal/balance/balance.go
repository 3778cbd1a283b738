// Package balance chooses the upstream that runs a request.
//
// A Picker holds a compiled view of the upstreams per version or service. It
// compares the load reported with responses, its own requests in flight, the
// prompt prefix that an upstream has likely cached, failure domains and the
// health seen by this entry. It does no I/O; the caller passes time and
// randomness as arguments.
package balance

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
)

// Target is what a request must run on: a version or a plain service. Exactly
// one field is set.
type Target struct {
	Version catalog.VersionName
	Service string
}

// maxTried is the number of upstreams a request can exclude.
const maxTried = 8

// TriedUpstreams is the set of upstreams that a request was already sent to. The zero
// value is empty. It holds no pointers to heap data, so that a retry allocates
// nothing.
type TriedUpstreams struct {
	names [maxTried]string
	n     int
}

// Add puts the upstream in the set. Beyond maxTried names it overwrites the
// oldest.
func (t *TriedUpstreams) Add(upstream string) {
	t.names[t.n%maxTried] = upstream
	t.n++
}

// Has reports whether the upstream is in the set.
func (t *TriedUpstreams) Has(upstream string) bool {
	for i := range min(t.n, maxTried) {
		if t.names[i] == upstream {
			return true
		}
	}
	return false
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Target Target
	// Prefix identifies the prompt's prefix; 0 means no affinity.
	Prefix uint64
	// PromptTokens is the estimated size of the prompt.
	PromptTokens int
	// Tried holds the upstreams that a retry must avoid.
	Tried TriedUpstreams
}

// Choice is an upstream picked for one attempt. The caller passes it to Started
// when it sends the attempt, and to Finished once after each Started.
type Choice struct {
	// Upstream, Host, Agent and Domain are the configured names and the
	// agent's address as IP:port.
	Upstream string
	Host     string
	Agent    string
	Domain   string
	// Affine is set when the upstream is an affinity upstream of the prompt's
	// prefix.
	Affine bool
	// Probe is set when the attempt tests an upstream that was ejected.
	Probe bool

	member *member
	pool   *pool
	// at is when Pick made the choice, in Unix nanoseconds.
	at int64
}

// Outcome classifies how an attempt ended, for the health of its upstream.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the upstream answered.
	Answered Outcome = iota
	// Busy means that the agent refused because no slot was free; it does not
	// count as a failure.
	Busy
	// Cancelled means that the caller disconnected; it does not affect health.
	Cancelled
	// Expired means that the caller's deadline passed first. It counts as a
	// failure only of an upstream that answers no caller.
	Expired
	// Refused means that no connection could be made.
	Refused
	// TimedOut means that no answer came in time or the connection went silent.
	TimedOut
	// Failed means that the upstream answered with an error of its own.
	Failed
)

// failure reports whether the outcome always counts as a failure of the
// upstream.
func (o Outcome) failure() bool { return o >= Refused }

// Observation is what an attempt showed about its upstream.
type Observation struct {
	Outcome Outcome
	// Load is the report sent with the answer; nil without one.
	Load *Load
}

// Load is the state that an agent reports for one upstream. It is out of date
// by the time the entry receives it.
type Load struct {
	InFlight int
	Queued   int
	// Slots is the number of requests that may run at a time; 0 keeps the
	// configured number.
	Slots int
	// TokenTime is the mean time between the tokens of its answers, from a
	// TokenMeter; 0 when unknown.
	TokenTime time.Duration
	// Leaving is set when the upstream takes no new work.
	Leaving bool
}

// Settings configures a Picker. Zero fields take the defaults.
type Settings struct {
	// Entry is the name of this entry. Its hash selects the subset.
	Entry string
	// Domain is the failure domain of this entry.
	Domain string
	// SubsetSize bounds the upstreams per target that this entry compares by
	// load.
	SubsetSize int
	// SlowStart is how long a new upstream takes to reach its full share.
	SlowStart time.Duration
	// EjectFor is the duration of an outlier's first ejection. It doubles with
	// each further ejection in a row.
	EjectFor time.Duration
	// MaxEjected is the largest share of a target's upstreams that may be
	// ejected at a time.
	MaxEjected float64
}

// Defaults of the settings.
const (
	DefaultSubsetSize = 64
	DefaultSlowStart  = 10 * time.Second
	DefaultEjectFor   = 2 * time.Second
	DefaultMaxEjected = 0.5
)

func (s *Settings) setDefaults() {
	if s.SubsetSize <= 0 {
		s.SubsetSize = DefaultSubsetSize
	}
	if s.SlowStart <= 0 {
		s.SlowStart = DefaultSlowStart
	}
	if s.EjectFor <= 0 {
		s.EjectFor = DefaultEjectFor
	}
	if s.MaxEjected <= 0 {
		s.MaxEjected = DefaultMaxEjected
	}
}
