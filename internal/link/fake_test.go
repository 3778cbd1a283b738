package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// fakeAgent runs attempts with a function in place of an upstream.
type fakeAgent struct {
	reg  *attempt.Registry
	logs *Logs
	run  func(l *AnswerLog, req *linkv1.AttemptRequest)

	mu        sync.Mutex
	cancelled []string
}

func (a *fakeAgent) Attempt(_ context.Context, req *linkv1.AttemptRequest) (*AnswerLog, error) {
	now := time.Now()
	before, err := a.reg.Receive(now, attempt.Arrival{
		AttemptID: req.GetAttemptId(), Incarnation: req.GetAgentIncarnation(),
		SentAt: time.UnixMilli(req.GetSentAtMs()), Budget: time.Duration(req.GetBudgetMs()) * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	if before != attempt.Forgotten {
		return a.logs.Find(req.GetAttemptId()), nil
	}
	l, err := a.logs.Open(req.GetAttemptId())
	if err != nil {
		return nil, err
	}
	go func() {
		_ = a.reg.Admit(now, req.GetAttemptId())
		if err := a.reg.Dispatch(now, req.GetAttemptId()); err != nil {
			_ = l.Refuse(&linkv1.Refusal{Code: uint32(result.From(err).Code)})
			return
		}
		a.run(l, req)
		_ = a.reg.Finish(time.Now(), req.GetAttemptId(), result.Ran)
	}()
	return l, nil
}

func (a *fakeAgent) Settle(_ context.Context, req *linkv1.SettleRequest) (*linkv1.SettleResponse, error) {
	got := a.reg.Settle(time.Now(), attempt.Question{
		AttemptID: req.GetAttemptId(), Incarnation: req.GetAgentIncarnation(),
		Age: time.Duration(req.GetAgeMs()) * time.Millisecond,
	})
	return &linkv1.SettleResponse{Outcome: got.Outcome.String(), State: got.State.String()}, nil
}

func (a *fakeAgent) Cancel(_ context.Context, req *linkv1.CancelRequest) (*linkv1.CancelResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = append(a.cancelled, req.GetAttemptId())
	return &linkv1.CancelResponse{Found: true}, nil
}

func (a *fakeAgent) Report(context.Context, *linkv1.ReportRequest) (*linkv1.ReportResponse, error) {
	return &linkv1.ReportResponse{DurableCharge: 42}, nil
}

func (a *fakeAgent) HandIn(_ context.Context, req *linkv1.HandInRequest) (*linkv1.HandInResponse, error) {
	return &linkv1.HandInResponse{Accepted: uint32(len(req.GetCharges()))}, nil
}

func (a *fakeAgent) Order(context.Context, *linkv1.OrderRequest) (*linkv1.OrderResponse, error) {
	return nil, result.New(result.StaleFence, "fence is old")
}

// rig is an agent behind a proxy, and a client.
type rig struct {
	agent  *fakeAgent
	proxy  *proxy
	client *Client
	// swap replaces the agent's handler, as a restart does.
	swap func(a *fakeAgent)
}

const testIncarnation = 7

func newFakeAgent(incarnation uint64, timing Timing, run func(*AnswerLog, *linkv1.AttemptRequest)) *fakeAgent {
	return &fakeAgent{
		reg:  attempt.NewRegistry(incarnation, attempt.DefaultLimits()),
		logs: NewLogs(incarnation, func() uint64 { return 3 }, timing),
		run:  run,
	}
}

func newRig(tb testing.TB, run func(*AnswerLog, *linkv1.AttemptRequest)) *rig {
	tb.Helper()
	timing := DefaultTiming()
	timing.FirstFrame = 300 * time.Millisecond
	timing.BeatEvery = 50 * time.Millisecond
	timing.SilentAfter = 400 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	r := &rig{agent: newFakeAgent(testIncarnation, timing, run)}
	var mu sync.Mutex
	_, handler := NewHandler(r.agent, r.agent.logs)
	r.swap = func(a *fakeAgent) {
		mu.Lock()
		defer mu.Unlock()
		_, handler = NewHandler(a, a.logs)
	}
	server := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		h := handler
		mu.Unlock()
		h.ServeHTTP(w, req)
	}), nil)
	go func() { _ = Serve(server, ln) }()
	r.proxy = newProxy(tb, ln.Addr().String())
	r.client = NewClient(Options{Sender: "entry-1", Revision: func() uint64 { return 1 }, Timing: timing})
	tb.Cleanup(func() {
		r.client.Forget(r.proxy.addr())
		r.proxy.close()
		_ = server.Close()
	})
	return r
}

func request(id string) *linkv1.AttemptRequest {
	return &linkv1.AttemptRequest{AttemptId: id, RequestId: "r-" + id, AgentIncarnation: testIncarnation, BudgetMs: 20000}
}

// readAll takes a whole answer.
func readAll(ctx context.Context, s *Stream) ([]byte, error) {
	var out bytes.Buffer
	for {
		ev, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return out.Bytes(), nil
		}
		if err != nil {
			return out.Bytes(), err
		}
		out.Write(ev.Data)
	}
}

// answer produces a head, n events and the end.
func answer(n int) func(*AnswerLog, *linkv1.AttemptRequest) {
	return func(l *AnswerLog, req *linkv1.AttemptRequest) {
		_ = l.Head(&linkv1.Head{Status: http.StatusOK, Load: &linkv1.Load{InFlight: 1}})
		for i := range n {
			if err := l.Data(context.Background(), event(req.GetAttemptId(), i)); err != nil {
				_ = l.Fail(&linkv1.Final{}, result.From(err))
				return
			}
		}
		_ = l.End(&linkv1.Final{Usage: &linkv1.Usage{OutputTokens: uint64(n)}})
	}
}

func event(id string, i int) []byte { return fmt.Appendf(nil, "%s event %d\n", id, i) }

func wholeAnswer(id string, n int) []byte {
	var out []byte
	for i := range n {
		out = append(out, event(id, i)...)
	}
	return out
}

// proxy forwards TCP and can silence or cut the connections open now.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns []*proxied
}

type proxied struct {
	a, b   net.Conn
	silent chan struct{}
}

func newProxy(tb testing.TB, target string) *proxy { return newProxyAt(tb, "127.0.0.1:0", target) }

func newProxyAt(tb testing.TB, address, target string) *proxy {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	p := &proxy{ln: ln, target: target}
	go p.accept()
	return p
}

// away refuses connections for a while, and returns the proxy after it.
func (p *proxy) away(tb testing.TB, d time.Duration) *proxy {
	address := p.addr()
	p.close()
	time.Sleep(d)
	return newProxyAt(tb, address, p.target)
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		a, err := p.ln.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", p.target)
		if err != nil {
			a.Close()
			continue
		}
		c := &proxied{a: a, b: b, silent: make(chan struct{})}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.copy(a, b)
		go c.copy(b, a)
	}
}

// copy forwards until an error; once silent it swallows everything.
func (c *proxied) copy(dst, src net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			select {
			case <-c.silent:
			default:
				dst.Close()
			}
			return
		}
		select {
		case <-c.silent:
			continue
		default:
		}
		_, _ = dst.Write(buf[:n])
	}
}

func (p *proxy) each(f func(c *proxied)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		f(c)
	}
	n := len(p.conns)
	p.conns = nil
	return n
}

func (p *proxy) silence() int { return p.each(func(c *proxied) { close(c.silent) }) }

func (p *proxy) cut() int { return p.each(func(c *proxied) { c.a.Close(); c.b.Close() }) }

func (p *proxy) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *proxy) close() {
	p.ln.Close()
	p.cut()
}
