package bench

import (
	"context"
	"flag"
	"io"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// The size of a report; the defaults make a short one.
var (
	pairs   = flag.Int("pairs", 200, "requests sent alternately straight and through the product")
	streams = flag.Int("streams", 10, "streams read alternately straight and through the product")
	callers = flag.Int("callers", 32, "callers of the flood")
	during  = flag.Duration("during", time.Second, "time of the flood")
	idle    = flag.Int("idle", 200, "idle streams opened for the slope of memory")
)

// tokens of an answer in the report.
const tokens = 32

// tokenPause is the engine's pause between tokens, in milliseconds.
const tokenPause = 2

func TestMain(m *testing.M) { harness.Main(m) }

// TestReport prints what entry and agent add to the same load sent straight to
// the engine. It fails when a request fails; times are for docs/BENCHMARKS.md.
func TestReport(t *testing.T) {
	notUnderRace(t)
	t.Run("latency", reportLatency)
	t.Run("tokens", reportTokens)
	t.Run("flood", reportFlood)
	t.Run("idle streams", reportIdle)
}

// notUnderRace leaves a report out where its figures would say nothing.
func notUnderRace(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("figures under the race detector say nothing")
	}
}

func logPair(t *testing.T, what string, direct, through times) {
	t.Helper()
	for _, q := range []float64{50, 95, 99} {
		d, p := direct.at(q), through.at(q)
		t.Logf("%s p%.0f: straight %v, product %v, added %v", what, q, d, p, p-d)
	}
}

func reportLatency(t *testing.T) {
	p := newPath(t, engine.Behaviour{}, 1)
	through, direct := p.through(), p.direct()
	ours, theirs := newTimes(), newTimes()
	one := func(g target, h times, keep bool) {
		d, err := g.unary(t.Context(), tokens)
		if err != nil {
			t.Fatal(err)
		}
		if keep {
			h.observe(d)
		}
	}
	warmUp := *pairs / 10
	for i := range *pairs + warmUp {
		one(direct, theirs, i >= warmUp)
		one(through, ours, i >= warmUp)
	}
	logPair(t, "unary answer", theirs, ours)
}

func reportTokens(t *testing.T) {
	p := newPath(t, engine.Behaviour{TokenMs: tokenPause}, 1)
	through, direct := p.through(), p.direct()
	ours, theirs := newTimes(), newTimes()
	oursFirst, theirsFirst := newTimes(), newTimes()
	one := func(g target, gaps, first times) {
		d, err := g.streamed(t.Context(), tokens, gaps.observe)
		if err != nil {
			t.Fatal(err)
		}
		first.observe(d)
	}
	for range *streams {
		one(direct, theirs, theirsFirst)
		one(through, ours, oursFirst)
	}
	logPair(t, "first token", theirsFirst, oursFirst)
	logPair(t, "pause between tokens", theirs, ours)
	t.Logf("mean pause: straight %v, product %v", time.Duration(theirs.Mean()), time.Duration(ours.Mean()))
}

func reportFlood(t *testing.T) {
	p := newPath(t, engine.Behaviour{}, 1)
	g := p.through()
	if _, failed := g.flood(t.Context(), *callers, tokens, *during/4); failed > 0 {
		t.Errorf("%d requests failed while warming up", failed)
	}
	entry, agent := cpuTime(t, p.entry.PID()), cpuTime(t, p.agent.PID())
	began := time.Now()
	answered, failed := g.flood(t.Context(), *callers, tokens, *during)
	took := time.Since(began)
	entry, agent = cpuTime(t, p.entry.PID())-entry, cpuTime(t, p.agent.PID())-agent
	if failed > 0 || answered == 0 {
		t.Errorf("%d requests failed, %d were answered", failed, answered)
	}
	t.Logf("%d callers, %d answered in %v: %.0f requests/s", *callers, answered, took, float64(answered)/took.Seconds())
	t.Logf("processor time of a request: entry %v, agent %v", entry/time.Duration(answered), agent/time.Duration(answered))
	t.Logf("requests a second for each core of entry and agent together: %.0f", float64(answered)/(entry+agent).Seconds())
}

// idleSteps is the number of points of the slope of memory.
const idleSteps = 4

// idleVersions spreads the streams, since admission lets few requests of one
// version run before any of them has ended.
const idleVersions = 40

// settleTime lets a process collect garbage between two points.
const settleTime = 3 * time.Second

func reportIdle(t *testing.T) {
	p := newPath(t, engine.Behaviour{TokenMs: time.Hour.Seconds() * 1000}, idleVersions)
	var targets []target
	for _, v := range versions(idleVersions) {
		targets = append(targets, newTarget(p.entry.Ready.Caller, v))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var open, entry, agent []float64
	point := func(n int) {
		<-time.After(settleTime)
		open = append(open, float64(n))
		entry = append(entry, float64(residentBytes(t, p.entry.PID())))
		agent = append(agent, float64(residentBytes(t, p.agent.PID())))
		t.Logf("%d open streams: entry %.0f KB, agent %.0f KB", n, entry[len(entry)-1]/1024, agent[len(agent)-1]/1024)
	}
	point(0)
	for n := 1; n <= *idle; n++ {
		body, err := targets[n%idleVersions].send(ctx, true, tokens)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(body, make([]byte, len("data: "))); err != nil {
			t.Fatal(err)
		}
		if n%(*idle/idleSteps) == 0 {
			point(n)
		}
	}
	e, a := slope(open, entry), slope(open, agent)
	t.Logf("memory of an idle stream (slope): entry %.0f B, agent %.0f B (with its connection to the engine), together %.1f KB", e, a, (e+a)/1024)
}
