package link

import (
	"testing"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/result"
)

func TestFetch(t *testing.T) {
	tests := []struct {
		name string
		run  func(l *AnswerLog, req *linkv1.AttemptRequest)
		// incarnation asked of; the agent's when 0.
		incarnation uint64
		// ack is acknowledged once the sender reads the answer.
		ack  uint64
		code result.Code
	}{
		{name: "whole answer", run: answer(3)},
		{name: "runs", run: func(l *AnswerLog, _ *linkv1.AttemptRequest) {
			_ = l.Head(&linkv1.Head{})
		}, code: result.InProgress},
		{name: "start acknowledged", run: answer(3), ack: 2, code: result.BufferSpent},
		{name: "cut", run: func(l *AnswerLog, _ *linkv1.AttemptRequest) {
			_ = l.Head(&linkv1.Head{})
			_ = l.Fail(&linkv1.Final{}, result.New(result.UpstreamFailed, "died"))
		}, code: result.AnswerCut},
		{name: "earlier incarnation", run: answer(3), incarnation: testIncarnation - 1, code: result.WrongIncarnation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			done := make(chan struct{})
			r := newRig(t, func(l *AnswerLog, req *linkv1.AttemptRequest) {
				defer close(done)
				tt.run(l, req)
			})
			s, err := r.client.Attempt(t.Context(), r.proxy.addr(), request("a"))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			<-done
			r.agent.logs.Find("a").Ack(tt.ack)
			req := &linkv1.FetchRequest{AttemptId: "a", AgentIncarnation: tt.incarnation}
			for range 2 {
				got, err := r.client.Fetch(t.Context(), r.proxy.addr(), req)
				if tt.code != result.OK && !result.Is(err, tt.code) {
					t.Fatalf("got %v, want code %d", err, tt.code)
				}
				if tt.code == result.OK && (err != nil || string(got.GetBody()) != string(wholeAnswer("a", 3))) {
					t.Fatalf("got %q, %v", got.GetBody(), err)
				}
			}
		})
	}
}
