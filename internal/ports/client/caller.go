package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/ports/wire"
	"tarragonbay.example/tarragonbay/internal/result"
)

// call is one HTTP call of a service.
type call struct {
	method string
	path   string
	// body is sent as JSON, unless it is a []byte.
	body any
	// repeatable calls are tried a second time over a new connection.
	repeatable bool
}

// caller makes the calls of one service. It bounds how many run at a time,
// and holds them back while the service keeps failing.
type caller struct {
	name    string
	away    result.Code
	options Options
	places  chan struct{}
	pooled  *resty.Client
	fresh   *resty.Client

	mu      sync.Mutex
	breaker Breaker
	// suspect is set while pooled connections may have gone silent.
	suspect bool
}

func newCaller(o Options, name string, away result.Code) *caller {
	return &caller{
		name:    name,
		away:    away,
		options: o,
		places:  make(chan struct{}, o.Concurrency),
		pooled:  restyClient(o, false),
		fresh:   restyClient(o, true),
		breaker: Breaker{Threshold: o.BreakerFailures, FirstPause: o.BreakerPause, MaxPause: o.BreakerMaxPause},
	}
}

// restyClient returns a client that keeps its connections, or one that opens
// a new connection for each call.
func restyClient(o Options, fresh bool) *resty.Client {
	dialer := &net.Dialer{Timeout: o.TryTimeout}
	transport := answers.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: o.Concurrency,
		MaxConnsPerHost:     o.Concurrency,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   fresh,
	})
	return resty.New().
		SetBaseURL(o.BaseURL).
		SetTransport(transport).
		SetResponseBodyLimit(maxResponseBytes)
}

// do makes the call and decodes the answer into out; a *[]byte takes it as it
// is. Errors are *result.Error: CircuitOpen and the service's own "away" code
// mean that nothing was done, TableUnknown that a call which may not be
// repeated was sent and not answered.
func (c *caller) do(ctx context.Context, k call, out any) error {
	if !c.allow() {
		return result.New(result.CircuitOpen, "calls to the %s are held back", c.name).
			WithRetryAfter(c.options.BreakerPause)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	select {
	case c.places <- struct{}{}:
		defer func() { <-c.places }()
	case <-ctx.Done():
		c.cancelled()
		return result.Wrap(ctx.Err(), c.away, "too many calls to the %s are waiting", c.name)
	}
	body, err := c.tries(ctx, k)
	if errors.Is(ctx.Err(), context.Canceled) {
		c.cancelled()
	} else {
		c.record(err)
	}
	if err != nil {
		return err
	}
	return decode(body, out)
}

// tries makes the call, and once more over a new connection when the answer
// did not come and the call may be repeated.
func (c *caller) tries(ctx context.Context, k call) ([]byte, error) {
	body, err := c.try(ctx, k, c.isSuspect())
	if err == nil || answered(err) || ctx.Err() != nil {
		return body, err
	}
	c.distrust()
	notSent := !result.Is(err, result.TableUnknown)
	if !k.repeatable && !notSent {
		return nil, err
	}
	return c.try(ctx, k, true)
}

// answeredError marks an error that the service itself returned.
type answeredError struct{ err *result.Error }

// Error returns the text of the numbered error.
func (e answeredError) Error() string { return e.err.Error() }

// Unwrap returns the numbered error.
func (e answeredError) Unwrap() error { return e.err }

func answered(err error) bool {
	var e answeredError
	return errors.As(err, &e)
}

// try makes the call once within the time of one try.
func (c *caller) try(ctx context.Context, k call, fresh bool) ([]byte, error) {
	client := c.pooled
	timeout := c.options.TryTimeout
	if fresh {
		client = c.fresh
		timeout = c.options.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := client.R().SetContext(ctx)
	if k.body != nil {
		req.SetBody(k.body)
	}
	resp, err := req.Execute(k.method, k.path)
	if err != nil {
		return nil, c.transportError(k, err)
	}
	if resp.IsSuccess() {
		c.trust()
		return resp.Body(), nil
	}
	return nil, c.serviceError(resp)
}

// transportError names a call without an answer. A commit whose connection
// was made may have taken effect.
func (c *caller) transportError(k call, err error) error {
	var op *net.OpError
	dialled := !errors.As(err, &op) || op.Op != "dial"
	if dialled && !k.repeatable {
		return result.Wrap(err, result.TableUnknown, "the reply of the %s was lost", c.name)
	}
	return result.Wrap(err, c.away, "the %s does not answer", c.name)
}

func (c *caller) serviceError(resp *resty.Response) error {
	var body wire.Error
	if err := json.Unmarshal(resp.Body(), &body); err != nil || body.Code == 0 {
		return answeredError{result.New(c.away, "the %s answered with status %d", c.name, resp.StatusCode())}
	}
	return answeredError{body.Err()}
}

func decode(body []byte, out any) error {
	if raw, ok := out.(*[]byte); ok {
		*raw = body
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return result.Wrap(err, result.Internal, "the platform's answer cannot be read")
	}
	return nil
}

func (c *caller) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(c.options.Now())
}

func (c *caller) cancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Cancelled()
}

// record tells the breaker how the call ended. Refusals that the service
// answered with, such as a conflict, show that it works.
func (c *caller) record(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limited := answered(err) && c.away == result.WeightsLimited
	failed := (result.Is(err, c.away) && !limited) || result.Is(err, result.TableUnknown)
	c.breaker.Record(c.options.Now(), !failed)
}

func (c *caller) isSuspect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// distrust drops the pooled connections after one of them did not answer.
func (c *caller) distrust() {
	c.mu.Lock()
	c.suspect = true
	c.mu.Unlock()
	c.pooled.GetClient().CloseIdleConnections()
}

func (c *caller) trust() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = false
}

// open reports whether calls are held back now.
func (c *caller) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Open(c.options.Now())
}

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 30 * time.Second

// maxResponseBytes bounds one answer of the platform.
const maxResponseBytes = 256 << 20
