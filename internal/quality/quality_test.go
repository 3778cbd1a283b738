package quality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWilsonCoversTheTrueShare(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	const runs, n, share = 4000, 200, 0.95
	below := 0
	for range runs {
		good := 0.0
		for range n {
			if rnd.Float64() < share {
				good++
			}
		}
		if low, _ := Wilson(good, n, DefaultZ); low > share {
			below++
		}
	}
	if rate := float64(below) / runs; rate > 0.06 {
		t.Errorf("the lower bound was above the true share in %.3f of the runs, want about 0.05", rate)
	}
	if low, high := Wilson(0, 0, DefaultZ); low != 0 || high != 1 {
		t.Errorf("without trials the bounds are %v and %v", low, high)
	}
}

func TestDeltasMergeInAnyOrder(t *testing.T) {
	k := Key{Class: "tag", Via: "auto", Version: "small@1"}
	deltas := []Delta{
		RatingDelta(true), RatingDelta(false), DraftDelta(true), DraftDelta(false), DraftDelta(false),
		AnswerDelta(time.Second, 10, 0), AnswerDelta(3*time.Second, 30, 0),
	}
	one, merged := NewEstimator(Settings{}), NewEstimator(Settings{})
	var sum Delta
	for i := range deltas {
		one.Add(k, deltas[i], epoch)
		sum.Add(deltas[len(deltas)-1-i])
	}
	merged.Add(k, sum, epoch)
	a, _ := one.View(epoch).Get(k)
	b, _ := merged.View(epoch).Get(k)
	if a != b {
		t.Errorf("one by one %+v, merged %+v", a, b)
	}
	if a.Mean != 0.5 || math.Abs(a.Escalation-1.0/3) > 1e-9 || a.OutputTokens != 20 || a.Latency != 2*time.Second {
		t.Errorf("estimate is %+v", a)
	}
	if got := ParseKey(k.SampleClass(), k.Version); got != k {
		t.Errorf("ParseKey returned %+v", got)
	}
}

func TestBoundsWidenWithoutRatings(t *testing.T) {
	b := NewEstimator(Settings{})
	k := Key{Version: "small@1"}
	b.Add(k, Delta{Good: 190, Bad: 10}, epoch)
	last, _ := b.View(epoch).Get(k)
	for hours := 12; hours <= 24*28; hours += 12 {
		e, _ := b.View(epoch.Add(time.Duration(hours) * time.Hour)).Get(k)
		if e.Low >= last.Low || e.High <= last.High || math.Abs(e.Mean-0.95) > 1e-9 {
			t.Fatalf("after %d h the estimate went from %+v to %+v", hours, last, e)
		}
		last = e
	}
	if b.View(epoch.Add(time.Hour)).Fresh() {
		t.Error("ratings count as fresh an hour after the newest one")
	}
}

func TestEstimateFollowsAChangedVersion(t *testing.T) {
	b := NewEstimator(Settings{Window: 500})
	k := Key{Version: "small@1"}
	b.Add(k, Delta{Good: 5000, Bad: 5000}, epoch)
	for range 1500 {
		b.Add(k, RatingDelta(true), epoch)
	}
	e, _ := b.View(epoch).Get(k)
	if e.Ratings > 500 || e.Low < 0.95 {
		t.Errorf("after three windows of good ratings the estimate is %+v", e)
	}
}

func TestImportRestoresAnExportedEstimator(t *testing.T) {
	b := NewEstimator(Settings{})
	k := Key{Class: "tag", Via: "auto", Version: "small@1"}
	b.Add(k, Delta{Good: 19, Bad: 1, Kept: 3, Escalated: 1}, epoch)
	b.Add(k, AnswerDelta(2*time.Second, 64, 0), epoch)
	b.Add(Key{Class: "note", Version: "small@1"}, RatingDelta(true), epoch)
	other := NewEstimator(Settings{})
	other.Import(b.Export())
	now := epoch.Add(time.Hour)
	for key, want := range b.View(now).estimates {
		if got, _ := other.View(now).Get(key); got != want {
			t.Errorf("%+v is %+v after the import, was %+v", key, got, want)
		}
	}
	if other.View(now).Len() != 2 || other.View(now).Fresh() {
		t.Error("the import lost a key or the time of the newest rating")
	}
	b.RemoveVersion("small@1")
	if b.View(now).Len() != 0 {
		t.Error("estimates of a removed version remain")
	}
}

func TestLatencyIsLongTermWithoutRecentAnswers(t *testing.T) {
	b := NewEstimator(Settings{})
	k := Key{Version: "small@1"}
	for range 500 {
		b.Add(k, AnswerDelta(time.Second, 10, 0), epoch)
	}
	for range 200 {
		b.Add(k, AnswerDelta(20*time.Second, 10, 0), epoch)
	}
	busy, _ := b.View(epoch).Get(k)
	left, _ := b.View(epoch.Add(time.Minute)).Get(k)
	if busy.Latency < 19*time.Second || left.Latency > 8*time.Second {
		t.Errorf("latency is %v while it answers, %v after a minute without", busy.Latency, left.Latency)
	}
}

func TestASuccessorStartsFromItsPredecessor(t *testing.T) {
	b := NewEstimator(Settings{})
	from, to := Key{Version: "small@1"}, Key{Version: "small@2"}
	b.Add(from, Delta{Good: 570, Bad: 30}, epoch)
	b.Add(to, Delta{Good: 100}, epoch)
	v := b.View(epoch)
	e, ok := v.Successor(to, from.Version, 400)
	if want := (100 + 300*0.95) / 400; !ok || math.Abs(e.Ratings-400) > 1e-9 || math.Abs(e.Mean-want) > 1e-9 {
		t.Errorf("estimate is %+v, want 400 ratings with a mean of %v", e, want)
	}
	alone, _ := v.Get(to)
	if full, _ := v.Successor(to, from.Version, 50); full != alone {
		t.Errorf("with enough ratings of its own the estimate is %+v, want %+v", full, alone)
	}
	if _, ok := v.Successor(Key{Version: "x@2"}, "x@1", 400); ok {
		t.Error("Successor returned an estimate without observations")
	}
}

// TestQueueAppliesToEveryClass queues long answers of one class: the wait must
// appear in the estimates of the other class, and must not raise the long-term
// latencies.
func TestQueueAppliesToEveryClass(t *testing.T) {
	b := NewEstimator(Settings{})
	long, short := Key{Class: "plan", Version: "small@1"}, Key{Class: "note", Version: "small@1"}
	const service, slots, queued = 10 * time.Second, 6, 12
	wait := service * queued / slots
	for range 100 {
		b.Add(short, AnswerDelta(time.Second, 10, 0), epoch)
		b.Add(long, AnswerDelta(service, 100, 0), epoch)
	}
	for range 1000 {
		b.Add(long, AnswerDelta(service+wait, 100, Backlog(queued, slots)), epoch)
	}
	view := b.View(epoch)
	e, _ := view.Get(short)
	l, _ := view.Get(long)
	if e.Wait != l.Wait || e.Wait < wait*9/10 || e.Wait > wait*11/10 {
		t.Errorf("the wait is %v and %v, want %v", e.Wait, l.Wait, wait)
	}
	if l.Latency > service*11/10 || e.Latency != time.Second {
		t.Errorf("without the queue the latencies are %v and %v", l.Latency, e.Latency)
	}
	if left, _ := b.View(epoch.Add(time.Minute)).Get(short); left.Wait != 0 {
		t.Errorf("a minute after the last answer the wait is %v", left.Wait)
	}
}

// TestSlowVersionWithAQueueIsDetected makes every answer take twice as long while
// all of them wait: latency and wait together must include the slowdown.
func TestSlowVersionWithAQueueIsDetected(t *testing.T) {
	b := NewEstimator(Settings{})
	k := Key{Version: "small@1"}
	const service, backlog = time.Second, 2
	for range 100 {
		b.Add(k, AnswerDelta(service, 10, 0), epoch)
	}
	for range 1000 {
		b.Add(k, AnswerDelta(2*service*(1+backlog), 10, backlog), epoch)
	}
	e, _ := b.View(epoch).Get(k)
	if total, want := e.Latency+e.Wait, 2*service*(1+backlog); total < want*9/10 || total > want*11/10 {
		t.Errorf("latency %v and wait %v, want %v together", e.Latency, e.Wait, want)
	}
}
