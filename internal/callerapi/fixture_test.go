package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

const testConfig = `{
	"organisations": {
		"alpha": {"keys": ["HASH-A"], "allow": ["small", "large@1"], "services": ["desk"]},
		"beta": {"keys": ["HASH-B"], "allow": ["small@2"]},
	},
	"models": {"small": {}, "large": {}, "other": {}},
	"versions": {
		"small@1": {"inputMicros": 1, "outputMicros": 2},
		"small@2": {"inputMicros": 1, "outputMicros": 2, "state": "withdrawn"},
		"large@1": {"inputMicros": 1, "outputMicros": 2},
		"other@1": {"inputMicros": 1, "outputMicros": 2},
	},
	"cascades": {
		"auto": {"steps": ["small", "large@1"], "qualityTarget": 0.9},
		"closed": {"steps": ["other"], "qualityTarget": 0.9},
	},
	"rules": {
		"tags": {"class": "tag", "deadlineMs": 2000},
		"alpha-tags": {"class": "tag", "organisation": "alpha", "deadlineMs": 3000},
	},
	"services": {"desk": {"once": ["POST /bookings", "POST /bookings/*"]}, "vault": {}},
}`

func testSet(t testing.TB) *catalog.Set {
	t.Helper()
	text := strings.NewReplacer("HASH-A", catalog.HashKey("key-a"), "HASH-B", catalog.HashKey("key-b")).Replace(testConfig)
	src, err := catalog.Load(fstest.MapFS{"a.jsonc": {Data: []byte(text)}})
	if err != nil {
		t.Fatal(err)
	}
	set, faults := src.Check()
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return set
}

// fakeRouter records calls and answers with its functions.
type fakeRouter struct {
	chat     func(ctx context.Context, call ChatCall, sink AnswerSink) error
	service  func(call ServiceCall) (ServiceAnswer, error)
	lastChat ChatCall
	lastCall ServiceCall
}

func (f *fakeRouter) Chat(ctx context.Context, call ChatCall, sink AnswerSink) error {
	f.lastChat = call
	return f.chat(ctx, call, sink)
}

func (f *fakeRouter) Service(_ context.Context, call ServiceCall) (ServiceAnswer, error) {
	f.lastCall = call
	return f.service(call)
}

func (f *fakeRouter) Ready() error { return nil }

var (
	testStart = Start{Version: "small@1", SessionToken: "token-1", Revision: 7}
	testUsage = Usage{InputTokens: 3, OutputTokens: 2, CachedTokens: 1}
)

// answer sends the chunks as a whole answer.
func answer(chunks ...string) func(context.Context, ChatCall, AnswerSink) error {
	return func(_ context.Context, _ ChatCall, sink AnswerSink) error {
		if err := sink.Begin(testStart); err != nil {
			return err
		}
		for _, c := range chunks {
			if err := sink.Chunk([]byte(c)); err != nil {
				return err
			}
		}
		return sink.End(testUsage)
	}
}

var testNow = time.Unix(1_800_000_000, 0)

func testHandler(t testing.TB, r Router) http.Handler {
	return meteredHandler(t, r, telemetry.NewMetrics())
}

func meteredHandler(t testing.TB, r Router, m *telemetry.Metrics) http.Handler {
	set := testSet(t)
	s := settings.Default(settings.RoleEntry)
	s.Limits.BodyBytes = 4096
	return NewHandler(Options{
		Router:   r,
		Set:      func() *catalog.Set { return set },
		Limits:   s.Limits,
		Timeouts: s.Timeouts,
		Metrics:  m,
		Now:      func() time.Time { return testNow },
		NewID:    func() string { return "minted" },
	})
}

// call describes one HTTP request of a test. Each header is "Name: value".
type call struct {
	method, path, body string
	headers            []string
}

func send(h http.Handler, c call) *httptest.ResponseRecorder {
	r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set("Content-Type", "application/json")
	for _, line := range c.headers {
		name, value, _ := strings.Cut(line, ": ")
		r.Header.Set(name, value)
		if value == "" {
			r.Header.Del(name)
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func chatCallOf(body string, headers ...string) call {
	return call{http.MethodPost, pathChat, body, headers}
}

func errorOf(t testing.TB, body string) errorObject {
	t.Helper()
	var e errorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("%v in %q", err, body)
	}
	return e.Error
}

const (
	goodBody   = `{"model":"small","messages":[{"role":"user","content":"hi"}]}`
	streamBody = `{"model":"small","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)
