package entry

import (
	"context"
	"sync"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// reporter asks an agent for its report. It is implemented by link.Client.
type reporter interface {
	Report(ctx context.Context, addr string, req *linkv1.ReportRequest) (*linkv1.ReportResponse, error)
}

// agentLives remembers the incarnation of each agent, as last heard.
type agentLives struct {
	mu     sync.Mutex
	byAddr map[string]uint64
}

// heard notes the incarnation of an agent.
func (a *agentLives) heard(addr string, incarnation uint64) {
	if incarnation == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byAddr == nil {
		a.byAddr = map[string]uint64{}
	}
	a.byAddr[addr] = incarnation
}

// incarnation returns what was last heard, or asks the agent.
func (a *agentLives) incarnation(ctx context.Context, r reporter, addr string) (uint64, error) {
	a.mu.Lock()
	known := a.byAddr[addr]
	a.mu.Unlock()
	if known != 0 {
		return known, nil
	}
	resp, err := r.Report(ctx, addr, &linkv1.ReportRequest{})
	if err != nil {
		return 0, err
	}
	incarnation := resp.GetEnvelope().GetIncarnation()
	a.heard(addr, incarnation)
	return incarnation, nil
}

// forget drops what is known of an agent that may have restarted.
func (a *agentLives) forget(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byAddr, addr)
}
