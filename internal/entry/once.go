package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/claim"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/wait"
)

// Claims guards calls that may not be repeated. It is implemented by
// claim.Book.
type Claims interface {
	Acquire(ctx context.Context, call claim.Call, bind claim.Binding) (*claim.Claim, *claim.Answer, error)
}

// guarded runs the call; one that may not be repeated runs under a claim on
// its idempotency key.
func (r *serviceRun) guarded() (callerapi.ServiceAnswer, error) {
	if r.call.Once {
		return r.once()
	}
	answer, failure := r.attempts()
	if failure != nil {
		return callerapi.ServiceAnswer{}, failure
	}
	return answer, nil
}

// planned is the next attempt of a call that may not be repeated.
type planned struct {
	id          string
	choice      balance.Choice
	incarnation uint64
}

func (r *serviceRun) once() (callerapi.ServiceAnswer, error) {
	next, err := r.planAttempt()
	if err != nil {
		return callerapi.ServiceAnswer{}, err
	}
	c, first, err := r.entry.claims.Acquire(r.ctx, r.claimed(), r.binding(next))
	if err != nil {
		return callerapi.ServiceAnswer{}, err
	}
	if first != nil {
		return callerapi.ServiceAnswer{
			Status:      first.Status,
			ContentType: first.ContentType,
			Body:        first.Body,
			Replayed:    true,
			Revision:    r.revision,
		}, nil
	}
	answer, failure := r.underClaim(c, next)
	if failure == nil {
		c.Complete(r.ctx, claim.NewAnswer(answer.Status, answer.ContentType, answer.Body))
		return answer, nil
	}
	if failure.Outcome == result.NotRun {
		c.Release(r.ctx)
	} else {
		c.Fail(r.ctx, failure.Outcome)
	}
	return callerapi.ServiceAnswer{}, failure
}

// underClaim runs the claimed attempt. When it is proven not run, the claim
// moves to another one before that is sent.
func (r *serviceRun) underClaim(c *claim.Claim, next planned) (callerapi.ServiceAnswer, *result.Error) {
	plan := r.entry.retries.Plan(r.call.Organisation, false, r.call.Deadline)
	for {
		answer, failure := r.send(next.id, next.choice, next.incarnation)
		if failure == nil {
			r.entry.retries.Succeeded(r.call.Organisation)
			return answer, nil
		}
		if r.request.MayTry() != nil {
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
		another, err := r.planAttempt()
		if err != nil {
			return answer, r.request.Report(failure)
		}
		if err := c.Rebind(r.ctx, r.binding(another)); err != nil {
			return answer, r.request.Report(result.From(err))
		}
		next = another
	}
}

func (r *serviceRun) claimed() claim.Call {
	return claim.Call{
		Key: claim.Key{
			Organisation: r.call.Organisation,
			Service:      r.call.Service,
			Key:          r.call.IdempotencyKey,
		},
		Digest:   claim.Digest(r.call.Method, r.call.Path, r.call.Query, r.call.Body),
		Deadline: r.call.Deadline,
	}
}

func (r *serviceRun) binding(p planned) claim.Binding {
	return claim.Binding{
		Request:          r.call.RequestID,
		Attempt:          p.id,
		Agent:            p.choice.Agent,
		AgentIncarnation: p.incarnation,
		Entry:            r.entry.name,
		EntryIncarnation: r.entry.incarnation,
	}
}

// planAttempt picks an upstream and learns the incarnation of its agent: only
// that one may run the attempt.
func (r *serviceRun) planAttempt() (planned, error) {
	choice, err := r.pick()
	if err != nil {
		return planned{}, err
	}
	incarnation, err := r.entry.agents.incarnation(r.ctx, r.entry.link, choice.Agent)
	if err != nil {
		return planned{}, result.Wrap(err, result.NoUpstream, "the agent of %q does not answer", choice.Upstream)
	}
	return planned{id: uuid.NewString(), choice: choice, incarnation: incarnation}, nil
}

// Fetch asks the agent of a claim for the answer of its attempt, and keeps a
// copy of its charge: the entry that sent the attempt may have died with its
// own. It is the claim book's FetchFunc.
func Fetch(fetch func(context.Context, string, *linkv1.FetchRequest) (*linkv1.FetchResponse, error), copies Copies) claim.FetchFunc {
	return func(ctx context.Context, b claim.Binding) (claim.Answer, error) {
		resp, err := fetch(ctx, b.Agent, &linkv1.FetchRequest{
			AttemptId:        b.Attempt,
			AgentIncarnation: b.AgentIncarnation,
		})
		if err != nil {
			return claim.Answer{}, err
		}
		if charge := resp.GetFinal().GetCharge(); charge != nil {
			copies.Add(b.Agent, charge)
		}
		head := resp.GetHead()
		return claim.NewAnswer(int(head.GetStatus()), head.GetContentType(), resp.GetBody()), nil
	}
}

// Settle asks the agent of a claim what became of its attempt. It is the
// claim book's SettleFunc.
func Settle(settle func(context.Context, string, *linkv1.SettleRequest) (*linkv1.SettleResponse, error)) claim.SettleFunc {
	return func(ctx context.Context, b claim.Binding, age time.Duration) (attempt.Settlement, error) {
		resp, err := settle(ctx, b.Agent, &linkv1.SettleRequest{
			AttemptId:        b.Attempt,
			AgentIncarnation: b.AgentIncarnation,
			AgeMs:            age.Milliseconds(),
		})
		if err != nil {
			return attempt.Settlement{}, err
		}
		return attempt.Settlement{
			Outcome: result.ParseOutcome(resp.GetOutcome()),
			State:   attempt.ParseState(resp.GetState()),
		}, nil
	}
}
