// Package balance chooses the upstream that runs a request.
//
// A Picker holds a compiled view of the upstreams per version or service. It
// weighs the load that rides on answers, its own requests in flight, the
// prompt prefix that an upstream has likely cached, failure domains and the
// health seen by this entry. It does no I/O; time and randomness come in as
// arguments.
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

// Tried is the set of upstreams that a request was sent to before. The zero
// value is empty. It is a plain value, so that a retry allocates nothing.
type Tried struct {
	names [maxTried]string
	n     int
}

// Add puts the upstream in the set. Past eight names the oldest is dropped.
func (t *Tried) Add(upstream string) {
	t.names[t.n%maxTried] = upstream
	t.n++
}

// Has reports whether the upstream is in the set.
func (t *Tried) Has(upstream string) bool {
	for i := range min(t.n, maxTried) {
		if t.names[i] == upstream {
			return true
		}
	}
	return false
}

// Request is what the choice depends on.
type Request struct {
	Target Target
	// Prefix identifies the prompt's prefix; 0 means no affinity.
	Prefix uint64
	// PromptTokens is the estimated size of the prompt.
	PromptTokens int
	// Tried holds the upstreams that a retry must avoid.
	Tried Tried
}

// Choice is an upstream picked for one attempt. Hand it to Started when the
// attempt is sent, and to Finished once after each Started.
type Choice struct {
	// Upstream, Host, Agent and Domain are the configured names and the
	// agent's address as IP:port.
	Upstream string
	Host     string
	Agent    string
	Domain   string
	// Affine is set when the upstream is a home of the prompt's prefix.
	Affine bool
	// Probe is set when the attempt tests an upstream that was ejected.
	Probe bool

	member *member
	pool   *pool
	// at is when it was made, in Unix nanoseconds.
	at int64
}

// Outcome is how an attempt ended, as far as it tells about the upstream.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the upstream answered.
	Answered Outcome = iota
	// Busy means that the agent refused for want of a slot; it is no sign of
	// ill health.
	Busy
	// Cancelled means that the caller went away; it tells nothing.
	Cancelled
	// Expired means that the caller's deadline passed first. It speaks against
	// an upstream that answers nobody.
	Expired
	// Refused means that no connection could be made.
	Refused
	// TimedOut means that no answer came in time or the connection is silent.
	TimedOut
	// Failed means that the upstream answered with an error of its own.
	Failed
)

// failure reports whether the outcome speaks against the upstream.
func (o Outcome) failure() bool { return o >= Refused }

// Observation is what an attempt told about its upstream.
type Observation struct {
	Outcome Outcome
	// Load rode on the answer; nil when none did.
	Load *Load
}

// Load is the state an agent reports for one upstream. It lags.
type Load struct {
	InFlight int
	Queued   int
	// Slots is the number of requests that may run at a time; 0 keeps the
	// configured number.
	Slots int
	// TokenTime is the mean time between the tokens of its answers, from a
	// TokenMeter; 0 when it is not known.
	TokenTime time.Duration
	// Leaving is set when the upstream takes no new work.
	Leaving bool
}

// Settings of a Picker. Zero fields take the defaults.
type Settings struct {
	// Entry is the name of this entry. It seeds the subset.
	Entry string
	// Domain is the failure domain of this entry.
	Domain string
	// SubsetSize bounds the upstreams per target among which load decides.
	SubsetSize int
	// SlowStart is how long a new upstream takes to reach its full share.
	SlowStart time.Duration
	// EjectFor is the first ejection time of an outlier; it doubles.
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
