package learned

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
)

// format is the number of the packing. Another number is another layout.
const format = 1

// The bounds of a packed memory.
const (
	// MaxBytes is the size of a packed memory.
	MaxBytes = 64 << 10
	// maxUnpacked is its size once it is unpacked.
	maxUnpacked = 4 << 20
)

// envelope is what goes over the link and into the row.
type envelope struct {
	Format int `json:"format"`
	// Digest is the hex SHA-256 of the body.
	Digest string `json:"digest"`
	// Body is the packed JSON of the memory.
	Body []byte `json:"body"`
}

// Pack returns the memory in at most MaxBytes. When it is larger, the records
// with the fewest ratings are left out, and their number is returned.
func Pack(m quality.Memory) (packed []byte, left int, err error) {
	byWeight := slices.Clone(m.Records)
	slices.SortStableFunc(byWeight, func(a, b quality.Record) int {
		return cmp.Compare(b.Good+b.Bad, a.Good+a.Bad)
	})
	for n := len(byWeight); ; n /= 2 {
		m.Records = byWeight[:n]
		packed, err = pack(m)
		if err != nil || len(packed) <= MaxBytes || n == 0 {
			return packed, len(byWeight) - n, err
		}
	}
}

func pack(m quality.Memory) ([]byte, error) {
	plain, err := json.Marshal(m)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "what was learned cannot be packed")
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	if _, err := w.Write(plain); err != nil {
		return nil, result.Wrap(err, result.Internal, "what was learned cannot be packed")
	}
	if err := w.Close(); err != nil {
		return nil, result.Wrap(err, result.Internal, "what was learned cannot be packed")
	}
	return json.Marshal(envelope{Format: format, Digest: digest(body.Bytes()), Body: body.Bytes()})
}

// Unpack returns a memory that is whole, sound and not too old: LearnedFormat,
// LearnedDamaged or LearnedStale say why one is dropped.
func Unpack(packed []byte, now time.Time) (quality.Memory, error) {
	var e envelope
	var m quality.Memory
	if err := json.Unmarshal(packed, &e); err != nil {
		return m, damaged(err)
	}
	if e.Format != format {
		return m, result.New(result.LearnedFormat, "the format is %d, not %d", e.Format, format)
	}
	if digest(e.Body) != e.Digest {
		return m, result.New(result.LearnedDamaged, "the digest does not match")
	}
	plain, err := unzip(e.Body)
	if err != nil {
		return m, damaged(err)
	}
	if err := json.Unmarshal(plain, &m); err != nil {
		return quality.Memory{}, damaged(err)
	}
	return m, m.Check(now)
}

func unzip(body []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpacked))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func damaged(err error) error {
	return result.Wrap(err, result.LearnedDamaged, "what was learned cannot be read")
}
