package gateway

import (
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// trackerWithOrder returns a tracker with an order for version v2 and twenty usual answers
// of the old version.
func trackerWithOrder(now time.Time) *shiftTracker {
	tr := newShiftTracker(0.15)
	o := observation{service: "s", version: "v1", upstream: "u", eventGapMS: 10}
	o.setLatency(100*time.Millisecond, 100*time.Millisecond)
	for range 20 {
		tr.observe(o, now)
	}
	tr.applyOrder(versionshift.Order{Service: "s", To: "v2", Rev: 5}, false)
	return tr
}

func TestSlowAnswersCountAgainstAVersion(t *testing.T) {
	now := processStart.Add(time.Minute)
	for _, c := range []struct {
		name           string
		took, expected time.Duration
		gap            float64
		failed, bad    bool
	}{
		{"usual", 100 * time.Millisecond, 100 * time.Millisecond, 10, false, false},
		{"first event late", 900 * time.Millisecond, 100 * time.Millisecond, 10, false, true},
		{"late as expected", 900 * time.Millisecond, 900 * time.Millisecond, 10, false, false},
		{"late by little", 200 * time.Millisecond, 0, 10, false, false},
		{"slow pace", 100 * time.Millisecond, 100 * time.Millisecond, 80, false, true},
		{"failed", 10 * time.Millisecond, 100 * time.Millisecond, 0, true, true},
	} {
		tr := trackerWithOrder(now)
		o := observation{service: "s", version: "v2", upstream: "n", eventGapMS: c.gap, failed: c.failed}
		o.setLatency(c.took, c.expected)
		tr.observe(o, now)
		e := tr.evidence("s", now).Sum()
		got := e.New[peers.Hash("n")]
		if (got.Bad == 1) != c.bad || got.Good+got.Bad != 1 {
			t.Errorf("%s: %+v", c.name, e)
		}
	}
}

// TestLatencyIsNoEvidenceOnceLoadsDiffer guards against withdrawing good versions for slow
// answers that their load explains: their callers waited for one another while few
// upstreams were filled (khl-galley, quiet-1), and all long prompts slowed the new
// version's answers once it had all the work (lemnotrat-cert, quiet-1). Failures still
// count.
func TestLatencyIsNoEvidenceOnceLoadsDiffer(t *testing.T) {
	now := processStart.Add(time.Minute)
	for phase, counts := range map[versionshift.Phase]bool{
		versionshift.Trial: true, versionshift.LoadTest: false, versionshift.Moved: false,
	} {
		tr := trackerWithOrder(now)
		tr.applyState(versionshift.State{Service: "s", To: "v2", Order: 5, Phase: phase, Within: time.Minute}, 9)
		slow := observation{service: "s", version: "v2", upstream: "n", eventGapMS: 80}
		slow.setLatency(900*time.Millisecond, 100*time.Millisecond)
		if tr.isSlow(slow) != counts || tr.observe(slow, now) != counts {
			t.Errorf("phase %s: a slow answer counts against the version: %t", phase, !counts)
		}
		if !tr.observe(observation{service: "s", version: "v2", upstream: "n", failed: true}, now) {
			t.Errorf("phase %s: a failure does not count", phase)
		}
	}
}

// TestEvidenceIgnoresTheTimeOfDay checks that evidence expires by the monotonic clock when
// the wall clock jumps.
func TestEvidenceIgnoresTheTimeOfDay(t *testing.T) {
	now := processStart.Add(time.Minute)
	tr := trackerWithOrder(now)
	o := observation{service: "s", version: "v2", upstream: "n", failed: true}
	for i := range 3 {
		tr.observe(o, now.Add(time.Duration(i)*time.Second))
	}
	if e := tr.evidence("s", now.Add(3*time.Second)).Sum(); e.New[peers.Hash("n")].Bad != 3 || len(e.New) != 1 {
		t.Errorf("evidence %+v", e)
	}
	if e := tr.evidence("s", now.Add(2*versionshift.EvidenceWindow)).Sum(); len(e.New) != 0 {
		t.Errorf("old evidence still counts: %+v", e)
	}
	if monotonicSecond(now.Add(time.Second)) != monotonicSecond(now)+1 {
		t.Error("seconds do not follow the monotonic clock")
	}
}

func TestEvidenceOfAnEarlierOrderIsForgotten(t *testing.T) {
	now := processStart.Add(time.Minute)
	tr := trackerWithOrder(now)
	tr.observe(observation{service: "s", version: "v2", upstream: "n", failed: true}, now)
	tr.applyOrder(versionshift.Order{Service: "s", To: "v3", Rev: 9}, false)
	if e := tr.evidence("s", now).Sum(); len(e.New) != 0 || e.GoodTotal != 0 {
		t.Errorf("evidence %+v", e)
	}
}

// noPeers is the state of a gateway that has received nothing from peers.
var noPeers = peerShiftState{sessions: func(string) (bool, bool) { return false, false }}

// TestTrialContinuesOnOtherUpstreams checks that a request moves to the other upstreams of
// a version when the few upstreams of its trial are dead. The failure was seen in
// lemnotrat, scale-1.
func TestTrialContinuesOnOtherUpstreams(t *testing.T) {
	now := processStart.Add(time.Minute)
	tr := trackerWithOrder(now)
	tr.applyState(versionshift.State{Service: "s", To: "v2", Order: 5, Phase: versionshift.Trial, Within: time.Minute}, 9)
	ups := make([]fleet.Upstream, 0, 24)
	for i := range 24 {
		ups = append(ups, fleet.Upstream{ID: string(rune('a' + i)), Service: "s", Version: []string{"v1", "v2"}[i%2]})
	}
	count := func(again bool) int {
		ups, _ := tr.allowedUpstreams(shiftQuery{service: "s", retried: again}, ups, now, noPeers)
		return len(ups)
	}
	if first, next := count(false), count(true); first != 2 || next != 12 {
		t.Errorf("%d upstreams for the first try, %d for the next; want 2 and 12", first, next)
	}
}
