package client

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
	standin "tarragonbay.example/tarragonbay/internal/standin/platform"
)

// start serves a fake platform and returns a client of it.
func start(t *testing.T, o Options) (*fake.Platform, *Client) {
	t.Helper()
	p := fake.New(fake.Options{})
	srv := httptest.NewServer(standin.New(p).Handler())
	t.Cleanup(srv.Close)
	o.BaseURL = srv.URL
	return p, New(o)
}

func txn(id, key, value string, version uint64) ports.Txn {
	return ports.Txn{
		OperationID: id,
		Conditions:  []ports.Condition{{Key: key, Version: version}},
		Writes:      []ports.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestAllPortsWorkOverHTTP(t *testing.T) {
	ctx := t.Context()
	p, c := start(t, Options{})
	p.Hosts.Put(ports.HostState{Name: "h1", Address: "127.0.0.1:1"})
	if err := c.Table.Commit(ctx, txn("1", "a/b", "x", 0)); err != nil {
		t.Fatal(err)
	}
	row, ok, err := c.Table.Get(ctx, "a/b")
	if err != nil || !ok || string(row.Value) != "x" || row.Version != 1 {
		t.Errorf("get: %v %v %v", row, ok, err)
	}
	if rows, err := c.Table.Scan(ctx, "a", "b", 5); len(rows) != 1 || err != nil {
		t.Errorf("scan: %v %v", rows, err)
	}
	if err := c.Table.Commit(ctx, txn("2", "a/b", "y", 9)); !result.Is(err, result.TableConflict) {
		t.Errorf("commit: %v", err)
	}
	if err := c.Objects.PutIfAbsent(ctx, "snapshots/x", []byte{0, 1, 2}); err != nil {
		t.Error(err)
	}
	if data, err := c.Objects.Get(ctx, "snapshots/x"); string(data) != "\x00\x01\x02" || err != nil {
		t.Errorf("object: %v %v", data, err)
	}
	if err := c.Objects.Delete(ctx, "snapshots/x"); err != nil {
		t.Error(err)
	}
	if _, err := c.Objects.Get(ctx, "snapshots/x"); !result.Is(err, result.ObjectMissing) {
		t.Errorf("deleted object: %v", err)
	}
	if hosts, err := c.Hosts.List(ctx); len(hosts) != 1 || err != nil {
		t.Errorf("hosts: %v %v", hosts, err)
	}
	if err := c.Ratings.Submit(ctx, ports.Sample{RequestID: "r"}); err != nil {
		t.Error(err)
	}
	if got, next, err := c.Ratings.Since(ctx, 0, 1); len(got) != 1 || next != 1 || err != nil {
		t.Errorf("ratings: %v %d %v", got, next, err)
	}
	if err := c.Weights.Reserve(ctx, "m@1"); err != nil {
		t.Error(err)
	}
}

func TestLostReplyIsResolvedNeverGuessed(t *testing.T) {
	for name, faults := range map[string]fake.TableFaults{
		"after the effect":  {LoseReplies: 1},
		"before the effect": {LoseRequests: 1},
		"both in turn":      {LoseReplies: 1, LoseRequests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			p, c := start(t, Options{})
			p.Table.SetFaults(faults)
			if err := c.Table.Resolve(ctx, txn("1", "a", "x", 0)); err != nil {
				t.Fatal(err)
			}
			if row, _, _ := p.Table.Get(ctx, "a"); row.Version != 1 {
				t.Errorf("written %d times", row.Version)
			}
		})
	}
}

func TestLostReplyBehindAnotherWriteIsAConflict(t *testing.T) {
	ctx := t.Context()
	p, c := start(t, Options{})
	p.Table.SetFaults(fake.TableFaults{LoseRequests: 1})
	if err := c.Table.Commit(ctx, txn("1", "a", "x", 0)); !result.Is(err, result.TableUnknown) {
		t.Fatalf("got %v", err)
	}
	_ = p.Table.Commit(ctx, txn("2", "a", "other", 0))
	if err := c.Table.Resolve(ctx, txn("1", "a", "x", 0)); !result.Is(err, result.TableConflict) {
		t.Errorf("got %v", err)
	}
}

func TestBreakerHoldsCallsBackAndProbes(t *testing.T) {
	ctx := t.Context()
	clock := time.Unix(0, 0)
	p, c := start(t, Options{Now: func() time.Time { return clock }})
	p.Table.SetFaults(fake.TableFaults{Outage: true})
	for range DefaultBreakerFailures {
		if _, _, err := c.Table.Get(ctx, "a"); !result.Is(err, result.TableUnavailable) {
			t.Fatalf("got %v", err)
		}
	}
	asked := p.Table.Usage().Refused
	if _, _, err := c.Table.Get(ctx, "a"); !result.Is(err, result.CircuitOpen) || !c.State().TableHeldBack {
		t.Errorf("got %v", err)
	}
	if p.Table.Usage().Refused != asked {
		t.Error("an open breaker let a call through")
	}
	p.Table.SetFaults(fake.TableFaults{})
	clock = clock.Add(DefaultBreakerPause)
	if _, _, err := c.Table.Get(ctx, "a"); err != nil {
		t.Errorf("the probe got %v", err)
	}
}

// silentProxy passes connections on until it is told to go silent; those open
// then are never answered again, while new ones work.
type silentProxy struct {
	target string
	epoch  atomic.Int64
	wg     sync.WaitGroup
}

func (s *silentProxy) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.target)
		if err != nil {
			conn.Close()
			continue
		}
		born := s.epoch.Load()
		s.wg.Add(2)
		go s.copy(out, conn, born)
		go s.copy(conn, out, born)
	}
}

func (s *silentProxy) copy(to, from net.Conn, born int64) {
	defer s.wg.Done()
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if s.epoch.Load() != born {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func TestSilentConnectionIsNotTrusted(t *testing.T) {
	ctx := t.Context()
	p := fake.New(fake.Options{})
	srv := httptest.NewServer(standin.New(p).Handler())
	t.Cleanup(srv.Close)
	proxy := &silentProxy{target: srv.Listener.Addr().String()}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go proxy.serve(l)
	c := New(Options{BaseURL: "http://" + l.Addr().String(), TryTimeout: 100 * time.Millisecond})
	if err := c.Table.Commit(ctx, txn("1", "a", "x", 0)); err != nil {
		t.Fatal(err)
	}
	proxy.epoch.Add(1)
	if row, ok, err := c.Table.Get(ctx, "a"); !ok || err != nil || row.Version != 1 {
		t.Errorf("read over a silent connection: %v %v", ok, err)
	}
	proxy.epoch.Add(1)
	if err := c.Table.Resolve(ctx, txn("2", "a", "y", 1)); err != nil {
		t.Errorf("commit over a silent connection: %v", err)
	}
	if row, _, _ := p.Table.Get(ctx, "a"); row.Version != 2 {
		t.Errorf("row has version %d, want 2", row.Version)
	}
}

func TestOverloadIsBounded(t *testing.T) {
	p, c := start(t, Options{Concurrency: 2, Timeout: 300 * time.Millisecond, BreakerFailures: 1000})
	p.Table.SetFaults(fake.TableFaults{Latency: time.Hour})
	var wg sync.WaitGroup
	var refused atomic.Int64
	for range 10 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			if _, _, err := c.Table.Get(ctx, "a"); result.Is(err, result.TableUnavailable) {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	if refused.Load() != 10 {
		t.Errorf("%d of 10 calls were given up in time", refused.Load())
	}
}
