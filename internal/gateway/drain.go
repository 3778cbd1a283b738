package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/graceperiod"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

const (
	// drainPollInterval is the interval between two checks for running requests.
	drainPollInterval = 50 * time.Millisecond
	// cutTimeout bounds the closing of the other listeners.
	cutTimeout = 100 * time.Millisecond
)

// stopping reports whether the gateway has been told to stop.
func (g *Gateway) stopping() bool { return g.stopPlan.Load() != nil }

// refuseWhileStopping refuses a stream that arrives after callers have had the time to
// move to another gateway, because the grace period would end in the middle of it.
func (g *Gateway) refuseWhileStopping(q *request) *result.Error {
	plan := g.stopPlan.Load()
	if plan == nil || q.route.Kind != routetable.Stream || q.arrived.Before(plan.Moved) {
		return nil
	}
	return result.New(result.Stopping, "this gateway is stopping").WithRetryAfter(minRetryDelay)
}

// drain serves requests that still arrive, until none runs or the grace period is over.
// The first server is the one for callers.
func (g *Gateway) drain(servers []*server) {
	plan := graceperiod.New(time.Now(), g.settings().Grace)
	g.stopPlan.Store(&plan)
	g.log.Event(component, "stopping", zap.Int("running", g.conns.running()), zap.Duration("graceMs", g.settings().Grace))
	g.drainCallers(servers[0].ln, plan)
	if running := g.conns.running(); running > 0 {
		g.log.Event(component, "connections cut", zap.Int("running", running))
	}
	_ = servers[0].http.Close() // only its listener can fail to close, and that is closed already
	ctx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	for _, s := range servers[1:] {
		if err := s.http.Shutdown(ctx); err != nil {
			g.log.Event(component, "listener not finished", zap.String("listener", s.ln.Addr().String()), eventlog.Error(err))
		}
	}
}

// drainCallers returns when no caller's connection is left to serve, or at plan.CutAt. It
// closes idle connections itself: http.Server.Shutdown also closes one whose request has
// just been read, and that request would be forwarded.
func (g *Gateway) drainCallers(ln *acceptor, plan graceperiod.Plan) {
	accepts := true
	stopAccepting := func() {
		if accepts {
			accepts = false
			if err := ln.finish(); err != nil {
				g.log.Event(component, "listener not finished", eventlog.Error(err))
			}
		}
	}
	for now := plan.Start; now.Before(plan.CutAt); now = time.Now() {
		if !now.Before(plan.Moved) {
			// Callers open their next connections at other gateways; no request that was
			// read is dropped.
			g.CloseIdle(now)
			idle := g.conns.running() == 0
			if idle || !now.Before(plan.AcceptUntil) {
				stopAccepting()
			}
			if idle && ln.hasEnded() && g.conns.closeAll(now) {
				g.log.Event(component, "drained", zap.Duration("tookMs", time.Since(plan.Start)))
				return
			}
		}
		time.Sleep(drainPollInterval)
	}
	stopAccepting()
}

// hasEnded reports whether no further connection will be accepted.
func (a *acceptor) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}
