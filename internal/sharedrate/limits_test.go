package sharedrate

import (
	"testing"
	"time"
)

func TestLatestLimitApplies(t *testing.T) {
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	limit := func(rate float64, s int) RateLimit { return RateLimit{PerSecond: rate, At: at(s)} }
	for _, c := range []struct {
		name string
		said []RateLimit
		want float64
	}{
		{"nothing", nil, 0},
		{"no limit", []RateLimit{limit(0, 1)}, 0},
		{"a limit", []RateLimit{limit(1.7, 1)}, 1.7},
		{"a changed limit", []RateLimit{limit(1.7, 1), limit(2.5, 2)}, 2.5},
		{"an answer that was long on its way", []RateLimit{limit(1.7, 5), limit(2.5, 2)}, 1.7},
		{"the end of a limit", []RateLimit{limit(1.7, 1), limit(0, 2)}, 0},
		{"no limit in an answer to a request from before the limit", []RateLimit{limit(1.7, 5), limit(0, 4)}, 1.7},
		{"a limit after its end", []RateLimit{limit(1.7, 1), limit(0, 2), limit(1.1, 3)}, 1.1},
		{"a limit from before its end", []RateLimit{limit(1.7, 2), limit(0, 4), limit(1.1, 3)}, 0},
		{"next to nothing", []RateLimit{limit(1e-9, 1)}, minRate},
		{"more than anything", []RateLimit{limit(1e300, 1)}, maxRate},
	} {
		var k Keeper
		for _, w := range c.said {
			k.RecordLimit(1, w)
		}
		if got, _, _ := k.Limit(1, at(9)); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if _, _, ok := k.Limit(2, at(9)); ok {
			t.Errorf("%s: another boot is limited", c.name)
		}
		k.Prune(map[Boot]bool{1: true})
		if got, _, _ := k.Limit(1, at(9)); got != c.want {
			t.Errorf("%s: forgotten though listed", c.name)
		}
		k.Prune(nil)
		if _, _, ok := k.Limit(1, at(9)); ok {
			t.Errorf("%s: not forgotten", c.name)
		}
	}
}
