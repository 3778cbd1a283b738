package entry

import (
	"context"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/session"
	"tarragonbay.example/tarragonbay/internal/watch"
)

// onceCase is a once call whose first attempt fails.
type onceCase struct {
	name  string
	first script
	// tries is the number of attempts; the second one answers.
	tries   int
	outcome result.Outcome
	// repeat is what the same key gets afterwards; OK for an answer.
	repeat result.Code
}

// TestOnceCallAfterAFailedAttempt says which failures let a call that may not be
// repeated go to another host, and what its caller is told.
func TestOnceCallAfterAFailedAttempt(t *testing.T) {
	for _, tt := range []onceCase{
		{"refused before the dispatch", refuses(result.UpstreamBusy), 2, result.Ran, result.OK},
		{"no connection to the upstream", ends(result.UpstreamRefused, result.NotRun), 2, result.Ran, result.OK},
		{"unknown", ends(result.OutcomeUnknown, result.Unknown), 1, result.Unknown, result.OutcomeUnknown},
		{"ran and failed", ends(result.UpstreamFailed, result.Ran), 1, result.Ran, result.AnswerCut},
	} {
		t.Run(tt.name, tt.check)
	}
}

func (tt onceCase) check(t *testing.T) {
	r := newRig(t, "", tt.first)
	_, err := r.Service(t.Context(), book("k"))
	if whole := err == nil; whole != (tt.tries == 2) {
		t.Fatalf("got %v", err)
	}
	if err != nil && result.From(err).Outcome != tt.outcome {
		t.Errorf("told %v, want %v", err, tt.outcome)
	}
	again, err := r.Service(t.Context(), book("k"))
	if tt.repeat == result.OK && (err != nil || !again.Replayed) {
		t.Errorf("the repeat got %+v, %v", again, err)
	}
	if tt.repeat != result.OK && !result.Is(err, tt.repeat) {
		t.Errorf("the repeat got %v, want code %d", err, tt.repeat)
	}
	tt.checkAttempts(t, r.agents.seen())
}

func (tt onceCase) checkAttempts(t *testing.T, seen []*linkv1.AttemptRequest) {
	t.Helper()
	if len(seen) != tt.tries {
		t.Fatalf("%d attempts, want %d", len(seen), tt.tries)
	}
	if tt.tries == 2 && seen[0].GetUpstream() == seen[1].GetUpstream() {
		t.Error("the second attempt went to the upstream that refused")
	}
	for _, a := range seen {
		if a.GetAgentIncarnation() != testIncarnation {
			t.Errorf("the attempt names incarnation %d", a.GetAgentIncarnation())
		}
	}
}

func TestIdempotentCallIsTriedAgainAfterUnknown(t *testing.T) {
	r := newRig(t, "", ends(result.OutcomeUnknown, result.Unknown))
	call := book("")
	call.Once = false
	if _, err := r.Service(t.Context(), call); err != nil {
		t.Fatal(err)
	}
	if n := len(r.agents.seen()); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

func TestDraftIsReplacedAndBothStepsAreKept(t *testing.T) {
	r := newRig(t, "")
	var got sink
	if err := r.Chat(t.Context(), ask(t, "c"), &got); err != nil {
		t.Fatal(err)
	}
	if got.body != "answer of m@2" || got.start.Version != "m@2" || !got.ended {
		t.Errorf("the caller has %+v", got)
	}
	seen := r.agents.seen()
	if len(seen) != 2 || seen[0].GetVersion() != "m@1" || seen[1].GetStep() != 1 {
		t.Errorf("attempts %v", seen)
	}
	if len(r.copies.kept) != 2 {
		t.Errorf("%d charges kept, want one for each step", len(r.copies.kept))
	}
}

func TestAnswerThatBeganIsNotReplaced(t *testing.T) {
	r := newRig(t, "", func(req *linkv1.AttemptRequest, l *link.AnswerLog) error {
		_ = hangs(req, l)
		return ends(result.UpstreamFailed, result.Ran)(req, l)
	})
	call := ask(t, "m@1")
	call.Stream = true
	var got sink
	err := r.Chat(t.Context(), call, &got)
	if !result.Is(err, result.AnswerCut) || result.From(err).Outcome != result.Ran {
		t.Errorf("got %v", err)
	}
	if n := len(r.agents.seen()); n != 1 || got.body != "part" || got.ended {
		t.Errorf("%d attempts, the caller has %+v", n, got)
	}
}

func TestAgentIsToldThatTheCallerIsGone(t *testing.T) {
	r := newRig(t, "", hangs)
	ctx, gone := context.WithCancel(t.Context())
	call := ask(t, "m@1")
	call.Stream = true
	if err := r.Chat(ctx, call, &sink{onChunk: gone}); !result.Is(err, result.AnswerCut) {
		t.Errorf("got %v", err)
	}
	cancel := <-r.agents.cancelled
	if cancel.GetAttemptId() != r.agents.seen()[0].GetAttemptId() || cancel.GetSuperseded() {
		t.Errorf("the agent was told %v", cancel)
	}
}

func TestSessionOfAWithdrawnVersionIsRefused(t *testing.T) {
	for _, tt := range []struct {
		withdrawn string
		code      result.Code
	}{{"m@2", result.VersionWithdrawn}, {"m@1", result.OK}} {
		r := newRig(t, tt.withdrawn)
		token, err := r.signer.Issue("o", "m@2", session.ID{1}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		call := ask(t, "m")
		call.SessionToken = token
		var got sink
		err = r.Chat(t.Context(), call, &got)
		if tt.code == result.OK && (err != nil || got.start.Version != "m@2" || got.start.SessionToken == "") {
			t.Errorf("with %s withdrawn: %v, %+v", tt.withdrawn, err, got.start)
		}
		if tt.code != result.OK && (!result.Is(err, tt.code) || len(r.agents.seen()) != 0) {
			t.Errorf("with %s withdrawn: %v after %d attempts", tt.withdrawn, err, len(r.agents.seen()))
		}
	}
}

func TestWaitOfASessionIsNoLatencyOfItsVersion(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	e := &Entry{now: func() time.Time { return start.Add(5 * time.Second) }}
	s := &stepRun{chatRun: &chatRun{entry: e, waited: 3 * time.Second}, started: start}
	if got := s.ran(); got != 2*time.Second {
		t.Errorf("the step took %v, want 2s", got)
	}
}

// TestSessionWithASpentBudget refuses a session at both hosts.
func TestSessionWithASpentBudget(t *testing.T) {
	tests := []struct {
		name string
		// ratingTime is how long the last answer waited for its rating.
		ratingTime time.Duration
		attempts   int
		code       result.Code
	}{
		{"ratings come soon", time.Millisecond, 3, result.OK},
		{"ratings come after the deadline", 2 * testPatience, 2, result.ExposureSpent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, "", refuses(result.ExposureSpent), refuses(result.ExposureSpent))
			now, key := time.Now(), quality.Key{Version: "m@2"}
			r.fleet.RecordAttempt(watch.AttemptEnd{Key: key, Host: "h0"}, now)
			r.fleet.RecordRating(key, true, false, now.Add(tt.ratingTime))
			token, err := r.signer.Issue("o", "m@2", session.ID{1}, now)
			if err != nil {
				t.Fatal(err)
			}
			call := ask(t, "m")
			call.SessionToken = token
			err = r.Chat(t.Context(), call, &sink{})
			if tt.code == result.OK && err != nil {
				t.Errorf("got %v", err)
			}
			if e := result.From(err); tt.code != result.OK && (e.Code != tt.code || e.Outcome != result.NotRun || e.RetryAfter != tt.ratingTime) {
				t.Errorf("got %v, come back after %v", e, e.RetryAfter)
			}
			seen := r.agents.seen()
			if len(seen) != tt.attempts {
				t.Fatalf("%d attempts, want %d", len(seen), tt.attempts)
			}
			if !seen[0].GetSession() || seen[0].GetUpstream() == seen[1].GetUpstream() {
				t.Errorf("attempts %v", seen)
			}
		})
	}
}
