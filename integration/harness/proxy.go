package harness

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// Proxy stands on one link and injects faults into it.
type Proxy struct {
	Name  string
	proxy *toxiproxy.Proxy
	// injected counts the faults switched on.
	injected *atomic.Int64
}

var proxyServer = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

func newProxy(t testing.TB, name, upstream string, injected *atomic.Int64) *Proxy {
	t.Helper()
	p := toxiproxy.NewProxy(proxyServer(), name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &Proxy{Name: name, proxy: p, injected: injected}
}

// Address is what the near end of the link connects to.
func (p *Proxy) Address() string { return p.proxy.Listen }

// Retarget leads the link to another far end and ends its open connections.
func (p *Proxy) Retarget(t testing.TB, upstream string) {
	t.Helper()
	in := &toxiproxy.Proxy{Listen: p.proxy.Listen, Upstream: upstream, Enabled: true}
	if err := p.proxy.Update(in); err != nil {
		t.Fatal(err)
	}
}

// Cut ends open connections and refuses new ones.
func (p *Proxy) Cut() {
	p.injected.Add(1)
	p.proxy.Stop()
}

// Restore takes connections again after Cut.
func (p *Proxy) Restore(t testing.TB) {
	t.Helper()
	if err := p.proxy.Start(); err != nil {
		t.Fatal(err)
	}
}

// Delay adds milliseconds to what the far end sends.
func (p *Proxy) Delay(t testing.TB, ms int) {
	t.Helper()
	p.add(t, toxic{Type: "latency", Attributes: map[string]int{"latency": ms}})
}

// Reset resets each connection once something is sent over it.
func (p *Proxy) Reset(t testing.TB) {
	t.Helper()
	p.add(t, toxic{Type: "reset_peer", Attributes: map[string]int{"timeout": 0}})
}

// CutAfter ends each connection after that many bytes of the far end.
func (p *Proxy) CutAfter(t testing.TB, bytes int) {
	t.Helper()
	p.add(t, toxic{Type: "limit_data", Attributes: map[string]int{"bytes": bytes}})
}

// SilenceOpen makes the connections that are open now silent for good, in both
// directions, while new ones work.
func (p *Proxy) SilenceOpen(t testing.TB) {
	t.Helper()
	silenceMu.Lock()
	defer silenceMu.Unlock()
	silenceArmed.Store(true)
	defer silenceArmed.Store(false)
	n := silenceCount.Add(1)
	suffix := string(rune('a' + n%26))
	p.add(t, toxic{Type: silenceType, Name: "silence_down_" + suffix})
	p.add(t, toxic{Type: silenceType, Name: "silence_up_" + suffix, Stream: "upstream"})
}

// LoseReplies lets calls reach the far end and drops what it sends back.
func (p *Proxy) LoseReplies(t testing.TB) {
	t.Helper()
	p.add(t, toxic{Type: "timeout", Attributes: map[string]int{"timeout": 0}})
}

// Heal takes all faults off, but connections made silent stay silent.
func (p *Proxy) Heal() {
	p.proxy.Toxics.ResetToxics(context.Background())
}

type toxic struct {
	Type       string         `json:"type"`
	Name       string         `json:"name,omitempty"`
	Stream     string         `json:"stream,omitempty"`
	Attributes map[string]int `json:"attributes"`
}

func (p *Proxy) add(t testing.TB, x toxic) {
	t.Helper()
	p.injected.Add(1)
	if x.Stream == "" {
		x.Stream = "downstream"
	}
	if x.Attributes == nil {
		x.Attributes = map[string]int{}
	}
	data, err := json.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(string(data))); err != nil {
		t.Fatal(err)
	}
}

const silenceType = "silence_open"

var (
	silenceMu    sync.Mutex
	silenceArmed atomic.Bool
	silenceCount atomic.Int64
)

// silence drops everything on the connections that were open when it was
// added, and passes everything on those that come later.
type silence struct{}

// silenceState is kept for each connection and direction.
type silenceState struct{ silent bool }

// NewState is called when the toxic meets a connection.
func (*silence) NewState() any { return &silenceState{silent: silenceArmed.Load()} }

// Pipe passes data on, or drops it.
func (*silence) Pipe(stub *toxics.ToxicStub) {
	state, ok := stub.State.(*silenceState)
	if !ok || !state.silent {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	new(toxics.TimeoutToxic).Pipe(stub)
}

func init() { toxics.Register(silenceType, new(silence)) }
