// Package following decides how a gateway keeps up with a table of the store:
// how long a feed is held, and what an answer proves of how current the gateway
// is. It has no I/O or clock of its own.
package following

import "time"

// Bounds are the times that hang on how current a gateway is.
type Bounds struct {
	// ConfigWithin is the time after which a configuration must be in force,
	// RevokeWithin that after which a key that was taken away must be refused.
	ConfigWithin, RevokeWithin time.Duration
}

// Parts of the bounds.
const (
	// holdConfig and holdRevoke are the parts of the two bounds for which the store
	// holds a feed without changes. A change is delivered at once; the hold bounds
	// how long a connection that fell silent goes unnoticed, and how old the last
	// confirmation becomes while all is well.
	holdConfig = 0.5
	holdRevoke = 0.3
	// UnreadyPart of RevokeWithin is the age of the last confirmation at which a
	// gateway sends callers elsewhere; it leaves them time to go there.
	UnreadyPart = 0.6
	// KeysPart is the age at which keys are not trusted any more; the rest is for
	// a request's own way to the upstream.
	KeysPart = 0.9
	// doubtHolds is how many holds without an answer make an unknown route or key
	// one that a newer configuration may have.
	doubtHolds = 2
)

// Hold is how long the store holds a feed without changes.
func (b Bounds) Hold() time.Duration {
	return min(part(b.ConfigWithin, holdConfig), part(b.RevokeWithin, holdRevoke))
}

// Unready is the age of the last confirmation from which new callers should go
// to other gateways.
func (b Bounds) Unready() time.Duration { return part(b.RevokeWithin, UnreadyPart) }

// Keys is the age from which keys are not trusted.
func (b Bounds) Keys() time.Duration { return part(b.RevokeWithin, KeysPart) }

// Doubt is the age from which what is not in the configuration may exist.
func (b Bounds) Doubt() time.Duration { return doubtHolds * b.Hold() }

func part(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

// ReadTime is how long before it stamps its answer a slow store may have read the
// rows: sixty times its usual four milliseconds.
const ReadTime = 240 * time.Millisecond

// Answer is one answer of the store to a call for changes.
type Answer struct {
	// Asked and Got are when the call was made and answered, on this process's
	// clock; Held is how long the store was asked to hold it.
	Asked, Got, Held time.Duration
	// Changes is true when the answer holds rows.
	Changes bool
	// StoreNow is the store's clock in the answer; zero when it does not tell.
	StoreNow time.Duration
}

// Confirmed returns the latest time, on this process's clock, as of which the
// answer proves that the gateway knows all changes. It answers a change that
// comes late in a hold: the call was made long ago, but the answer is new.
func (a Answer) Confirmed(c *Clock) time.Duration {
	at := a.Asked
	if !a.Changes {
		// The store held the call for the whole time and nothing came.
		at += min(a.Held, a.Got-a.Asked)
	}
	if told, ok := c.Reached(a.StoreNow, a.Got); ok {
		at = max(at, told-ReadTime)
	}
	return at
}
