package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// State is what a model engine says about itself.
type State struct {
	InFlight int      `json:"inFlight"`
	Slots    int      `json:"slots"`
	Versions []string `json:"versions"`
	Leaving  bool     `json:"leaving"`
}

// stateTimeout bounds one question for an engine's state.
const stateTimeout = time.Second

// maxStateBytes is far above any state: a version's name takes some tens of bytes.
const maxStateBytes = 1 << 20

// State asks a model engine for its state. An engine without the path counts
// as one that stays.
func (c *Client) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", http.NoBody)
	if err != nil {
		return State{}, errors.Trace(err)
	}
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return State{}, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return State{}, nil
	}
	var s State
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s); err != nil {
		return State{}, errors.Trace(err)
	}
	return s, nil
}
