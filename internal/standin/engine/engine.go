// Package engine is a stand-in of a model engine with an OpenAI-compatible
// API. It answers with text that names the request, so that a crossed or cut
// answer can be told, and records each request that ran.
package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragonbay.example/tarragonbay/internal/history"
)

// Behaviour sets how the engine answers. It can be changed while it runs.
type Behaviour struct {
	// FirstTokenMs and TokenMs are delays in milliseconds.
	FirstTokenMs float64 `json:"firstTokenMs"`
	TokenMs      float64 `json:"tokenMs"`
	// Tokens is the length of an answer when max_tokens is not given.
	Tokens int `json:"tokens"`
	// WrongShare is the share of wrong answers by version, 0 to 1.
	WrongShare map[string]float64 `json:"wrongShare,omitempty"`
	// FailStatus answers every request with this status, not run.
	FailStatus int `json:"failStatus,omitempty"`
	// FailTimes is how many requests FailStatus answers; 0 means all.
	FailTimes int `json:"failTimes,omitempty"`
	// CutAfter ends the connection after that many tokens; 0 never.
	CutAfter int `json:"cutAfter,omitempty"`
	// DieBeforeAnswer runs the request and ends the connection.
	DieBeforeAnswer bool `json:"dieBeforeAnswer,omitempty"`
	// Leaving makes the engine say that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Run is one request that ran.
type Run struct {
	RequestID string    `json:"requestId"`
	AttemptID string    `json:"attemptId"`
	Version   string    `json:"version"`
	At        time.Time `json:"at"`
	Tokens    int       `json:"tokens"`
	Whole     bool      `json:"whole"`
	Cancelled bool      `json:"cancelled"`
	// Digest of the answer's text, as history.Digest makes it.
	Digest string `json:"digest"`
	// ServedAt is when the whole answer was made.
	ServedAt time.Time `json:"servedAt,omitzero"`
	// CompletionTokens is what the usage said.
	CompletionTokens int `json:"completionTokens"`
	PromptTokens     int `json:"promptTokens"`
}

// Order is one order that the engine carried out.
type Order struct {
	ID      string `json:"id"`
	Action  string `json:"action"`
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	name        string
	slots       int
	checksFence bool
	inFlight    atomic.Int64
	started     time.Time
	// failed counts the requests that FailStatus was due for.
	failed atomic.Int64

	mu        sync.Mutex
	versions  map[string]bool
	behaviour Behaviour
	runs      []Run
	orders    []Order
	fence     uint64
}

// Options configure a stand-in engine.
type Options struct {
	Name     string
	Versions []string
	Slots    int
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	Behaviour   Behaviour
}

// New returns an engine that serves the versions.
func New(o Options) *Engine {
	versions := map[string]bool{}
	for _, v := range o.Versions {
		versions[v] = true
	}
	return &Engine{
		name:        o.Name,
		slots:       o.Slots,
		checksFence: o.ChecksFence,
		started:     time.Now(),
		versions:    versions,
		behaviour:   o.Behaviour,
	}
}

// Handler serves the engine's API and its admin paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /admin/runs", e.listRuns)
	mux.HandleFunc("GET /admin/orders", e.listOrders)
	mux.HandleFunc("PUT /admin/behaviour", e.setBehaviour)
	return mux
}

// SetBehaviour changes how the engine answers from now on.
func (e *Engine) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
	e.failed.Store(0)
}

// Runs returns the requests that ran so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Orders returns the orders carried out so far.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content any    `json:"content"`
	} `json:"messages"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
	Logprobs            bool `json:"logprobs"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, `{"error":{"message":"bad JSON"}}`, http.StatusBadRequest)
		return
	}
	b, ok := e.admit(req.Model)
	if b.FailStatus != 0 && (b.FailTimes == 0 || e.failed.Add(1) <= int64(b.FailTimes)) {
		w.WriteHeader(b.FailStatus)
		return
	}
	if !ok {
		http.Error(w, `{"error":{"message":"version not loaded"}}`, http.StatusServiceUnavailable)
		return
	}
	if n := e.inFlight.Add(1); e.slots > 0 && n > int64(e.slots) {
		e.inFlight.Add(-1)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.inFlight.Add(-1)
	a := &answer{engine: e, behaviour: b, request: req, w: w, r: r}
	a.run()
}

func (e *Engine) admit(version string) (Behaviour, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour, e.versions[version]
}

// record notes a run before anything else is done, and returns its index.
func (e *Engine) record(run Run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run)
	return len(e.runs) - 1
}

func (e *Engine) update(index int, run Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[index] = run
}

// answer is one answer in the making.
type answer struct {
	engine    *Engine
	behaviour Behaviour
	request   chatRequest
	w         http.ResponseWriter
	r         *http.Request
}

// Text returns the words of the answer for a request, and whether it is wrong.
// Tests use it to know the whole answer beforehand.
func Text(requestID, version string, tokens int, wrongShare float64) (words []string, wrong bool) {
	h := fnv.New64a()
	h.Write([]byte(requestID + "|" + version))
	wrong = float64(h.Sum64()%1_000_000)/1_000_000 < wrongShare
	words = append(words, "answer", requestID)
	if wrong {
		words = append(words, "wrong")
	}
	for i := len(words); i < tokens; i++ {
		words = append(words, fmt.Sprintf("w%d", i))
	}
	return append(words[:max(0, tokens-1)], "end"), wrong
}

func (a *answer) tokens() int {
	n := a.behaviour.Tokens
	if a.request.MaxTokens > 0 {
		n = a.request.MaxTokens
	}
	if a.request.MaxCompletionTokens > 0 {
		n = a.request.MaxCompletionTokens
	}
	return max(n, 4)
}

func (a *answer) run() {
	a.w.Header().Set("X-Attempt-Id", a.r.Header.Get("X-Attempt-Id"))
	requestID := a.r.Header.Get("X-Request-Id")
	words, wrong := Text(requestID, a.request.Model, a.tokens(), a.behaviour.WrongShare[a.request.Model])
	run := Run{
		RequestID: requestID,
		AttemptID: a.r.Header.Get("X-Attempt-Id"),
		Version:   a.request.Model,
		At:        time.Now(),
		Tokens:    len(words),
		Digest:    history.Digest([]byte(strings.Join(words, " "))),
	}
	u := a.usage(len(words))
	run.CompletionTokens, run.PromptTokens = u.CompletionTokens, u.PromptTokens
	index := a.engine.record(run)
	defer func() { a.engine.update(index, run) }()
	if a.behaviour.DieBeforeAnswer {
		a.hangUp()
		return
	}
	if !a.wait(a.behaviour.FirstTokenMs) {
		run.Cancelled = true
		return
	}
	run.ServedAt = time.Now()
	if a.request.Stream {
		run.Whole, run.Cancelled = a.stream(words, wrong)
		run.ServedAt = time.Now()
		return
	}
	if !a.wait(a.behaviour.TokenMs * float64(len(words))) {
		run.Cancelled = true
		return
	}
	run.Whole = true
	a.whole(words, wrong)
}

// wait sleeps for the milliseconds and reports whether the caller is still
// there.
func (a *answer) wait(ms float64) bool {
	if ms <= 0 {
		return a.r.Context().Err() == nil
	}
	t := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.r.Context().Done():
		return false
	}
}

// hangUp closes the connection without a word.
func (a *answer) hangUp() {
	if hj, ok := a.w.(http.Hijacker); ok {
		if conn, _, err := hj.Hijack(); err == nil {
			conn.Close()
		}
	}
}

// confidence is the mean token probability the stand-in reports.
func confidence(wrong bool) float64 {
	if wrong {
		return 0.3
	}
	return 0.95
}

type delta struct {
	Content string `json:"content,omitempty"`
	Role    string `json:"role,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int       `json:"index"`
	Delta        *delta    `json:"delta,omitempty"`
	Message      *message  `json:"message,omitempty"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs,omitempty"`
}

type logprobs struct {
	Content []logprob `json:"content"`
}

type logprob struct {
	Token   string  `json:"token"`
	Logprob float64 `json:"logprob"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *answer) completion(object string) completion {
	return completion{
		ID:      "chatcmpl-" + a.r.Header.Get("X-Attempt-Id"),
		Object:  object,
		Created: a.engine.started.Unix(),
		Model:   a.request.Model,
		Choices: []choice{},
	}
}

func (a *answer) usage(tokens int) *usage {
	prompt := 0
	for _, m := range a.request.Messages {
		prompt += len(strings.Fields(fmt.Sprint(m.Content)))
	}
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

func (a *answer) logprobs(word string, wrong bool) *logprobs {
	if !a.request.Logprobs {
		return nil
	}
	return &logprobs{Content: []logprob{{Token: word, Logprob: math.Log(confidence(wrong))}}}
}

func (a *answer) whole(words []string, wrong bool) {
	c := a.completion("chat.completion")
	stop := "stop"
	c.Choices = []choice{{
		Message:      &message{Role: "assistant", Content: strings.Join(words, " ")},
		FinishReason: &stop,
		Logprobs:     a.logprobs("", wrong),
	}}
	c.Usage = a.usage(len(words))
	writeJSON(a.w, c)
}

func (a *answer) stream(words []string, wrong bool) (whole, cancelled bool) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := a.w.(http.Flusher)
	for i, word := range words {
		if i > 0 && !a.wait(a.behaviour.TokenMs) {
			return false, true
		}
		if a.behaviour.CutAfter > 0 && i >= a.behaviour.CutAfter {
			a.hangUp()
			return false, false
		}
		if i > 0 {
			word = " " + word
		}
		c := a.completion("chat.completion.chunk")
		c.Choices = []choice{{Delta: &delta{Content: word}, Logprobs: a.logprobs(word, wrong)}}
		if !a.event(c, flusher) {
			return false, true
		}
	}
	stop := "stop"
	c := a.completion("chat.completion.chunk")
	c.Choices = []choice{{Delta: &delta{}, FinishReason: &stop}}
	a.event(c, flusher)
	c.Choices = []choice{}
	c.Usage = a.usage(len(words))
	a.event(c, flusher)
	_, err := io.WriteString(a.w, "data: [DONE]\n\n")
	return err == nil, err != nil
}

func (a *answer) event(c completion, flusher http.Flusher) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(a.w, "data: %s\n\n", data)
	if flusher != nil {
		flusher.Flush()
	}
	return err == nil
}
