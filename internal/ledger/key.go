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

// NewRequestID returns a request ID that contains its creation time. Only a
// request with such an ID is billed once regardless of when its charges are
// made. A caller may put a prefix in front of the ID.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// GeneratedID returns the generated part of a request ID, without a caller's
// prefix.
func GeneratedID(requestID string) string {
	return requestID[max(0, len(requestID)-uuidLength):]
}

// id identifies a request: the UUID that NewRequestID generated.
type id [16]byte

// key identifies what is billed once: one step of one request.
type key struct {
	id   id
	step uint32
}

// compare orders keys by request and step.
func (k key) compare(o key) int {
	if c := bytes.Compare(k.id[:], o.id[:]); c != 0 {
		return c
	}
	return int(k.step) - int(o.step)
}

// keyOf returns the key of a charge. If NewRequestID did not generate the
// request ID, the key is a hash of the ID and the time of the charge.
func keyOf(c *linkv1.Charge) key {
	parsed, err := uuid.Parse(GeneratedID(c.GetRequestId()))
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

// minute counts minutes since 1970. The minute of a charge is the one in which
// its request ID was generated.
type minute int64

func (k key) minute() minute {
	var ms [8]byte
	copy(ms[2:], k.id[:6])
	return minute(binary.BigEndian.Uint64(ms[:]) / uint64(time.Minute/time.Millisecond))
}

// requestID returns the generated part of the request ID as text.
func (k key) requestID() string { return uuid.UUID(k.id).String() }

func minuteOf(t time.Time) minute { return minute(t.Unix() / 60) }

// shards is the number of parts into which the charges of a minute are
// divided, to bound the memory of a fold.
const shards = 4

// shard uses the last byte, which is random in a generated UUID.
func (k key) shard() int { return int(k.id[15]) % shards }
