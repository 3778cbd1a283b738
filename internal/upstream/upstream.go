// Package upstream is the agent's client of the upstreams on its host: model
// engines with an OpenAI-compatible API, and plain HTTP services.
//
// Its errors say truthfully whether the call ran. A call that could not be
// written to any connection did not run; once the first byte may have reached
// the upstream, the outcome is unknown unless the upstream itself says that it
// refused the call.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Headers sent to upstreams and read from them.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderPriority       = "X-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Bounds of one upstream connection.
const (
	dialTimeout         = time.Second
	idleTimeout         = 60 * time.Second
	maxIdlePerUpstream  = 256
	maxUnaryAnswerBytes = 16 << 20
	maxHeadBytes        = 64 << 10
)

// Buffers of one connection, each way. A short call goes out in one write; a
// stream keeps its buffers for long, and is one write more.
const (
	shortBufferBytes  = 4 << 10
	streamBufferBytes = 1 << 10
)

// Call is one call of an upstream.
type Call struct {
	RequestID string
	AttemptID string
	Method    string
	// Path with the query.
	Path           string
	ContentType    string
	Body           []byte
	Priority       uint32
	IdempotencyKey string
	// Stream asks an engine for server-sent events.
	Stream bool
	// Engine is set for a model engine, whose 429 and 503 mean "not run"
	// and whose other 5xx are failures; a plain service's statuses are all
	// answers.
	Engine bool
	// Idempotent calls may use a pooled connection if the upstream tells its
	// answers apart (see Client.echoes); others get one of their own, because
	// net/http resends a call on a pooled connection that turns out to be closed.
	Idempotent bool
}

// Usage counts the tokens of an answer.
type Usage struct {
	InputTokens  uint64
	OutputTokens uint64
	CachedTokens uint64
}

// Sink takes the answer. A call blocks while the reader is slow.
type Sink interface {
	Head(status int, contentType string) error
	Data(data []byte) error
}

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	base string
	// pooled and streamed reuse connections, for answers in one piece and for
	// streams; fresh opens one for each call.
	pooled   answers.Transport
	streamed answers.Transport
	fresh    answers.Transport
	// echoes is true once the upstream has sent an attempt's id back. Until then no
	// connection is used again: a second copy of an answer that comes late would be
	// taken for the answer to the next call.
	echoes atomic.Bool
}

// NewClient returns a client of the upstream at the IP:port address.
func NewClient(address string) *Client {
	c := &Client{
		base:     "http://" + address,
		pooled:   newTransport(shortBufferBytes),
		streamed: newTransport(streamBufferBytes),
		fresh:    newTransport(shortBufferBytes),
	}
	c.fresh.DisableKeepAlives = true
	return c
}

func newTransport(bufferBytes int) answers.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return answers.NewTransport(&http.Transport{
		DialContext:         d.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// Close drops idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.streamed.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do makes the call and passes the answer to the sink. The error, if any, is a
// *result.Error with the outcome of the call.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) (Usage, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	sent := newBody(call.Body)
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), call, sent)
	if err != nil {
		return Usage{}, result.Wrap(err, result.Internal, "bad upstream request").WithOutcome(result.NotRun)
	}
	resp, err := c.transport(call).RoundTrip(req)
	if err != nil {
		return Usage{}, transportError(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	sent.forget() // an answered call is not sent again
	if err := c.belongs(call, resp); err != nil {
		return Usage{}, err
	}
	if call.Engine {
		if err := engineRefusal(resp); err != nil {
			return Usage{}, err
		}
	}
	return c.readAnswer(ctx, call, resp, sink)
}

// belongs finds out that an answer is one to another call. Its body is left unread, so
// the connection is not used again.
func (c *Client) belongs(call Call, resp *http.Response) error {
	switch id := resp.Header.Get(HeaderAttemptID); id {
	case "":
	case call.AttemptID:
		c.echoes.Store(true)
	default:
		return result.New(result.OutcomeUnknown, "the answer to attempt %s came in place of one to %s", id, call.AttemptID)
	}
	return nil
}

// transport returns the one for the call. Neither follows redirects: what an
// upstream answers goes to the caller.
func (c *Client) transport(call Call) answers.Transport {
	switch {
	case !call.Idempotent, !c.echoes.Load():
		return c.fresh
	case call.Stream:
		return c.streamed
	}
	return c.pooled
}

func (c *Client) request(ctx context.Context, call Call, sent *body) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Stream && len(call.Body) > 0 {
		req.GetBody = sent.open
		if req.Body, err = sent.open(); err != nil {
			return nil, err
		}
	}
	neverResend(req, call)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttemptID, call.AttemptID)
	req.Header.Set(HeaderPriority, strconv.FormatUint(uint64(call.Priority), 10))
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return req, nil
}

// neverResend keeps the transport from sending a request a second time over
// another connection when the one it used breaks. Whether an attempt is followed
// by another is for the entry to decide, within its budget. The transport sends
// again what has no body or GetBody and is a read or carries a key; a POST
// without one only as long as nothing of it was written.
func neverResend(req *http.Request, call Call) {
	if call.Method == http.MethodPost && call.Idempotent && call.IdempotencyKey == "" {
		return
	}
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// transportError tells a call that never left from one that may have run.
func transportError(ctx context.Context, err error, connected bool) error {
	if !connected {
		return result.Wrap(err, result.UpstreamRefused, "no connection to the upstream")
	}
	if ctx.Err() != nil {
		return result.Wrap(err, result.DeadlineExceeded, "the upstream did not answer in time")
	}
	return result.Wrap(err, result.OutcomeUnknown, "the upstream closed the connection before it answered")
}

// engineRefusal reads the statuses with which an engine refuses or fails.
func engineRefusal(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return result.New(result.UpstreamBusy, "the engine refused the request with status %d", resp.StatusCode).
			WithRetryAfter(retryAfter(resp.Header))
	case resp.StatusCode >= http.StatusInternalServerError:
		return result.New(result.UpstreamFailed, "the engine failed with status %d", resp.StatusCode)
	}
	return nil
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

func (c *Client) readAnswer(ctx context.Context, call Call, resp *http.Response, sink Sink) (Usage, error) {
	if err := sink.Head(resp.StatusCode, resp.Header.Get("Content-Type")); err != nil {
		return Usage{}, sinkError(err)
	}
	if call.Stream && resp.StatusCode == http.StatusOK {
		return readEvents(ctx, resp.Body, sink)
	}
	return readWhole(ctx, call, resp, sink)
}

func readWhole(ctx context.Context, call Call, resp *http.Response, sink Sink) (Usage, error) {
	if resp.ContentLength > maxUnaryAnswerBytes {
		return Usage{}, tooLarge()
	}
	data, err := readBody(resp)
	if err != nil {
		return Usage{}, cutError(ctx, err)
	}
	if len(data) > maxUnaryAnswerBytes {
		return Usage{}, tooLarge()
	}
	if err := sink.Data(data); err != nil {
		return Usage{}, sinkError(err)
	}
	if !call.Engine {
		return Usage{}, nil
	}
	return parseUsage(data), nil
}

func tooLarge() error {
	return result.New(result.AnswerCut, "the answer is larger than %d bytes", maxUnaryAnswerBytes)
}

// readBody reads to the end, in one piece of memory when the size is known.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(resp.Body, maxUnaryAnswerBytes+1))
	}
	data := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, data)
	return data, err
}

func cutError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return result.Wrap(err, result.DeadlineExceeded, "the answer was not complete in time").WithOutcome(result.Ran)
	}
	return result.Wrap(err, result.AnswerCut, "the upstream cut its answer")
}

func sinkError(err error) error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.Wrap(err, result.CallerGone, "the reader of the answer is gone").WithOutcome(result.Ran)
}
