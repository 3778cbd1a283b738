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

// formatVersion is the version of the packed format. Unpack rejects every other version.
const formatVersion = 1

// Size limits of the learned state.
const (
	// MaxBytes is the maximum size of the packed state.
	MaxBytes = 64 << 10
	// maxUnpackedBytes is the maximum size of its JSON after decompression.
	maxUnpackedBytes = 4 << 20
)

// envelope is the packed form that is sent over the link and stored in the table row.
type envelope struct {
	Format int `json:"format"`
	// Digest is the SHA-256 of Body in hex.
	Digest string `json:"digest"`
	// Body is the gzip-compressed JSON of a quality.Snapshot.
	Body []byte `json:"body"`
}

// Pack encodes the learned state in at most MaxBytes. If it is larger, Pack omits the
// records with the fewest ratings and returns how many it omitted.
func Pack(m quality.Snapshot) (packed []byte, omitted int, err error) {
	byRatings := slices.Clone(m.Records)
	slices.SortStableFunc(byRatings, func(a, b quality.Record) int {
		return cmp.Compare(b.Good+b.Bad, a.Good+a.Bad)
	})
	for n := len(byRatings); ; n /= 2 {
		m.Records = byRatings[:n]
		packed, err = pack(m)
		if err != nil || len(packed) <= MaxBytes || n == 0 {
			return packed, len(byRatings) - n, err
		}
	}
}

// pack encodes the learned state without a limit on its size.
func pack(m quality.Snapshot) ([]byte, error) {
	encoded, err := json.Marshal(m)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encode the learned state")
	}
	var body bytes.Buffer
	w := gzip.NewWriter(&body)
	if _, err := w.Write(encoded); err != nil {
		return nil, result.Wrap(err, result.Internal, "encode the learned state")
	}
	if err := w.Close(); err != nil {
		return nil, result.Wrap(err, result.Internal, "encode the learned state")
	}
	return json.Marshal(envelope{Format: formatVersion, Digest: digest(body.Bytes()), Body: body.Bytes()})
}

// Unpack decodes and validates a packed learned state. It fails with the code
// LearnedFormat, LearnedDamaged or LearnedStale if the state has another format
// version, is corrupt or is too old.
func Unpack(packed []byte, now time.Time) (quality.Snapshot, error) {
	var e envelope
	var m quality.Snapshot
	if err := json.Unmarshal(packed, &e); err != nil {
		return m, damaged(err)
	}
	if e.Format != formatVersion {
		return m, result.New(result.LearnedFormat, "learned state has format %d, want %d", e.Format, formatVersion)
	}
	if digest(e.Body) != e.Digest {
		return m, result.New(result.LearnedDamaged, "digest of the learned state does not match")
	}
	encoded, err := decompress(e.Body)
	if err != nil {
		return m, damaged(err)
	}
	if err := json.Unmarshal(encoded, &m); err != nil {
		return quality.Snapshot{}, damaged(err)
	}
	return m, m.Check(now)
}

func decompress(body []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// damaged returns an error with the code LearnedDamaged.
func damaged(err error) error {
	return result.Wrap(err, result.LearnedDamaged, "decode the learned state")
}
