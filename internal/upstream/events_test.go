package upstream

import (
	"strings"
	"testing"
)

func TestUsageIsReadFromTheAnswerItself(t *testing.T) {
	tests := map[string]Usage{
		`{"usage":{"prompt_tokens":3,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":2}}}`: {3, 5, 2},
		`{"choices":[{"usage":{"prompt_tokens":9}}],"usage":{"prompt_tokens":3}}`:                         {InputTokens: 3},
		`{"usage":null}`:                 {},
		`{"usage":7}`:                    {},
		`{"usage":{"prompt_tokens":3}`:   {},
		`[{"usage":{}}]`:                 {},
		`{"choices":[]}`:                 {},
		``:                               {},
		`{"usage":{"prompt_tokens":-1}}`: {},
	}
	for text, want := range tests {
		if got := parseUsage([]byte(text)); got != want {
			t.Errorf("%s: got %+v, want %+v", text, got, want)
		}
	}
}

func BenchmarkUsageOfAnAnswer(b *testing.B) {
	text := strings.Repeat("words ", 4<<10/6)
	data := []byte(`{"id":"a","choices":[{"index":0,"message":{"role":"assistant","content":"` + text +
		`"}}],"usage":{"prompt_tokens":3,"completion_tokens":5,"total_tokens":8}}`)
	b.ReportAllocs()
	for b.Loop() {
		if parseUsage(data).OutputTokens != 5 {
			b.Fatal("wrong usage")
		}
	}
}
