package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Order is an order to a model engine.
type Order struct {
	ID string `json:"id"`
	// Action is load, unload or role.
	Action  string `json:"action"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number; an engine that checks refuses an old one.
	Fence uint64 `json:"fence"`
}

// orderTimeout bounds one order. A load goes on in the engine after it is
// accepted.
const orderTimeout = 5 * time.Second

// Order gives the order over a connection of its own. It returns StaleFence
// when the engine refuses the fencing number, OrderRefused for any other
// refusal, and an error with outcome Unknown when no answer came.
func (c *Client) Order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return result.Wrap(err, result.Internal, "order cannot be encoded").WithOutcome(result.NotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return result.Wrap(err, result.Internal, "bad order request").WithOutcome(result.NotRun)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return result.Wrap(err, result.OrderRefused, "the engine does not answer").WithOutcome(result.Unknown)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return result.New(result.StaleFence, "the engine refused the fencing number %d", o.Fence)
	case resp.StatusCode >= http.StatusBadRequest:
		return result.New(result.OrderRefused, "the engine refused the order with status %d", resp.StatusCode)
	}
	return nil
}
