package link

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/link/linkv1/linkv1connect"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Options configure a Client.
type Options struct {
	// Sender and Incarnation name the calling daemon in every message.
	Sender      string
	Incarnation uint64
	// Address is where the calling daemon serves PeerService, as IP:port.
	Address string
	// Revision returns the configuration in force at the caller.
	Revision func() uint64
	// TLS is used when not nil.
	TLS    *tls.Config
	Timing Timing
}

// Client calls agents. It keeps a pool of connections for each address and is
// safe for concurrent use.
type Client struct {
	opts   Options
	counts counters

	mu    sync.RWMutex
	peers map[string]*peer
}

// peer is one agent's address.
type peer struct {
	// pooled and streamed reuse connections, streamed for attempts whose
	// answers are streams; fresh opens one for each call.
	pooled   linkv1connect.AgentServiceClient
	streamed linkv1connect.AgentServiceClient
	fresh    linkv1connect.AgentServiceClient
	// closeIdle drops the pooled connections that no call uses.
	closeIdle func()
	// incarnation is the agent's, as its last frame told it; 0 before one.
	incarnation atomic.Uint64
}

type counters struct {
	crossed, late, gaps, silent, resumed, settled atomic.Uint64
}

// Counts is what the client has seen since it started.
type Counts struct {
	// Crossed and Late count dropped frames.
	Crossed uint64 `json:"crossed"`
	Late    uint64 `json:"late"`
	// Gaps counts missing frames, Silent connections without heartbeats.
	Gaps   uint64 `json:"gaps"`
	Silent uint64 `json:"silent"`
	// Resumed counts new connections for running answers, Settled questions
	// about attempts without a first frame.
	Resumed uint64 `json:"resumed"`
	Settled uint64 `json:"settled"`
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	return &Client{opts: opts, peers: map[string]*peer{}}
}

// Counts returns a copy of the counters, for metrics and the state dump.
func (c *Client) Counts() Counts {
	return Counts{
		Crossed: c.counts.crossed.Load(), Late: c.counts.late.Load(),
		Gaps: c.counts.gaps.Load(), Silent: c.counts.silent.Load(),
		Resumed: c.counts.resumed.Load(), Settled: c.counts.settled.Load(),
	}
}

// Incarnation returns the incarnation of the agent at an address, as its last
// frame told it, or 0 before any frame.
func (c *Client) Incarnation(addr string) uint64 { return c.peer(addr).incarnation.Load() }

// Forget closes the idle connections to an address that is no longer used.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	p := c.peers[addr]
	delete(c.peers, addr)
	c.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

func (c *Client) peer(addr string) *peer {
	c.mu.RLock()
	p := c.peers[addr]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[addr]; p != nil {
		return p
	}
	p = c.newPeer(addr)
	c.peers[addr] = p
	return p
}

// Bounds on what an agent sends as one message: all frames of an answer, or one of them, with
// what stands beside its data.
const (
	maxAnswerBytes = TotalLimit + 1<<20
	maxFrameBytes  = MaxFrame + 1<<20
)

func (c *Client) newPeer(addr string) *peer {
	scheme := "http://"
	if c.opts.TLS != nil {
		scheme = "https://"
	}
	pooled := newTransport(c.opts.TLS, true, connectionBuffer)
	streamed := newTransport(c.opts.TLS, true, streamBuffer)
	fresh := newTransport(c.opts.TLS, false, connectionBuffer)
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	whole, frames := connect.WithReadMaxBytes(maxAnswerBytes), connect.WithReadMaxBytes(maxFrameBytes)
	return &peer{
		pooled:   linkv1connect.NewAgentServiceClient(gatheringClient{httpClient{pooled}}, scheme+addr, plain, whole),
		streamed: linkv1connect.NewAgentServiceClient(httpClient{streamed}, scheme+addr, plain, frames),
		fresh:    linkv1connect.NewAgentServiceClient(httpClient{fresh}, scheme+addr, plain, whole),
		closeIdle: func() {
			pooled.CloseIdleConnections()
			streamed.CloseIdleConnections()
		},
	}
}

// envelope names the sender and its revision.
func (c *Client) envelope() *linkv1.Envelope {
	return &linkv1.Envelope{
		Revision: c.opts.Revision(), Sender: c.opts.Sender, Address: c.opts.Address, Incarnation: c.opts.Incarnation,
	}
}

// Settle asks over a new connection what became of an attempt. req.AgeMs must
// tell how long ago the attempt was sent. An answer later than Timing.Call is
// ignored.
func (c *Client) Settle(ctx context.Context, addr string, req *linkv1.SettleRequest) (*linkv1.SettleResponse, error) {
	req.Envelope = c.envelope()
	p := c.peer(addr)
	c.counts.settled.Add(1)
	return try(ctx, c.opts.Timing.Call, p.fresh.Settle, req)
}

// Cancel ends an attempt whose caller is gone.
func (c *Client) Cancel(ctx context.Context, addr string, req *linkv1.CancelRequest) (*linkv1.CancelResponse, error) {
	req.Envelope = c.envelope()
	p := c.peer(addr)
	return tryTwice(ctx, c.opts.Timing.Call, p, p.pooled.Cancel, p.fresh.Cancel, req)
}

// Report asks for the state and load of the host's upstreams.
func (c *Client) Report(ctx context.Context, addr string, req *linkv1.ReportRequest) (*linkv1.ReportResponse, error) {
	req.Envelope = c.envelope()
	p := c.peer(addr)
	return tryTwice(ctx, c.opts.Timing.Call, p, p.pooled.Report, p.fresh.Report, req)
}

// HandIn gives the agent charges of one that died. It is sent once, over a new
// connection, since the agent answers only when the charges are durable.
func (c *Client) HandIn(ctx context.Context, addr string, req *linkv1.HandInRequest) (*linkv1.HandInResponse, error) {
	req.Envelope = c.envelope()
	return try(ctx, c.opts.Timing.Call, c.peer(addr).fresh.HandIn, req)
}

// Order passes an engine order through the agent's fencing gate. It is sent
// once, over a new connection; a lost reply has outcome Unknown.
func (c *Client) Order(ctx context.Context, addr string, req *linkv1.OrderRequest) (*linkv1.OrderResponse, error) {
	req.Envelope = c.envelope()
	return try(ctx, 0, c.peer(addr).fresh.Order, req)
}

// unary is a method of the generated client.
type unary[Req, Res any] func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// try makes one call; a limit of 0 leaves the time to ctx.
func try[Req, Res any](ctx context.Context, limit time.Duration, call unary[Req, Res], req *Req) (*Res, error) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	res, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fromWire(err)
	}
	return res.Msg, nil
}

// tryTwice makes an idempotent call over a pooled connection and, when the
// agent did not answer there, over a new one.
func tryTwice[Req, Res any](ctx context.Context, limit time.Duration, p *peer, pooled, fresh unary[Req, Res], req *Req) (*Res, error) {
	res, err := try(ctx, limit/2, pooled, req)
	e := result.From(err)
	if err == nil || !result.Is(err, result.NoUpstream) || e.Outcome == result.NotRun || ctx.Err() != nil {
		return res, err
	}
	p.closeIdle()
	return try(ctx, limit, fresh, req)
}
