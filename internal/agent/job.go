package agent

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/chat"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/upstream"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// job is one attempt on its way through the agent. It belongs to one
// goroutine of the pool and is the producer of the answer log.
type job struct {
	agent    *Agent
	req      *linkv1.AttemptRequest
	up       *hostedUpstream
	log      *link.AnswerLog
	received time.Time

	// ctx ends with the caller's budget or when the caller cancels.
	ctx        context.Context
	dispatched time.Time
	firstData  time.Time
	// waiting is when the job began to wait for the next part of the answer.
	waiting time.Time
	events  uint64
	answer  []byte
}

func (j *job) run(ctx context.Context) {
	j.ctx = ctx
	permit, err := j.up.gate.Acquire(ctx, j.admission())
	if err != nil {
		j.refuse(err)
		return
	}
	if err := j.dispatch(); err != nil {
		permit.Release(admission.Feedback{})
		j.refuse(err)
		return
	}
	usage, err := j.up.client.Do(ctx, j.call(), j)
	permit.Release(admission.Feedback{RunTime: j.agent.now().Sub(j.dispatched)})
	j.finish(usage, err)
}

func (j *job) admission() *admission.Request {
	return &admission.Request{
		Organisation: j.req.GetOrganisation(),
		Priority:     int(j.req.GetPriority()),
		Deadline:     j.received.Add(time.Duration(j.req.GetBudgetMs()) * time.Millisecond),
	}
}

// dispatch checks the attempt once more, since the configuration may have
// changed while it waited, and records that it goes to the upstream.
func (j *job) dispatch() error {
	a := j.agent
	id := j.req.GetAttemptId()
	if err := a.registry.Admit(a.now(), id); err != nil {
		return err
	}
	if _, err := a.check(j.req); err != nil {
		return err
	}
	if watched(j.req) {
		if err := a.watch.Take(j.req.GetVersion(), j.req.GetSession(), a.now()); err != nil {
			return err
		}
	}
	j.dispatched = a.now()
	err := a.registry.Dispatch(j.dispatched, id)
	if err != nil && watched(j.req) {
		a.watch.Return(j.req.GetVersion())
	}
	return err
}

func (j *job) refuse(err error) {
	e := result.From(err)
	if refuseErr := j.agent.registry.Refuse(j.agent.now(), j.req.GetAttemptId()); refuseErr != nil {
		j.agent.log.Error("refusal failed", zap.Error(refuseErr))
	}
	j.agent.metrics.refused.Inc(1)
	_, revision := j.agent.config.Set()
	j.logError(j.log.Refuse(&linkv1.Refusal{
		Code:         uint32(e.Code),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		Revision:     revision,
		Load:         j.up.load(j.agent.leaving.Load()),
	}))
}

func (j *job) call() upstream.Call {
	c := j.req.GetCall()
	return upstream.Call{
		RequestID:      j.req.GetRequestId(),
		AttemptID:      j.req.GetAttemptId(),
		Method:         c.GetMethod(),
		Path:           c.GetPath(),
		ContentType:    c.GetContentType(),
		Body:           c.GetBody(),
		Priority:       j.req.GetPriority(),
		IdempotencyKey: c.GetIdempotencyKey(),
		Stream:         c.GetStream(),
		Engine:         j.req.GetVersion() != "",
		Idempotent:     c.GetIdempotent(),
	}
}

// Head implements upstream.Sink.
func (j *job) Head(status int, contentType string) error {
	j.dropBody()
	_, revision := j.agent.config.Set()
	return j.log.Head(&linkv1.Head{
		Status:      uint32(status),
		ContentType: contentType,
		Load:        j.up.load(j.agent.leaving.Load()),
		Revision:    revision,
	})
}

// dropBody lets go of the call's body, which is read no more once the upstream
// answers, unless the answer is to be rated with it.
func (j *job) dropBody() {
	if c := j.req.GetCall(); c != nil && !j.req.GetRate() {
		c.Body = nil
	}
}

// Data implements upstream.Sink. It blocks while the entry reads slowly.
func (j *job) Data(data []byte) error {
	j.measure(j.agent.now())
	j.events++
	if err := j.log.Data(j.ctx, data); err != nil {
		return err
	}
	j.keep(data)
	j.waiting = j.agent.now()
	return nil
}

// measure notes how long the engine took for the part of the answer that came,
// a token in a streamed one.
func (j *job) measure(now time.Time) {
	if j.events == 0 {
		j.firstData = now
		j.up.firstToken.observe(now.Sub(j.dispatched))
		return
	}
	if j.req.GetCall().GetStream() {
		j.up.tokens.Add(1, now.Sub(j.waiting), now)
	}
}

// maxRatedBytes bounds the text of an answer kept for rating.
const maxRatedBytes = 64 << 10

// keep collects the text of an answer that may be rated.
func (j *job) keep(data []byte) {
	if !j.req.GetRate() || len(j.answer) > maxRatedBytes {
		return
	}
	j.answer = append(j.answer, chat.Text(data)...)
}

// finish records the end, charges what ran and closes the answer.
func (j *job) finish(usage upstream.Usage, err error) {
	a := j.agent
	outcome := result.Ran
	if err != nil {
		outcome = result.From(err).Outcome
	}
	if e := a.registry.Finish(a.now(), j.req.GetAttemptId(), outcome); e != nil {
		a.log.Error("finish failed", zap.Error(e))
	}
	final := &linkv1.Final{
		Usage:  j.usage(usage),
		Load:   j.up.load(a.leaving.Load()),
		Charge: j.charge(usage, err, outcome),
	}
	if final.Charge != nil {
		a.charger.Charge(final.Charge)
	}
	j.report(err)
	if err != nil && j.events == 0 && watched(j.req) {
		a.watch.Return(j.req.GetVersion())
	}
	if err != nil {
		a.metrics.failed.Inc(1)
		j.logError(j.log.Fail(final, result.From(err)))
		return
	}
	a.metrics.answered.Inc(1)
	j.logError(j.log.End(final))
}

func (j *job) usage(u upstream.Usage) *linkv1.Usage {
	return &linkv1.Usage{
		InputTokens:  u.InputTokens,
		OutputTokens: u.OutputTokens,
		CachedTokens: u.CachedTokens,
	}
}

// report tells the watch how the answer ended, and hands it in for rating.
func (j *job) report(err error) {
	a := j.agent
	version := j.req.GetVersion()
	if version == "" {
		return
	}
	if failed, known := versionFailed(err); known {
		a.watch.RecordAnswer(version, failed, a.now())
	}
	if err != nil || !j.req.GetRate() {
		return
	}
	a.sampler.Submit(ports.Sample{
		RequestID: watch.SampleID(j.req.GetRequestId(), j.req.GetShadow()),
		Version:   version,
		Class:     j.req.GetRequestClass(),
		Prompt:    string(j.req.GetCall().GetBody()),
		Answer:    string(j.answer),
	})
}

// versionFailed reports whether an attempt's end speaks against its version.
// It does not know for one that the caller or the deadline ended.
func versionFailed(err error) (failed, known bool) {
	if err == nil {
		return false, true
	}
	switch result.From(err).Code {
	case result.UpstreamFailed, result.AnswerCut, result.OutcomeUnknown:
		return true, true
	}
	return false, false
}

// endedByCaller reports whether an answer that had begun was ended by its
// caller, or by the caller's deadline.
func (j *job) endedByCaller() bool {
	return j.events > 0 && j.ctx.Err() != nil && !errors.Is(context.Cause(j.ctx), errSuperseded)
}

func (j *job) logError(err error) {
	if err != nil {
		j.agent.log.Warn("answer log refused a frame", zap.String("attempt", j.req.GetAttemptId()), zap.Error(err))
	}
}

// charge returns what the attempt costs, or nil. A whole answer is charged, and
// what was made of one that the caller or its deadline ended. A failed or
// superseded attempt, a shadow and one that did not run cost nothing.
func (j *job) charge(usage upstream.Usage, err error, outcome result.Outcome) *linkv1.Charge {
	if j.req.GetShadow() || outcome == result.NotRun || (err != nil && !j.endedByCaller()) {
		return nil
	}
	set, _ := j.agent.config.Set()
	c := &linkv1.Charge{
		RequestId:    j.req.GetRequestId(),
		Step:         j.req.GetStep(),
		AttemptId:    j.req.GetAttemptId(),
		Organisation: j.req.GetOrganisation(),
		Version:      j.req.GetVersion(),
		Service:      j.req.GetService(),
		InputTokens:  usage.InputTokens,
		OutputTokens: usage.OutputTokens,
		AtMs:         j.agent.now().UnixMilli(),
	}
	if err != nil && c.OutputTokens == 0 {
		c.OutputTokens = j.events
	}
	price(c, set)
	return c
}
