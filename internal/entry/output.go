package entry

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/callerapi"
	"tarragonbay.example/tarragonbay/internal/chat"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// maxDraftBytes bounds a draft that is held back.
const maxDraftBytes = 4 << 20

// output takes the answer of one attempt. A streamed answer that no step can
// replace goes to the caller as it comes; any other is held until it is whole.
type output struct {
	step      *stepRun
	attemptID string
	status    uint32
	begun     bool
	// part is the start of an event that came in several frames.
	part  []byte
	held  [][]byte
	size  int
	conf  chat.Confidence
	usage callerapi.Usage
}

func (o *output) read(stream *link.Stream) error {
	ctx := o.step.ctx
	for {
		ev, err := stream.Next(ctx)
		if err != nil {
			return o.readError(ctx, err)
		}
		switch {
		case ev.Head != nil:
			o.status = ev.Head.GetStatus()
		case ev.Final != nil:
			o.usage = usageOf(ev.Final.GetUsage())
			return o.checkStatus()
		default:
			if err := o.data(ev); err != nil {
				return err
			}
		}
	}
}

// readError tells a caller that went away from a failure of the answer.
func (o *output) readError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.Wrap(err, result.CallerGone, "the caller went away")
	}
	return err
}

func usageOf(u *linkv1.Usage) callerapi.Usage {
	return callerapi.Usage{
		InputTokens:  u.GetInputTokens(),
		OutputTokens: u.GetOutputTokens(),
		CachedTokens: u.GetCachedTokens(),
	}
}

// checkStatus turns an engine's refusal of the request itself into an error.
func (o *output) checkStatus() error {
	if o.status < http.StatusBadRequest {
		return nil
	}
	msg := ""
	if len(o.held) > 0 {
		msg = string(o.held[0][:min(len(o.held[0]), maxEngineMessage)])
	}
	return result.New(result.BadField, "the engine refused the request with status %d: %s", o.status, msg).
		WithOutcome(result.Ran)
}

// maxEngineMessage bounds how much of an engine's refusal is passed on.
const maxEngineMessage = 512

func (o *output) data(ev link.Event) error {
	data := ev.Data
	if ev.Partial || len(o.part) > 0 {
		o.part = append(o.part, data...)
		if ev.Partial {
			return nil
		}
		data = o.part
		o.part = nil
	}
	o.conf.Add(data)
	if o.live() {
		return o.release(data)
	}
	o.size += len(data)
	if o.size > maxDraftBytes && o.step.call.Stream {
		return result.New(result.AnswerCut, "a draft is larger than %d bytes", maxDraftBytes)
	}
	o.held = append(o.held, data)
	return nil
}

// live reports whether events go to the caller as they come.
func (o *output) live() bool {
	return o.step.streams && o.step.call.Stream && o.status < http.StatusBadRequest
}

// release passes one event on. From the first one on, the answer comes from
// this attempt or is cut.
func (o *output) release(data []byte) error {
	if !o.begun {
		if err := o.step.request.Release(o.attemptID); err != nil {
			return err
		}
		if err := o.begin(); err != nil {
			return err
		}
		o.step.dropBody()
	}
	return callerGone(o.step.sink.Chunk(data))
}

func (o *output) begin() error {
	start, err := o.step.begin()
	if err != nil {
		return err
	}
	o.begun = true
	return callerGone(o.step.sink.Begin(start))
}

// deliver gives a whole answer to the caller, or ends one that went out as it
// came.
func (o *output) deliver() error {
	if !o.begun {
		if err := o.begin(); err != nil {
			return err
		}
	}
	for _, data := range o.held {
		if err := o.step.sink.Chunk(data); err != nil {
			return callerGone(err)
		}
	}
	return callerGone(o.step.sink.End(o.usage))
}

func callerGone(err error) error {
	if err == nil {
		return nil
	}
	return result.Wrap(err, result.CallerGone, "the caller went away").WithOutcome(result.Ran)
}

// confidence returns how sure the engine was of a draft. An engine that does
// not say is taken as not sure.
func (o *output) confidence() float64 {
	v, ok := o.conf.Value()
	if !ok {
		return 0
	}
	return v
}
