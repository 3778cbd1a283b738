package agent

import (
	"context"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/lease"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/order"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/upstream"
)

// Order implements link.Agent. It passes an engine order through the fencing
// gate. An agent that has restarted reads the highest fencing number from the
// table service before it passes anything.
func (a *Agent) Order(ctx context.Context, req *linkv1.OrderRequest) (*linkv1.OrderResponse, error) {
	a.config.SawEnvelope(req.GetEnvelope())
	a.current()
	up, ok := a.hosted.get(req.GetUpstream())
	if !ok {
		return nil, result.New(result.OrderRefused, "upstream %q is not on this host", req.GetUpstream())
	}
	if err := a.learnFence(ctx, req); err != nil {
		return nil, err
	}
	o := order.Order{
		ID:       req.GetOrderId(),
		Upstream: req.GetUpstream(),
		Action:   order.Action(req.GetAction()),
		Version:  catalog.VersionName(req.GetVersion()),
		Role:     req.GetRole(),
		Fence:    req.GetFence(),
	}
	failure := a.carryOut(ctx, up, o)
	resp := &linkv1.OrderResponse{Envelope: a.config.Envelope()}
	resp.HighestFence, _ = a.gate.Highest(o.Upstream)
	if failure != nil {
		resp.Code = uint32(failure.Code)
		resp.Message = failure.Message
	}
	return resp, nil
}

func (a *Agent) learnFence(ctx context.Context, req *linkv1.OrderRequest) error {
	if _, known := a.gate.Highest(req.GetUpstream()); known {
		return nil
	}
	fence, err := lease.HighestFence(ctx, a.marks, req.GetLease())
	if err != nil {
		return result.Wrap(err, result.FenceUnknown, "the highest fencing number cannot be read")
	}
	a.gate.Learn(req.GetUpstream(), fence)
	return nil
}

func (a *Agent) carryOut(ctx context.Context, up *hostedUpstream, o order.Order) *result.Error {
	run, err := a.gate.Begin(o)
	if err != nil {
		return result.From(err)
	}
	if !run {
		return nil
	}
	// The order is finished even when its sender is gone: the gate must know
	// how it ended.
	err = up.client.Order(context.WithoutCancel(ctx), upstream.Order{
		ID: o.ID, Action: string(o.Action), Version: string(o.Version), Role: o.Role, Fence: o.Fence,
	})
	var failure *result.Error
	if err != nil {
		failure = result.From(err)
	}
	a.gate.End(o, failure, up.config.ChecksFence)
	if failure != nil && failure.Outcome == result.Unknown {
		a.settleOrder(ctx, up, o)
	}
	return failure
}

// settleOrder reads the engine's state back after an order whose end is not
// known. An engine that answers has nothing of it outstanding.
func (a *Agent) settleOrder(ctx context.Context, up *hostedUpstream, o order.Order) {
	if _, err := up.client.State(context.WithoutCancel(ctx)); err == nil {
		a.gate.Settle(o.Upstream)
	}
}
