package balance

import (
	"fmt"
	"testing"
	"time"
)

func TestOutlierIsEjectedAndComesBackHalfOpen(t *testing.T) {
	for _, o := range []Outcome{Refused, TimedOut, Failed} {
		p := newPicker(t, 20)
		req := Request{Target: target}
		finishAttempts(t, p, "u0000", o, start, failuresToEject)
		if n := pickMany(t, p, req, start, 500)["u0000"]; n != 0 {
			t.Fatalf("an ejected upstream was picked %d times", n)
		}
		later := start.Add(DefaultEjectFor * 2)
		if n := pickMany(t, p, req, later, 500)["u0000"]; n != 1 {
			t.Fatalf("%d probes at a time, want 1", n)
		}
		finishAttempts(t, p, "u0000", Answered, later, 1)
		if n := pickMany(t, p, req, later.Add(DefaultSlowStart), 500)["u0000"]; n == 0 {
			t.Fatal("the upstream did not come back")
		}
	}
}

func TestFailuresOfAllUpstreamsEjectNone(t *testing.T) {
	p := newPicker(t, 20)
	for range failuresToEject * 2 {
		for i := range 20 {
			finishAttempts(t, p, fmt.Sprintf("u%04d", i), Failed, start, 1)
		}
	}
	if got := p.TargetSlots(target); got != 20*8 {
		t.Fatalf("%d slots take work, want all", got)
	}
	for _, s := range p.States(start) {
		if !s.EjectedUntil.IsZero() {
			t.Fatalf("%s is ejected though all upstreams fail", s.Upstream)
		}
	}
}

func TestSuccessfulProbeClearsOneFailure(t *testing.T) {
	p := newPicker(t, 20)
	req := Request{Target: target}
	finishAttempts(t, p, "u0000", TimedOut, start, 1)
	if n := pickMany(t, p, req, start, 500)["u0000"]; n != 0 {
		t.Fatalf("an upstream that just failed was picked %d times while others were healthy", n)
	}
	later := start.Add(suspectProbeDelay)
	if n := pickMany(t, p, req, later, 500)["u0000"]; n != 1 {
		t.Fatalf("%d probes at a time, want 1", n)
	}
	finishAttempts(t, p, "u0000", Answered, later, 1)
	if n := pickMany(t, p, req, later, 500)["u0000"]; n < 10 {
		t.Fatalf("picked %d of 500 times after a successful probe", n)
	}
}

func TestSuspectInOwnDomainIsAvoided(t *testing.T) {
	p := newPicker(t, 3)
	finishAttempts(t, p, "u0000", TimedOut, start, 1)
	if n := pickMany(t, p, Request{Target: target}, start, 100)["u0000"]; n != 0 {
		t.Fatalf("the only upstream of the own domain was picked %d times after a failure", n)
	}
}

func TestPrefixesOfALostUpstreamSpread(t *testing.T) {
	p := newPicker(t, 20)
	primaryOf := func(prefix uint64) string {
		c, err := p.Pick(&Request{Target: target, Prefix: prefix, PromptTokens: 4000}, start, 7)
		if err != nil {
			t.Fatal(err)
		}
		return c.Upstream
	}
	const prefixes = 400
	before := map[uint64]string{}
	for i := range uint64(prefixes) {
		before[i+1] = primaryOf(i + 1)
	}
	finishAttempts(t, p, "u0000", Refused, start, failuresToEject)
	moved, receivers := 0, map[string]bool{}
	for prefix, primary := range before {
		now := primaryOf(prefix)
		if primary == "u0000" {
			receivers[now] = true
		} else if now != primary {
			moved++
		}
	}
	if moved != 0 || len(receivers) < 5 {
		t.Fatalf("%d prefixes of others moved, the lost ones went to %d upstreams", moved, len(receivers))
	}
}

func TestEjectedShareIsCapped(t *testing.T) {
	p := newPicker(t, 20)
	for i := range 20 {
		finishAttempts(t, p, fmt.Sprintf("u%04d", i), TimedOut, start, 10)
	}
	out := 0
	for _, r := range p.view.Load().byName {
		if r.health.until.Load() != 0 {
			out++
		}
	}
	if out != 10 {
		t.Fatalf("%d of 20 ejected, want 10", out)
	}
	if _, err := p.Pick(&Request{Target: target}, start, 1); err != nil {
		t.Fatal(err)
	}
}

func TestNewUpstreamStartsSlowly(t *testing.T) {
	p := newPicker(t, 20)
	p.Rebuild(fleet(t, 21), start)
	r := p.view.Load().byName["u0020"]
	var last float64
	for _, age := range []time.Duration{0, 5 * time.Second, 10 * time.Second} {
		got := r.member(target).capacity(start.Add(age).UnixNano(), DefaultSlowStart)
		if got <= last {
			t.Fatalf("capacity at %v is %v after %v", age, got, last)
		}
		last = got
	}
	if last != 8 {
		t.Fatalf("capacity after the slow start is %v, want 8", last)
	}
}

// TestReturningDomainIsNotFlooded guards against sending all traffic to this
// entry's own failure domain when it returns from an ejection: it is idle and
// costs least, but must get few of 100 concurrent requests during slow start.
func TestReturningDomainIsNotFlooded(t *testing.T) {
	p := newPicker(t, 21)
	ownDomain := p.view.Load().pools[target].ownDomain
	for _, r := range ownDomain {
		finishAttempts(t, p, r.id.Load().name, Refused, start, failuresToEject)
	}
	back := start.Add(maxEjectFor)
	for _, r := range ownDomain {
		finishAttempts(t, p, r.id.Load().name, Answered, back, 1)
	}
	req := Request{Target: target, PromptTokens: 100}
	share := func(now time.Time) int {
		n := 0
		var sent []Choice
		for i := range 100 {
			c, err := p.Pick(&req, now, uint64(i)*7919+3)
			if err != nil {
				t.Fatal(err)
			}
			p.Started(c)
			sent = append(sent, c)
			if c.Domain == "d0" {
				n++
			}
		}
		for _, c := range sent {
			p.Finished(c, Observation{}, now)
		}
		return n
	}
	first, later := share(back), share(back.Add(DefaultSlowStart))
	even := 100 * len(ownDomain) / 21
	if first > 2*len(ownDomain) || later < even {
		t.Fatalf("%d of 100 at once and %d later went to the domain that came back", first, later)
	}
}

func TestExpiredDeadlinesEjectOnlyAnUnresponsiveUpstream(t *testing.T) {
	for _, answers := range []bool{true, false} {
		p := newPicker(t, 20)
		now := start
		for range 10 {
			if answers {
				finishAttempts(t, p, "u0000", Answered, now, 1)
			}
			finishAttempts(t, p, "u0000", Expired, now, failuresToEject)
			now = now.Add(time.Second)
		}
		n := pickMany(t, p, Request{Target: target}, now, 500)["u0000"]
		if picked := n > 1; picked != answers {
			t.Errorf("picked %d of 500 times after expired deadlines; answers others: %v", n, answers)
		}
	}
}

func TestReturnedHostIsProbedAtOnce(t *testing.T) {
	for _, back := range []bool{true, false} {
		p := newPicker(t, 20)
		p.HostSilent("h0", start)
		now := start.Add(suspectProbeDelay / 2)
		if back {
			p.HostBack("h0", now)
		}
		probed := false
		for i := range uint64(100) {
			c, err := p.Pick(&Request{Target: target}, now, i)
			if err != nil {
				t.Fatal(err)
			}
			probed = probed || c.Probe
		}
		if probed != back {
			t.Errorf("probed: %v, though back: %v", probed, back)
		}
	}
}
