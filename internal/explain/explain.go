// Package explain holds what operators ask a gateway about a request that is not sent, and
// what it answers.
package explain

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Path is the path of the question on a gateway's admin listener.
const Path = "/explain"

// Part is one part of a prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Question describes a request as its caller would send it. Callers are named by their
// organisation; keys are neither asked for nor shown.
type Question struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Organisation is empty for callers of anonymous routes.
	Organisation string `json:"organisation,omitempty"`
	Model        string `json:"model,omitempty"`
	Session      string `json:"session,omitempty"`
	Prompt       []Part `json:"prompt,omitempty"`
	// PromptTokens is used where Prompt is empty.
	PromptTokens   int `json:"promptTokens,omitempty"`
	MaxTokens      int `json:"maxTokens,omitempty"`
	ExpectedTokens int `json:"expectedTokens,omitempty"`
	// TimeLeft is how long the caller waits; zero stands for the route's timeout.
	TimeLeft time.Duration `json:"timeLeftNanos,omitempty"`
}

// Check returns an error if the question is malformed.
func (q Question) Check() *result.Error {
	switch {
	case q.Host == "" || q.Path == "" || q.Path[0] != '/':
		return result.New(result.BadField, "host and a path that begins with / are needed")
	case q.PromptTokens < 0 || q.MaxTokens < 0 || q.ExpectedTokens < 0 || q.TimeLeft < 0:
		return result.New(result.BadField, "tokens and time must not be negative")
	}
	for _, p := range q.Prompt {
		if p.ID == "" || p.Tokens < 0 {
			return result.New(result.BadField, "a part of the prompt needs an id, and tokens of at least 0")
		}
	}
	return nil
}

// Verdicts of an Explanation.
const (
	// Sent: the request would be sent at once.
	Sent = "sent"
	// Waits: it would wait for room first.
	Waits = "waits"
	// Refused: it would be refused.
	Refused = "refused"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	Verdict string `json:"verdict"`
	// Code, Why and RetryAfter are those of the refusal.
	Code       string        `json:"code,omitempty"`
	Why        string        `json:"why,omitempty"`
	RetryAfter time.Duration `json:"retryAfterNanos,omitempty"`
	// Wait is the expected wait for room.
	Wait time.Duration `json:"waitNanos,omitempty"`

	Route         string `json:"route,omitempty"`
	Service       string `json:"service,omitempty"`
	Configuration int64  `json:"configuration"`
	// Services are the services of the route with their weights: one is drawn for each
	// request, Service for this one.
	Services map[string]int `json:"services,omitempty"`
	// Held is true when the organisation asks for more than its share of the service.
	Held bool `json:"held"`

	// Upstream, Version, Model and Expected are those of the choice.
	Upstream string        `json:"upstream,omitempty"`
	Version  string        `json:"version,omitempty"`
	Model    string        `json:"model,omitempty"`
	Expected time.Duration `json:"expectedNanos,omitempty"`
	// Spread is true when the upstream is drawn: the service is nearly full.
	Spread bool `json:"spread"`
	// Filled is true when the fullest upstream of a new version is chosen.
	Filled bool `json:"filled"`
	// Costs are the upstreams that may take the request, in order of cost.
	Costs []placement.UpstreamCost `json:"costs,omitempty"`
	// Excluded says why other upstreams of the service may not take it.
	Excluded map[string]string `json:"excluded,omitempty"`

	Ages Ages `json:"ages"`
}

// Ages are those of what the explanation rests on.
type Ages struct {
	// Confirmed is the time since the store confirmed the configuration, List since the
	// list of upstreams was read.
	Confirmed time.Duration `json:"confirmedNanos"`
	List      time.Duration `json:"listNanos"`
	// GatewaysHeard of Gateways have told their load recently, counting this one.
	GatewaysHeard int `json:"gatewaysHeard"`
	Gateways      int `json:"gateways"`
}

// Failure is the body of an answer to a question that cannot be answered, in the form of
// all admin listeners.
type Failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}
