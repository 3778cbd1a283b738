package following

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestClockNeverClaimsMoreThanItKnows draws calls of any length to a store whose
// clock starts anywhere and drifts, and holds the answer against the true time.
func TestClockNeverClaimsMoreThanItKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		drift := 1 + float64(rapid.IntRange(-100, 100).Draw(t, "drift"))/1e6
		origin := ms("origin", 1e9) + time.Second
		storeAt := func(own time.Duration) time.Duration { return origin + time.Duration(drift*float64(own)) }
		var c Clock
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			now += ms("pause", 600_000)
			asked := now
			now += ms("there", 3000)
			told, made := storeAt(now), now
			now += ms("back", 3000)
			c.Note(asked, told)
			at, ok := c.Reached(told, now)
			if !ok || at > made || at > now {
				t.Fatalf("the store's clock showed %v at %v, claimed %v", told, made, at)
			}
		}
	})
}

// TestClockOfAReplacedStore goes back.
func TestClockOfAReplacedStore(t *testing.T) {
	var c Clock
	if _, ok := c.Reached(time.Second, time.Second); ok {
		t.Error("known before the first answer")
	}
	c.Note(time.Second, time.Hour)
	c.Note(2*time.Second, time.Minute)
	if at, ok := c.Reached(time.Minute+time.Second, 10*time.Second); !ok || at > 3*time.Second || at < 2900*time.Millisecond {
		t.Errorf("%v, %v", at, ok)
	}
}

// TestWhatAnAnswerProves holds the confirmation of each kind of answer against
// what the store had read by then.
func TestWhatAnAnswerProves(t *testing.T) {
	var c Clock
	c.Note(10*time.Second, 100*time.Second) // answered at once
	s := time.Second
	for _, row := range []struct {
		name   string
		answer Answer
		least  time.Duration
		most   time.Duration
	}{
		{"nothing came for the whole hold", Answer{Asked: 20 * s, Got: 22 * s, Held: 2 * s}, 22 * s, 22 * s},
		{"a change late in the hold", Answer{Asked: 20 * s, Got: 21900 * time.Millisecond, Held: 2 * s, Changes: true, StoreNow: 111900 * time.Millisecond}, 21600 * time.Millisecond, 21900 * time.Millisecond},
		{"a change, and the store does not tell its time", Answer{Asked: 20 * s, Got: 22 * s, Held: 2 * s, Changes: true}, 20 * s, 20 * s},
		{"an answer that was long under way", Answer{Asked: 20 * s, Got: 25 * s, Held: 2 * s, Changes: true, StoreNow: 110 * s}, 20 * s, 20 * s},
	} {
		if got := row.answer.Confirmed(&c); got < row.least || got > row.most {
			t.Errorf("%s: %v, want %v to %v", row.name, got, row.least, row.most)
		}
	}
}

// TestBoundsLeaveTimeForACall: with any settings a confirmation comes before the
// gateway turns unready, and it turns unready before it refuses keys.
func TestBoundsLeaveTimeForACall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			ConfigWithin: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "config")) * time.Millisecond,
			RevokeWithin: time.Duration(rapid.IntRange(1, 60_000).Draw(t, "revoke")) * time.Millisecond,
		}
		if h := b.Hold(); h > b.ConfigWithin/2 || 2*h > b.Unready() || b.Unready() >= b.Keys() || b.Keys() >= b.RevokeWithin {
			t.Fatalf("%+v: hold %v, unready %v, keys %v", b, h, b.Unready(), b.Keys())
		}
	})
}
