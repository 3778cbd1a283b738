package callerapi

import (
	"encoding/json"
	"strings"
	"testing"
)

// FuzzParseChat holds the scanner against encoding/json: what is taken must
// mean the same to both.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(streamBody))
	f.Add([]byte(` { "messages" : [ { "content" : "a\"}]" , "role" : "user" } ] , "model" : "m" , "n" : 1 } `))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, refused := parseChat(data, 16)
		if refused != nil {
			if refused.err.Message == "" || refused.err.Code.HTTPStatus() != 400 {
				t.Fatalf("refused with %+v", refused.err)
			}
			return
		}
		var want struct {
			Model    string
			Stream   bool
			Messages []json.RawMessage
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("%q was taken: %v", data, err)
		}
		if b.Model != want.Model || b.Stream != want.Stream || len(want.Messages) == 0 || b.PromptTokens == 0 {
			t.Fatalf("%q: got %+v, want %+v", data, b, want)
		}
	})
}

func TestPrefixIsThatOfTheFirstMessage(t *testing.T) {
	body := func(first, second string) []byte {
		return []byte(`{"model":"m","messages":[{"role":"system","content":"` + first + `"},{"role":"user","content":"` + second + `"}]}`)
	}
	prefix := func(data []byte) uint64 {
		b, refused := parseChat(data, 16)
		if refused != nil {
			t.Fatal(refused.err)
		}
		return b.Prefix
	}
	if prefix(body("s", "a")) != prefix(body("s", "b")) {
		t.Error("the same first message gave two prefixes")
	}
	if prefix(body("s", "a")) == prefix(body("t", "a")) {
		t.Error("two first messages gave one prefix")
	}
}

func TestTokensAreEstimatedFromTheMessages(t *testing.T) {
	long := `{"model":"m","max_tokens":9,"max_completion_tokens":5,"messages":[{"role":"user","content":"` + strings.Repeat("x", 4000) + `"}]}`
	b, refused := parseChat([]byte(long), 16)
	if refused != nil {
		t.Fatal(refused.err)
	}
	if b.PromptTokens < 1000 || b.PromptTokens > 1020 || b.MaxTokens != 5 {
		t.Errorf("got %+v", b)
	}
}
