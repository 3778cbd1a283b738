// Package exchange holds what the gateway knows of one request and its answer,
// after the adapter has decoded the wire and before it encodes it again.
package exchange

import (
	"net/http"
	"time"
)

// Part is one shared or own part of a prompt.
type Part struct {
	// ID identifies the content of the part together with those before it.
	ID     string
	Tokens int
}

// Call is a caller's request as decoded from its headers.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the caller's API key, empty when none was sent.
	Key string
	// Budget is how long the caller waits; zero when it did not say.
	Budget time.Duration
	// Model is the model asked for, or AnyModel.
	Model string
	// PromptTokens and MaxTokens are the size of a generation; zero when the
	// request is not one.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's own estimate of the length of the
	// answer; zero when it gave none.
	ExpectedTokens int
	// Prompt lists the parts of the prompt in order.
	Prompt []Part
	// ResumeAfter is the last event the caller has of an earlier try.
	ResumeAfter string
	// Session groups requests that stay on one version.
	Session string
}

// AnyModel is the model name by which a caller leaves the choice to the router.
const AnyModel = "*"

// Target says where and under which terms a call is sent on.
type Target struct {
	// UpstreamID lets any other upstream at the address refuse the call.
	UpstreamID string
	// Organisation holds the caller's key; empty for anonymous routes.
	Organisation string
	// Model replaces AnyModel; empty leaves the call's own.
	Model string
	// Budget is the time left.
	Budget time.Duration
	// ResumeAfter is the last event passed on; empty starts from the beginning.
	ResumeAfter string
	// Urgency is 0 for the most urgent to 9; negative leaves it unset.
	Urgency int
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	// ID is the request the answer belongs to.
	ID string
	// NotRun is true when the upstream states that it did not run the request.
	NotRun bool
	// Misdirected is true when another upstream has the address.
	Misdirected bool
	// Sealed is true when the answer carries the upstream's seal.
	Sealed bool
	// Leaving is true when the upstream says that it leaves.
	Leaving bool
	// RestFor is how long the upstream, which turned the request away, wants nothing
	// more from this host; zero when it did not say.
	RestFor time.Duration
	// Limit is what the upstream says of the rate that it takes.
	Limit Limit
	// Confidence is the model's own opinion of its answer, 0 to 100, or -1.
	Confidence int
	// KeepFor is how long the upstream keeps the connection idle; zero when
	// it did not say.
	KeepFor time.Duration
}

// Limit is what an answer says of the requests a second that its upstream takes from all
// hosts together. The zero value says that there is no limit.
type Limit struct {
	// PerSecond is the rate; zero when none is named.
	PerSecond float64
	// Unreadable is true when something is named that is no rate: it neither sets nor ends
	// a limit.
	Unreadable bool
}

// Protocol encodes and decodes the headers of requests and answers. It is
// implemented by the adapter to the platform and decides nothing.
type Protocol interface {
	// Call decodes a caller's request.
	Call(h http.Header) Call
	// Onward returns the headers sent to an upstream.
	Onward(in http.Header, call Call, to Target) http.Header
	// Answer decodes the head of an upstream's answer.
	Answer(resp *http.Response) Answer
	// Refusal sets the headers of an answer of the gateway's own.
	Refusal(out http.Header, call Call, retryAfter time.Duration)
}
