package fleet

import (
	"testing"
	"time"
)

func TestNotices(t *testing.T) {
	var n Notices
	now := time.Unix(1000, 0)
	a, b := Upstream{ID: "a", Born: 1}, Upstream{ID: "b", Born: 1}
	all := []Upstream{a, b}
	open := func(at time.Time, ups ...Upstream) (ids string, rest time.Duration) {
		got, rest := n.Available(ups, at)
		for _, u := range got {
			ids += u.ID
		}
		return ids, rest
	}
	want := func(what string, at time.Time, ids string, rest time.Duration) {
		t.Helper()
		if got, left := open(at, all...); got != ids || left != rest {
			t.Errorf("%s: %q open, rest %v; want %q and %v", what, got, left, ids, rest)
		}
	}
	want("no notices", now, "ab", 0)
	n.PauseUntil(a, now.Add(3*time.Second))
	n.PauseUntil(a, now.Add(time.Second))
	want("a shorter time asked for later", now.Add(2*time.Second), "b", 0)
	n.PauseUntil(b, now.Add(4*time.Second))
	want("all rest", now.Add(time.Second), "", 2*time.Second)
	want("the first rest is over", now.Add(3*time.Second), "a", 0)
	if !n.Leave(b, false) || n.Leave(b, true) {
		t.Error("Leave must report only the first notice as new")
	}
	want("one leaves, the other rests", now.Add(time.Second), "", 2*time.Second)
	want("one leaves", now.Add(time.Minute), "a", 0)
	if leaving := n.AnnouncedLeaving(all); len(leaving) != 1 || leaving[0] != b {
		t.Errorf("AnnouncedLeaving returned %v", leaving)
	}
	n.Forget(nil, now.Add(time.Minute)) // its row is missing for a moment
	want("a row that was missing", now.Add(time.Minute), "a", 0)
	if got, _ := open(now.Add(time.Minute), Upstream{ID: "b", Born: 2}); got != "b" {
		t.Error("a notice of the previous boot is applied to the next one")
	}
}
