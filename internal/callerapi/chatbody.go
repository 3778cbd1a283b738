package callerapi

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/chat"
	"tarragonbay.example/tarragonbay/internal/jsonscan"
	"tarragonbay.example/tarragonbay/internal/result"
)

// chatBody is what the product needs to know of a chat completion request.
type chatBody struct {
	Text         chat.Body
	Model        string
	Stream       bool
	MaxTokens    int
	PromptTokens int
	Prefix       uint64
}

const (
	// bytesPerToken estimates tokens from the size of the prompt.
	bytesPerToken = 4
	// prefixBytes bounds the part of the prompt that identifies its prefix.
	prefixBytes = 4096
	// maxModelName bounds the model field, in bytes.
	maxModelName = 128
	// maxMaxTokens bounds the tokens a caller may ask for.
	maxMaxTokens = 1 << 24
)

// fieldCheck checks the value of one field; it returns what is wrong, or "".
type fieldCheck func(b *chatBody, value []byte) string

// chatFields lists the fields that are known. Those with no check go to the
// upstream as they are. A field that is not listed is refused, because a
// misspelt one would change the answer in silence.
var chatFields = map[string]fieldCheck{
	"model":                 setModel,
	"messages":              setMessages,
	"stream":                setStream,
	"stream_options":        isObject,
	"max_tokens":            setMaxTokens,
	"max_completion_tokens": setMaxTokens,
	"n":                     isOne,
	"temperature":           isNumber(0, 2),
	"top_p":                 isNumber(0, 1),
	"presence_penalty":      isNumber(-2, 2),
	"frequency_penalty":     isNumber(-2, 2),
	"logit_bias":            isObject,
	"response_format":       isObject,
	"metadata":              isObject,
	"tools":                 isArray,
	"functions":             isArray,
	"modalities":            isArray,
	"audio":                 nil, "function_call": nil, "logprobs": nil, "top_logprobs": nil,
	"parallel_tool_calls": nil, "prediction": nil, "prompt_cache_key": nil,
	"prompt_cache_retention": nil, "reasoning_effort": nil, "safety_identifier": nil,
	"seed": nil, "service_tier": nil, "stop": nil, "store": nil, "tool_choice": nil,
	"user": nil, "verbosity": nil, "web_search_options": nil,
}

// extensionPrefix starts fields that are let through unread.
const extensionPrefix = "x_"

// maxFields bounds the fields of a body.
const maxFields = 64

// parseChat checks a body and reads what routing needs. The text itself is
// never changed. An error names the field it is about.
func parseChat(data []byte, maxDepth int) (chatBody, *fieldError) {
	if !jsonscan.DepthWithin(data, maxDepth) {
		return chatBody{}, badField("", "is nested deeper than %d levels", maxDepth)
	}
	if !utf8.Valid(data) {
		return chatBody{}, plain(result.BadJSON, "the body is not valid JSON")
	}
	text, err := chat.Check(data)
	if err != nil {
		return chatBody{}, plain(result.BadJSON, "%v", err)
	}
	walk := text.Members()
	b := chatBody{Text: text}
	var buf [maxFields][]byte
	seen := buf[:0]
	for {
		name, value, more := walk.Member()
		if !more {
			break
		}
		if len(seen) == maxFields {
			return b, badField("", "has more than %d fields", maxFields)
		}
		for _, s := range seen {
			if bytes.Equal(s, name) {
				return b, badField(string(name), "is written twice")
			}
		}
		seen = append(seen, name)
		if err := b.field(name, value); err != nil {
			return b, err
		}
	}
	return b, b.complete(seen)
}

// field checks one member. A null reads as a field that is not written.
func (b *chatBody) field(name, value []byte) *fieldError {
	check, known := chatFields[string(name)]
	if !known && !bytes.HasPrefix(name, []byte(extensionPrefix)) {
		return unknownField(string(name))
	}
	if check == nil || string(value) == "null" {
		return nil
	}
	if wrong := check(b, value); wrong != "" {
		return badField(string(name), "%s", wrong)
	}
	return nil
}

func (b *chatBody) complete(seen [][]byte) *fieldError {
	if b.Model == "" {
		return &fieldError{param: "model", err: result.New(result.MissingModel, "the model field is missing")}
	}
	for _, name := range seen {
		if string(name) == "messages" && b.PromptTokens > 0 {
			return nil
		}
	}
	return badField("messages", "is missing")
}

func unknownField(name string) *fieldError {
	known := make([]string, 0, len(chatFields))
	for f := range chatFields {
		known = append(known, f)
	}
	hint := ""
	if near := catalog.Nearest(name, known); near != "" {
		hint = " (did you mean " + near + "?)"
	}
	return &fieldError{param: name, err: result.New(result.UnknownField, "the field %.64q is not known%s", name, hint)}
}

func setModel(b *chatBody, value []byte) string {
	if value[0] != '"' {
		return "must be a string"
	}
	name := value[1 : len(value)-1]
	if len(name) > maxModelName || bytes.IndexByte(name, '\\') >= 0 {
		return "is not the name of a model"
	}
	b.Model = string(name)
	return ""
}

func setStream(b *chatBody, value []byte) string {
	switch string(value) {
	case "true":
		b.Stream = true
	case "false":
	default:
		return "must be true or false"
	}
	return ""
}

func setMaxTokens(b *chatBody, value []byte) string {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 1 || n > maxMaxTokens {
		return "must be a whole number from 1 to " + strconv.Itoa(maxMaxTokens)
	}
	if b.MaxTokens == 0 || n < b.MaxTokens {
		b.MaxTokens = n
	}
	return ""
}

func setMessages(b *chatBody, value []byte) string {
	walk, ok := jsonscan.Elements(value)
	if !ok {
		return "must be an array"
	}
	count := 0
	for {
		message, more := walk.Element()
		if !more {
			break
		}
		if wrong := checkMessage(message); wrong != "" {
			return "[" + strconv.Itoa(count) + "] " + wrong
		}
		if count == 0 {
			b.Prefix = xxhash.Sum64(message[:min(len(message), prefixBytes)])
		}
		count++
	}
	if count == 0 {
		return "must hold at least one message"
	}
	b.PromptTokens = (len(value) + bytesPerToken - 1) / bytesPerToken
	return ""
}

func checkMessage(message []byte) string {
	walk, ok := jsonscan.Members(message)
	if !ok {
		return "must be an object"
	}
	hasRole := false
	for {
		name, value, more := walk.Member()
		if !more {
			break
		}
		if string(name) != "role" {
			continue
		}
		hasRole = true
		if !knownRole(value) {
			return "has a role that is not known"
		}
	}
	if !hasRole {
		return "needs a role"
	}
	return ""
}

func knownRole(value []byte) bool {
	switch string(value) {
	case `"system"`, `"developer"`, `"user"`, `"assistant"`, `"tool"`, `"function"`:
		return true
	}
	return false
}

func isOne(_ *chatBody, value []byte) string {
	if string(value) != "1" {
		return "must be 1: one answer is given to each request"
	}
	return ""
}

func isObject(_ *chatBody, value []byte) string {
	if value[0] != '{' {
		return "must be an object"
	}
	return ""
}

func isArray(_ *chatBody, value []byte) string {
	if value[0] != '[' {
		return "must be an array"
	}
	return ""
}

func isNumber(low, high float64) fieldCheck {
	wrong := "must be a number from " + trim(low) + " to " + trim(high)
	return func(_ *chatBody, value []byte) string {
		n, err := strconv.ParseFloat(string(value), 64)
		if err != nil || n < low || n > high {
			return wrong
		}
		return ""
	}
}

func trim(f float64) string { return strings.TrimSuffix(strconv.FormatFloat(f, 'f', 1, 64), ".0") }
