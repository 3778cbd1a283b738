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
	// MaxStoredAnswer is the most answer body a row keeps, in bytes.
	MaxStoredAnswer = 16 << 10
	// Memory is how long a key is remembered.
	Memory = 24 * time.Hour
	// prefix starts the keys of the rows, prefixEnd is the first key after.
	prefix    = "claim/"
	prefixEnd = "claim0"
)

// State is where the call of a key stands.
type State string

// The states of a claim.
const (
	// Claimed means that an attempt may be on its way or running.
	Claimed State = "claimed"
	// Done means that the call ran and its answer is known.
	Done State = "done"
	// Lost means that the call ran and its answer is not known.
	Lost State = "lost"
	// Unknown means that it cannot be known whether the call ran.
	Unknown State = "unknown"
	// Released means that the call is proven not run; the key is free.
	Released State = "released"
)

// Key is an idempotency key as the caller sees it.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

// row returns the key of the claim's row. It spreads evenly over the hex
// digits, which lets the collection of old rows go in slices.
func (k Key) row() string {
	h := sha256.New()
	for _, part := range []string{k.Organisation, k.Service, k.Key} {
		sum := sha256.Sum256([]byte(part))
		h.Write(sum[:])
	}
	return prefix + hex.EncodeToString(h.Sum(nil))
}

// Digest returns the digest of a call, by which a key that is used for
// another call is found.
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
	// Agent is the address of the agent, AgentIncarnation the one that the
	// attempt names.
	Agent            string `json:"agent"`
	AgentIncarnation uint64 `json:"agentIncarnation"`
	// Entry and EntryIncarnation name the claimant.
	Entry            string `json:"entry"`
	EntryIncarnation uint64 `json:"entryIncarnation"`
}

// Answer is the answer of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	// Body is nil when it was too large to be stored; Digest and Length
	// describe it all the same.
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

// kept returns what a row keeps of the answer: a body that is too large is
// left out.
func (a Answer) kept() Answer {
	if a.Length > MaxStoredAnswer {
		a.Body = nil
	}
	return a
}

// Stored reports whether the body was kept.
func (a *Answer) Stored() bool { return a.Length == len(a.Body) }

// record is the value of a claim's row.
type record struct {
	State   State   `json:"state"`
	Call    string  `json:"call"`
	Binding Binding `json:"binding"`
	// ClaimedAt, Deadline and Expires are wall-clock times: of the latest
	// binding, of its caller, and of the memory of the key.
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
