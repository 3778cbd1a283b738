package callerapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// maxUnaryAllocs bounds the allocations of one unary request inside the
// handler. The target of 2,000 requests/s per core leaves 500 µs for entry
// and agent together; a tenth of it for this handler at 1 µs for each
// allocation and its collection is 50.
const maxUnaryAllocs = 50

// maxChunkAllocs bounds the allocations of one streamed event, which come by
// the thousand for each request.
const maxChunkAllocs = 2

// discard is a response writer that keeps nothing and, like that of the
// server, takes deadlines.
type discard struct{ header http.Header }

func (d *discard) SetReadDeadline(time.Time) error  { return nil }
func (d *discard) SetWriteDeadline(time.Time) error { return nil }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

func chatRequest(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, pathChat, io.NopCloser(strings.NewReader(body)))
	r.ContentLength = int64(len(body))
	r.Header.Set("Authorization", "Bearer key-a")
	r.Header.Set("Content-Type", contentJSON)
	r.Header.Set(headerClass, "tag")
	return r
}

func TestUnaryRequestStaysInItsAllocationBound(t *testing.T) {
	h := testHandler(t, &fakeRouter{chat: answer(`{"id":"c1"}`)})
	r := chatRequest(goodBody)
	got := testing.AllocsPerRun(200, func() {
		r.Body = io.NopCloser(strings.NewReader(goodBody))
		h.ServeHTTP(&discard{header: http.Header{}}, r)
	})
	if got > maxUnaryAllocs {
		t.Errorf("%v allocations, want at most %d", got, maxUnaryAllocs)
	}
}

func TestStreamedEventStaysInItsAllocationBound(t *testing.T) {
	var perChunk float64
	chunk := []byte(chunk1)
	h := testHandler(t, &fakeRouter{chat: func(_ context.Context, _ ChatCall, sink AnswerSink) error {
		if err := sink.Begin(testStart); err != nil {
			return err
		}
		perChunk = testing.AllocsPerRun(200, func() { _ = sink.Chunk(chunk) })
		return sink.End(testUsage)
	}})
	h.ServeHTTP(&discard{header: http.Header{}}, chatRequest(streamBody))
	if perChunk > maxChunkAllocs {
		t.Errorf("%v allocations, want at most %d", perChunk, maxChunkAllocs)
	}
}

func BenchmarkUnary(b *testing.B) {
	h := testHandler(b, &fakeRouter{chat: answer(`{"id":"c1"}`)})
	r := chatRequest(goodBody)
	b.ReportAllocs()
	for b.Loop() {
		r.Body = io.NopCloser(strings.NewReader(goodBody))
		h.ServeHTTP(&discard{header: http.Header{}}, r)
	}
}

func BenchmarkParseChat4KiB(b *testing.B) {
	body := []byte(`{"model":"small","messages":[{"role":"user","content":"` + strings.Repeat("words ", 680) + `"}]}`)
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, refused := parseChat(body, 64); refused != nil {
			b.Fatal(refused.err)
		}
	}
}
