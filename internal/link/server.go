package link

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/link/linkv1/linkv1connect"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Agent is what serves the calls of entries. Errors are *result.Error.
type Agent interface {
	// Attempt takes in an attempt and returns the log of its answer, which a
	// producer fills from then on; it does not wait for the upstream. The
	// work must not hang on ctx, which ends with the connection. For a
	// repeated attempt ID it returns the log of the first. An error with
	// outcome NotRun reaches the entry as a refusal, any other as the
	// outcome of the attempt.
	Attempt(ctx context.Context, req *linkv1.AttemptRequest) (*AnswerLog, error)
	Settle(ctx context.Context, req *linkv1.SettleRequest) (*linkv1.SettleResponse, error)
	Cancel(ctx context.Context, req *linkv1.CancelRequest) (*linkv1.CancelResponse, error)
	Report(ctx context.Context, req *linkv1.ReportRequest) (*linkv1.ReportResponse, error)
	HandIn(ctx context.Context, req *linkv1.HandInRequest) (*linkv1.HandInResponse, error)
	Order(ctx context.Context, req *linkv1.OrderRequest) (*linkv1.OrderResponse, error)
}

// server adapts an Agent and its Logs to connect-go.
type server struct {
	agent Agent
	logs  *Logs
}

// NewHandler returns the path and the handler of the agent's service, to be
// mounted on the link listener.
func NewHandler(agent Agent, logs *Logs) (string, http.Handler) {
	path, h := linkv1connect.NewAgentServiceHandler(&server{agent: agent, logs: logs},
		connect.WithCompressMinBytes(1<<30),
		connect.WithCompression("gzip", nil, nil)) // what a message takes is admitted by its bytes on the link
	return path, batchFlushes(h, logs.timing.Write)
}

// Attempt implements linkv1connect.AgentServiceHandler.
func (s *server) Attempt(ctx context.Context, req *connect.Request[linkv1.AttemptRequest], to *connect.ServerStream[linkv1.Frame]) error {
	l, err := s.agent.Attempt(ctx, req.Msg)
	if err != nil {
		return to.Send(s.refusal(req.Msg.GetAttemptId(), result.From(err)))
	}
	return toWire(l.serve(ctx, 1, newStreamSink(ctx, to)))
}

// refusal is the only frame of an attempt that was not taken in.
func (s *server) refusal(attemptID string, e *result.Error) *linkv1.Frame {
	f := &linkv1.Frame{AttemptId: attemptID, Incarnation: s.logs.incarnation, Seq: 1}
	if e.Outcome == result.NotRun {
		f.Body = &linkv1.Frame_Refusal{Refusal: &linkv1.Refusal{
			Code: uint32(e.Code), Message: e.Message,
			RetryAfterMs: e.RetryAfter.Milliseconds(), Revision: s.logs.revision(),
		}}
		return f
	}
	f.Body = &linkv1.Frame_Final{Final: &linkv1.Final{
		Code: uint32(e.Code), Message: e.Message, Outcome: e.Outcome.String(),
	}}
	return f
}

// Resume implements linkv1connect.AgentServiceHandler.
func (s *server) Resume(ctx context.Context, req *connect.Request[linkv1.ResumeRequest], to *connect.ServerStream[linkv1.Frame]) error {
	l, err := s.find(req.Msg.GetAttemptId(), req.Msg.GetAgentIncarnation())
	if err != nil {
		return toWire(err)
	}
	return toWire(l.serve(ctx, req.Msg.GetFromSeq(), newStreamSink(ctx, to)))
}

// Fetch implements linkv1connect.AgentServiceHandler.
func (s *server) Fetch(_ context.Context, req *connect.Request[linkv1.FetchRequest]) (*connect.Response[linkv1.FetchResponse], error) {
	l, err := s.find(req.Msg.GetAttemptId(), req.Msg.GetAgentIncarnation())
	if err != nil {
		return nil, toWire(err)
	}
	return reply(l.whole())
}

func (s *server) find(attemptID string, incarnation uint64) (*AnswerLog, error) {
	if incarnation != 0 && incarnation != s.logs.incarnation {
		return nil, result.New(result.WrongIncarnation, "agent is incarnation %d", s.logs.incarnation)
	}
	l := s.logs.Find(attemptID)
	if l == nil {
		return nil, result.New(result.UnknownAttempt, "attempt %s has no answer here", attemptID)
	}
	return l, nil
}

// Ack implements linkv1connect.AgentServiceHandler.
func (s *server) Ack(_ context.Context, req *connect.Request[linkv1.AckRequest]) (*connect.Response[linkv1.AckResponse], error) {
	l, err := s.find(req.Msg.GetAttemptId(), req.Msg.GetIncarnation())
	if err != nil {
		return nil, toWire(err)
	}
	l.Ack(req.Msg.GetSeq())
	return connect.NewResponse(&linkv1.AckResponse{}), nil
}

// Settle implements linkv1connect.AgentServiceHandler.
func (s *server) Settle(ctx context.Context, req *connect.Request[linkv1.SettleRequest]) (*connect.Response[linkv1.SettleResponse], error) {
	return reply(s.agent.Settle(ctx, req.Msg))
}

// Cancel implements linkv1connect.AgentServiceHandler.
func (s *server) Cancel(ctx context.Context, req *connect.Request[linkv1.CancelRequest]) (*connect.Response[linkv1.CancelResponse], error) {
	return reply(s.agent.Cancel(ctx, req.Msg))
}

// Report implements linkv1connect.AgentServiceHandler.
func (s *server) Report(ctx context.Context, req *connect.Request[linkv1.ReportRequest]) (*connect.Response[linkv1.ReportResponse], error) {
	return reply(s.agent.Report(ctx, req.Msg))
}

// HandIn implements linkv1connect.AgentServiceHandler.
func (s *server) HandIn(ctx context.Context, req *connect.Request[linkv1.HandInRequest]) (*connect.Response[linkv1.HandInResponse], error) {
	return reply(s.agent.HandIn(ctx, req.Msg))
}

// Order implements linkv1connect.AgentServiceHandler.
func (s *server) Order(ctx context.Context, req *connect.Request[linkv1.OrderRequest]) (*connect.Response[linkv1.OrderResponse], error) {
	return reply(s.agent.Order(ctx, req.Msg))
}

func reply[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(msg), nil
}

// streamSink sends frames on a connect stream. Flushes of the single frames
// are held back by batchWriter.
type streamSink struct {
	stream *connect.ServerStream[linkv1.Frame]
	writer *batchWriter
}

func newStreamSink(ctx context.Context, to *connect.ServerStream[linkv1.Frame]) *streamSink {
	w, _ := ctx.Value(writerKey{}).(*batchWriter)
	return &streamSink{stream: to, writer: w}
}

// Send implements sink.
func (s *streamSink) Send(f *linkv1.Frame) error {
	if s.writer != nil {
		s.writer.extend()
	}
	return s.stream.Send(f)
}

// Flush implements sink.
func (s *streamSink) Flush() {
	if s.writer != nil {
		s.writer.flush()
	}
}

// batchWriter holds back the flush that connect-go makes after each message,
// so that the frames that are ready together go out in one write.
type batchWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	// extended is when the write limit was last moved.
	extended time.Time
}

type writerKey struct{}

func batchFlushes(next http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bw := &batchWriter{ResponseWriter: w, control: http.NewResponseController(w), limit: limit}
		next.ServeHTTP(bw, r.WithContext(context.WithValue(r.Context(), writerKey{}, bw)))
	})
}

// Flush implements http.Flusher and does nothing.
func (w *batchWriter) Flush() {}

func (w *batchWriter) flush() { _ = w.control.Flush() }

// extend moves the time limit of writes, so that a connection that takes
// nothing any more frees its goroutine between half the limit and the limit.
func (w *batchWriter) extend() {
	now := time.Now()
	if now.Sub(w.extended) < w.limit/2 {
		return
	}
	w.extended = now
	_ = w.control.SetWriteDeadline(now.Add(w.limit))
}
