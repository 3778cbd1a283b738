package entry

import (
	"context"
	"slices"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// HandIn gives charges of a dead agent to one that lives, and returns how many
// it has made durable. It is the HandInFunc of the entry's copies.
func (e *Entry) HandIn(ctx context.Context, charges []*linkv1.Charge) (int, error) {
	var last error = result.New(result.NoUpstream, "no agent is known to live")
	for _, addr := range e.agents.living() {
		resp, err := e.link.HandIn(ctx, addr, &linkv1.HandInRequest{Charges: charges})
		if err == nil {
			return int(resp.GetAccepted()), nil
		}
		e.agents.forget(addr)
		last = err
	}
	return 0, last
}

// maxHandInTries bounds the agents asked to take charges at a time.
const maxHandInTries = 3

// living lists addresses of agents that answered last time.
func (a *agentLives) living() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for addr := range a.byAddr {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out[:min(len(out), maxHandInTries)]
}
