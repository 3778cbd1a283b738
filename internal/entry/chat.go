package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/retry"
	"tarragonbay.example/tarragonbay/internal/route"
	"tarragonbay.example/tarragonbay/internal/session"
)

// maxPlans bounds how often a request is planned again after a version that
// was chosen turned out to take no work.
const maxPlans = 3

// chatRun is one chat request on its way. It belongs to one goroutine.
type chatRun struct {
	entry    *Entry
	ctx      context.Context
	call     callerapi.ChatCall
	sink     callerapi.AnswerSink
	set      *catalog.Set
	revision uint64
	priority int

	// pin is the version of the session, or empty.
	pin       catalog.VersionName
	sessionID session.ID
	request   *attempt.Request
	retries   *retry.Plan
	without   []catalog.VersionName
	// queued and slots are what the last load report showed.
	queued   int
	slots    int
	busy     bool
	answered bool
	// waited is the time in which a session waited for its version.
	waited time.Duration
}

// Chat implements callerapi.Router.
func (e *Entry) Chat(ctx context.Context, call callerapi.ChatCall, sink callerapi.AnswerSink) error {
	if err := e.Ready(); err != nil {
		return err
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.metrics.chats.Inc(1)
	ctx, cancel := until(ctx, call.Deadline)
	defer cancel()
	r := &chatRun{
		entry:   e,
		ctx:     ctx,
		call:    call,
		sink:    sink,
		request: attempt.NewRequest(true),
	}
	r.set, r.revision = e.config.Set()
	if err := r.openSession(); err != nil {
		return err
	}
	return e.count(r.run())
}

// until bounds ctx by the deadline. A context that ends by then as it is, like
// that of the caller API, is returned without another timer.
func until(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Deadline(); ok && !d.After(deadline) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// openSession reads the session token, or makes the ID of a new session.
func (r *chatRun) openSession() error {
	if r.call.SessionToken != "" {
		t, err := r.entry.sessions.Verify(r.call.SessionToken, r.call.Organisation, r.entry.now())
		if err != nil {
			return err
		}
		r.pin = catalog.VersionName(t.Version)
		r.sessionID = t.ID
		return nil
	}
	if r.call.NewSession {
		r.sessionID = session.ID(uuid.New())
	}
	return nil
}

// inSession reports whether the answer carries a session token.
func (r *chatRun) inSession() bool { return r.pin != "" || r.call.NewSession }

func (r *chatRun) run() error {
	plan, err := r.plan()
	if err != nil {
		return r.sayWhen(result.From(err))
	}
	if !plan.Deadline.IsZero() && plan.Deadline.Before(r.call.Deadline) {
		r.call.Deadline = plan.Deadline
		ctx, cancel := until(r.ctx, plan.Deadline)
		defer cancel()
		r.ctx = ctx
	}
	permit, err := r.entry.limiter.Acquire(r.ctx, r.admission(string(plan.Step(0).Version)))
	if err != nil {
		return err
	}
	err = r.runPlans(plan)
	permit.Release(r.feedback(permit.AdmittedAt()))
	return err
}

func (r *chatRun) admission(target string) *admission.Request {
	org := r.set.Organisations[r.call.Organisation]
	if org != nil {
		r.priority = org.Priority.Level()
	}
	return &admission.Request{
		Organisation: r.call.Organisation,
		Target:       target,
		Priority:     r.priority,
		PromptTokens: r.call.PromptTokens,
		OutputTokens: r.call.MaxTokens,
		Deadline:     r.call.Deadline,
	}
}

func (r *chatRun) feedback(since time.Time) admission.Feedback {
	fb := admission.Feedback{Busy: r.busy, Queued: r.queued, Slots: r.slots}
	now := r.entry.now()
	if r.answered || !now.Before(r.call.Deadline) {
		fb.RunTime = now.Sub(since) - r.waited
		fb.Late = !now.Before(r.call.Deadline)
	}
	return fb
}

// plan chooses the steps by the revision in force.
func (r *chatRun) plan() (route.Plan, error) {
	e := r.entry
	sticky := xxhash.Sum64String(r.call.RequestID)
	if r.inSession() {
		sticky = xxhash.Sum64(r.sessionID[:])
	}
	return e.planner.Load().Plan(route.Request{
		Organisation: r.call.Organisation,
		Target:       r.call.Target,
		Class:        r.call.Class,
		Session:      r.pin,
		NewSession:   r.call.NewSession,
		Sticky:       sticky,
		Deadline:     r.call.Deadline,
		PromptTokens: r.call.PromptTokens,
		MaxTokens:    r.call.MaxTokens,
		Unavailable:  r.unable(),
		Held:         e.heldVersions(),
	}, e.now(), e.random())
}

// unable lists the versions that cannot take the request now. A session asks for
// its own version all the same, since it comes before new work there.
func (r *chatRun) unable() []catalog.VersionName {
	if r.pin != "" {
		return r.without
	}
	return append(r.without, r.entry.spent.list(r.entry.now())...)
}

// runPlans runs the plan, and plans again without a version that took no work.
func (r *chatRun) runPlans(plan route.Plan) error {
	r.retries = r.entry.retries.Plan(r.call.Organisation, true, r.call.Deadline)
	for n := 1; ; n++ {
		failure := r.runSteps(&plan)
		if failure == nil {
			r.answered = true
			r.entry.retries.Succeeded(r.call.Organisation)
			r.entry.shadow(r, &plan)
			return nil
		}
		if n == maxPlans || r.pin != "" || !replannable(failure) || r.request.Outcome() != result.NotRun {
			return r.request.Report(failure)
		}
		next, err := r.plan()
		if err != nil {
			return r.request.Report(failure)
		}
		plan = next
	}
}

// replannable reports whether another version may take the request.
func replannable(e *result.Error) bool {
	switch e.Code {
	case result.NoUpstream, result.VersionWithdrawn, result.VersionDraining,
		result.Quarantined, result.ExposureSpent, result.RetriesSpent, result.UpstreamBusy:
		return e.Outcome == result.NotRun
	}
	return false
}

// runSteps runs the steps in order until one answers.
func (r *chatRun) runSteps(plan *route.Plan) *result.Error {
	for i := range plan.Len() {
		kept, failure := r.runStep(plan, i)
		if failure != nil {
			return failure
		}
		if kept {
			return nil
		}
		if err := r.request.Escalate(); err != nil {
			return result.Wrap(err, result.Internal, "the draft cannot be replaced").WithOutcome(r.request.Outcome())
		}
	}
	return result.New(result.Internal, "no step answered").WithOutcome(r.request.Outcome())
}

// token signs the session token of the answer.
func (r *chatRun) token(version string) (string, error) {
	if !r.inSession() {
		return "", nil
	}
	return r.entry.sessions.Issue(r.call.Organisation, version, r.sessionID, r.entry.now())
}

// count notes how a request ended.
func (e *Entry) count(err error) error {
	if err == nil {
		e.metrics.answered.Inc(1)
		return nil
	}
	switch result.From(err).Outcome {
	case result.NotRun:
		e.metrics.refused.Inc(1)
	case result.Unknown:
		e.metrics.unknown.Inc(1)
	case result.Ran:
		e.metrics.failed.Inc(1)
	}
	return err
}
