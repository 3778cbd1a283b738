package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Settle implements link.Agent.
func (a *Agent) Settle(_ context.Context, req *linkv1.SettleRequest) (*linkv1.SettleResponse, error) {
	a.config.SawEnvelope(req.GetEnvelope())
	s := a.registry.Settle(a.now(), attempt.Question{
		AttemptID:   req.GetAttemptId(),
		Incarnation: req.GetAgentIncarnation(),
		Age:         time.Duration(req.GetAgeMs()) * time.Millisecond,
	})
	a.metrics.settled.Inc(1)
	if s.Outcome == result.NotRun {
		a.cancel(req.GetAttemptId(), errSuperseded)
	}
	return &linkv1.SettleResponse{
		Envelope: a.config.Envelope(),
		Outcome:  s.Outcome.String(),
		State:    s.State.String(),
	}, nil
}

// Cancel implements link.Agent.
func (a *Agent) Cancel(_ context.Context, req *linkv1.CancelRequest) (*linkv1.CancelResponse, error) {
	a.config.SawEnvelope(req.GetEnvelope())
	before := a.registry.Cancel(a.now(), req.GetAttemptId())
	cause := errCallerGone
	if req.GetSuperseded() {
		cause = errSuperseded
	}
	a.cancel(req.GetAttemptId(), cause)
	if log := a.logs.Find(req.GetAttemptId()); log != nil {
		log.Abandon()
	}
	return &linkv1.CancelResponse{Envelope: a.config.Envelope(), Found: before != attempt.Forgotten}, nil
}

// The reasons for which an attempt is cancelled.
var (
	errCallerGone = errors.New("the caller is gone")
	errSuperseded = errors.New("another attempt answers")
)

func (a *Agent) cancel(attemptID string, cause error) {
	a.mu.Lock()
	cancel := a.running[attemptID]
	a.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// Report implements link.Agent.
func (a *Agent) Report(_ context.Context, req *linkv1.ReportRequest) (*linkv1.ReportResponse, error) {
	a.config.SawEnvelope(req.GetEnvelope())
	a.watch.HoldBack(req.GetHeld(), a.now())
	if req.HostLeaving != nil {
		a.SetLeaving(req.GetHostLeaving())
	}
	a.current()
	leaving := a.leaving.Load() || a.stopping.Load()
	resp := &linkv1.ReportResponse{
		Envelope:      a.config.Envelope(),
		Leaving:       leaving,
		DurableCharge: a.charger.Durable(),
	}
	for _, u := range a.hosted.all() {
		resp.Upstreams = append(resp.Upstreams, &linkv1.UpstreamReport{
			Name:     u.name,
			Load:     u.load(leaving),
			Healthy:  u.healthy.Load(),
			Versions: u.loadedVersions(),
		})
	}
	resp.Quarantined = a.watch.Quarantined(a.now())
	return resp, nil
}

// HandIn implements link.Agent.
func (a *Agent) HandIn(_ context.Context, req *linkv1.HandInRequest) (*linkv1.HandInResponse, error) {
	a.config.SawEnvelope(req.GetEnvelope())
	n := a.charger.HandIn(req.GetCharges())
	return &linkv1.HandInResponse{Envelope: a.config.Envelope(), Accepted: uint32(n)}, nil
}
