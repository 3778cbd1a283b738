// Package following decides how a gateway keeps its copy of a store table up to date:
// when it reads the table, how long the store holds a call without changes, and as of
// which time a response confirms that the gateway knows all changes. It has no I/O or
// clock of its own.
package following

import "time"

// Bounds holds the configured limits on how out of date a gateway may be. Its methods
// derive the timeouts and age thresholds from them.
type Bounds struct {
	// ConfigWithin is the time within which a new configuration must be in force.
	// RevokeWithin is the time after which a revoked key must be refused.
	ConfigWithin, RevokeWithin time.Duration
}

// Fractions of the bounds.
const (
	// configHoldFraction and revokeHoldFraction are the fractions of the two bounds for
	// which the store holds a feed call without changes. A change is delivered at once;
	// the hold bounds how long a silent connection goes unnoticed, and how old the last
	// confirmation becomes while the store is reachable.
	configHoldFraction = 0.5
	revokeHoldFraction = 0.3
	// unreadyFraction of RevokeWithin is the age of the last confirmation at which a
	// gateway turns unready; the rest leaves callers time to move to other gateways.
	unreadyFraction = 0.6
	// keysFraction of RevokeWithin is the age of the last confirmation at which keys are
	// no longer trusted; the rest is for the time a request takes to reach the upstream.
	keysFraction = 0.9
	// outdatedHolds is the number of holds without a confirmation after which a newer
	// configuration may contain a route or key that is unknown here.
	outdatedHolds = 2
)

// Hold returns how long the store holds a feed call without changes.
func (b Bounds) Hold() time.Duration {
	return min(fraction(b.ConfigWithin, configHoldFraction), fraction(b.RevokeWithin, revokeHoldFraction))
}

// Unready returns the age of the last confirmation from which the gateway is unready:
// new callers should go to other gateways.
func (b Bounds) Unready() time.Duration { return fraction(b.RevokeWithin, unreadyFraction) }

// Keys returns the age of the last confirmation from which keys are not trusted.
func (b Bounds) Keys() time.Duration { return fraction(b.RevokeWithin, keysFraction) }

// Doubt returns the age of the last confirmation from which a route or key that is
// missing from the gateway's configuration may nevertheless exist.
func (b Bounds) Doubt() time.Duration { return outdatedHolds * b.Hold() }

func fraction(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

// ReadTime is an upper bound of the time between a store's reading of the rows and its
// stamping of the response: sixty times the usual four milliseconds, for a slow store.
const ReadTime = 240 * time.Millisecond

// Answer is one response of the store to a call for changes.
type Answer struct {
	// Asked and Got are when the call was sent and its response received, on the local
	// clock. Held is how long the store was asked to hold the call.
	Asked, Got, Held time.Duration
	// Changes is true when the response contains rows.
	Changes bool
	// StoreNow is the store's clock in the response; zero when the response has none.
	StoreNow time.Duration
}

// Confirmed returns the latest local time as of which the response proves that the
// gateway knows all changes. It uses the store's clock where it can: when a change ends a
// long hold, the call was sent long ago, but the response is recent.
func (a Answer) Confirmed(c *Clock) time.Duration {
	at := a.Asked
	if !a.Changes {
		// The store held the call for the whole time without a change.
		at += min(a.Held, a.Got-a.Asked)
	}
	if stamped, ok := c.Reached(a.StoreNow, a.Got); ok {
		at = max(at, stamped-ReadTime)
	}
	return at
}
