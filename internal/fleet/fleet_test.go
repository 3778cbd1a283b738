package fleet

import (
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

func up() Upstream { return Upstream{ID: "a", Service: "s", Address: "a:1", Version: "v1"} }

func ids(f *Fleet) int { return len(f.ByService()["s"]) }

func TestRemovalWaitsForTheGrace(t *testing.T) {
	f := New()
	f.Put(up(), 5)
	f.Remove("a", 6, t0.Add(2*time.Second))
	if gone := f.Expire(t0); len(gone) != 0 || ids(f) != 1 {
		t.Errorf("dropped before the grace period: %v", gone)
	}
	if gone := f.Expire(t0.Add(2 * time.Second)); len(gone) != 1 || ids(f) != 0 {
		t.Errorf("dropped after the grace period: %v", gone)
	}
}

// TestOneOfManyIsGoneAtOnce checks that an upstream is dropped at once when most rows of
// its service remain, whatever happened to the store. It guards against a fault seen in
// lemnotrat, where a gateway that had been cut off kept using a leaving upstream.
func TestOneOfManyIsGoneAtOnce(t *testing.T) {
	f := New()
	for i, id := range []string{"a", "b", "c", "d"} {
		u := up()
		u.ID = id
		f.Put(u, uint64(i+1))
	}
	f.Remove("a", 9, t0.Add(time.Hour))
	if gone := f.Expire(t0); len(gone) != 1 || ids(f) != 3 {
		t.Errorf("dropped: %v", gone)
	}
	f.Remove("b", 10, t0.Add(time.Hour))
	f.Remove("c", 10, t0.Add(time.Hour))
	if gone := f.Expire(t0); len(gone) != 0 || ids(f) != 3 {
		t.Errorf("most rows expired, dropped at once: %v", gone)
	}
	if gone := f.Expire(t0.Add(time.Hour)); len(gone) != 2 {
		t.Errorf("dropped after the grace period: %v", gone)
	}
}

func TestEntryThatComesBackIsKept(t *testing.T) {
	f := New()
	f.Put(up(), 5)
	f.RemoveOthers(nil, t0.Add(2*time.Second))
	f.Put(up(), 10)
	if gone := f.Expire(t0.Add(time.Minute)); len(gone) != 0 || ids(f) != 1 {
		t.Errorf("dropped: %v", gone)
	}
}

// TestUnusableRows: only the first of several rows that name no upstream to use is news, and
// the upstream that the row named before is dropped at once.
func TestUnusableRows(t *testing.T) {
	f := New()
	f.Put(up(), 5)
	if !f.RemoveUnusable("a", 6) || f.RemoveUnusable("a", 7) {
		t.Error("want the first row alone to be news")
	}
	if gone := f.Expire(t0); len(gone) != 1 || ids(f) != 0 {
		t.Errorf("dropped: %v", gone)
	}
	for name, end := range map[string]func(){
		"removed": func() { f.Remove("a", 8, t0) }, "missing from a list": func() { f.RemoveOthers(map[string]bool{"b": true}, t0) },
		"sound": func() { f.Put(up(), 8) },
	} {
		end()
		if !f.RemoveUnusable("a", 9) {
			t.Errorf("unusable again after it was %s, and no news", name)
		}
		f.RemoveOthers(map[string]bool{"a": false}, t0)
		if f.RemoveUnusable("a", 10) {
			t.Error("a list that still holds the row makes it news again")
		}
	}
}

// TestOldRowsAreIgnored checks that a row or a removal that is older than the known row
// changes nothing.
func TestOldRowsAreIgnored(t *testing.T) {
	f := New()
	leaving := up()
	leaving.Leaving = true
	f.Put(leaving, 7)
	if f.Put(up(), 6) || ids(f) != 0 {
		t.Error("an old row made a leaving upstream available")
	}
	f.Put(up(), 8)
	f.Remove("a", 7, t0)
	if gone := f.Expire(t0.Add(time.Second)); len(gone) != 0 {
		t.Error("an old removal dropped an upstream")
	}
}

func TestSecondListDoesNotExtendTheGrace(t *testing.T) {
	f := New()
	f.Put(up(), 5)
	f.RemoveOthers(nil, t0.Add(time.Second))
	f.RemoveOthers(nil, t0.Add(time.Hour))
	if gone := f.Expire(t0.Add(time.Second)); len(gone) != 1 {
		t.Error("a second list extended the grace period of the first")
	}
}

func TestLeavingTakesNothingNew(t *testing.T) {
	f := New()
	u := up()
	u.Leaving = true
	f.Put(u, 1)
	if ids(f) != 0 || f.Len() != 1 {
		t.Error("a leaving upstream is available for new requests")
	}
}
