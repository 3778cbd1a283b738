package bench

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// The sizes of the slopes; the defaults make short ones.
var (
	upstreamSizes = sizes("upstreams", "20,100", "numbers of upstreams in the configuration")
	daemonSizes   = sizes("daemons", "4,8", "numbers of daemons, a twelfth of them entries")
	rateSizes     = sizes("rates", "100,200", "unary requests a second")
	watched       = flag.Duration("watched", 2*time.Second, "time for which idle daemons are watched")
)

// upstreamsPerHost is that of the target: 4,100 replicas behind 293 agents.
const upstreamsPerHost = 14

// cost is what one process used while it was watched.
type cost struct {
	// cores is processor time by time.
	cores    float64
	resident int64
	// bytesPerSecond counts reads and writes, of sockets above all.
	bytesPerSecond float64
}

func (c cost) String() string {
	return fmt.Sprintf("%.2f%% of a core, %.1f MB, %.0f B/s", c.cores*100, float64(c.resident)/(1<<20), c.bytesPerSecond)
}

// watch returns what each process uses in the time, with the memory at its end.
func watch(t testing.TB, procs []*harness.Proc, during time.Duration) []cost {
	t.Helper()
	began := time.Now()
	before := make([]cost, len(procs))
	for i, p := range procs {
		before[i] = cost{cores: cpuTime(t, p.PID()).Seconds(), bytesPerSecond: float64(transferred(t, p.PID()))}
	}
	<-time.After(during)
	took := time.Since(began).Seconds()
	var out []cost
	for i, p := range procs {
		out = append(out, cost{
			cores:          (cpuTime(t, p.PID()).Seconds() - before[i].cores) / took,
			resident:       residentBytes(t, p.PID()),
			bytesPerSecond: (float64(transferred(t, p.PID())) - before[i].bytesPerSecond) / took,
		})
	}
	return out
}

// mean is the mean cost of a role, and worst its greatest in each measure.
func summary(all []cost) (mean, worst cost) {
	for _, c := range all {
		mean.cores += c.cores / float64(len(all))
		mean.resident += c.resident / int64(len(all))
		mean.bytesPerSecond += c.bytesPerSecond / float64(len(all))
		worst.cores = max(worst.cores, c.cores)
		worst.resident = max(worst.resident, c.resident)
		worst.bytesPerSecond = max(worst.bytesPerSecond, c.bytesPerSecond)
	}
	return mean, worst
}

// TestReportSlopes prints what real daemons cost over the number of upstreams,
// of daemons and of requests a second, for docs/BENCHMARKS.md.
func TestReportSlopes(t *testing.T) {
	notUnderRace(t)
	t.Run("upstreams", func(t *testing.T) {
		for _, n := range upstreamSizes.numbers {
			slopeOverUpstreams(t, n)
		}
	})
	t.Run("daemons", func(t *testing.T) {
		for _, n := range daemonSizes.numbers {
			t.Run(fmt.Sprint(n), func(t *testing.T) { slopeOverDaemons(t, n) })
		}
	})
	t.Run("requests", func(t *testing.T) {
		p := newPath(t, engine.Behaviour{}, 1)
		for _, n := range rateSizes.numbers {
			slopeOverRate(t, p, n)
		}
	})
}

// slopeOverUpstreams gives one entry and one agent a configuration of n
// upstreams. The other hosts' agents are the same process.
func slopeOverUpstreams(t *testing.T, n int) {
	t.Helper()
	s := newStore(t)
	eng := harness.StartEngine(t, engine.Options{Name: "engine", Versions: versions(1)})
	agent := s.daemon(t, "agent", host)
	upstreams := map[string]*catalog.Upstream{}
	for i := range n {
		name := fmt.Sprintf("host-%d", i/upstreamsPerHost)
		upstreams[fmt.Sprintf("engine-%d", i)] = upstreamAt(name, agent.Ready.Link, eng.Ready.Address, 1)
	}
	s.publish(t, configuration(t, 1, upstreams))
	entry := s.daemon(t, "entry", "entry-0")
	waitReady(t, agent)
	waitReady(t, entry)
	<-time.After(settleTime)
	costs := watch(t, []*harness.Proc{entry, agent}, *watched)
	t.Logf("%d upstreams: entry %v; agent %v", n, costs[0], costs[1])
	entry.Kill()
	agent.Kill()
}

// entryShare is one entry in so many daemons, as 27 of 320.
const entryShare = 12

// slopeOverDaemons watches n idle daemons, each agent before one engine.
func slopeOverDaemons(t *testing.T, n int) {
	s := newStore(t)
	eng := harness.StartEngine(t, engine.Options{Name: "engine", Versions: versions(1)})
	entries := max(1, n/entryShare)
	upstreams := map[string]*catalog.Upstream{}
	var agents, fronts []*harness.Proc
	for i := range n - entries {
		name := fmt.Sprintf("host-%d", i)
		a := s.daemon(t, "agent", name)
		agents = append(agents, a)
		upstreams[fmt.Sprintf("engine-%d", i)] = upstreamAt(name, a.Ready.Link, eng.Ready.Address, 1)
	}
	s.publish(t, configuration(t, 1, upstreams))
	for i := range entries {
		fronts = append(fronts, s.daemon(t, "entry", fmt.Sprintf("entry-%d", i)))
	}
	for _, p := range append(agents, fronts...) {
		waitReady(t, p)
	}
	<-time.After(settleTime)
	costs := watch(t, append(fronts, agents...), *watched)
	logRole(t, n, "entry", costs[:entries])
	logRole(t, n, "agent", costs[entries:])
}

func logRole(t *testing.T, n int, role string, costs []cost) {
	t.Helper()
	mean, worst := summary(costs)
	t.Logf("%d daemons: mean %s %v; worst %v", n, role, mean, worst)
}

// slopeOverRate watches entry and agent at a steady rate.
func slopeOverRate(t *testing.T, p *path, rate int) {
	t.Helper()
	done := make(chan int, 1)
	go func() { done <- p.through().steady(t.Context(), rate, *watched+time.Second) }()
	<-time.After(time.Second / 2)
	costs := watch(t, []*harness.Proc{p.entry, p.agent}, *watched)
	if failed := <-done; failed > 0 {
		t.Errorf("%d requests failed", failed)
	}
	t.Logf("%d requests/s: entry %v; agent %v", rate, costs[0], costs[1])
}
