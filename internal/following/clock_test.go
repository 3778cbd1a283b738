package following

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestClockNeverClaimsMoreThanItKnows guards against a local time that is too late for a
// store time, which would confirm changes the gateway does not know. Calls of random
// duration go to a store whose clock has a random origin and drift; the result is compared
// with the true time.
func TestClockNeverClaimsMoreThanItKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, upper int) time.Duration {
			return time.Duration(rapid.IntRange(0, upper).Draw(t, name)) * time.Millisecond
		}
		drift := 1 + float64(rapid.IntRange(-100, 100).Draw(t, "drift"))/1e6
		origin := ms("origin", 1e9) + time.Second
		storeAt := func(local time.Duration) time.Duration { return origin + time.Duration(drift*float64(local)) }
		var c Clock
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			now += ms("pause", 600_000)
			sentAt := now
			now += ms("request delay", 3000)
			storeNow, stampedAt := storeAt(now), now
			now += ms("response delay", 3000)
			c.Observe(sentAt, storeNow)
			at, ok := c.LocalTimeBefore(storeNow, now)
			if !ok || at > stampedAt || at > now {
				t.Fatalf("store clock showed %v at local time %v, Reached returned %v", storeNow, stampedAt, at)
			}
		}
	})
}

// TestClockOfReplacedStore: a store that is replaced by one with an earlier clock must not
// be related to local time by observations of the old one.
func TestClockOfReplacedStore(t *testing.T) {
	var c Clock
	if _, ok := c.LocalTimeBefore(time.Second, time.Second); ok {
		t.Error("Reached returned ok before the first observation")
	}
	c.Observe(time.Second, time.Hour)
	c.Observe(2*time.Second, time.Minute)
	if at, ok := c.LocalTimeBefore(time.Minute+time.Second, 10*time.Second); !ok || at > 3*time.Second || at < 2900*time.Millisecond {
		t.Errorf("after the store clock went back, Reached returned %v, %v", at, ok)
	}
}

// TestConfirmedByKindOfResponse compares the confirmed time of each kind of response with
// the time as of which the store had read the rows.
func TestConfirmedByKindOfResponse(t *testing.T) {
	var c Clock
	c.Observe(10*time.Second, 100*time.Second) // a call without delay
	s := time.Second
	for _, row := range []struct {
		name     string
		response Response
		lower    time.Duration
		upper    time.Duration
	}{
		{"no change during the whole hold", Response{SentAt: 20 * s, ReceivedAt: 22 * s, HoldTimeout: 2 * s}, 22 * s, 22 * s},
		{"a change late in the hold", Response{SentAt: 20 * s, ReceivedAt: 21900 * time.Millisecond, HoldTimeout: 2 * s, HasChanges: true, StoreNow: 111900 * time.Millisecond}, 21600 * time.Millisecond, 21900 * time.Millisecond},
		{"a change, response without the store time", Response{SentAt: 20 * s, ReceivedAt: 22 * s, HoldTimeout: 2 * s, HasChanges: true}, 20 * s, 20 * s},
		{"a response that was delayed on its way", Response{SentAt: 20 * s, ReceivedAt: 25 * s, HoldTimeout: 2 * s, HasChanges: true, StoreNow: 110 * s}, 20 * s, 20 * s},
	} {
		if got := row.response.ConfirmedAt(&c); got < row.lower || got > row.upper {
			t.Errorf("%s: confirmed at %v, want %v to %v", row.name, got, row.lower, row.upper)
		}
	}
}

// TestBoundsLeaveTimeForACall: with any settings, a feed call without changes ends early
// enough that a healthy gateway does not turn unready, and a gateway turns unready before
// it refuses keys.
func TestBoundsLeaveTimeForACall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := FreshnessBounds{
			ConfigWithin: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "config")) * time.Millisecond,
			RevokeWithin: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "revoke")) * time.Millisecond,
		}
		if h := b.HoldTimeout(); h > b.ConfigWithin/2 || 2*h > b.UnreadyAge() || b.UnreadyAge() >= b.MaxKeysAge() || b.MaxKeysAge() >= b.RevokeWithin {
			t.Fatalf("%+v: hold %v, unready %v, keys %v", b, h, b.UnreadyAge(), b.MaxKeysAge())
		}
	})
}
