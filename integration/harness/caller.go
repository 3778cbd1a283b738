package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/history"
)

// Caller is a caller of one organisation. It records what it asks and gets.
type Caller struct {
	cluster *Cluster
	key     string
	org     string
	client  *http.Client
}

// Caller returns a caller of the organisation "alpha".
func (c *Cluster) Caller() *Caller { return c.CallerOf(Organisation, Key) }

// CallerOf returns a caller of an organisation.
func (c *Cluster) CallerOf(org, key string) *Caller {
	return &Caller{cluster: c, key: key, org: org, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
}

// Ask is one request of a caller.
type Ask struct {
	// Model is asked for; "small" when empty.
	Model     string
	Stream    bool
	MaxTokens int
	// Session is "new" or a token; Name is the caller's own name of it.
	Session     string
	SessionName string
	Class       string
	// Timeout is the caller's patience; 30 s when zero.
	Timeout time.Duration
	// RequestID is made when empty.
	RequestID string

	// Path, Method, Key and Body make it a call of the plain service.
	Path   string
	Method string
	Key    string
	Body   string
}

// Reply is what the caller got.
type Reply struct {
	RequestID string
	Status    int
	Text      string
	// Whole is set when the answer ended cleanly.
	Whole   bool
	Version string
	Session string
	// Code, Outcome and RetryAfter of an error.
	Code       int
	Outcome    string
	RetryAfter string
	Replayed   bool
	Err        error
	Body       string
	// connected is set when there was a connection to the entry.
	connected bool
	// FirstByte and Total are latencies, for reports only.
	FirstByte, Total time.Duration
}

const defaultPatience = 30 * time.Second

// Do sends the request to the entry and records both ends.
func (c *Caller) Do(n *Node, a Ask) Reply {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return c.DoContext(ctx, n, a)
}

// DoContext is Do with a context that the caller may end.
func (c *Caller) DoContext(ctx context.Context, n *Node, a Ask) Reply {
	if a.Timeout == 0 {
		a.Timeout = defaultPatience
	}
	if a.RequestID == "" {
		a.RequestID = uuid.NewString()
	}
	if a.Model == "" {
		a.Model = "small"
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	c.cluster.History.Record(c.asked(a))
	start := time.Now()
	r := c.send(ctx, n, a)
	r.Total = time.Since(start)
	r.RequestID = a.RequestID
	c.cluster.History.Record(c.answered(ctx, a, r))
	return r
}

func (c *Caller) asked(a Ask) history.Event {
	e := history.Event{
		Kind: history.Asked, Source: "caller", Request: a.RequestID,
		Organisation: c.org, Session: a.SessionName,
	}
	if a.Path != "" {
		e.Service = Desk
		e.Key = a.Key
		e.Once = a.Method == http.MethodPost && a.Path == "/bookings"
	}
	return e
}

func (c *Caller) answered(ctx context.Context, a Ask, r Reply) history.Event {
	e := history.Event{
		Kind: history.Answered, Source: "caller", Request: a.RequestID,
		Organisation: c.org, Session: a.SessionName,
		Version: r.Version, Whole: r.Whole, Replayed: r.Replayed,
		Code: r.Code, Outcome: r.Outcome,
	}
	if r.Whole {
		content := r.Text
		if a.Path != "" {
			content = r.Body
		}
		e.Digest = history.Digest([]byte(content))
	}
	if !r.Whole && ctx.Err() != nil {
		e.GaveUp = true
	}
	if r.Err != nil && !r.connected {
		e.Outcome = "not_run"
	}
	return e
}

func (c *Caller) send(ctx context.Context, n *Node, a Ask) Reply {
	req, err := c.request(ctx, n, a)
	if err != nil {
		return Reply{Err: err}
	}
	// The client sends a request again over another connection when the one
	// it used breaks. Nothing was sent only if there never was any.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return Reply{Err: err, connected: connected.Load()}
	}
	defer resp.Body.Close()
	r := Reply{
		connected:  true,
		Status:     resp.StatusCode,
		Version:    resp.Header.Get("X-Tarragonbay-Version"),
		Session:    resp.Header.Get("X-Session"),
		RetryAfter: resp.Header.Get("Retry-After"),
		Replayed:   resp.Header.Get("Idempotent-Replayed") != "",
	}
	if a.Stream && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		readStream(resp.Body, &r)
		return r
	}
	body, err := io.ReadAll(resp.Body)
	r.Err = err
	r.Body = string(body)
	if resp.StatusCode >= http.StatusBadRequest {
		r.readError(body)
		return r
	}
	r.Whole = err == nil
	r.Text = textOf(body)
	return r
}

func (c *Caller) request(ctx context.Context, n *Node, a Ask) (*http.Request, error) {
	method, url := http.MethodPost, n.URL()+"/v1/chat/completions"
	body := []byte(a.Body)
	if a.Path != "" {
		method, url = a.Method, n.URL()+"/services/"+Desk+a.Path
	} else {
		body = chatBody(a)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", a.RequestID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	for name, value := range map[string]string{"X-Session": a.Session, "X-Request-Class": a.Class, "Idempotency-Key": a.Key} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req, nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func chatBody(a Ask) []byte {
	body := struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		Stream    bool          `json:"stream,omitempty"`
		MaxTokens int           `json:"max_tokens,omitempty"`
	}{a.Model, []chatMessage{{"user", "two words"}}, a.Stream, a.MaxTokens}
	data, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return data
}

type apiError struct {
	Error struct {
		TBCode  string `json:"tb_code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (r *Reply) readError(body []byte) {
	var e apiError
	if json.Unmarshal(body, &e) != nil {
		return
	}
	code, err := strconv.Atoi(strings.TrimPrefix(e.Error.TBCode, "TB"))
	if err == nil {
		r.Code = code
	}
	r.Outcome = e.Error.Outcome
}

type chunk struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func textOf(data []byte) string {
	var c chunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}

func readStream(body io.Reader, r *Reply) {
	start := time.Now()
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	var text strings.Builder
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if r.FirstByte == 0 {
			r.FirstByte = time.Since(start)
		}
		if data == "[DONE]" {
			r.Whole = true
			break
		}
		if strings.HasPrefix(data, `{"error"`) {
			r.readError([]byte(data))
			break
		}
		text.WriteString(textOf([]byte(data)))
	}
	r.Err = s.Err()
	r.Text = text.String()
}
