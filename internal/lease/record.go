// Package lease lets any daemon take a work item, and lets no two of them act
// on it. A lease is three rows of the table service: the owner row changes only
// when the lease is taken, and carries the fencing number; the tenure row stands
// as long as the tenure; the beat row changes with every renewal.
//
// No wall clock is compared. A holder reckons its time from before it sent the
// last renewal, on its own monotonic clock; a challenger takes the lease after
// it has itself seen the beat row unchanged for longer than that. The rates of
// two monotonic clocks are taken to differ by less than clockMargin. A holder
// that was paused past its lease is stopped by what it writes: each
// transaction has the tenure row as a condition, and each order carries the
// fencing number.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

const keyPrefix = "lease/"

// OwnerKey returns the key of the row that names an item's holder.
func OwnerKey(item string) string { return keyPrefix + item + ownerSuffix }

// BeatKey returns the key of the row that a holder renews.
func BeatKey(item string) string { return keyPrefix + item + "/beat" }

// NoteKey returns the key of the row in which a holder leaves its progress.
func NoteKey(item string) string { return keyPrefix + item + "/note" }

// TenureKey returns the key of the row that stands as long as a tenure lasts.
// It is in the conditions of what the holder writes. Fencing numbers are used
// once, so no other tenure ever has a row of this key.
func TenureKey(item string, fence uint64) string {
	return fmt.Sprintf("%s%s/tenure/%d", keyPrefix, item, fence)
}

// FloorKey is the key of the row that holds the highest fencing number of all
// items whose rows were deleted. Items that begin anew count on from it.
const FloorKey = "lease-floor"

const ownerSuffix = "/owner"

// Owner is the value of an owner row. It is deleted with the item's other rows
// when the item's work is over for good; see Manager.Retire.
type Owner struct {
	// Holder is the name of the daemon, Token this one tenure of it.
	Holder string `json:"holder"`
	Token  string `json:"token"`
	// Fence rises with each tenure.
	Fence uint64 `json:"fence"`
}

// floor is the value of the floor row.
type floor struct {
	Fence uint64 `json:"fence"`
}

// beat is the value of a beat row.
type beat struct {
	Token    string `json:"token"`
	Renewals uint64 `json:"renewals"`
	// DurationMs is how long the holder may go without a renewal.
	DurationMs int64 `json:"durationMs"`
	// Released is set when the holder gave the lease back.
	Released bool `json:"released,omitempty"`
}

func decode[T any](row ports.Row) (T, error) {
	var out T
	if len(row.Value) == 0 {
		return out, nil
	}
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return out, result.Wrap(err, result.LeaseLost, "row %s cannot be read", row.Key)
	}
	return out, nil
}

func write(key string, value any) (ports.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return ports.Write{}, result.Wrap(err, result.Internal, "row %s cannot be written", key)
	}
	return ports.Write{Key: key, Value: data}, nil
}

// The margins of a lease.
const (
	// DefaultDuration is how long a holder may go without a renewal.
	DefaultDuration = 9 * time.Second
	// renewShare is the share of the duration after which a holder renews.
	renewShare = 1.0 / 3
	// clockMargin is the share by which a challenger waits longer than the
	// holder holds.
	clockMargin = 0.2
)
