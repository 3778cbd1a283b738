package agent

import (
	"context"
	"time"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Attempt implements link.Agent.
func (a *Agent) Attempt(_ context.Context, req *linkv1.AttemptRequest) (*link.AnswerLog, error) {
	a.config.SawEnvelope(req.GetEnvelope())
	a.metrics.attempts.Inc(1)
	now := a.now()
	before, err := a.registry.Receive(now, arrival(req))
	if err != nil {
		return nil, a.refused(err)
	}
	if before != attempt.Forgotten {
		return a.repeated(req.GetAttemptId())
	}
	j, err := a.prepare(req)
	if err == nil {
		err = a.start(j)
	}
	if err != nil {
		return nil, a.refuse(req.GetAttemptId(), err)
	}
	return j.log, nil
}

func arrival(req *linkv1.AttemptRequest) attempt.Arrival {
	return attempt.Arrival{
		AttemptID:   req.GetAttemptId(),
		RequestID:   req.GetRequestId(),
		Incarnation: req.GetAgentIncarnation(),
		SentAt:      time.UnixMilli(req.GetSentAtMs()),
		Budget:      time.Duration(req.GetBudgetMs()) * time.Millisecond,
	}
}

func (a *Agent) repeated(attemptID string) (*link.AnswerLog, error) {
	if log := a.logs.Find(attemptID); log != nil {
		return log, nil
	}
	return nil, result.New(result.UnknownAttempt, "the answer of this attempt is no longer held")
}

// prepare checks the attempt and makes its job.
func (a *Agent) prepare(req *linkv1.AttemptRequest) (*job, error) {
	a.watch.MergeRatingCounts(req.GetVersion(), req.GetNews())
	up, err := a.check(req)
	if err != nil {
		return nil, err
	}
	if watched(req) {
		if err := a.watch.Check(req.GetVersion(), req.GetSession(), a.now()); err != nil {
			return nil, err
		}
	}
	log, err := a.logs.Open(req.GetAttemptId())
	if err != nil {
		return nil, result.Wrap(err, result.QueueFull, "the agent cannot hold another answer")
	}
	return &job{agent: a, req: req, up: up, log: log, received: a.now()}, nil
}

// check judges the attempt by the revision in force here. It is made twice:
// when the attempt comes in, and right before it is dispatched.
func (a *Agent) check(req *linkv1.AttemptRequest) (*hostedUpstream, error) {
	if a.stopping.Load() {
		return nil, result.New(result.Stopping, "the agent is stopping")
	}
	set, revision := a.current()
	if set == nil {
		return nil, result.New(result.NoConfiguration, "the agent has no configuration yet")
	}
	up, ok := a.hosted.get(req.GetUpstream())
	if !ok {
		return nil, stale(req, revision, "upstream %q is not on this host", req.GetUpstream())
	}
	if a.leaving.Load() || up.leaving.Load() || up.config.Leaving {
		return nil, result.New(result.UpstreamLeaving, "upstream %q is leaving", up.name)
	}
	if !up.serves(req.GetVersion(), req.GetService()) {
		return nil, stale(req, revision, "upstream %q does not serve what is asked for", up.name)
	}
	if err := allowed(set, req); err != nil {
		return nil, err
	}
	return up, nil
}

// allowed checks the organisation's rights and the version's state.
func allowed(set *catalog.Set, req *linkv1.AttemptRequest) error {
	if req.GetService() != "" {
		if !set.ServiceAllowed(req.GetOrganisation(), req.GetService()) {
			return result.New(result.ServiceNotAllowed, "organisation %q may not call service %q", req.GetOrganisation(), req.GetService())
		}
		return nil
	}
	name := catalog.VersionName(req.GetVersion())
	version, ok := set.Versions[name]
	if !ok {
		return result.New(result.StaleRevision, "version %q is not known here", name)
	}
	if !set.Allowed(req.GetOrganisation(), name) {
		return result.New(result.ModelNotAllowed, "organisation %q may not use %q", req.GetOrganisation(), name)
	}
	switch version.State {
	case catalog.VersionWithdrawn:
		return result.New(result.VersionWithdrawn, "version %q is withdrawn", name)
	case catalog.VersionDraining:
		if !req.GetSession() {
			return result.New(result.VersionDraining, "version %q is draining", name)
		}
	}
	return nil
}

// watched reports whether the version's answers are counted: shadows reach no
// caller, and plain services have no version.
func watched(req *linkv1.AttemptRequest) bool {
	return req.GetVersion() != "" && !req.GetShadow()
}

// stale refuses an attempt on which entry and agent disagree.
func stale(req *linkv1.AttemptRequest, revision uint64, format string, args ...any) error {
	e := result.New(result.StaleRevision, format, args...)
	if req.GetEnvelope().GetRevision() > revision {
		return e.WithRetryAfter(staleRetry)
	}
	return e
}

// staleRetry is when an agent that is behind will have caught up.
const staleRetry = 500 * time.Millisecond

// refuse ends an attempt that was not dispatched.
func (a *Agent) refuse(attemptID string, err error) error {
	if e := a.registry.Refuse(a.now(), attemptID); e != nil {
		return e
	}
	return a.refused(err)
}

func (a *Agent) refused(err error) error {
	a.metrics.refused.Inc(1)
	return err
}

// start hands the job to the pool.
func (a *Agent) start(j *job) error {
	timed, stopTimer := context.WithTimeout(context.Background(), time.Duration(j.req.GetBudgetMs())*time.Millisecond)
	ctx, cancel := context.WithCancelCause(timed)
	a.mu.Lock()
	a.running[j.req.GetAttemptId()] = cancel
	a.mu.Unlock()
	err := a.jobs.Go(func() {
		defer stopTimer()
		defer a.ended(j.req.GetAttemptId())
		j.run(ctx)
	})
	if err != nil {
		stopTimer()
		a.ended(j.req.GetAttemptId())
		return result.Wrap(err, result.QueueFull, "the agent takes no more attempts")
	}
	return nil
}

func (a *Agent) ended(attemptID string) {
	a.mu.Lock()
	cancel := a.running[attemptID]
	delete(a.running, attemptID)
	a.mu.Unlock()
	if cancel != nil {
		cancel(nil)
	}
}
