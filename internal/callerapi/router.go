// Package callerapi is the HTTP surface for callers: the OpenAI-compatible
// API, the plain services and their errors. It checks input and bounds, and
// hands each request to a Router.
package callerapi

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/chat"
)

// ChatCall is one checked chat completion request.
type ChatCall struct {
	RequestID    string
	Organisation string
	// Target names a model, a version "model@version" or a cascade.
	Target string
	// Class is the request class from the X-Request-Class header, or empty.
	Class string
	// SessionToken is the token the caller sent back, or empty.
	SessionToken string
	// NewSession asks for a session token with the answer.
	NewSession bool
	// Body is the request as JSON, without the model field's routing meaning;
	// the router sets the model field for the upstream.
	Body chat.Body
	// Stream asks for events as they are made.
	Stream bool
	// MaxTokens bounds the answer; 0 when the caller did not say.
	MaxTokens int
	// PromptTokens is an estimate from the size of the prompt.
	PromptTokens int
	// Prefix identifies the prompt's prefix, for cache affinity.
	Prefix uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Start is what is known when the first part of an answer arrives.
type Start struct {
	// Version that answers, "model@version".
	Version string
	// SessionToken to hand to the caller, or empty.
	SessionToken string
	// Revision of the configuration the choice was made on.
	Revision uint64
}

// Usage counts the tokens of an answer.
type Usage struct {
	InputTokens  uint64
	OutputTokens uint64
	CachedTokens uint64
}

// AnswerSink takes an answer as it arrives. It is implemented by this package
// and called by the Router from one goroutine. A write blocks while the
// caller reads slowly, and fails when the caller is gone.
type AnswerSink interface {
	// Begin is called once, before the first Chunk.
	Begin(s Start) error
	// Chunk takes one event of a streamed answer (the JSON of a
	// chat.completion.chunk), or the whole JSON body of a unary answer.
	Chunk(data []byte) error
	// End is called once after the last Chunk of a whole answer.
	End(u Usage) error
}

// ServiceCall is one checked call of a plain service.
type ServiceCall struct {
	RequestID      string
	Organisation   string
	Service        string
	Method         string
	Path           string
	Query          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// Once is set when the configuration says the call may not be repeated.
	Once     bool
	Deadline time.Time
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set when a repeated idempotency key got the first answer.
	Replayed bool
	Revision uint64
}

// Router runs requests. It is implemented by the entry. Errors are
// *result.Error; an error after Begin means that the answer is not whole.
type Router interface {
	Chat(ctx context.Context, call ChatCall, sink AnswerSink) error
	Service(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
	// Ready reports whether new requests are taken.
	Ready() error
}
