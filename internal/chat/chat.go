// Package chat reads and rewrites the JSON of chat completions as far as the
// router needs it: the model field, the stream options, and the confidence
// that an engine reports through token probabilities.
package chat

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/jsonscan"
)

// Upstream says how a body is rewritten for an engine.
type Upstream struct {
	// Version is what the engine knows the model as, "model@version".
	Version string
	Stream  bool
	// Logprobs asks for token probabilities, from which a draft is judged.
	Logprobs bool
}

// Body is the text of a chat body that is known to be a JSON object. It is made
// by Check, once for each request, since the check reads the whole text.
type Body struct{ text []byte }

// Check returns the text as a Body, or an error that tells what it is not.
func Check(text []byte) (Body, error) {
	if !json.Valid(text) {
		return Body{}, errors.New("the body is not valid JSON")
	}
	if _, ok := jsonscan.Members(text); !ok {
		return Body{}, errors.New("the body is not a JSON object")
	}
	return Body{text: text}, nil
}

// Members starts a walk over the body.
func (b Body) Members() jsonscan.Cursor {
	walk, ok := jsonscan.Members(b.text)
	if !ok {
		walk, _ = jsonscan.Members(emptyObject) // the zero Body
	}
	return walk
}

var emptyObject = []byte("{}")

// Rewrite returns the body with the model and stream fields set for the
// engine. All other members are kept as they are. Usage is always asked for,
// since every request is billed by it.
func (b Body) Rewrite(u Upstream) []byte {
	walk := b.Members()
	out := make([]byte, 0, len(b.text)+len(u.Version)+maxAddedBytes)
	out = append(out, `{"model":`...)
	out = strconv.AppendQuote(out, u.Version)
	if u.Stream {
		out = append(out, `,"stream":true,"stream_options":{"include_usage":true}`...)
	}
	if u.Logprobs {
		out = append(out, `,"logprobs":true`...)
	}
	for {
		name, value, more := walk.Member()
		if !more {
			return append(out, '}')
		}
		if overridden(name, u) {
			continue
		}
		out = append(out, `,"`...)
		out = append(out, name...)
		out = append(out, `":`...)
		out = append(out, value...)
	}
}

// maxAddedBytes is room for what Rewrite adds beside the version.
const maxAddedBytes = 128

// overridden reports whether Rewrite sets the field itself. The name is as it
// stands in the text, where a letter may be written as an escape.
func overridden(name []byte, u Upstream) bool {
	if bytes.IndexByte(name, '\\') >= 0 {
		name = unescape(name)
	}
	switch string(name) {
	case "model", "stream", "stream_options":
		return true
	case "logprobs":
		return u.Logprobs
	}
	return false
}

// unescape returns the name that the text of a valid JSON string stands for.
func unescape(text []byte) []byte {
	quoted := append(append([]byte{'"'}, text...), '"')
	var name string
	if json.Unmarshal(quoted, &name) != nil {
		return text
	}
	return []byte(name)
}

// choices is the part of an answer or event that Confidence reads.
type choices struct {
	Choices []struct {
		Logprobs *struct {
			Content []struct {
				Logprob float64 `json:"logprob"`
			} `json:"content"`
		} `json:"logprobs"`
	} `json:"choices"`
}

// Confidence is the mean token probability over the parts of an answer.
type Confidence struct {
	sum   float64
	count int
}

// Add reads the token probabilities of one event or whole answer.
func (c *Confidence) Add(data []byte) {
	if !bytes.Contains(data, []byte(`"logprob"`)) {
		return
	}
	var parts choices
	if json.Unmarshal(data, &parts) != nil {
		return
	}
	for _, choice := range parts.Choices {
		if choice.Logprobs == nil {
			continue
		}
		for _, token := range choice.Logprobs.Content {
			c.sum += math.Exp(token.Logprob)
			c.count++
		}
	}
}

// Value returns the mean, and false when the engine reported none.
func (c *Confidence) Value() (float64, bool) {
	if c.count == 0 {
		return 0, false
	}
	return c.sum / float64(c.count), true
}

// Text returns the words of one event or whole answer, for rating.
func Text(data []byte) string {
	if !json.Valid(data) {
		return ""
	}
	choices, ok := jsonscan.Elements(jsonscan.Lookup(data, "choices"))
	if !ok {
		return ""
	}
	first, ok := choices.Element()
	if !ok {
		return ""
	}
	delta := text(jsonscan.Lookup(jsonscan.Lookup(first, "delta"), "content"))
	return delta + text(jsonscan.Lookup(jsonscan.Lookup(first, "message"), "content"))
}

// text returns what a JSON string stands for; any other value reads as empty.
func text(value []byte) string {
	if len(value) == 0 || value[0] != '"' {
		return ""
	}
	inner := value[1 : len(value)-1]
	if bytes.IndexByte(inner, '\\') >= 0 {
		inner = unescape(inner)
	}
	return string(inner)
}
