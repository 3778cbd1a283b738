package history

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what happened.
type Kind string

// The kinds of event and who records them.
const (
	// Asked is recorded by a caller before it sends a request.
	Asked Kind = "asked"
	// Answered is recorded by a caller when it knows the end of a request,
	// also when it gave up.
	Answered Kind = "answered"
	// Ran is recorded by an engine or service stand-in when a call reaches
	// it, before it does anything else.
	Ran Kind = "ran"
	// Served is recorded by a stand-in when it has made a whole answer.
	Served Kind = "served"
	// Charged is recorded from the folded ledger, one for each charge.
	Charged Kind = "charged"
	// Published is recorded when a revision was accepted.
	Published Kind = "published"
	// InForce is recorded when a daemon is seen to use a revision.
	InForce Kind = "in_force"
	// Leaving is recorded when an upstream says, or the platform's list
	// tells, that it is leaving, whichever is first.
	Leaving Kind = "leaving"
	// Returned is recorded when a leaving upstream takes work again.
	Returned Kind = "returned"
	// Stopping is recorded before a planned stop of a daemon (SIGTERM).
	Stopping Kind = "stopping"
	// Stopped is recorded when a daemon has exited after a planned stop.
	Stopped Kind = "stopped"
	// Fault is recorded when a test injects a fault.
	Fault Kind = "fault"
)

// Event is one recorded fact. Fields that a kind does not need stay empty.
type Event struct {
	Kind Kind      `json:"event"`
	At   time.Time `json:"at"`
	// Source names the recording process; for InForce, Stopping and Stopped
	// the daemon, with its incarnation when it may restart.
	Source string `json:"source,omitempty"`

	// Request is the caller's request ID, in every event of a request.
	Request string `json:"request,omitempty"`
	// Attempt and Step belong to Ran, Served and Charged.
	Attempt string `json:"attempt,omitempty"`
	Step    uint32 `json:"step,omitempty"`

	// Organisation belongs to Asked and Charged.
	Organisation string `json:"organisation,omitempty"`
	// Session is the caller's own name of its session, in Asked.
	Session string `json:"session,omitempty"`
	// Service belongs to Asked, Ran and Charged of a plain service.
	Service string `json:"service,omitempty"`
	// Key is the idempotency key, in Asked and Ran.
	Key string `json:"key,omitempty"`
	// Once is set in Asked when the call may not be repeated.
	Once bool `json:"once,omitempty"`
	// Version "model@version" that ran or answered or was charged.
	Version string `json:"version,omitempty"`
	// Upstream belongs to Ran, Served, Leaving and Returned.
	Upstream string `json:"upstream,omitempty"`

	// Digest of the content that was served or received; see Digest.
	Digest string `json:"digest,omitempty"`
	// Whole is set in Answered when the answer ended cleanly.
	Whole bool `json:"whole,omitempty"`
	// Replayed is set in Answered when a repeated key got the first answer.
	Replayed bool `json:"replayed,omitempty"`
	// Outcome (not_run, unknown, ran) as the caller was told, in Answered.
	Outcome string `json:"outcome,omitempty"`
	// GaveUp is set in Answered when the caller itself went away.
	GaveUp bool `json:"gaveUp,omitempty"`
	// Code is the result code in Answered, the exit status in Stopped.
	Code int `json:"code,omitempty"`

	// Revision belongs to Published and InForce, and to Answered when told.
	Revision uint64 `json:"revision,omitempty"`
	// Config belongs to Published.
	Config *Config `json:"config,omitempty"`

	// Until is when a Fault ended.
	Until time.Time `json:"until,omitzero"`
	// Note names a Fault.
	Note string `json:"note,omitempty"`
}

// Config is what a published revision permits, as far as the checks need it.
type Config struct {
	// Allowed lists the versions and services of each organisation.
	Allowed map[string][]string `json:"allowed"`
	// Withdrawn lists the withdrawn versions.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Hash tells two different sets with one revision number apart.
	Hash string `json:"hash,omitempty"`
}

// Digest returns the digest of an answer's content. Callers and stand-ins
// take it over the same thing: the text of a model's answer, or the body of a
// plain service's answer.
func Digest(content []byte) string {
	h := xxhash.New()
	_, _ = h.Write(content)
	return hex.EncodeToString(h.Sum(nil))
}
