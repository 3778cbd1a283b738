package publish

import (
	"testing"

	"pgregory.net/rapid"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// line makes n consecutive states and the deltas between them.
func line(t testing.TB, history string, n int) ([]State, []*linkv1.Delta) {
	t.Helper()
	first, err := empty(history)
	if err != nil {
		t.Fatal(err)
	}
	states := []State{first}
	var deltas []*linkv1.Delta
	for i := range n {
		last := states[len(states)-1]
		d := catalog.Delta{Puts: []catalog.Object{upstreamObject("u", i)}}
		set, err := last.Set.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		next := State{Revision: last.Revision + 1, Digest: set.Digest(), History: history, Set: set}
		states = append(states, next)
		deltas = append(deltas, toWire(d, next))
	}
	return states, deltas
}

// TestLogNeverGoesBack feeds deltas and snapshots in any order, late, twice
// and with gaps.
func TestLogNeverGoesBack(t *testing.T) {
	const n = 40
	states, deltas := line(t, "h", n)
	rapid.Check(t, func(t *rapid.T) {
		var l Log
		highest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			from := rapid.IntRange(1, n).Draw(t, "from")
			to := rapid.IntRange(from, n).Draw(t, "to")
			if rapid.Bool().Draw(t, "snapshot") {
				_ = l.Install(states[to])
			} else {
				_ = l.Append(deltas[from-1 : to])
			}
			current := l.Current()
			if current.Revision < highest {
				t.Fatalf("went back from %d to %d", highest, current.Revision)
			}
			highest = current.Revision
			if current.Set != nil && current.Digest != states[highest].Digest {
				t.Fatalf("revision %d has the wrong digest", highest)
			}
			after := uint64(rapid.IntRange(0, n).Draw(t, "since"))
			if kept, ok := l.Since(after); ok && after < highest && (len(kept) != int(highest-after) || kept[0].GetRevision() != after+1) {
				t.Fatalf("Since(%d) at %d gave %d deltas", after, highest, len(kept))
			}
		}
	})
}

func TestLogRelatesAHead(t *testing.T) {
	states, deltas := line(t, "h", 5)
	var l Log
	if got := l.Relate(Head{}); got != HeadEqual {
		t.Errorf("empty against empty: %v", got)
	}
	if err := l.Install(states[2]); err != nil {
		t.Fatal(err)
	}
	if err := l.Append(deltas[2:4]); err != nil {
		t.Fatal(err)
	}
	head := func(s State) Head { return Head{Revision: s.Revision, Digest: s.Digest, History: s.History} }
	other := head(states[3])
	other.Digest = states[1].Digest
	tests := []struct {
		name string
		head Head
		want Relation
	}{
		{"the same", head(states[4]), HeadEqual},
		{"higher", head(states[5]), HeadAhead},
		{"earlier", head(states[3]), HeadBehind},
		{"lost", Head{}, HeadBehind},
		{"earlier than is known", head(states[1]), HeadForeign},
		{"earlier of another line", other, HeadForeign},
		{"other history", Head{Revision: 3, Digest: states[3].Digest, History: "x"}, HeadForeign},
	}
	for _, tt := range tests {
		if got := l.Relate(tt.head); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestLogRefusesADeltaOfAnotherLine(t *testing.T) {
	states, deltas := line(t, "h", 3)
	var l Log
	wantCode(t, l.Append(deltas), result.NoConfiguration)
	_ = l.Install(states[1])
	bad := deltas[1]
	bad.Digest = states[3].Digest
	wantCode(t, l.Append([]*linkv1.Delta{bad}), result.DeltaBroken)
	wantCode(t, l.Append(deltas[2:]), result.DeltaBroken)
	if l.Current().Revision != 1 {
		t.Errorf("revision %d", l.Current().Revision)
	}
}
