package ledger

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestBlockRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sums := rapid.Bool().Draw(t, "sums")
		var in []entry
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			e := entry{
				organisation: rapid.SampledFrom([]string{"alpha", "beta"}).Draw(t, "organisation"),
				target:       rapid.SampledFrom([]string{"m@1", "m@2", servicePrefix + "desk"}).Draw(t, "target"),
				count:        1,
				input:        rapid.Uint64().Draw(t, "input"),
				micros:       rapid.Uint64().Draw(t, "micros"),
			}
			if sums {
				e.count = rapid.Uint64Range(1, 1e9).Draw(t, "count")
			} else {
				copy(e.key.id[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "id"))
				e.key.step = rapid.Uint32().Draw(t, "step")
			}
			in = append(in, e)
		}
		_, out, err := decodeBlock(encode(newBlock(in, sums)))
		if err != nil || !slices.Equal(in, out) {
			t.Fatalf("got %v, %v, want %v", out, err, in)
		}
	})
}

func FuzzBlock(f *testing.F) {
	one := entry{key: key{id: id{1}, step: 2}, organisation: "o", target: "m@1", count: 1, micros: 3}
	f.Add(encode(newBlock([]entry{one, one}, false)))
	f.Add(encode(newBlock([]entry{one}, true)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, entries, err := decodeBlock(raw)
		if err != nil {
			return
		}
		again := newBlock(entries, len(b.GetCounts()) > 0)
		_, back, err := decodeBlock(encode(again))
		if err != nil || !slices.Equal(entries, back) {
			t.Fatalf("%v decodes as %v, %v", entries, back, err)
		}
		if len(b.GetCounts()) == 0 && !bytes.Equal(again.GetIds(), b.GetIds()) {
			t.Fatal("request IDs changed")
		}
	})
}
