// Package lease lets any daemon acquire a work item, and prevents two daemons
// from acting on it at the same time. A lease consists of three rows of the table
// service: the owner row changes only when the lease is acquired, and carries the
// fencing number; the tenure row exists for as long as the tenure; the heartbeat
// row changes with every renewal.
//
// Wall clocks are never compared. A holder counts the lease duration on its own
// monotonic clock, from before it sent the last renewal. A challenger acquires
// the lease after it has itself seen the heartbeat row unchanged for longer than
// that. The rates of two monotonic clocks are assumed to differ by less than
// clockRateMargin. A holder that was paused until its lease had expired can do no
// harm with what it sends afterwards: each transaction has the tenure row as a
// condition, and each order carries the fencing number.
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

// HeartbeatKey returns the key of the row that a holder renews.
func HeartbeatKey(item string) string { return keyPrefix + item + "/beat" }

// ProgressKey returns the key of the row in which a holder saves its progress note.
func ProgressKey(item string) string { return keyPrefix + item + "/note" }

// TenureKey returns the key of the row that exists for as long as a tenure. The
// holder's transactions have it as a condition. Each fencing number of an item is
// used once, so no other tenure ever has a row with this key.
func TenureKey(item string, fence uint64) string {
	return fmt.Sprintf("%s%s/tenure/%d", keyPrefix, item, fence)
}

// FenceFloorKey is the key of the row that holds the highest fencing number of all
// items whose rows were deleted. An item that is started again counts on from it.
const FenceFloorKey = "lease-floor"

const ownerSuffix = "/owner"

// Owner is the value of an owner row. Manager.Retire deletes the row with the
// item's other rows when the item's work is finished for good.
type Owner struct {
	// Holder is the name of the daemon, Token the unique ID of the tenure.
	Holder string `json:"holder"`
	Token  string `json:"token"`
	// Fence is the fencing number, which increases with each tenure.
	Fence uint64 `json:"fence"`
}

// fenceFloor is the value of the row FenceFloorKey.
type fenceFloor struct {
	Fence uint64 `json:"fence"`
}

// heartbeat is the value of a heartbeat row.
type heartbeat struct {
	Token    string `json:"token"`
	Renewals uint64 `json:"renewals"`
	// DurationMs is the time after which the lease expires without a renewal,
	// in milliseconds.
	DurationMs int64 `json:"durationMs"`
	// Released is set when the holder released the lease.
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

func encodeWrite(key string, value any) (ports.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return ports.Write{}, result.Wrap(err, result.Internal, "row %s cannot be written", key)
	}
	return ports.Write{Key: key, Value: data}, nil
}

// Durations and margins of a lease.
const (
	// DefaultDuration is the time after which a lease expires without a
	// renewal.
	DefaultDuration = 9 * time.Second
	// renewFraction is the fraction of the duration after which a holder renews.
	renewFraction = 1.0 / 3
	// clockRateMargin is the fraction of the duration that a challenger waits
	// beyond it, since its clock may run faster than the holder's.
	clockRateMargin = 0.2
)
