package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/graceperiod"
	"tarragonbay.example/tarragonbay/internal/lastaccept"
	"tarragonbay.example/tarragonbay/internal/result"
)

const (
	// drainPollInterval is the interval between two checks for running requests.
	drainPollInterval = 50 * time.Millisecond
	// cutTimeout bounds the wait for requests to end after their connections were cut, and
	// the closing of the other listeners.
	cutTimeout = 100 * time.Millisecond
)

// stopping reports whether the gateway has been told to stop.
func (g *Gateway) stopping() bool { return g.stopPlan.Load() != nil }

// answersDue reports whether the gateway stops so soon that every request must be answered.
func (g *Gateway) answersDue() bool { return g.ending.Err() != nil }

// refuseWhileStopping refuses a request that the rest of the grace period does not hold.
// It does not apply once an upstream may have run the request: no other gateway can take it
// over then.
func (g *Gateway) refuseWhileStopping(q *request, now time.Time) *result.Error {
	plan := g.stopPlan.Load()
	if plan == nil || !g.answersDue() && (q.mayHaveRun || plan.Holds(now, q.attemptLimit(now))) {
		return nil
	}
	return result.New(result.Stopping, "this gateway is stopping").WithRetryAfter(minRetryDelay)
}

// errStopped means that an attempt ended because the gateway stops.
var errStopped = errors.New("the gateway stops")

// stopCause marks the error of an attempt that ended when all answers were due.
func (g *Gateway) stopCause(err error) error {
	if err == nil || !g.answersDue() {
		return err
	}
	return fmt.Errorf("%w: %v", errStopped, err) //nolint:errorlint // the text alone, since the upstream did not fail
}

// cutEvent names the end of a request whose connection is gone: usual unless a stop has cut it.
func (g *Gateway) cutEvent(usual string) string {
	if g.cut.Load() {
		return "cut at the end of the grace"
	}
	return usual
}

// stoppingField tells how long ago a stop began.
func (g *Gateway) stoppingField() zap.Field {
	plan := g.stopPlan.Load()
	if plan == nil {
		return zap.Skip()
	}
	return zap.Duration("stoppingMs", time.Since(plan.Start))
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
	g.cut.Store(true)
	_ = servers[0].http.Close() // only its listener can fail to close, and that is closed already
	for end := time.Now().Add(cutTimeout); g.conns.running() > 0 && time.Now().Before(end); {
		time.Sleep(cutTimeout / 20)
	}
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
func (g *Gateway) drainCallers(ln *lastaccept.Listener, plan graceperiod.Plan) {
	accepts, ended := true, false
	stopAccepting := func() {
		if accepts {
			accepts = false
			if err := ln.Finish(); err != nil {
				g.log.Event(component, "listener not finished", eventlog.Error(err))
			}
		}
	}
	for now := plan.Start; now.Before(plan.CutAt); now = time.Now() {
		if !now.Before(plan.AnswerBy) {
			g.endRequests()
		}
		if !now.Before(plan.Moved) {
			// Callers open their next connections at other gateways; no request that was
			// read is dropped.
			g.CloseIdle(now)
			idle := g.conns.running() == 0
			if idle || !now.Before(plan.AcceptUntil) {
				stopAccepting()
			}
			if !ended && ln.HasEnded() {
				ended = true
				last := ln.Last()
				g.log.Event(component, "accepting ended", zap.Int64("acceptedLast", last.Accepted), zap.Bool("dropsNew", last.DropsNew))
			}
			if idle && ended && g.conns.closeAll(now) {
				g.log.Event(component, "drained", zap.Duration("tookMs", time.Since(plan.Start)))
				return
			}
		}
		time.Sleep(drainPollInterval)
	}
	stopAccepting()
}
