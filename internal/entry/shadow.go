package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/chat"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/route"
)

// Bounds of shadow answers, which are made only to be rated.
const (
	shadowTimeout = 30 * time.Second
	maxShadows    = 16
)

// shadowSlots bounds the shadows that run at a time on this entry; one that
// finds no place is left out.
type shadowSlots chan struct{}

// shadow runs the plan's shadow, if any, after the caller has its answer. Its
// answer reaches no caller and is not charged to the organisation.
func (e *Entry) shadow(r *chatRun, plan *route.Plan) {
	if plan.Shadow.Len() == 0 || e.stopping.Load() {
		return
	}
	select {
	case e.shadows <- struct{}{}:
	default:
		return
	}
	e.metrics.shadows.Inc(1)
	e.running.Add(1)
	go func() {
		defer func() {
			<-e.shadows
			e.running.Add(-1)
		}()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), shadowTimeout)
		defer cancel()
		e.runShadow(ctx, r, plan)
	}()
}

// runShadow runs the steps of the shadow until one would have been kept.
func (e *Entry) runShadow(ctx context.Context, r *chatRun, plan *route.Plan) {
	for i := range plan.Shadow.Len() {
		step := plan.Shadow.Step(i)
		last := i == plan.Shadow.Len()-1
		conf, err := e.shadowStep(ctx, r, plan, i, !last)
		if err != nil {
			return
		}
		if !last {
			escalated := conf < step.Escalate
			e.learner.drafted(plan.ShadowKey(i), escalated)
			if !escalated {
				return
			}
		}
	}
}

func (e *Entry) shadowStep(ctx context.Context, r *chatRun, plan *route.Plan, i int, draft bool) (float64, error) {
	step := plan.Shadow.Step(i)
	body := r.call.Body.Rewrite(chat.Upstream{Version: string(step.Version), Logprobs: draft})
	choice, err := e.picker.Pick(&balance.Request{Target: balance.Target{Version: step.Version}}, e.now(), e.random())
	if err != nil {
		return 0, err
	}
	e.picker.Started(choice)
	stream, err := e.link.Attempt(ctx, choice.Agent, &linkv1.AttemptRequest{
		RequestId:    r.call.RequestID,
		AttemptId:    uuid.NewString(),
		Step:         uint32(i),
		Organisation: r.call.Organisation,
		Version:      string(step.Version),
		Upstream:     choice.Upstream,
		Priority:     shadowPriority,
		RequestClass: plan.ShadowKey(i).SampleClass(),
		Shadow:       true,
		Rate:         true,
		Call: &linkv1.Call{
			Method: http.MethodPost, Path: engineChatPath, ContentType: "application/json",
			Body: body, Idempotent: true,
		},
	})
	conf := readConfidence(ctx, stream, &err)
	stream.Close()
	var failure *result.Error
	if err != nil {
		failure = result.From(err)
	}
	e.picker.Finished(choice, observation(failure, stream.Load()), e.now())
	return conf, err
}

// readConfidence reads an answer to its end and returns how sure the engine
// was of it.
func readConfidence(ctx context.Context, stream *link.Stream, err *error) float64 {
	var conf chat.Confidence
	for *err == nil {
		ev, nextErr := stream.Next(ctx)
		if nextErr != nil {
			*err = nextErr
			break
		}
		if ev.Final != nil {
			break
		}
		conf.Add(ev.Data)
	}
	value, _ := conf.Value()
	return value
}

// shadowPriority is the class in which agents queue shadows, the least urgent.
const shadowPriority = 2
