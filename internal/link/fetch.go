package link

import (
	"context"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Fetch returns the answer of an attempt that another process sent and whose
// answer it may not have taken. The error is a *result.Error: InProgress while
// the attempt runs, AnswerCut when it ended without a whole answer, and
// BufferSpent, UnknownAttempt or WrongIncarnation when the answer is gone.
func (c *Client) Fetch(ctx context.Context, addr string, req *linkv1.FetchRequest) (*linkv1.FetchResponse, error) {
	req.Envelope = c.envelope()
	p := c.peer(addr)
	return tryTwice(ctx, c.opts.Timing.Call, p, p.pooled.Fetch, p.fresh.Fetch, req)
}

// whole returns the answer of an ended attempt while all of it is held. Unlike
// a reader it acknowledges nothing, so that the answer can be fetched again.
func (l *AnswerLog) whole() (*linkv1.FetchResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.ended:
		return nil, result.New(result.InProgress, "attempt %s still runs", l.id)
	case l.first != 1:
		return nil, result.New(result.BufferSpent, "the start of the answer is no longer held")
	}
	out, err := assemble(l.frames)
	l.taken = l.taken || err == nil
	return out, err
}

// assemble joins all frames of an ended attempt.
func assemble(frames []*linkv1.Frame) (*linkv1.FetchResponse, error) {
	out := &linkv1.FetchResponse{}
	for _, f := range frames {
		switch body := f.GetBody().(type) {
		case *linkv1.Frame_Head:
			out.Head = body.Head
		case *linkv1.Frame_Data:
			out.Body = append(out.Body, body.Data...)
		case *linkv1.Frame_Final:
			out.Final = body.Final
		}
	}
	if out.GetHead() == nil || out.GetFinal() == nil || out.GetFinal().GetCode() != 0 {
		return nil, result.New(result.AnswerCut, "the attempt ended without a whole answer")
	}
	return out, nil
}
