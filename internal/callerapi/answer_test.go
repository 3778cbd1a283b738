package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

const (
	chunk1 = `{"id":"c1","object":"chat.completion.chunk","created":5,"model":"small@1","choices":[{"delta":{"content":"Hel"}}]}`
	chunk2 = "{\"id\":\"c1\",\n\"choices\":[{\"delta\":{\"content\":\"lo\"}}],\"usage\":null}"
)

func TestUnaryAnswerNamesItsVersion(t *testing.T) {
	r := &fakeRouter{chat: answer(`{"id":"c1"}`)}
	w := send(testHandler(t, r), chatCallOf(goodBody, "X-Request-Id: trace-9", "X-Session: new", "X-Request-Class: tag"))
	if w.Code != http.StatusOK || w.Body.String() != `{"id":"c1"}` {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
	for name, want := range map[string]string{headerID: "trace-9", headerOwnID: "trace-9~minted", headerVers: "small@1", headerRev: "7", headerSess: "token-1", "Content-Length": "11"} {
		if got := w.Header().Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	c := r.lastChat
	if c.RequestID != "trace-9~minted" || c.Organisation != "alpha" || c.Target != "small" || c.Class != "tag" || !c.NewSession {
		t.Errorf("the router got %+v", c)
	}
	if want := testNow.Add(3 * time.Second); !c.Deadline.Equal(want) {
		t.Errorf("deadline %v, want the organisation's rule, %v", c.Deadline, want)
	}
}

func TestCallersDeadlineAndTokenAreTaken(t *testing.T) {
	r := &fakeRouter{chat: answer(`{}`)}
	send(testHandler(t, r), chatCallOf(goodBody, "X-Session: token-0", "X-Deadline-Ms: 250"))
	c := r.lastChat
	if c.SessionToken != "token-0" || c.NewSession || !c.Deadline.Equal(testNow.Add(250*time.Millisecond)) || c.RequestID != "minted" {
		t.Errorf("the router got %+v", c)
	}
}

func TestStreamEndsWithUsageAndDone(t *testing.T) {
	w := send(testHandler(t, &fakeRouter{chat: answer(chunk1, chunk2)}), chatCallOf(streamBody))
	events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
	if len(events) != 4 || events[0] != "data: "+chunk1 || events[3] != "data: [DONE]" {
		t.Fatalf("got %q", events)
	}
	if strings.Contains(events[1], "\n") {
		t.Errorf("the event holds a line end: %q", events[1])
	}
	var u usageEvent
	if err := json.Unmarshal([]byte(strings.TrimPrefix(events[2], "data: ")), &u); err != nil {
		t.Fatal(err)
	}
	if u.ID != "c1" || u.Usage.TotalTokens != 5 || u.Usage.Details.CachedTokens != 1 || u.Choices == nil {
		t.Errorf("usage event %+v", u)
	}
	if w.Header().Get("Content-Type") != contentSSE || !w.Flushed {
		t.Error("the answer is no event stream")
	}
}

func TestUsageOfTheUpstreamIsNotSentTwice(t *testing.T) {
	own := `{"id":"c1","choices":[],"usage":{"total_tokens":5}}`
	w := send(testHandler(t, &fakeRouter{chat: answer(chunk1, own)}), chatCallOf(streamBody))
	if n := strings.Count(w.Body.String(), "total_tokens"); n != 1 {
		t.Errorf("usage stands %d times in %s", n, w.Body)
	}
}

// failAfter begins an answer, sends the chunks and fails.
func failAfter(err error, chunks ...string) func(context.Context, ChatCall, AnswerSink) error {
	return func(_ context.Context, _ ChatCall, sink AnswerSink) error {
		if e := sink.Begin(testStart); e != nil {
			return e
		}
		for _, c := range chunks {
			if e := sink.Chunk([]byte(c)); e != nil {
				return e
			}
		}
		return err
	}
}

func TestAnswerThatIsNotWholeIsNeverPassedOff(t *testing.T) {
	cut := result.New(result.AnswerCut, "the upstream went away")
	for _, tt := range []struct {
		name string
		err  error
		want result.Code
	}{
		{"numbered error", cut, result.AnswerCut},
		{"other error", errors.New("odd"), result.Internal},
		{"no error and no end", nil, result.AnswerCut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := testHandler(t, &fakeRouter{chat: failAfter(tt.err, chunk1)})
			unary := send(h, chatCallOf(goodBody))
			if e := errorOf(t, unary.Body.String()); e.TBCode != tt.want.String() || unary.Code != tt.want.HTTPStatus() {
				t.Errorf("unary got %d %+v", unary.Code, e)
			}
			stream := send(h, chatCallOf(streamBody)).Body.String()
			if strings.Contains(stream, "[DONE]") || !strings.HasPrefix(stream, "data: "+chunk1) {
				t.Errorf("stream got %q", stream)
			}
			events := strings.Split(strings.TrimSuffix(stream, "\n\n"), "\n\n")
			last := strings.TrimPrefix(events[len(events)-1], "data: ")
			if e := errorOf(t, last); e.TBCode != tt.want.String() {
				t.Errorf("last event %+v", e)
			}
		})
	}
}

func TestRefusalOfTheRouterTellsWhenToComeBack(t *testing.T) {
	limited := result.New(result.RateLimited, "over the rate").WithRetryAfter(1500 * time.Millisecond)
	h := testHandler(t, &fakeRouter{chat: func(context.Context, ChatCall, AnswerSink) error { return limited }})
	for _, body := range []string{goodBody, streamBody} {
		w := send(h, chatCallOf(body))
		e := errorOf(t, w.Body.String())
		if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" || e.Outcome != "not_run" || e.Type != "rate_limit_error" {
			t.Errorf("got %d %+v %v", w.Code, e, w.Header())
		}
	}
}

func TestUnknownOutcomeIsNotRepeatedByClientLibraries(t *testing.T) {
	lost := result.New(result.OutcomeUnknown, "the connection went silent")
	h := testHandler(t, &fakeRouter{service: func(ServiceCall) (ServiceAnswer, error) { return ServiceAnswer{}, lost }})
	w := send(h, desk("POST", "/bookings", "Idempotency-Key: k1"))
	if e := errorOf(t, w.Body.String()); e.Outcome != "unknown" || w.Header().Get("X-Should-Retry") != "false" {
		t.Errorf("got %+v %v", e, w.Header())
	}
}

func TestPanicOfTheRouterIsAnError(t *testing.T) {
	h := testHandler(t, &fakeRouter{chat: func(context.Context, ChatCall, AnswerSink) error { panic("odd") }})
	w := send(h, chatCallOf(goodBody))
	if e := errorOf(t, w.Body.String()); w.Code != http.StatusInternalServerError || e.Outcome != "unknown" {
		t.Errorf("got %d %+v", w.Code, e)
	}
}

func TestServiceCallKeepsWhatTheServiceNeeds(t *testing.T) {
	r := &fakeRouter{service: func(ServiceCall) (ServiceAnswer, error) {
		return ServiceAnswer{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("b1"), Replayed: true, Revision: 7}, nil
	}}
	h := testHandler(t, r)
	w := send(h, desk("POST", "/bookings/7?x=1", "Idempotency-Key: k1"))
	if w.Code != http.StatusCreated || w.Body.String() != "b1" || w.Header().Get(headerReplay) != "true" {
		t.Errorf("got %d %s %v", w.Code, w.Body, w.Header())
	}
	c := r.lastCall
	if !c.Once || c.Path != "/bookings/7" || c.Query != "x=1" || c.IdempotencyKey != "k1" || string(c.Body) != "{}" {
		t.Errorf("the router got %+v", c)
	}
	send(h, desk("GET", "/bookings/7"))
	if r.lastCall.Once {
		t.Error("a look-up may be repeated")
	}
}

func TestModelsListsOnlyWhatTheKeyMayUse(t *testing.T) {
	h := testHandler(t, &fakeRouter{})
	for key, want := range map[string][]string{
		"key-a": {"auto", "large", "large@1", "small", "small@1"},
		"key-b": {"auto", "small"},
	} {
		w := send(h, call{"GET", pathModels, "", []string{"Authorization: Bearer " + key}})
		var list modelList
		if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range list.Data {
			got = append(got, m.ID)
		}
		if strings.Join(got, " ") != strings.Join(want, " ") {
			t.Errorf("%s got %v, want %v", key, got, want)
		}
	}
}

func TestFailuresAreCountedByCode(t *testing.T) {
	m := telemetry.NewMetrics()
	cut := result.New(result.AnswerCut, "the upstream went away")
	h := meteredHandler(t, &fakeRouter{chat: failAfter(cut, chunk1)}, m)
	send(h, chatCallOf(goodBody))
	send(h, chatCallOf(streamBody))
	send(h, chatCallOf("{"))
	for name, want := range map[string]int64{"failures": 3, "failed_answer_cut": 2, "failed_bad_json": 1, "requests": 3} {
		if got := m.Counter(part, name).Count(); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}
