package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

// want checks the code and outcome of an error.
func want(t *testing.T, err error, code result.Code, outcome result.Outcome) {
	t.Helper()
	var e *result.Error
	if !errors.As(err, &e) || e.Code != code || e.Outcome != outcome {
		t.Fatalf("got %v, want code %d and outcome %s", err, code, outcome)
	}
}

func wantAnswer(t *testing.T, s *Stream, n int) {
	t.Helper()
	got, err := readAll(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, wholeAnswer(s.seq.attempt, n)) || !s.Ending().Whole {
		t.Fatalf("got %d bytes, whole %v", len(got), s.Ending().Whole)
	}
}

func TestWholeAnswersReuseOneConnection(t *testing.T) {
	r := newRig(t, answer(3))
	for i := range 20 {
		s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request(fmt.Sprint("a", i)))
		if err != nil {
			t.Fatal(err)
		}
		wantAnswer(t, s, 3)
		if s.Load().GetInFlight() != 1 || s.Incarnation() != testIncarnation || s.Final().GetUsage().GetOutputTokens() != 3 {
			t.Error("load, incarnation or usage did not arrive")
		}
		s.Close()
	}
	if n := r.proxy.opened(); n != 1 {
		t.Errorf("%d connections for 20 answers one after another", n)
	}
}

func TestTypedEndings(t *testing.T) {
	tests := []struct {
		name    string
		run     func(*AnswerLog, *linkv1.AttemptRequest)
		code    result.Code
		outcome result.Outcome
	}{
		{"refused", func(l *AnswerLog, _ *linkv1.AttemptRequest) {
			_ = l.Refuse(&linkv1.Refusal{Code: uint32(result.UpstreamBusy), RetryAfterMs: 5})
		}, result.UpstreamBusy, result.NotRun},
		{"failed after the head", func(l *AnswerLog, _ *linkv1.AttemptRequest) {
			_ = l.Head(&linkv1.Head{Status: http.StatusOK})
			_ = l.Data(context.Background(), []byte("half"))
			_ = l.Fail(&linkv1.Final{}, result.New(result.UpstreamFailed, "reset"))
		}, result.UpstreamFailed, result.Ran},
		{"unknown", func(l *AnswerLog, _ *linkv1.AttemptRequest) {
			_ = l.Fail(&linkv1.Final{}, result.New(result.OutcomeUnknown, "lost"))
		}, result.OutcomeUnknown, result.Unknown},
		{"dropped tail", func(l *AnswerLog, _ *linkv1.AttemptRequest) {
			_ = l.Head(&linkv1.Head{Status: http.StatusOK})
			_ = l.Data(context.Background(), []byte("tail"))
			l.mu.Lock()
			l.frames[1].Body = &linkv1.Frame_Data{Data: []byte("tai")}
			l.mu.Unlock()
			_ = l.End(&linkv1.Final{})
		}, result.BadFrame, result.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, tt.run)
			s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
			if err == nil {
				_, err = readAll(t.Context(), s)
			}
			want(t, err, tt.code, tt.outcome)
			if e := s.Ending(); e.Whole || e.Outcome != tt.outcome || e.Code != tt.code {
				t.Errorf("ending %+v", e)
			}
		})
	}
}

func TestAnswerResumesOverANewConnection(t *testing.T) {
	const events = 200
	for _, fault := range []string{"silence", "cut"} {
		t.Run(fault, func(t *testing.T) {
			half := make(chan struct{})
			r := newRig(t, func(l *AnswerLog, req *linkv1.AttemptRequest) {
				_ = l.Head(&linkv1.Head{Status: http.StatusOK})
				for i := range events {
					if i == events/2 {
						<-half
					}
					_ = l.Data(context.Background(), event(req.GetAttemptId(), i))
				}
				_ = l.End(&linkv1.Final{})
			})
			s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if _, err := s.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
			hurt := map[string]func() int{"silence": r.proxy.silence, "cut": r.proxy.cut}[fault]()
			close(half)
			wantAnswer(t, s, events)
			c := r.client.Counts()
			if hurt == 0 || c.Resumed == 0 || (fault == "silence") != (c.Silent > 0) {
				t.Errorf("hurt %d connections, counts %+v", hurt, c)
			}
		})
	}
}

func TestAnswerResumesAfterConnectionsWereRefused(t *testing.T) {
	const away = 200 * time.Millisecond
	more := make(chan struct{})
	r := newRig(t, func(l *AnswerLog, req *linkv1.AttemptRequest) {
		_ = l.Head(&linkv1.Head{Status: http.StatusOK})
		_ = l.Data(context.Background(), event(req.GetAttemptId(), 0))
		<-more
		_ = l.Data(context.Background(), event(req.GetAttemptId(), 1))
		_ = l.End(&linkv1.Final{})
	})
	s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	back := make(chan *proxy)
	go func() { back <- r.proxy.away(t, away) }()
	got := make(chan error, 1)
	var body []byte
	go func() {
		var err error
		body, err = readAll(t.Context(), s)
		got <- err
	}()
	defer (<-back).close()
	close(more)
	if err := <-got; err != nil || !bytes.Equal(body, wholeAnswer("a", 2)) {
		t.Errorf("got %q, %v", body, err)
	}
}

func TestDeadPooledConnectionIsSettled(t *testing.T) {
	r := newRig(t, answer(1))
	s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	wantAnswer(t, s, 1)
	s.Close()
	r.proxy.silence()
	_, err = r.client.Attempt(t.Context(), r.proxy.addr(), request("b"))
	want(t, err, result.Tombstoned, result.NotRun)
	late := request("b")
	late.SentAtMs, late.BudgetMs = time.Now().UnixMilli(), 20000
	if _, err := r.agent.Attempt(t.Context(), late); !result.Is(err, result.Tombstoned) {
		t.Errorf("the late original was taken in: %v", err)
	}
}

func TestLostFirstFrameOfARunningAttemptIsResumed(t *testing.T) {
	started, goOn := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(l *AnswerLog, req *linkv1.AttemptRequest) {
		close(started)
		<-goOn
		answer(2)(l, req)
	})
	go func() {
		<-started
		r.proxy.silence()
		close(goOn)
	}()
	s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	wantAnswer(t, s, 2)
	if c := r.client.Counts(); c.Settled == 0 || c.Resumed == 0 {
		t.Errorf("counts %+v", c)
	}
}

func TestAgentThatIsNotThereDidNotRun(t *testing.T) {
	r := newRig(t, answer(1))
	r.proxy.close()
	_, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
	want(t, err, result.NoUpstream, result.NotRun)
}

func TestAgentRestartLeavesTheOutcomeOpen(t *testing.T) {
	tests := []struct {
		name    string
		head    bool
		code    result.Code
		outcome result.Outcome
	}{
		{"before the head", false, result.OutcomeUnknown, result.Unknown},
		{"after the head", true, result.AnswerCut, result.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started, stop := make(chan struct{}), make(chan struct{})
			defer close(stop)
			r := newRig(t, func(l *AnswerLog, _ *linkv1.AttemptRequest) {
				if tt.head {
					_ = l.Head(&linkv1.Head{Status: http.StatusOK})
					_ = l.Data(context.Background(), []byte("x"))
				}
				close(started)
				<-stop
			})
			s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
			if err != nil {
				t.Fatal(err)
			}
			<-started
			r.swap(newFakeAgent(testIncarnation+1, DefaultTiming(), answer(1)))
			r.proxy.cut()
			_, err = readAll(t.Context(), s)
			want(t, err, tt.code, tt.outcome)
		})
	}
}

func TestRestartedAgentRefusesAttemptsForTheEarlierIncarnation(t *testing.T) {
	r := newRig(t, answer(1))
	unnamed := func(id string) *linkv1.AttemptRequest {
		req := request(id)
		req.AgentIncarnation = 0
		return req
	}
	s, err := r.client.Attempt(t.Context(), r.proxy.addr(), unnamed("a"))
	if err != nil {
		t.Fatal(err)
	}
	wantAnswer(t, s, 1)
	s.Close()
	if got := r.client.Incarnation(r.proxy.addr()); got != testIncarnation {
		t.Errorf("learned incarnation %d", got)
	}
	r.swap(newFakeAgent(testIncarnation+1, DefaultTiming(), answer(1)))
	s, err = r.client.Attempt(t.Context(), r.proxy.addr(), unnamed("b"))
	want(t, err, result.WrongIncarnation, result.NotRun)
	if s.Incarnation() != testIncarnation+1 {
		t.Errorf("the refusal told incarnation %d", s.Incarnation())
	}
	s, err = r.client.Attempt(t.Context(), r.proxy.addr(), unnamed("c"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	wantAnswer(t, s, 1)
}

func TestSlowReaderHoldsTheProducerBack(t *testing.T) {
	const events = 64
	block := bytes.Repeat([]byte("x"), MaxFrame/2+1)
	produced := make(chan int, events)
	r := newRig(t, func(l *AnswerLog, _ *linkv1.AttemptRequest) {
		_ = l.Head(&linkv1.Head{Status: http.StatusOK})
		for i := range events {
			if err := l.Data(context.Background(), block); err != nil {
				_ = l.Fail(&linkv1.Final{}, result.From(err))
				return
			}
			produced <- i
		}
		_ = l.End(&linkv1.Final{})
	})
	s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range LogLimit / len(block) {
		<-produced
	}
	total := 0
	for {
		ev, err := s.Next(t.Context())
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		total += len(ev.Data)
		if _, held := r.agent.logs.Held(); held > LogLimit {
			t.Fatalf("log holds %d bytes", held)
		}
	}
	if total != events*len(block) {
		t.Errorf("got %d bytes, want %d", total, events*len(block))
	}
}

func TestUnaryCallsSurviveADeadPooledConnection(t *testing.T) {
	r := newRig(t, answer(1))
	for range 2 {
		res, err := r.client.Report(t.Context(), r.proxy.addr(), &linkv1.ReportRequest{})
		if err != nil || res.GetDurableCharge() != 42 {
			t.Fatalf("report %v, %v", res, err)
		}
		r.proxy.silence()
	}
	in, err := r.client.HandIn(t.Context(), r.proxy.addr(), &linkv1.HandInRequest{Charges: []*linkv1.Charge{{}}})
	if err != nil || in.GetAccepted() != 1 {
		t.Errorf("hand-in %v, %v", in, err)
	}
	_, err = r.client.Order(t.Context(), r.proxy.addr(), &linkv1.OrderRequest{})
	want(t, err, result.StaleFence, result.NotRun)
}

func TestCancelReachesTheAgentAfterTheCallerIsGone(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	r := newRig(t, func(*AnswerLog, *linkv1.AttemptRequest) { <-stop })
	ctx, cancel := context.WithCancel(t.Context())
	s, err := r.client.Attempt(ctx, r.proxy.addr(), request("a"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_, err = s.Next(ctx)
	want(t, err, result.CallerGone, result.Unknown)
	if err := s.Cancel(ctx, false); err != nil {
		t.Fatal(err)
	}
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if len(r.agent.cancelled) != 1 || r.agent.cancelled[0] != "a" {
		t.Errorf("cancelled %v", r.agent.cancelled)
	}
}

// TestOnlyTheAgentsOwnErrorsEndAnAnswer sends the error of a connection that
// was cut, which a relay may still deliver, and one of the agent.
func TestOnlyTheAgentsOwnErrorsEndAnAnswer(t *testing.T) {
	for _, err := range []error{context.Canceled, io.ErrClosedPipe} {
		if fromAgent(toWire(err)) {
			t.Errorf("%v is taken for the agent's own", err)
		}
	}
	if !fromAgent(toWire(result.New(result.BufferSpent, "gone"))) {
		t.Error("the agent's own error is taken for one of the connection")
	}
}
