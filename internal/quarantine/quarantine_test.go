package quarantine

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// attempt is one that had begun its answer, from and to in milliseconds.
func attempt(boot Boot, request uint64, from, to int, features ...Feature) Attempt {
	request += firstRequest
	return Attempt{Boot: boot, Request: request, Features: append(features, Feature(request)), SentAt: at(from), EndedAt: at(to), Began: true}
}

// strike records an attempt whose upstream crashed when it ended.
func (t *Tracker) strikeNow(a Attempt) {
	t.Unanswered(a, a.EndedAt)
	t.Crashed(a.Boot, a.EndedAt, a.EndedAt)
}

// firstRequest keeps requests apart from features.
const firstRequest = 1 << 20

const (
	shared Feature = iota + 1 // in most prompts
	topic
	dead
	other
)

func TestHold(t *testing.T) {
	now := at(5000)
	for _, c := range []struct {
		name string
		play func(*Tracker)
		want Verdict
	}{
		{"one crash after another", func(k *Tracker) {
			k.strikeNow(attempt(1, 1, 0, 100, dead))
			k.strikeNow(attempt(2, 1, 100, 200, dead))
			k.strikeNow(attempt(3, 2, 300, 400, dead))
		}, Held},
		{"one request alone", func(k *Tracker) {
			for i := range 3 {
				k.strikeNow(attempt(Boot(i), 1, i*200, i*200+100, dead))
			}
		}, Suspect},
		{"many upstreams that crash together", func(k *Tracker) {
			for i := range 6 {
				k.strikeNow(attempt(Boot(i), uint64(i), i, 300+i, dead))
			}
		}, Free},
		{"connections that break although no upstream crashes", func(k *Tracker) {
			for i := range 9 {
				k.Unanswered(attempt(Boot(i), uint64(i), i*200, i*200+100, dead), at(i*200+100))
			}
		}, Free},
		{"an answer in between", func(k *Tracker) {
			k.strikeNow(attempt(1, 1, 0, 100, dead))
			k.strikeNow(attempt(2, 2, 100, 200, dead))
			k.Answered([]Feature{dead}, 0, at(250))
			k.strikeNow(attempt(3, 3, 300, 400, dead))
		}, Free},
		{"a feature with earlier answers", func(k *Tracker) {
			k.Answered([]Feature{dead}, 0, at(-10))
			for i := range 3 {
				k.strikeNow(attempt(Boot(i), uint64(i), i*200, i*200+100, dead))
			}
		}, Free},
		{"more crashes under a feature with earlier answers", func(k *Tracker) {
			k.Answered([]Feature{dead}, 0, at(-10))
			for i := range 5 {
				k.strikeNow(attempt(Boot(i), uint64(i), i*200, i*200+100, dead))
			}
		}, Held},
		{"requests that only waited", func(k *Tracker) {
			for i := range 3 {
				a := attempt(Boot(i), uint64(i), i*200, i*200+100, dead)
				a.Began = false
				k.strikeNow(a)
			}
		}, Free},
		{"answers given up just before the crash", func(k *Tracker) {
			for i := range 6 {
				a := attempt(Boot(i), uint64(i), i*200, i*200+100, dead)
				a.GivenUp = true
				k.Unanswered(a, a.EndedAt)
				k.Crashed(a.Boot, at(i*200+160), at(i*200+170))
			}
		}, Held},
		{"answers given up long before the crash", func(k *Tracker) {
			for i := range 6 {
				a := attempt(Boot(i), uint64(i), i*200, i*200+100, dead)
				a.GivenUp = true
				k.Unanswered(a, a.EndedAt)
				k.Crashed(a.Boot, at(i*200+500), at(i*200+500))
			}
		}, Free},
		{"strikes of peers, told several times", func(k *Tracker) {
			k.strikeNow(attempt(1, 1, 0, 100, dead))
			for range 3 {
				k.Struck([]Attempt{attempt(2, 2, 150, 200, dead)}, at(220))
			}
		}, Suspect},
		{"strikes of peers", func(k *Tracker) {
			k.strikeNow(attempt(1, 1, 0, 100, dead))
			k.Struck([]Attempt{attempt(2, 2, 150, 200, dead), attempt(3, 3, 250, 300, dead)}, at(320))
		}, Held},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewTracker()
			c.play(k)
			if got, _ := k.Judge([]Feature{shared, dead}, now); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
		})
	}
}

// tainted has three strikes of requests with two features that had no answer, and one that
// had.
func tainted(t *testing.T) *Tracker {
	k := NewTracker()
	for i := range 5 {
		k.strikeNow(attempt(Boot(i), uint64(i), i*200, i*200+100, shared, topic, dead))
		k.Answered([]Feature{shared}, 0, at(i*200+10))
	}
	if v, _ := k.Judge([]Feature{shared, topic, dead}, at(2000)); v != Held {
		t.Fatalf("verdict %d", v)
	}
	return k
}

// TestHoldSparesWhatSharesTheRest: as long as it is not known which of two parts is to
// blame, only requests with both are held.
func TestHoldSparesWhatSharesTheRest(t *testing.T) {
	judge := func(k *Tracker, features ...Feature) bool {
		v, _ := k.Judge(features, at(3000))
		return v == Held
	}
	k := tainted(t)
	if judge(k, shared, topic) || judge(k, shared, dead, other) {
		t.Error("requests with one of two suspects are held")
	}
	k.Answered([]Feature{shared, topic}, 0, at(2100))
	if judge(k, shared, topic) || !judge(k, dead, other) {
		t.Error("an answer with one of the two does not hold the other")
	}
	k = tainted(t)
	k.strikeNow(attempt(8, 8, 2100, 2200, shared, dead, other))
	k.strikeNow(attempt(9, 9, 2200, 2300, shared, dead))
	if !judge(k, dead) || judge(k, shared, topic) {
		t.Error("crashes without the topic do not widen the hold")
	}
	k.Answered([]Feature{dead}, 0, at(2400))
	if judge(k, shared, topic, dead) {
		t.Error("an answer does not end the hold")
	}
}

// TestRequestIsHeldWithoutItsParts: what one request holds is not to blame for it, until
// other requests with that crash upstreams too.
func TestRequestIsHeldWithoutItsParts(t *testing.T) {
	k := NewTracker()
	for i := range 4 {
		k.strikeNow(attempt(Boot(i), 1, i*200, i*200+100, topic, dead))
	}
	judge := func(request Feature, features ...Feature) Verdict {
		v, _ := k.Judge(append(features, firstRequest+request), at(3000))
		return v
	}
	if judge(1, topic, dead) != Held || judge(2, topic, dead) == Held {
		t.Fatalf("holds %+v", k.Holds())
	}
	k.strikeNow(attempt(9, 2, 900, 1000, other, dead))
	k.strikeNow(attempt(10, 3, 1100, 1200, other, dead))
	if judge(4, other, dead) != Held || judge(4, topic) == Held {
		t.Errorf("after other requests: holds %+v", k.Holds())
	}
}

// TestCrashesThatAHoldExplains: sound requests wait beside deadly ones at every crash.
func TestCrashesThatAHoldExplains(t *testing.T) {
	k := NewTracker()
	for i := range 8 {
		boot := Boot(i)
		waiting := attempt(boot, 100+uint64(i), i*200, i*200+100, shared, other)
		waiting.Began = false
		k.Unanswered(waiting, waiting.EndedAt)
		k.strikeNow(attempt(boot, uint64(i), i*200, i*200+100, dead))
	}
	if v, _ := k.Judge([]Feature{dead}, at(2000)); v != Held {
		t.Errorf("the deadly part: %d", v)
	}
	if v, _ := k.Judge([]Feature{shared, topic}, at(2000)); v != Free {
		t.Errorf("a sound part: %d", v)
	}
}

func TestHoldEndsAndIsLifted(t *testing.T) {
	k := tainted(t)
	if c := k.Prune(at(2000).Add(HoldTime)); len(c) != 1 || !c[0].Released {
		t.Errorf("changes at the end of the hold: %+v", c)
	}
	k = tainted(t)
	h := k.Holds()[0]
	if k.Lift(h.Name); len(k.Holds()) != 0 {
		t.Error("the hold is not lifted")
	}
	if k.Restore(h); len(k.Holds()) != 1 {
		t.Error("the hold is not restored")
	}
	other := NewTracker()
	for _, f := range h.Features {
		other.Answered([]Feature{f}, 0, h.Since.Add(time.Second))
	}
	if other.Restore(h) {
		t.Error("a hold whose features had answers is restored")
	}
}

func TestReportRepeatsOwnStrikesAlone(t *testing.T) {
	k := NewTracker()
	k.Answered([]Feature{shared}, 0, at(-5000))
	k.strikeNow(attempt(1, 1, 0, 100, shared, dead))
	k.Struck([]Attempt{attempt(2, 2, 0, 100, shared, dead)}, at(110))
	r := k.Report(time.Second, at(200))
	if len(r.Strikes) != 1 || len(r.Crashes) != 1 || len(r.Clearances) != 1 || r.Clearances[0].Feature != shared {
		t.Errorf("report %+v", r)
	}
	peer := NewTracker()
	peer.Hear(r, at(210))
	if again := peer.Report(time.Second, at(220)); len(again.Strikes)+len(again.Clearances) != 0 {
		t.Errorf("a peer repeats what it has heard: %+v", again)
	}
	if r := k.Report(time.Second, at(5000)); !r.Empty() {
		t.Errorf("old news: %+v", r)
	}
}
