package catalog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// bigSet builds a set of n upstreams and ten organisations.
func bigSet(tb testing.TB, n int) *Set {
	tb.Helper()
	objects := []Object{
		{Key{KindModel, "small"}, []byte(`{}`)},
		{Key{KindVersion, "small@1"}, []byte(`{"inputMicros":1,"outputMicros":2}`)},
	}
	for i := range 10 {
		spec := fmt.Sprintf(`{"allow":["small"],"keys":["sha256:%064x"]}`, i)
		objects = append(objects, Object{Key{KindOrganisation, fmt.Sprintf("org-%d", i)}, []byte(spec)})
	}
	for i := range n {
		spec := fmt.Sprintf(`{"address":"10.0.%d.%d:9000","agent":"10.0.%d.1:7000","domain":"d%d","host":"h%d","slots":16,"versions":["small@1"]}`, i/250, i%250, i/14, i%3, i/14)
		objects = append(objects, Object{Key{KindUpstream, fmt.Sprintf("up-%05d", i)}, []byte(spec)})
	}
	set, err := NewSet(objects)
	if err != nil {
		tb.Fatal(err)
	}
	return set
}

func TestApplyOfADiffLeadsToTheOtherSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) *Set {
			names := rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]).Draw(t, label)
			var objects []Object
			for _, n := range names {
				key := rapid.IntRange(0, 3).Draw(t, "key")
				spec := fmt.Sprintf(`{"allow":[],"keys":["sha256:%064x"]}`, 10*n+key)
				objects = append(objects, Object{Key{KindOrganisation, fmt.Sprint(n)}, []byte(spec)})
			}
			set, err := NewSet(objects)
			if err != nil {
				t.Fatal(err)
			}
			return set
		}
		from, to := draw("from"), draw("to")
		before := from.Digest()
		got, err := from.Apply(Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != to.Digest() {
			t.Error("the digest differs from the set that was built at once")
		}
		if from.Digest() != before {
			t.Error("Apply changed its receiver")
		}
		if len(got.byHash) != len(to.byHash) || len(got.Organisations) != len(to.Organisations) {
			t.Errorf("%d key hashes and %d organisations, want %d and %d",
				len(got.byHash), len(got.Organisations), len(to.byHash), len(to.Organisations))
		}
	})
}

func TestApplyRefusesToDeleteWhatIsNotThere(t *testing.T) {
	if _, err := bigSet(t, 1).Apply(Delta{Deletes: []Key{{KindUpstream, "none"}}}); err == nil {
		t.Error("no error")
	}
}

// BenchmarkRevision is the cost of one revision at a daemon: the delta of one
// upstream and the digest of the whole set.
func BenchmarkRevision(b *testing.B) {
	for _, n := range []int{13, 41, 410, 4100} {
		set := bigSet(b, n)
		spec := []byte(`{"address":"10.9.9.9:9000","agent":"10.0.0.1:7000","domain":"d0","host":"h0","versions":["small@1"]}`)
		d := Delta{Puts: []Object{{Key{KindUpstream, "up-00000"}, spec}}}
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, err := set.Apply(d)
				if err != nil || next.Digest() == "" {
					b.Fatal(err)
				}
			}
		})
	}
}
