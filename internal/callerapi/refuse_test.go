package callerapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
)

func field(f string) call {
	return chatCallOf(`{"model":"small","messages":[{"role":"user","content":"hi"}],` + f + `}`)
}

func desk(method, rest string, headers ...string) call {
	return call{method, "/services/desk" + rest, "{}", headers}
}

// TestWrongInputIsRefusedWithItsOwnCode holds every way in which a caller's
// request can be wrong. None of them may reach the router.
func TestWrongInputIsRefusedWithItsOwnCode(t *testing.T) {
	long := strings.Repeat("x", 5000)
	tests := []struct {
		name  string
		call  call
		want  result.Code
		param string
	}{
		{"no JSON", chatCallOf(`{"model":`), result.BadJSON, ""},
		{"empty body", chatCallOf(``), result.BadJSON, ""},
		{"array body", chatCallOf(`[]`), result.BadJSON, ""},
		{"two values", chatCallOf(goodBody + goodBody), result.BadJSON, ""},
		{"bad UTF-8", chatCallOf("{\"model\":\"small\",\"user\":\"\xff\"}"), result.BadJSON, ""},
		{"deep nesting", field(`"tools":` + strings.Repeat("[", 500) + strings.Repeat("]", 500)), result.BadField, ""},
		{"unclosed nesting", chatCallOf(strings.Repeat(`{"a":`, 800)), result.BadField, ""},
		{"unknown field", field(`"max_token":5`), result.UnknownField, "max_token"},
		{"field in capitals", field(`"Stream":true`), result.UnknownField, "Stream"},
		{"escaped field", field(`"\u0073tream":true`), result.UnknownField, `\u0073tream`},
		{"field twice", field(`"model":"large@1"`), result.BadField, "model"},
		{"oversized body", field(`"user":"` + long + `"`), result.BodyTooLarge, ""},
		{"wrong content type", chatCallOf(goodBody, "Content-Type: text/plain"), result.BadContentType, ""},
		{"no content type", chatCallOf(goodBody, "Content-Type: "), result.BadContentType, ""},
		{"other charset", chatCallOf(goodBody, "Content-Type: application/json; charset=latin1"), result.BadContentType, ""},
		{"compressed body", chatCallOf(goodBody, "Content-Encoding: gzip"), result.BadContentType, ""},
		{"missing model", chatCallOf(`{"messages":[{"role":"user"}]}`), result.MissingModel, "model"},
		{"null model", chatCallOf(`{"model":null,"messages":[{"role":"user"}]}`), result.MissingModel, "model"},
		{"model a number", chatCallOf(`{"model":7,"messages":[{"role":"user"}]}`), result.BadField, "model"},
		{"unknown model", chatCallOf(`{"model":"smal","messages":[{"role":"user"}]}`), result.UnknownModel, "model"},
		{"model not allowed", chatCallOf(`{"model":"other","messages":[{"role":"user"}]}`), result.ModelNotAllowed, "model"},
		{"version not allowed", chatCallOf(`{"model":"other@1","messages":[{"role":"user"}]}`), result.ModelNotAllowed, "model"},
		{"cascade not allowed", chatCallOf(`{"model":"closed","messages":[{"role":"user"}]}`), result.ModelNotAllowed, "model"},
		{"no messages", chatCallOf(`{"model":"small"}`), result.BadField, "messages"},
		{"empty messages", chatCallOf(`{"model":"small","messages":[]}`), result.BadField, "messages"},
		{"message without role", chatCallOf(`{"model":"small","messages":[{}]}`), result.BadField, "messages"},
		{"unknown role", chatCallOf(`{"model":"small","messages":[{"role":"boss"}]}`), result.BadField, "messages"},
		{"negative max_tokens", field(`"max_tokens":-1`), result.BadField, "max_tokens"},
		{"zero max_tokens", field(`"max_tokens":0`), result.BadField, "max_tokens"},
		{"fraction max_tokens", field(`"max_tokens":1.5`), result.BadField, "max_tokens"},
		{"two answers", field(`"n":2`), result.BadField, "n"},
		{"temperature", field(`"temperature":2.5`), result.BadField, "temperature"},
		{"stream a string", field(`"stream":"yes"`), result.BadField, "stream"},
		{"no key", chatCallOf(goodBody, "Authorization: "), result.MissingKey, ""},
		{"wrong key", chatCallOf(goodBody, "Authorization: Bearer nope"), result.WrongKey, ""},
		{"wrong scheme", chatCallOf(goodBody, "Authorization: Basic key-a"), result.WrongKey, ""},
		{"bad request ID", chatCallOf(goodBody, "X-Request-Id: a b"), result.BadField, headerID},
		{"bad class", chatCallOf(goodBody, "X-Request-Class: Tag Check"), result.BadField, headerClass},
		{"bad deadline", chatCallOf(goodBody, "X-Deadline-Ms: -5"), result.BadField, headerLimit},
		{"deadline too far", chatCallOf(goodBody, "X-Deadline-Ms: 99999999999"), result.BadField, headerLimit},
		{"long session", chatCallOf(goodBody, "X-Session: "+long), result.BadSession, ""},
		{"large headers", chatCallOf(goodBody, "X-Other: "+strings.Repeat("y", 40_000)), result.HeadersTooLarge, ""},
		{"no such path", call{"GET", "/v2/chat", "", nil}, result.NoSuchRoute, ""},
		{"wrong method", call{"GET", pathChat, "", nil}, result.MethodNotAllowed, ""},
		{"unknown model by path", call{"GET", "/v1/models/other", "", nil}, result.UnknownModel, ""},
		{"unknown service", call{"GET", "/services/none/x", "", nil}, result.UnknownService, ""},
		{"service not allowed", call{"GET", "/services/vault/x", "", nil}, result.ServiceNotAllowed, ""},
		{"once without key", desk("POST", "/bookings"), result.NeedIdempotencyKey, headerIdem},
		{"once spelt with a slash", desk("POST", "/bookings/"), result.NeedIdempotencyKey, headerIdem},
		{"once spelt with escapes", desk("POST", "/%62ookings"), result.NeedIdempotencyKey, headerIdem},
		{"once spelt with dots", desk("POST", "/x/../bookings"), result.BadField, "path"},
		{"once spelt with an empty part", desk("POST", "//bookings"), result.BadField, "path"},
		{"bad idempotency key", desk("POST", "/bookings", "Idempotency-Key: a b"), result.BadIdempotencyKey, headerIdem},
		{"long idempotency key", desk("POST", "/bookings", "Idempotency-Key: "+long[:200]), result.BadIdempotencyKey, headerIdem},
		{"method of a service", desk("TRACE", "/bookings"), result.MethodNotAllowed, ""},
	}
	h := testHandler(t, &fakeRouter{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := send(h, tt.call)
			e := errorOf(t, w.Body.String())
			if e.TBCode != tt.want.String() || w.Code != tt.want.HTTPStatus() {
				t.Fatalf("got %d %+v, want %v", w.Code, e, tt.want)
			}
			if w.Code < 400 || w.Code > 499 || e.Outcome != "not_run" || e.Message == "" {
				t.Errorf("got %d %+v", w.Code, e)
			}
			if got := deref(e.Param); got != tt.param {
				t.Errorf("param %q, want %q", got, tt.param)
			}
		})
	}
}

func deref(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func TestWithoutConfigurationNothingIsServed(t *testing.T) {
	s := settings.Default(settings.RoleEntry)
	h := NewHandler(Options{Set: func() *catalog.Set { return nil }, Limits: s.Limits, Timeouts: s.Timeouts})
	w := send(h, chatCallOf(goodBody))
	if e := errorOf(t, w.Body.String()); e.TBCode != result.NoConfiguration.String() || w.Header().Get("Retry-After") != "1" {
		t.Errorf("got %+v, headers %v", e, w.Header())
	}
}

func TestPlacesAndBodyMemoryAreBounded(t *testing.T) {
	set := testSet(t)
	s := settings.Default(settings.RoleEntry)
	tests := []struct {
		name   string
		change func(*settings.Limits)
	}{
		{"places", func(l *settings.Limits) { l.InFlight, l.QueueLength = 1, 0 }},
		{"memory", func(l *settings.Limits) { l.BodyMemory = int64(len(goodBody)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := s.Limits
			tt.change(&limits)
			r := &fakeRouter{}
			h := NewHandler(Options{Router: r, Set: func() *catalog.Set { return set }, Limits: limits, Timeouts: s.Timeouts})
			var inner *httptest.ResponseRecorder
			nest := answer(`{}`)
			r.chat = func(ctx context.Context, c ChatCall, sink AnswerSink) error {
				inner = send(h, chatCallOf(goodBody))
				return nest(ctx, c, sink)
			}
			outer := send(h, chatCallOf(goodBody))
			if outer.Code != http.StatusOK {
				t.Fatalf("the first got %d", outer.Code)
			}
			if e := errorOf(t, inner.Body.String()); e.TBCode != result.QueueFull.String() {
				t.Errorf("the second got %+v", e)
			}
			r.chat = nest
			if again := send(h, chatCallOf(goodBody)); again.Code != http.StatusOK {
				t.Errorf("the place was not given back: %d", again.Code)
			}
		})
	}
}
