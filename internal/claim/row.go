package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Limits of a claim.
const (
	// MaxStoredAnswer is the maximum size of an answer body in a row, in bytes.
	MaxStoredAnswer = 16 << 10
	// KeyRetention is the time after which a key expires.
	KeyRetention = 24 * time.Hour
	// prefix is the key prefix of the rows, prefixEnd the first key after them.
	prefix    = "claim/"
	prefixEnd = "claim0"
)

// State is the state of the call that claimed a key.
type State string

// The states of a claim.
const (
	// Claimed means that an attempt may have been sent or may be running.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is known.
	Done State = "done"
	// Lost means that the call ran and its answer is not known.
	Lost State = "lost"
	// Unknown means that it cannot be determined whether the call ran.
	Unknown State = "unknown"
	// Released means that the call is proven not to have run; the key is free.
	Released State = "released"
)

// Key is an idempotency key as the caller sent it, scoped to an organisation and
// a service.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

// row returns the key of the claim's row. The keys are distributed evenly over
// the hex digits, so that Collect can process the rows in slices of equal size.
func (k Key) row() string {
	h := sha256.New()
	for _, part := range []string{k.Organisation, k.Service, k.Key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return prefix + hex.EncodeToString(h.Sum(nil))
}

// Digest returns the digest of a call, which serves to detect that a key is
// reused for another call.
func Digest(method, path, query string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), []byte(query), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Binding names the one attempt that may run under a claim.
type Binding struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	// Agent is the address of the agent, AgentIncarnation the
	// incarnation of the agent that the attempt names.
	Agent            string `json:"agent"`
	AgentIncarnation uint64 `json:"agentIncarnation"`
	// Entry and EntryIncarnation name the claimant.
	Entry            string `json:"entry"`
	EntryIncarnation uint64 `json:"entryIncarnation"`
}

// Answer is the response to a call, with or without its body.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	// Body is nil when it was too large to be stored; Digest and Length
	// describe the whole body in that case, too.
	Body   []byte `json:"body,omitempty"`
	Digest string `json:"digest"`
	Length int    `json:"length"`
}

// NewAnswer returns the answer with the digest of its body.
func NewAnswer(status int, contentType string, body []byte) Answer {
	sum := sha256.Sum256(body)
	return Answer{
		Status: status, ContentType: contentType, Body: body,
		Digest: hex.EncodeToString(sum[:]), Length: len(body),
	}
}

// storable returns the answer as a row stores it: without a body that is larger
// than MaxStoredAnswer.
func (a Answer) storable() Answer {
	if a.Length > MaxStoredAnswer {
		a.Body = nil
	}
	return a
}

// Stored reports whether the body was stored.
func (a *Answer) Stored() bool { return a.Length == len(a.Body) }

// record is the value of a claim's row.
type record struct {
	State   State   `json:"state"`
	Call    string  `json:"call"`
	Binding Binding `json:"binding"`
	// ClaimedAt, Deadline and Expires are wall-clock times: when the latest
	// binding was made, the caller's deadline, and when the key expires.
	ClaimedAt time.Time `json:"claimedAt"`
	Deadline  time.Time `json:"deadline"`
	Expires   time.Time `json:"expires"`
	Answer    *Answer   `json:"answer,omitempty"`
}

func (r *record) encode() []byte {
	out, err := json.Marshal(r)
	if err != nil {
		// Strings, numbers and times of this century always encode.
		panic(err)
	}
	return out
}

func decode(value []byte) (*record, error) {
	r := new(record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Annotate(err, "claim row")
	}
	return r, nil
}
