package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// uuidLength is the length of a UUID as text.
const uuidLength = 36

// NewRequestID returns a request ID that carries the time at which it was
// minted. Requests must have such an ID to be billed once over all times; it
// may stand behind a prefix from the caller.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// MintedID returns the minted part of a request ID, without a caller's prefix.
func MintedID(requestID string) string {
	return requestID[max(0, len(requestID)-uuidLength):]
}

// id is the identity of a request: its minted UUID.
type id [16]byte

// key names what is billed once: one step of one request.
type key struct {
	id   id
	step uint32
}

// compare orders keys by identity and step.
func (k key) compare(o key) int {
	if c := bytes.Compare(k.id[:], o.id[:]); c != 0 {
		return c
	}
	return int(k.step) - int(o.step)
}

// keyOf returns the key of a charge. A request ID that was not minted by
// NewRequestID gets the time of the charge in its identity.
func keyOf(c *linkv1.Charge) key {
	parsed, err := uuid.Parse(MintedID(c.GetRequestId()))
	if err == nil && parsed.Version() == 7 {
		return key{id: id(parsed), step: c.GetStep()}
	}
	k := key{step: c.GetStep()}
	sum := sha256.Sum256([]byte(c.GetRequestId()))
	copy(k.id[:], sum[:])
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(c.GetAtMs()))
	copy(k.id[:6], ms[2:])
	return k
}

// minute is a minute since 1970 in which requests were minted.
type minute int64

func (k key) minute() minute {
	var ms [8]byte
	copy(ms[2:], k.id[:6])
	return minute(binary.BigEndian.Uint64(ms[:]) / uint64(time.Minute/time.Millisecond))
}

// request is the request's minted ID as text.
func (k key) request() string { return uuid.UUID(k.id).String() }

func minuteOf(t time.Time) minute { return minute(t.Unix() / 60) }

// shards divide the charges of a minute, to bound the memory of a fold.
const shards = 4

// shard takes the last byte, which is random in a minted UUID.
func (k key) shard() int { return int(k.id[15]) % shards }
