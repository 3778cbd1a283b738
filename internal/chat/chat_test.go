package chat

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestRewriteSetsTheModelAndKeepsTheRest(t *testing.T) {
	body := `{"model":"auto","messages":[{"role":"user","content":"a \"model\": b"}],"stream":true,"stream_options":{"include_usage":false},"temperature":0.5,"x":{"model":1}}`
	out := checked(t, body).Rewrite(Upstream{Version: "small@1", Stream: true})
	want := `{"model":"small@1","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"a \"model\": b"}],"temperature":0.5,"x":{"model":1}}`
	if string(out) != want {
		t.Errorf("got  %s\nwant %s", out, want)
	}
	if !json.Valid(out) {
		t.Error("the rewritten body is not valid JSON")
	}
}

func TestRewriteKnowsAFieldWrittenWithEscapes(t *testing.T) {
	out := checked(t, `{"\u006dodel":"large@1","\u0061":1}`).Rewrite(Upstream{Version: "small@1"})
	if want := `{"model":"small@1","\u0061":1}`; string(out) != want {
		t.Errorf("got %s, want %s", out, want)
	}
}

func BenchmarkRewrite(b *testing.B) {
	prompt := strings.Repeat("word ", 4<<10/5)
	body := checked(b, `{"model":"auto","messages":[{"role":"user","content":"`+prompt+`"}],"temperature":0.5}`)
	b.ReportAllocs()
	for b.Loop() {
		body.Rewrite(Upstream{Version: "small@1", Stream: true})
	}
}

func TestCheckRefusesWhatIsNoObject(t *testing.T) {
	for _, body := range []string{``, `[]`, `{"a":`, `7`, `{"a" 1}`} {
		if _, err := Check([]byte(body)); err == nil {
			t.Errorf("Check(%q) gave no error", body)
		}
	}
	if out := (Body{}).Rewrite(Upstream{Version: "m@1"}); string(out) != `{"model":"m@1"}` {
		t.Errorf("the zero Body became %s", out)
	}
}

// checked returns the body, which must be one.
func checked(t testing.TB, text string) Body {
	t.Helper()
	body, err := Check([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestConfidenceIsTheMeanTokenProbability(t *testing.T) {
	var c Confidence
	c.Add([]byte(`{"choices":[{"delta":{"content":"a"},"logprobs":{"content":[{"token":"a","logprob":0}]}}]}`))
	c.Add([]byte(`{"choices":[{"delta":{"content":"b"},"logprobs":null}]}`))
	c.Add([]byte(`{"choices":[{"logprobs":{"content":[{"token":"b","logprob":-0.6931471805599453}]}}]}`))
	got, ok := c.Value()
	if !ok || got < 0.7499 || got > 0.7501 {
		t.Errorf("Value() = %v %v, want 0.75", got, ok)
	}
	if _, ok := new(Confidence).Value(); ok {
		t.Error("no report must not read as a confidence")
	}
}

func TestTextReadsEventsAndWholeAnswers(t *testing.T) {
	tests := map[string]string{
		`{"choices":[{"delta":{"content":" w1"}}]}`:                               " w1",
		`{"choices":[{"message":{"content":"whole"}}]}`:                           "whole",
		`{"choices":[{"delta":{"content":"a\n\u00e9 \"b\" \\"}}]}`:                "a\né \"b\" \\",
		`{"choices":[{"delta":{"content":"1"}},{"delta":{"content":"2"}}]}`:       "1",
		`{"choices":[{"delta":{"content":null,"tool_calls":[{"content":"x"}]}}]}`: "",
		`{"choices":[]}`:       "",
		`{"content":"x"}`:      "",
		`[{"choices":[]}]`:     "",
		`{"choices":[{"delta"`: "",
	}
	for data, want := range tests {
		if got := Text([]byte(data)); got != want {
			t.Errorf("%s: got %q, want %q", data, got, want)
		}
	}
}

func BenchmarkTextOfAnEvent(b *testing.B) {
	event := []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"small@1",` +
		`"choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if Text(event) != " word" {
			b.Fatal("wrong text")
		}
	}
}

func FuzzRewrite(f *testing.F) {
	f.Add([]byte(`{"model":"a","messages":[]}`))
	f.Add([]byte(`{"a":"\u0000","a":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		checked, err := Check(body)
		if err != nil {
			return
		}
		out := checked.Rewrite(Upstream{Version: "m@1", Stream: true, Logprobs: true})
		if !json.Valid(out) {
			t.Errorf("valid %q became invalid %q", body, out)
		}
	})
}
