package sharedrate

import (
	"testing"
	"time"
)

// TestScarceRateGoesToTheMostValuableRequests: values are uniform from 0 to 9, and one request
// in 25 fits the limit. About eight arrive in the lifetime of a slot; the best online choice
// has a mean value of 7.5, a random one 4.5.
func TestScarceRateGoesToTheMostValuableRequests(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(scenario{gateways: 6, limits: []func(time.Duration) float64{constant(1.9)}}, seed)
		s.run()
		if mean := s.values / float64(s.sent); mean < 7 {
			t.Errorf("seed %d: mean value of the sent requests is %.1f, want 7", seed, mean)
		}
	}
}

// soleGatewayKeeper returns the keeper of the only gateway; it has a clock reading and a limit
// as of one minute.
func soleGatewayKeeper(rate float64) *Keeper {
	k := &Keeper{}
	k.ObserveClock(time.Minute, time.Hour)
	k.RecordLimit(1, RateLimit{PerSecond: rate, At: time.Minute})
	k.SetMembers("g", map[string][]Member{"s": nil}, time.Minute)
	return k
}

func TestGrantIsUsedOnceAndLapses(t *testing.T) {
	k := soleGatewayKeeper(1)
	now := time.Minute
	open := func() bool { return !k.Blocked("s", []Boot{1}, MustSend, now)[1] }
	if open() {
		t.Error("a grant at the time when the limit was received")
	}
	now += time.Second
	if !open() {
		t.Fatal("no grant after a second")
	}
	g, ok := k.Take(1)
	if !ok || !g.Limited() || open() {
		t.Error("the grant is used twice")
	}
	if _, ok := k.Take(1); ok {
		t.Error("took a grant that does not exist")
	}
	k.GiveBack(g)
	if !open() {
		t.Error("the grant of a request that was not sent is lost")
	}
	now += time.Minute
	n := 0
	for open() {
		if _, ok := k.Take(1); !ok {
			break
		}
		n++
	}
	if n > 2 {
		t.Errorf("%d requests after a minute without any, want the life of a slot at most", n)
	}
	if g, ok := k.Take(2); !ok || g.Limited() {
		t.Error("an upstream without a limit needs a grant")
	}
}

func TestNoShareWhileTheOthersOrTheClockAreNotKnown(t *testing.T) {
	for _, c := range []struct {
		name           string
		clock, members bool
	}{{"neither", false, false}, {"clock", true, false}, {"members", false, true}} {
		k := &Keeper{}
		k.RecordLimit(1, RateLimit{PerSecond: 50, At: time.Minute})
		if c.clock {
			k.ObserveClock(time.Minute, time.Hour)
		}
		if c.members {
			k.SetMembers("g", map[string][]Member{"s": nil}, time.Minute)
		}
		for i := range 100 {
			now := time.Minute + time.Duration(i)*50*time.Millisecond
			if !k.Blocked("s", []Boot{1}, MustSend, now)[1] {
				t.Fatalf("%s: a grant", c.name)
			}
		}
		if _, ok := k.RetryAfter("s", []Boot{1}, time.Second, time.Minute); ok != c.members {
			t.Errorf("%s: retry time given: %t", c.name, ok)
		}
	}
}

// TestRetryTimesOfCallersAreConsecutive: each caller gets a retry time after those before
// it; one whose maximum wait is shorter reserves no time.
func TestRetryTimesOfCallersAreConsecutive(t *testing.T) {
	k, now := soleGatewayKeeper(2), time.Minute
	wait := func(honours time.Duration) time.Duration {
		w, ok := k.RetryAfter("s", []Boot{1}, honours, now)
		if !ok {
			t.Fatal("no retry time")
		}
		return w
	}
	for i := 1; i <= 4; i++ {
		if got, want := wait(10*time.Second), time.Duration(i)*500*time.Millisecond; got != want {
			t.Errorf("caller %d gets %v, want %v", i, got, want)
		}
	}
	for range 3 {
		if got := wait(time.Second); got != 2500*time.Millisecond {
			t.Errorf("a caller with a short maximum wait gets %v", got)
		}
	}
	now += 10 * time.Second
	if got := wait(10 * time.Second); got != 500*time.Millisecond {
		t.Errorf("after all retry times have passed, a caller gets %v", got)
	}
}

// TestClock: the largest offset is used, and a replaced clock is detected.
func TestClock(t *testing.T) {
	var c Clock
	if _, ok := c.Now(time.Second); ok {
		t.Error("known from the start")
	}
	c.Observe(10*time.Second, 100*time.Second)
	c.Observe(11*time.Second, 100900*time.Millisecond) // a late reading
	c.Observe(11*time.Second, 0)                       // a response without a reading
	if got, _ := c.Now(12 * time.Second); got < 101990*time.Millisecond || got > 102*time.Second {
		t.Errorf("the clock shows %v, want 102 s", got)
	}
	c.Observe(13*time.Second, 50*time.Second)
	if got, _ := c.Now(13 * time.Second); got != 50*time.Second {
		t.Errorf("the new clock shows %v, want 50 s", got)
	}
	c.Observe(14*time.Second, 52*time.Second)
	if got, _ := c.Now(14 * time.Second); got != 52*time.Second {
		t.Errorf("after a reading that is further ahead the clock shows %v, want 52 s", got)
	}
}

func TestLevelsChangeSeldom(t *testing.T) {
	l := Level(0).next(8)
	for _, rate := range []float64{6.5, 9.5, 8, 7} {
		if l.next(rate) != l {
			t.Errorf("level %d of 8 requests a second changes at %v", l, rate)
		}
	}
	if up, down := l.next(16), l.next(4); up <= l || down >= l {
		t.Errorf("levels %d, %d and %d", down, l, up)
	}
	if top := Level(0).next(1e12); top != maxLevel {
		t.Errorf("level %d", top)
	}
}

// TestSilentMembersAreReplacedInPart: partitions of a fleet use at most 1.3 times the rate
// together; a large partition uses all of it.
func TestSilentMembersAreReplacedInPart(t *testing.T) {
	const all = 20
	part := func(reachable int) float64 {
		var others []Member
		for i := 1; i < all; i++ {
			others = append(others, Member{Name: string(rune('a' + i)), Reachable: i < reachable, DemandKnown: true})
		}
		g := newGroup(Member{Name: "a"}, others)
		return g.share() * float64(reachable)
	}
	if got := part(16); got < 0.99 {
		t.Errorf("16 of 20 use %.2f of the rate", got)
	}
	for _, split := range [][]int{{19, 1}, {16, 4}, {10, 10}, {8, 6, 6}, {5, 5, 5, 5}, {4, 4, 4, 4, 4}} {
		sum := 0.0
		for _, reachable := range split {
			sum += part(reachable)
		}
		if sum > 1+maxPartitionExcess+1e-9 || sum < 0.99 {
			t.Errorf("parts of %v use %.2f of the rate together", split, sum)
		}
	}
}

// BenchmarkRequest measures a request at one of 100 gateways while all of 160 upstreams have
// a limit.
func BenchmarkRequest(b *testing.B) {
	k := &Keeper{}
	k.ObserveClock(time.Minute, time.Hour)
	var boots []Boot
	for i := range 160 {
		boots = append(boots, Boot(i+1))
		k.RecordLimit(Boot(i+1), RateLimit{PerSecond: 1.7, At: time.Minute})
	}
	var others []Member
	for i := range 99 {
		others = append(others, Member{Name: string(rune('a' + i)), Reachable: true, DemandKnown: true})
	}
	now := time.Minute
	for b.Loop() {
		now += 140 * time.Millisecond // 720 requests a second over all
		if k.MembersStale(now) {
			k.SetMembers("g", map[string][]Member{"s": others}, now)
		}
		k.Request("s", 1, now)
		k.Blocked("s", boots, 1, now)
	}
}
