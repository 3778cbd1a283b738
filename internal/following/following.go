// Package following decides how a gateway keeps its copy of a store table up to date:
// when it reads the table, how long the store holds a call without changes, and as of
// which time a response confirms that the gateway knows all changes. It has no I/O or
// clock of its own.
package following

import "time"

// FreshnessBounds holds the configured limits on how out of date a gateway may be. Its
// methods derive the timeouts and age thresholds from them.
type FreshnessBounds struct {
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

// HoldTimeout returns how long the store holds a feed call without changes.
func (b FreshnessBounds) HoldTimeout() time.Duration {
	return min(fraction(b.ConfigWithin, configHoldFraction), fraction(b.RevokeWithin, revokeHoldFraction))
}

// UnreadyAge returns the age of the last confirmation from which the gateway is unready:
// new callers should go to other gateways.
func (b FreshnessBounds) UnreadyAge() time.Duration { return fraction(b.RevokeWithin, unreadyFraction) }

// MaxKeysAge returns the age of the last confirmation from which keys are not trusted.
func (b FreshnessBounds) MaxKeysAge() time.Duration { return fraction(b.RevokeWithin, keysFraction) }

// OutdatedAge returns the age of the last confirmation from which a route or key that is
// missing from the gateway's configuration may nevertheless exist.
func (b FreshnessBounds) OutdatedAge() time.Duration { return outdatedHolds * b.HoldTimeout() }

func fraction(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }

// MaxReadDelay is an upper bound of the time between a store's reading of the rows and its
// stamping of the response: sixty times the usual four milliseconds, for a slow store.
const MaxReadDelay = 240 * time.Millisecond

// Response is one response of the store to a call for changes.
type Response struct {
	// SentAt and ReceivedAt are when the call was sent and its response received, on the
	// local clock. HoldTimeout is how long the store was asked to hold the call.
	SentAt, ReceivedAt, HoldTimeout time.Duration
	// HasChanges is true when the response contains rows.
	HasChanges bool
	// StoreNow is the store's clock in the response; zero when the response has none.
	StoreNow time.Duration
}

// ConfirmedAt returns the latest local time as of which the response proves that the
// gateway knows all changes. It uses the store's clock where it can: when a change ends a
// long hold, the call was sent long ago, but the response is recent.
func (a Response) ConfirmedAt(c *Clock) time.Duration {
	at := a.SentAt
	if !a.HasChanges {
		// The store held the call for the whole time without a change.
		at += min(a.HoldTimeout, a.ReceivedAt-a.SentAt)
	}
	if stamped, ok := c.LocalTimeBefore(a.StoreNow, a.ReceivedAt); ok {
		at = max(at, stamped-MaxReadDelay)
	}
	return at
}
