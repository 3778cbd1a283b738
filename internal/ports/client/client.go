// Package client holds the typed clients of the platform's services. Each has
// a deadline, a bound on the calls that run at a time and a circuit breaker of
// its own, so that a service which is down costs its callers no time. An idle
// connection is not trusted: the first try has a short deadline, and the
// second goes over a new connection.
package client

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/wire"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Options configure the clients. Zero fields take the defaults.
type Options struct {
	// BaseURL of the platform, such as "http://127.0.0.1:7000".
	BaseURL string
	// Timeout bounds one call with all its tries.
	Timeout time.Duration
	// TryTimeout bounds a try over a pooled connection.
	TryTimeout time.Duration
	// Concurrency bounds the calls to one service that run at a time.
	Concurrency int
	// BreakerFailures in a row open a service's circuit breaker.
	BreakerFailures int
	// BreakerPause and BreakerMaxPause bound how long it stays open.
	BreakerPause, BreakerMaxPause time.Duration
	// Now is the clock of the breakers; time.Now when nil.
	Now func() time.Time
}

// Defaults of the options.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultTryTimeout      = 600 * time.Millisecond
	DefaultConcurrency     = 16
	DefaultBreakerFailures = 4
	DefaultBreakerPause    = 500 * time.Millisecond
	DefaultBreakerMaxPause = 5 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.TryTimeout, DefaultTryTimeout)
	setDefault(&o.Concurrency, DefaultConcurrency)
	setDefault(&o.BreakerFailures, DefaultBreakerFailures)
	setDefault(&o.BreakerPause, DefaultBreakerPause)
	setDefault(&o.BreakerMaxPause, DefaultBreakerMaxPause)
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Client is one client for each of the platform's services.
type Client struct {
	Table   *Table
	Objects *Objects
	Hosts   *Hosts
	Ratings *Ratings
	Weights *Weights
}

// New returns the clients. It opens no connection.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		Table:   &Table{newCaller(o, "table service", result.TableUnavailable)},
		Objects: &Objects{newCaller(o, "object store", result.ObjectUnavailable)},
		Hosts:   &Hosts{newCaller(o, "host list", result.HostsUnavailable)},
		Ratings: &Ratings{newCaller(o, "rating service", result.RatingsAway)},
		Weights: &Weights{newCaller(o, "weight store", result.WeightsLimited)},
	}
}

// State is what a state dump shows of the clients.
type State struct {
	TableHeldBack   bool `json:"tableHeldBack"`
	ObjectsHeldBack bool `json:"objectsHeldBack"`
	HostsHeldBack   bool `json:"hostsHeldBack"`
	RatingsHeldBack bool `json:"ratingsHeldBack"`
	WeightsHeldBack bool `json:"weightsHeldBack"`
}

// State tells which services are held back by their circuit breakers.
func (c *Client) State() State {
	return State{
		TableHeldBack:   c.Table.caller.open(),
		ObjectsHeldBack: c.Objects.caller.open(),
		HostsHeldBack:   c.Hosts.caller.open(),
		RatingsHeldBack: c.Ratings.caller.open(),
		WeightsHeldBack: c.Weights.caller.open(),
	}
}

func read(path string, body any) call {
	return call{method: http.MethodPost, path: path, body: body, repeatable: true}
}

// Table is the client of the table service.
type Table struct{ caller *caller }

var _ ports.Table = (*Table)(nil)

// Get returns one row.
func (t *Table) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	var out wire.RowResponse
	err := t.caller.do(ctx, read(wire.PathTableGet, wire.KeyRequest{Key: key}), &out)
	return out.Row, out.Found, err
}

// Scan returns at most limit rows with from <= key < to, in key order.
func (t *Table) Scan(ctx context.Context, from, to string, limit int) ([]ports.Row, error) {
	var out wire.ScanResponse
	err := t.caller.do(ctx, read(wire.PathTableScan, wire.ScanRequest{From: from, To: to, Limit: limit}), &out)
	return out.Rows, err
}

// Commit sends the transaction once. TableUnknown means that it may have
// taken effect; Resolve commits and finds out.
func (t *Table) Commit(ctx context.Context, txn ports.Txn) error {
	k := call{method: http.MethodPost, path: wire.PathTableCommit, body: txn}
	return t.caller.do(ctx, k, &wire.Empty{})
}

// Applied reports whether the operation ID took effect in the last hour.
func (t *Table) Applied(ctx context.Context, operationID string) (bool, error) {
	var out wire.AppliedResponse
	err := t.caller.do(ctx, read(wire.PathTableApplied, wire.AppliedRequest{OperationID: operationID}), &out)
	return out.Applied, err
}

// Resolve commits the transaction and resolves a lost reply by its operation
// ID. See ports.CommitResolved.
func (t *Table) Resolve(ctx context.Context, txn ports.Txn) error {
	return ports.CommitResolved(ctx, t, txn)
}

// Objects is the client of the object store.
type Objects struct{ caller *caller }

var _ ports.Objects = (*Objects)(nil)

func objectPath(name string) string { return wire.PathObjects + url.PathEscape(name) }

// PutIfAbsent stores the object; an equal one that is there is no error.
func (o *Objects) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	k := call{method: http.MethodPut, path: objectPath(name), body: data, repeatable: true}
	return o.caller.do(ctx, k, &wire.Empty{})
}

// Get returns the object.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var out []byte
	err := o.caller.do(ctx, call{method: http.MethodGet, path: objectPath(name), repeatable: true}, &out)
	return out, err
}

// Delete removes the object; one that is gone already is no error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.caller.do(ctx, call{method: http.MethodDelete, path: objectPath(name), repeatable: true}, &wire.Empty{})
}

// Hosts is the client of the host list.
type Hosts struct{ caller *caller }

var _ ports.Hosts = (*Hosts)(nil)

// List returns the lagging host list.
func (h *Hosts) List(ctx context.Context) ([]ports.HostState, error) {
	var out wire.HostsResponse
	err := h.caller.do(ctx, call{method: http.MethodGet, path: wire.PathHosts, repeatable: true}, &out)
	return out.Hosts, err
}

// Ratings is the client of the rating service.
type Ratings struct{ caller *caller }

var _ ports.Ratings = (*Ratings)(nil)

// Submit hands an answer in for rating. It may be handed in twice when a
// reply is lost; the reader of the ratings counts each request ID once.
func (r *Ratings) Submit(ctx context.Context, s ports.Sample) error {
	return r.caller.do(ctx, read(wire.PathRatingsSubmit, s), &wire.Empty{})
}

// Since returns the ratings made after the cursor, and the next cursor.
func (r *Ratings) Since(ctx context.Context, cursor uint64, limit int) ([]ports.Rating, uint64, error) {
	var out wire.SinceResponse
	if err := r.caller.do(ctx, read(wire.PathRatingsSince, wire.SinceRequest{Cursor: cursor, Limit: limit}), &out); err != nil {
		return nil, cursor, err
	}
	return out.Ratings, out.Next, nil
}

// Weights is the client of the weight store.
type Weights struct{ caller *caller }

var _ ports.Weights = (*Weights)(nil)

// Reserve asks for a place in the rate limit. It returns WeightsLimited with
// a time to come back, also when the store does not answer.
func (w *Weights) Reserve(ctx context.Context, version string) error {
	return w.caller.do(ctx, read(wire.PathWeights, wire.ReserveRequest{Version: version}), &wire.Empty{})
}
