package adminapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-resty/resty/v2"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/explain"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Client asks one daemon's admin API. It is used by tarragonctl.
type Client struct {
	http *resty.Client
	addr string
}

// Dump is the state of a daemon, part by part.
type Dump struct {
	Parts []DumpPart `json:"parts"`
}

// DumpPart is one part's state as JSON.
type DumpPart struct {
	Part  string          `json:"part"`
	State json.RawMessage `json:"state"`
}

// maxAnswerBytes bounds an answer of a daemon: a dump holds the state of every part.
const maxAnswerBytes = 64 << 20

// NewClient returns a client of the daemon whose admin listener is at addr,
// IP:port. The key may be empty.
func NewClient(addr, key string) *Client {
	c := resty.New().SetTransport(answers.NewTransport(&http.Transport{})).SetResponseBodyLimit(maxAnswerBytes).SetCloseConnection(true).SetBaseURL("http://" + addr)
	if key != "" {
		c.SetAuthToken(key)
	}
	return &Client{http: c, addr: addr}
}

// Status returns what the daemon says of itself.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

// Dump returns the state of every part.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	var d Dump
	err := c.do(ctx, http.MethodGet, PathDump, nil, &d)
	return d, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var out Config
	err := c.do(ctx, http.MethodGet, PathConfig, nil, &out)
	return out, err
}

// Explain asks a gateway where a request would go.
func (c *Client) Explain(ctx context.Context, q explain.Question) (explain.Explanation, error) {
	var e explain.Explanation
	err := c.do(ctx, http.MethodPost, explain.Path, q, &e)
	return e, err
}

// Metrics copies the metrics text to w.
func (c *Client) Metrics(ctx context.Context, w io.Writer) error {
	res, err := c.http.R().SetContext(ctx).Get(PathMetrics)
	if err := c.failure(res, err); err != nil {
		return err
	}
	_, err = w.Write(res.Body())
	return err
}

// LogLevel returns the level in force.
func (c *Client) LogLevel(ctx context.Context) (string, error) {
	var l LogLevel
	err := c.do(ctx, http.MethodGet, PathLogLevel, nil, &l)
	return l.Level, err
}

// SetLogLevel changes the level.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	return c.do(ctx, http.MethodPut, PathLogLevel, LogLevel{level}, nil)
}

// Drain asks the daemon to stop gracefully.
func (c *Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, PathDrain, nil, nil)
}

func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	req := c.http.R().SetContext(ctx)
	if body != nil {
		req.SetBody(body)
	}
	res, err := req.Execute(method, path)
	if err := c.failure(res, err); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(res.Body(), into); err != nil {
		return result.Wrap(err, result.AdminAway, "%s answers, but not as a daemon", c.addr)
	}
	return nil
}

// failure reads a refusal, or the daemon's absence.
func (c *Client) failure(res *resty.Response, err error) error {
	if err != nil {
		return result.Wrap(err, result.AdminAway, "no daemon answers at %s", c.addr)
	}
	if res.IsSuccess() {
		return nil
	}
	var f Failure
	if json.Unmarshal(res.Body(), &f) == nil && f.Code != 0 {
		return result.New(result.Code(f.Code), "%s: %s", c.addr, f.Message)
	}
	return result.New(result.AdminAway, "%s answers with status %d", c.addr, res.StatusCode())
}
