package link

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"tarragonbay.example/tarragonbay/internal/attempt"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

var (
	errGap   = errors.New("frames are missing")
	errStray = errors.New("only frames of other attempts arrive")
)

// recover goes on after a connection failed. An attempt of which no frame has
// arrived is settled first. A nil error means that a new connection is open.
func (s *Stream) recover(cause error) error {
	if s.conn != nil {
		s.noteSilence(s.conn)
		s.conn.close()
		s.conn = nil
	}
	if err := s.ended(); err != nil {
		return err
	}
	if fromAgent(cause) {
		return s.lost(cause)
	}
	if !s.seen {
		if notSent(cause) {
			return fromWire(cause)
		}
		if err := s.settle(); err != nil {
			return err
		}
	}
	return s.resume(cause)
}

// ended returns the error of a context that is over.
func (s *Stream) ended() error {
	for _, ctx := range []context.Context{s.ctx, s.nextCtx} {
		switch err := ctx.Err(); {
		case errors.Is(err, context.DeadlineExceeded):
			return result.Wrap(err, result.DeadlineExceeded, "deadline passed").WithOutcome(s.outcome())
		case err != nil:
			return result.Wrap(err, result.CallerGone, "caller went away").WithOutcome(s.outcome())
		}
	}
	return nil
}

// lost ends a stream whose answer the agent no longer has. Without a head the
// agent may still prove that the attempt did not run.
func (s *Stream) lost(cause error) error {
	if s.seq.head {
		return result.Wrap(cause, result.AnswerCut, "the agent no longer has the answer")
	}
	if err := s.settle(); err != nil {
		return err
	}
	return result.Wrap(cause, result.OutcomeUnknown, "the agent no longer has the answer")
}

// settle asks what became of the attempt. It returns nil when the agent has
// the attempt, so that its answer can be resumed.
func (s *Stream) settle() error {
	pause := s.pauses()
	var last error
	for range s.client.opts.Timing.MaxResumes {
		res, err := s.client.Settle(s.ctx, s.addr, &linkv1.SettleRequest{
			AttemptId:        s.seq.attempt,
			AgentIncarnation: s.named,
			AgeMs:            time.Since(s.sentAt).Milliseconds() + 1,
		})
		if err == nil {
			return s.settled(res)
		}
		last = err
		if !s.sleep(pause.NextBackOff()) {
			break
		}
	}
	return result.Wrap(last, result.OutcomeUnknown, "the agent does not say what became of the attempt")
}

func (s *Stream) settled(res *linkv1.SettleResponse) error {
	if result.ParseOutcome(res.GetOutcome()) == result.NotRun {
		return result.New(result.Tombstoned, "attempt did not reach the upstream")
	}
	if attempt.ParseState(res.GetState()) == attempt.Forgotten {
		return result.New(result.OutcomeUnknown, "the agent does not know the attempt")
	}
	return nil
}

// resume opens a new connection at the next frame. It pauses between tries, also
// those that failed after open: connect-go tells of a refused connection only
// when the first frame is read.
func (s *Stream) resume(cause error) error {
	if s.tries == 0 {
		s.pause = s.pauses()
	}
	for s.tries < s.client.opts.Timing.MaxResumes {
		if s.tries > 0 {
			s.sleep(s.pause.NextBackOff())
		}
		if err := s.ended(); err != nil {
			return err
		}
		s.tries++
		err := s.open(func(ctx context.Context) (*connect.ServerStreamForClient[linkv1.Frame], error) {
			return s.peer.fresh.Resume(ctx, connect.NewRequest(&linkv1.ResumeRequest{
				Envelope:         s.client.envelope(),
				AttemptId:        s.seq.attempt,
				AgentIncarnation: s.seq.incarnation,
				FromSeq:          s.seq.next,
			}))
		})
		if err == nil {
			s.client.counts.resumed.Add(1)
			return nil
		}
		cause = err
	}
	if s.seq.head {
		return result.Wrap(cause, result.AnswerCut, "the connection to the agent is lost")
	}
	return result.Wrap(cause, result.OutcomeUnknown, "the connection to the agent is lost")
}

func (s *Stream) pauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.client.opts.Timing.ResumePause
	b.Multiplier = 2
	return b
}

// sleep reports false when the stream's context ended first.
func (s *Stream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// ack sends an acknowledgement when one is due, one at a time and beside the
// stream, so that it adds no wait.
func (s *Stream) ack() {
	if !s.ackDue && !s.ackLost.Load() {
		return
	}
	if !s.acking.CompareAndSwap(false, true) {
		return
	}
	s.ackDue = false
	s.ackLost.Store(false)
	req := &linkv1.AckRequest{
		AttemptId: s.seq.attempt, Incarnation: s.seq.incarnation, Seq: s.seq.next - 1,
	}
	go s.sendAck(req)
}

func (s *Stream) sendAck(req *linkv1.AckRequest) {
	defer s.acking.Store(false)
	limit := s.client.opts.Timing.Call
	_, err := tryTwice(s.ctx, limit, s.peer, s.peer.pooled.Ack, s.peer.fresh.Ack, req)
	if result.Is(err, result.NoUpstream) {
		s.ackLost.Store(true)
	}
}
