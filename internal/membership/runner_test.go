package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// The bounds of membership, from the target of 6 KB a second of control for
// each daemon and 3 s until a leaving upstream gets no new work.
const (
	// targetHosts is 4,100 upstreams at 14 a host.
	targetHosts   = 293
	targetEntries = 27
	// maxEntryBytesPerSecond bounds bytes a second at an entry for heartbeats and the
	// host list: half of the 6 KB; publication has a third.
	maxEntryBytesPerSecond = 3072
	// maxAgentBytesPerSecond bounds bytes a second at an agent for the heartbeats it
	// answers: a sixth, because it has the ledger to write as well.
	maxAgentBytesPerSecond = 1024
	// maxRecoveryTime bounds the time until a recovered domain is alive again at an
	// entry: the longest probe backoff plus the spread.
	maxRecoveryTime = 40 * time.Second
)

// fakeAgents responds to every heartbeat.
type fakeAgents struct {
	mu       sync.Mutex
	down     map[string]bool
	requests map[string]int
}

func newFakeAgents() *fakeAgents {
	return &fakeAgents{down: map[string]bool{}, requests: map[string]int{}}
}

// setDown makes domain b unreachable, or reachable again.
func (a *fakeAgents) setDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down["b"] = down
}

func (a *fakeAgents) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, k := range a.requests {
		n += k
	}
	return n
}

// Report answers for 14 idle upstreams; a domain that is down takes a second
// to fail. The address is "domain/host".
func (a *fakeAgents) Report(ctx context.Context, address string, _ *linkv1.ReportRequest) (*linkv1.ReportResponse, error) {
	var domain, host string
	_, _ = fmt.Sscanf(address, "%1s/%s", &domain, &host)
	a.mu.Lock()
	a.requests[address]++
	down := a.down[domain]
	a.mu.Unlock()
	if down {
		wait.For(ctx, time.Second)
		return nil, result.New(result.UpstreamRefused, "no answer")
	}
	resp := &linkv1.ReportResponse{Envelope: &linkv1.Envelope{Revision: 1000, Sender: host, Incarnation: 1 << 40, Address: "10.0.0.1:7000"}}
	for i := range 14 {
		resp.Upstreams = append(resp.Upstreams, &linkv1.UpstreamReport{
			Name: fmt.Sprintf("upstream-%s-%02d", host, i), Healthy: true,
			Load: &linkv1.Load{Slots: 16, FirstTokenUs: 120_000},
		})
	}
	return resp, nil
}

func setOf(t testing.TB, n int) *catalog.Set {
	t.Helper()
	set, err := catalog.NewSet(nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		domain := string(rune('a' + i%3))
		host := fmt.Sprintf("h%03d", i)
		set.Upstreams[host] = &catalog.Upstream{Host: host, Domain: domain, Agent: domain + "/" + host}
	}
	return set
}

// startRunner starts an entry's runner and returns it.
func startRunner(t testing.TB, name string, a *fakeAgents, list ports.Hosts, set *catalog.Set) *Runner {
	r := NewRunner(Options{Settings: Settings{Entry: name}, Reporter: a, Hosts: list})
	r.SetCatalog(set)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = r.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return r
}

func listHosts(p *fake.Platform, set *catalog.Set) {
	for _, u := range set.Upstreams {
		p.Hosts.Put(ports.HostState{Name: u.Host, Domain: u.Domain, Address: u.Agent})
	}
}

// TestBoundsSlopeOverHosts bounds the bytes of membership as the hosts grow.
// There are no requests, which is when most heartbeats are sent.
func TestBoundsSlopeOverHosts(t *testing.T) {
	for _, n := range []int{13, 23, 100, targetHosts} {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkBytes(t, n) })
		})
	}
}

func checkBytes(t *testing.T, n int) {
	entries := max(3, targetEntries*n/targetHosts)
	p := fake.New(fake.Options{})
	set := setOf(t, n)
	listHosts(p, set)
	a := newFakeAgents()
	var runners []*Runner
	for i := range entries {
		runners = append(runners, startRunner(t, fmt.Sprintf("e%02d", i), a, p.Hosts, set))
	}
	const seconds = 300
	time.Sleep(seconds * time.Second)
	var highest, all, heartbeats float64
	for _, r := range runners {
		_, s := r.Dump()
		highest = max(highest, float64(s.Bytes)/seconds)
		all += float64(s.Bytes)
		heartbeats += float64(s.Heartbeats)
		if s.Failures > 0 {
			t.Errorf("%d heartbeats failed", s.Failures)
		}
	}
	busiest := 0
	for _, k := range a.requests {
		busiest = max(busiest, k)
	}
	agentBytes := float64(busiest) * initialHeartbeatBytes / seconds
	t.Logf("%d hosts, %d entries: %.0f B/s at the busiest entry, %.2f heartbeats/s an entry, %.0f B/s at the busiest agent",
		n, entries, highest, heartbeats/seconds/float64(entries), agentBytes)
	if highest > maxEntryBytesPerSecond {
		t.Errorf("%.0f B/s at an entry, bound %d", highest, maxEntryBytesPerSecond)
	}
	if agentBytes > maxAgentBytesPerSecond {
		t.Errorf("%.0f B/s at an agent, bound %d", agentBytes, maxAgentBytesPerSecond)
	}
}

// TestRegionsLoseEachOtherForAnHour makes one domain unreachable from an entry
// while the host list still names its hosts. It guards against removing them
// and against bursts of probes.
func TestRegionsLoseEachOtherForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fake.New(fake.Options{})
		set := setOf(t, targetHosts)
		listHosts(p, set)
		a := newFakeAgents()
		r := startRunner(t, "e1", a, p.Hosts, set)
		time.Sleep(2 * time.Minute)
		a.setDown(true)
		time.Sleep(2 * time.Minute)
		before, requests := statesOf(r), a.total()
		if before["b"][Alive.String()] > 0 || before["a"][Silent.String()] > 0 {
			t.Errorf("two minutes into the cut: %v", before)
		}
		_, stats := r.Dump()
		time.Sleep(time.Hour)
		if got := statesOf(r); got["b"][Removed.String()] > 0 {
			t.Errorf("hosts behind a cut link were removed: %v", got)
		}
		_, later := r.Dump()
		if rate := float64(later.Bytes-stats.Bytes) / 3600; rate > maxEntryBytesPerSecond {
			t.Errorf("%.0f B/s during the cut", rate)
		}
		failures := float64(later.Failures-stats.Failures) / 3600
		if failures > 0.2 {
			t.Errorf("%.2f probes a second into the cut", failures)
		}
		a.setDown(false)
		returned := a.total()
		time.Sleep(maxRecoveryTime)
		if got := statesOf(r); got["b"][Silent.String()] > 0 {
			t.Errorf("%v after the return: %v", maxRecoveryTime, got)
		}
		burst := float64(a.total()-returned) / maxRecoveryTime.Seconds()
		t.Logf("%.2f failed probes/s in the cut, %.2f heartbeats/s after the return, %d before", failures, burst, requests)
		if burst > 3 {
			t.Errorf("%.1f heartbeats a second after the return", burst)
		}
	})
}

// statesOf counts the watched hosts by domain and state.
func statesOf(r *Runner) map[string]map[string]int {
	lines, _ := r.Dump()
	out := map[string]map[string]int{"a": {}, "b": {}, "c": {}}
	for _, l := range lines {
		if l.Watched {
			out[l.Domain][l.State]++
		}
	}
	return out
}

func TestDeadHostIsRemovedAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fake.New(fake.Options{})
		set := setOf(t, 3)
		listHosts(p, set)
		p.Hosts.SetFaults(fake.HostFaults{Lag: 20 * time.Second})
		a := newFakeAgents()
		r := startRunner(t, "e1", a, p.Hosts, set)
		time.Sleep(time.Minute)
		a.setDown(true)
		p.Hosts.Remove("h001")
		time.Sleep(2 * time.Minute)
		if got := statesOf(r)["b"]; got[Removed.String()] != 1 {
			t.Errorf("the dead host is %v", got)
		}
		requests := a.total()
		time.Sleep(10 * time.Second)
		a.setDown(false)
		p.Hosts.Put(ports.HostState{Name: "h001", Domain: "b"})
		time.Sleep(time.Minute)
		if got := statesOf(r)["b"]; got[Alive.String()] != 1 {
			t.Errorf("the host that came back is %v (%d heartbeats before)", got, requests)
		}
	})
}

// TestLeavingIsKnownInTime covers a host whose response to a request reports
// that it is leaving, and a host that is leaving in the host list only.
func TestLeavingIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fake.New(fake.Options{})
		set := setOf(t, 23)
		listHosts(p, set)
		r := startRunner(t, "e1", newFakeAgents(), p.Hosts, set)
		time.Sleep(time.Minute)
		r.RecordResponse("h000", 1<<40, true, time.Now())
		p.Hosts.Put(ports.HostState{Name: "h001", Domain: "b", Leaving: true})
		time.Sleep(3 * time.Second)
		lines, _ := r.Dump()
		if !lines[0].Leaving || !lines[1].Leaving {
			t.Errorf("got %+v", lines[:2])
		}
	})
}

func TestResponsesReplaceHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := setOf(t, 10)
		a := newFakeAgents()
		r := startRunner(t, "e1", a, nil, set)
		time.Sleep(time.Minute)
		before := a.total()
		for range 60 {
			for _, u := range set.Upstreams {
				r.RecordResponse(u.Host, 1<<40, false, time.Now())
			}
			time.Sleep(time.Second)
		}
		if n := a.total() - before; n > 0 {
			t.Errorf("%d heartbeats to hosts that respond to requests", n)
		}
	})
}
