package link

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// maxStray is how many dropped frames one connection may bring in a row.
const maxStray = 64

// Event is one part of an answer. Exactly one of Head, Data and Final is set.
type Event struct {
	Head *linkv1.Head
	Data []byte
	// Partial is set on data that continues in the next event.
	Partial bool
	// Final closes a whole answer; length and digest were checked.
	Final *linkv1.Final
}

// Stream is the answer of one attempt. It belongs to one goroutine, but
// Cancel may be called from any. Close must be called.
type Stream struct {
	client *Client
	peer   *peer
	addr   string
	// ctx bounds the stream, nextCtx the present call of Next.
	ctx     context.Context
	nextCtx context.Context
	sentAt  time.Time
	named   uint64
	seq     *sequencer
	conn    *connection
	// seen is set when any frame of the attempt has arrived.
	seen bool
	// tries counts the resumes since the last frame, pause spaces them.
	tries int
	pause *backoff.ExponentialBackOff
	stray int
	// unacked counts data bytes since the last acknowledgement.
	unacked int
	ackDue  bool
	acking  atomic.Bool
	// ackLost is set when an acknowledgement did not reach the agent.
	ackLost atomic.Bool

	// pending is an event that arrived while the attempt was opened.
	pending  *Event
	load     *linkv1.Load
	revision uint64
	final    *linkv1.Final
	ending   attempt.Ending
	err      error
}

// Attempt sends the attempt, once, and waits for its first frame: a head, a
// heartbeat, or the end. It takes the message over: its call is gone when the
// answer begins. The deadline of ctx bounds the whole stream, and the
// end of ctx ends it.
//
// The stream is never nil, so that Load, Ending and Final can be asked. An
// error is a *result.Error, with outcome NotRun only when that is proven: no
// connection was made, the agent refused, or Settle said so.
func (c *Client) Attempt(ctx context.Context, addr string, req *linkv1.AttemptRequest) (*Stream, error) {
	now := time.Now()
	p := c.peer(addr)
	if req.GetAgentIncarnation() == 0 {
		req.AgentIncarnation = p.incarnation.Load()
	}
	s := &Stream{
		client: c, peer: p, addr: addr, ctx: ctx, nextCtx: ctx, sentAt: now,
		named: req.GetAgentIncarnation(),
		seq:   newSequencer(req.GetAttemptId(), req.GetAgentIncarnation()),
	}
	req.Envelope = c.envelope()
	req.SentAtMs = now.UnixMilli()
	if deadline, ok := ctx.Deadline(); ok && req.GetBudgetMs() == 0 {
		req.BudgetMs = deadline.Sub(now).Milliseconds()
	}
	via := p.pooled
	if req.GetCall().GetStream() {
		via = p.streamed
	}
	err := s.open(func(ctx context.Context) (*connect.ServerStreamForClient[linkv1.Frame], error) {
		return via.Attempt(ctx, connect.NewRequest(req))
	})
	if err == nil {
		req.Call = nil // connect-go holds the request as long as the answer
		err = s.peek()
	} else {
		err = s.recover(err)
	}
	if err != nil {
		return s, s.fail(err)
	}
	return s, nil
}

// peek takes frames until the attempt is known to have arrived.
func (s *Stream) peek() error {
	for !s.seen {
		ev, ok, err := s.step()
		if err != nil {
			return err
		}
		if ok {
			s.pending = &ev
		}
	}
	return nil
}

// Next returns the next part of the answer. After the Final of a whole answer
// it returns io.EOF. Any other error is a *result.Error and final: its outcome
// says whether the request ran. While Next is not called nothing is taken
// from the agent, which then holds its producer back.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	if s.pending != nil {
		ev := *s.pending
		s.pending = nil
		return ev, nil
	}
	if s.err != nil {
		return Event{}, s.err
	}
	s.nextCtx = ctx
	if ctx != s.ctx {
		stop := context.AfterFunc(ctx, s.conn.cancel)
		defer stop()
	}
	for {
		ev, ok, err := s.step()
		if err != nil {
			return Event{}, s.fail(err)
		}
		if ok {
			return ev, nil
		}
	}
}

// step takes one frame. It reports false when the frame was no event.
func (s *Stream) step() (Event, bool, error) {
	f, err := s.receive()
	if err != nil {
		return Event{}, false, s.recover(err)
	}
	switch s.seq.accept(f) {
	case deliver:
		s.peer.incarnation.Store(f.GetIncarnation())
		s.seen, s.tries, s.stray = true, 0, 0
		return s.take(f)
	case beat:
		s.seen, s.stray = true, 0
		s.revision = max(s.revision, f.GetHeartbeat().GetRevision())
		s.ack()
		return Event{}, false, nil
	case late:
		s.client.counts.late.Add(1)
		return Event{}, false, s.dropped()
	case crossed:
		s.client.counts.crossed.Add(1)
		return Event{}, false, s.dropped()
	case gap:
		s.seen = true
		s.client.counts.gaps.Add(1)
		return Event{}, false, s.recover(errGap)
	default:
		return Event{}, false, result.New(result.BadFrame, "a frame does not fit the answer").WithOutcome(s.outcome())
	}
}

func (s *Stream) dropped() error {
	s.stray++
	if s.stray < maxStray {
		return nil
	}
	s.stray = 0
	return s.recover(errStray)
}

// take turns an accepted frame into an event.
func (s *Stream) take(f *linkv1.Frame) (Event, bool, error) {
	switch body := f.GetBody().(type) {
	case *linkv1.Frame_Head:
		s.note(body.Head.GetLoad(), body.Head.GetRevision())
		return Event{Head: body.Head}, true, nil
	case *linkv1.Frame_Data:
		s.unacked += len(body.Data)
		if s.unacked >= AckEvery {
			s.unacked, s.ackDue = 0, true
		}
		s.ack()
		return Event{Data: body.Data, Partial: f.GetPartial()}, true, nil
	case *linkv1.Frame_Refusal:
		r := body.Refusal
		s.note(r.GetLoad(), r.GetRevision())
		return Event{}, false, result.New(result.Code(r.GetCode()), "%s", r.GetMessage()).
			WithOutcome(result.NotRun).
			WithRetryAfter(time.Duration(r.GetRetryAfterMs()) * time.Millisecond)
	}
	s.final = f.GetFinal()
	s.note(s.final.GetLoad(), 0)
	if code := s.final.GetCode(); code != 0 {
		return Event{}, false, result.New(result.Code(code), "%s", s.final.GetMessage()).
			WithOutcome(result.ParseOutcome(s.final.GetOutcome()))
	}
	s.err = io.EOF
	s.ending = attempt.Ending{Whole: true, Outcome: result.Ran}
	return Event{Final: s.final}, true, nil
}

func (s *Stream) note(load *linkv1.Load, revision uint64) {
	if load != nil {
		s.load = load
	}
	s.revision = max(s.revision, revision)
}

// outcome is what is known of a stream that ends without a final frame.
func (s *Stream) outcome() result.Outcome {
	if s.seq.head {
		return result.Ran
	}
	return result.Unknown
}

// fail ends the stream.
func (s *Stream) fail(err error) error {
	e := result.From(err)
	s.err = e
	s.ending = attempt.Ending{Outcome: e.Outcome, Code: e.Code}
	s.Close()
	return e
}

// Close frees the connection, and keeps it for reuse when the answer is over.
// It does not cancel the attempt; see Cancel.
func (s *Stream) Close() {
	if s.conn == nil {
		return
	}
	if s.seq.ended {
		s.conn.drain(s.client.opts.Timing.FirstFrame)
	}
	s.conn.close()
	s.conn = nil
	if s.err == nil {
		s.err = result.New(result.CallerGone, "stream was closed").WithOutcome(s.outcome())
	}
}

// Cancel tells the agent that the answer is no longer wanted: superseded by
// another attempt, or else since the caller is gone. It works after the end of
// the stream's own context.
func (s *Stream) Cancel(ctx context.Context, superseded bool) error {
	ctx = context.WithoutCancel(ctx)
	_, err := s.client.Cancel(ctx, s.addr, &linkv1.CancelRequest{AttemptId: s.seq.attempt, Superseded: superseded})
	return err
}

// Ending tells how the attempt ended, for attempt.Request.
func (s *Stream) Ending() attempt.Ending { return s.ending }

// Final returns the final frame, also that of a failed attempt, or nil. It
// carries the charge.
func (s *Stream) Final() *linkv1.Final { return s.final }

// Load returns the upstream's load as last told, or nil.
func (s *Stream) Load() *linkv1.Load { return s.load }

// Revision returns the agent's revision as last told, or 0.
func (s *Stream) Revision() uint64 { return s.revision }

// Incarnation returns the agent's incarnation, or 0 when no frame told it.
func (s *Stream) Incarnation() uint64 { return s.seq.incarnation }
