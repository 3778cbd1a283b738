package entry

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/retry"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// serviceRun is one call of a plain service on its way. It belongs to one
// goroutine.
type serviceRun struct {
	entry    *Entry
	ctx      context.Context
	call     callerapi.ServiceCall
	revision uint64
	priority int
	request  *attempt.Request
	tried    balance.TriedUpstreams
}

// Service implements callerapi.Router.
func (e *Entry) Service(ctx context.Context, call callerapi.ServiceCall) (callerapi.ServiceAnswer, error) {
	if err := e.Ready(); err != nil {
		return callerapi.ServiceAnswer{}, err
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.metrics.services.Inc(1)
	if call.Once {
		// The call goes on when its caller is gone, so that the answer can
		// be had by the same key.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := until(ctx, call.Deadline)
	defer cancel()
	r := &serviceRun{entry: e, ctx: ctx, call: call, request: attempt.NewRequest(!call.Once)}
	answer, err := r.run()
	return answer, e.count(err)
}

func (r *serviceRun) run() (callerapi.ServiceAnswer, error) {
	set, revision := r.entry.config.Set()
	r.revision = revision
	if org := set.Organisations[r.call.Organisation]; org != nil {
		r.priority = org.Priority.Level()
	}
	permit, err := r.entry.limiter.Acquire(r.ctx, &admission.Request{
		Organisation: r.call.Organisation,
		Target:       r.call.Service,
		Priority:     r.priority,
		Deadline:     r.call.Deadline,
	})
	if err != nil {
		return callerapi.ServiceAnswer{}, err
	}
	answer, err := r.guarded()
	permit.Release(admission.Feedback{RunTime: r.entry.now().Sub(permit.AdmittedAt())})
	return answer, err
}

// attempts runs attempts until one answers or no other is allowed.
func (r *serviceRun) attempts() (callerapi.ServiceAnswer, *result.Error) {
	plan := r.entry.retries.Plan(r.call.Organisation, !r.call.Once, r.call.Deadline)
	for {
		answer, failure := r.try()
		if failure == nil {
			r.entry.retries.Succeeded(r.call.Organisation)
			return answer, nil
		}
		if err := r.request.MayTry(); err != nil {
			return answer, r.request.Report(failure)
		}
		d := plan.Next(r.failed(failure), r.entry.now(), rand.Float64())
		if d.Final != nil {
			return answer, r.request.Report(d.Final)
		}
		r.entry.metrics.retries.Inc(1)
		if !wait.For(r.ctx, d.Wait) {
			return answer, r.request.Report(failure)
		}
	}
}

// failed is the failure as the retry plan takes it. When every upstream was
// tried, each may be tried again.
func (r *serviceRun) failed(failure *result.Error) retry.Failure {
	f := retry.Failure{Err: failure, AllTried: !r.entry.picker.HasUntriedUpstream(r.choose(), r.entry.now())}
	if f.AllTried {
		r.tried = balance.TriedUpstreams{}
	}
	return f
}

// try makes one attempt.
func (r *serviceRun) try() (callerapi.ServiceAnswer, *result.Error) {
	choice, err := r.pick()
	if err != nil {
		return callerapi.ServiceAnswer{}, result.From(err)
	}
	return r.send(uuid.NewString(), choice, 0)
}

func (r *serviceRun) pick() (balance.Choice, error) {
	choice, err := r.entry.picker.Pick(r.choose(), r.entry.now(), r.entry.random())
	if err == nil {
		r.tried.Add(choice.Upstream)
	}
	return choice, err
}

// choose is what the choice of the next upstream depends on.
func (r *serviceRun) choose() *balance.Request {
	return &balance.Request{
		Target: balance.Target{Service: r.call.Service},
		Tried:  r.tried,
	}
}

// send makes the attempt at the chosen upstream. A non-zero incarnation is the
// only one of the agent that may run it.
func (r *serviceRun) send(id string, choice balance.Choice, incarnation uint64) (callerapi.ServiceAnswer, *result.Error) {
	e := r.entry
	if err := r.request.Begin(id); err != nil {
		return callerapi.ServiceAnswer{}, result.From(err)
	}
	e.picker.Started(choice)
	msg := r.message(id, choice)
	msg.AgentIncarnation = incarnation
	sent := e.now()
	stream, err := e.link.Attempt(r.ctx, choice.Agent, msg)
	var answer callerapi.ServiceAnswer
	if err == nil {
		answer, err = r.read(stream)
	}
	stream.Close()
	return answer, e.closeAttempt(r.ctx, r.request, sentAttempt{id, choice, sent, stream, err})
}

func (r *serviceRun) message(id string, choice balance.Choice) *linkv1.AttemptRequest {
	path := r.call.Path
	if r.call.Query != "" {
		path += "?" + r.call.Query
	}
	return &linkv1.AttemptRequest{
		RequestId:    r.call.RequestID,
		AttemptId:    id,
		Organisation: r.call.Organisation,
		Service:      r.call.Service,
		Upstream:     choice.Upstream,
		Priority:     uint32(r.priority),
		Call: &linkv1.Call{
			Method:         r.call.Method,
			Path:           path,
			ContentType:    r.call.ContentType,
			Body:           r.call.Body,
			Idempotent:     !r.call.Once,
			IdempotencyKey: r.call.IdempotencyKey,
		},
	}
}

// read takes the whole answer.
func (r *serviceRun) read(stream *link.Stream) (callerapi.ServiceAnswer, error) {
	answer := callerapi.ServiceAnswer{Status: http.StatusOK, Revision: r.revision}
	var body bytes.Buffer
	for {
		ev, err := stream.Next(r.ctx)
		if err != nil {
			return callerapi.ServiceAnswer{}, err
		}
		switch {
		case ev.Head != nil:
			answer.Status = int(ev.Head.GetStatus())
			answer.ContentType = ev.Head.GetContentType()
		case ev.Final != nil:
			answer.Body = body.Bytes()
			return answer, nil
		default:
			body.Write(ev.Data)
		}
	}
}
