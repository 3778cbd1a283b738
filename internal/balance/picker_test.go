package balance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	target = Target{Version: "m@1"}
)

// fleet builds a set of n upstreams of one version over three domains.
func fleet(t testing.TB, n int) *catalog.Set { return fleetOf(t, n, "m@1") }

func fleetOf(t testing.TB, n int, versions ...string) *catalog.Set {
	t.Helper()
	var objects []catalog.Object
	for i := range n {
		spec, err := json.Marshal(&catalog.Upstream{
			Host: fmt.Sprintf("h%d", i/14), Domain: fmt.Sprintf("d%d", i%3),
			Agent: "127.0.0.1:1", Address: "127.0.0.1:2", Versions: versions, Slots: 8,
		})
		if err != nil {
			t.Fatal(err)
		}
		key := catalog.Key{Kind: catalog.KindUpstream, Name: fmt.Sprintf("u%04d", i)}
		objects = append(objects, catalog.Object{Key: key, Spec: spec})
	}
	set, err := catalog.NewSet(objects)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func newPicker(t testing.TB, n int) *Picker {
	p := New(Settings{Entry: "e1", Domain: "d0"})
	p.Rebuild(fleet(t, n), start)
	return p
}

// pickMany counts the choices over n picks that are never finished.
func pickMany(t *testing.T, p *Picker, req Request, now time.Time, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for i := range n {
		c, err := p.Pick(&req, now, uint64(i)*7919+1)
		if err != nil {
			t.Fatal(err)
		}
		counts[c.Upstream]++
	}
	return counts
}

func finishAttempts(t *testing.T, p *Picker, upstream string, o Outcome, now time.Time, times int) {
	t.Helper()
	r := p.view.Load().byName[upstream]
	for range times {
		c := Choice{member: r.member(target), pool: p.view.Load().pools[target], at: now.UnixNano()}
		p.Started(c)
		p.Finished(c, Observation{Outcome: o}, now)
	}
}

func TestLeavingUpstreamIsExcludedAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		leave func(p *Picker)
	}{
		{"agent says so", func(p *Picker) { p.Observe("u0000", Load{Leaving: true}, start) }},
		{"host list says so", func(p *Picker) { p.HostLeaving("h0", true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPicker(t, 20)
			tt.leave(p)
			for i := range 500 {
				req := Request{Target: target, Prefix: uint64(i + 1), PromptTokens: 4000}
				if n := pickMany(t, p, req, start, 4)["u0000"]; n != 0 {
					t.Fatalf("a leaving upstream was picked %d times", n)
				}
			}
		})
	}
}

func TestPrefixKeepsItsPrimaryUntilOverloaded(t *testing.T) {
	p, other := newPicker(t, 20), New(Settings{Entry: "e2", Domain: "d1"})
	other.Rebuild(fleet(t, 20), start)
	req := Request{Target: target, Prefix: 77, PromptTokens: 4000}
	primary, err := p.Pick(&req, start, 1)
	if err != nil || !primary.Affine {
		t.Fatalf("Pick = %+v, %v", primary, err)
	}
	for _, q := range []*Picker{p, other} {
		counts := pickMany(t, q, req, start, 100)
		if len(counts) > 2 || counts[primary.Upstream] == 0 {
			t.Fatalf("the prefix went to %v, not to its affinity upstreams", counts)
		}
	}
	for _, u := range []string{"u0000", primary.Upstream} {
		p.Observe(u, Load{InFlight: 8, Queued: 30}, start)
	}
	if n := pickMany(t, p, req, start, 100)[primary.Upstream]; n != 0 {
		t.Fatalf("an overloaded primary was picked %d times", n)
	}
}

func TestOwnDomainFirstAndOthersWhenFull(t *testing.T) {
	p := newPicker(t, 21)
	req := Request{Target: target, PromptTokens: 100}
	for u := range pickMany(t, p, req, start, 200) {
		if d := p.view.Load().byName[u].id.Load().domain; d != "d0" {
			t.Fatalf("picked %s in %s while d0 has free slots", u, d)
		}
	}
	for _, r := range p.view.Load().pools[target].ownDomain {
		p.Observe(r.id.Load().name, Load{InFlight: 8, Queued: 8}, start)
	}
	for u := range pickMany(t, p, req, start, 200) {
		if d := p.view.Load().byName[u].id.Load().domain; d == "d0" {
			t.Fatalf("picked %s in the full domain", u)
		}
	}
}

// TestLoadSpreadsOverDomainsBeforeTheOwnIsFull fills half of all slots and guards
// against filling the own domain before using the others.
func TestLoadSpreadsOverDomainsBeforeTheOwnIsFull(t *testing.T) {
	const upstreams, requests = 21, 84
	p := newPicker(t, upstreams)
	domains := map[string]int{}
	for i := range uint64(requests) {
		c, err := p.Pick(&Request{Target: target, PromptTokens: 100}, start, i*7919+1)
		if err != nil {
			t.Fatal(err)
		}
		p.Started(c)
		domains[c.Domain]++
	}
	for _, d := range []string{"d0", "d1", "d2"} {
		if n := domains[d]; n < requests/4 || n > requests/2 {
			t.Errorf("%d of %d requests went to %s: %v", n, requests, d, domains)
		}
	}
}

func TestRebuildKeepsCountsAndHealth(t *testing.T) {
	p := newPicker(t, 20)
	c, err := p.Pick(&Request{Target: target}, start, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.Started(c)
	p.Rebuild(fleet(t, 19), start)
	p.Rebuild(fleet(t, 20), start)
	if got := p.view.Load().byName[c.Upstream].own.Load(); got != 1 {
		t.Fatalf("own in flight after a rebuild is %d, want 1", got)
	}
}

func TestRetryAvoidsTriedUpstreamsAndErrorHasRetryAfter(t *testing.T) {
	p := newPicker(t, 3)
	req := Request{Target: target}
	for range 3 {
		c, err := p.Pick(&req, start, 5)
		if err != nil || req.Tried.Has(c.Upstream) {
			t.Fatalf("Pick = %+v, %v", c, err)
		}
		req.Tried.Add(c.Upstream)
	}
	_, err := p.Pick(&req, start, 5)
	if e := result.From(err); e.Code != result.NoUpstream || e.RetryAfter <= 0 || e.Outcome != result.NotRun {
		t.Fatalf("error is %+v", e)
	}
}

func TestSubsetIsBoundedStableAndBalanced(t *testing.T) {
	const entries, replicas = 27, 410
	set := fleet(t, replicas)
	seen := map[string]int{}
	for e := range entries {
		p := New(Settings{Entry: fmt.Sprintf("e%d", e), Domain: "d1"})
		p.Rebuild(set, start)
		domains := map[string]int{}
		for _, r := range p.view.Load().pools[target].subset {
			seen[r.id.Load().name]++
			domains[r.id.Load().domain]++
		}
		if len(domains) != 3 || domains["d1"] < DefaultSubsetSize/3 {
			t.Fatalf("subset of e%d over domains: %v", e, domains)
		}
	}
	if len(seen) < replicas*97/100 {
		t.Fatalf("the subsets of %d entries cover %d of %d upstreams", entries, len(seen), replicas)
	}
	p := newPicker(t, replicas)
	before := p.view.Load().pools[target].subset
	p.Rebuild(fleet(t, replicas-1), start)
	if changed := difference(before, p.view.Load().pools[target].subset); changed > 1 {
		t.Fatalf("removing one upstream changed %d elements of the subset", changed)
	}
}

func difference(a, b []*member) int {
	in := map[*member]bool{}
	for _, r := range b {
		in[r] = true
	}
	n := 0
	for _, r := range a {
		if !in[r] {
			n++
		}
	}
	return n
}
