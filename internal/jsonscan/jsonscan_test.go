package jsonscan

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// value draws a JSON value with odd strings and nesting.
func value(depth int) *rapid.Generator[any] {
	leaf := rapid.OneOf(
		rapid.Just[any](nil),
		rapid.Map(rapid.Bool(), func(b bool) any { return b }),
		rapid.Map(rapid.Float64Range(-1e9, 1e9), func(f float64) any { return f }),
		rapid.Map(rapid.StringOfN(rapid.RuneFrom([]rune(`"\{}[],: aé`)), 0, 6, -1), func(s string) any { return s }),
	)
	if depth == 0 {
		return leaf
	}
	inner := value(depth - 1)
	return rapid.OneOf(leaf,
		rapid.Map(rapid.SliceOfN(inner, 0, 4), func(v []any) any { return v }),
		rapid.Map(rapid.MapOfN(rapid.StringMatching(`[a-z{"\\]{0,4}`), inner, 0, 4), func(v map[string]any) any { return v }),
	)
}

// TestWalkFindsWhatTheDecoderFinds rebuilds objects and arrays from the walk.
func TestWalkFindsWhatTheDecoderFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		indent := rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent")
		text, err := json.MarshalIndent(value(3).Draw(t, "value"), "", indent)
		if err != nil {
			t.Fatal(err)
		}
		var want, got strings.Builder
		compact(t, &want, text)
		rebuild(&got, text)
		if got.String() != want.String() {
			t.Fatalf("got %s, want %s", got.String(), want.String())
		}
	})
}

func compact(t *rapid.T, b *strings.Builder, text []byte) {
	var v json.RawMessage
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	out, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	b.Write(out)
}

func rebuild(b *strings.Builder, text []byte) {
	if c, ok := Members(text); ok {
		b.WriteByte('{')
		sep := ""
		for name, v, more := c.Member(); more; name, v, more = c.Member() {
			b.WriteString(sep + `"` + string(name) + `":`)
			rebuild(b, v)
			sep = ","
		}
		b.WriteByte('}')
		return
	}
	if c, ok := Elements(text); ok {
		b.WriteByte('[')
		sep := ""
		for v, more := c.Element(); more; v, more = c.Element() {
			b.WriteString(sep)
			rebuild(b, v)
			sep = ","
		}
		b.WriteByte(']')
		return
	}
	b.Write(text)
}

func TestDepthWithinCountsNestingOutsideStrings(t *testing.T) {
	for text, want := range map[string]bool{
		`{"a":[1]}`:              true,
		`{"a":[[1]]}`:            false,
		`["[[[{{{", "\"[["]`:     true,
		`[[`:                     true,
		`[[[`:                    false,
		`"` + `\\` + `"` + `[[[`: false,
	} {
		if got := DepthWithin([]byte(text), 2); got != want {
			t.Errorf("%s: got %v", text, got)
		}
	}
}

func TestLookupFindsAMemberOfTheObjectItself(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":{"b":1},"b":2}`: "2",
		`{"a":{"b":1}}`:       "",
		`{"b":null}`:          "null",
		`[{"b":1}]`:           "",
		`{ "b" : "}" }`:       `"}"`,
		``:                    "",
	} {
		if got := string(Lookup([]byte(text), "b")); got != want {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
	}
}
