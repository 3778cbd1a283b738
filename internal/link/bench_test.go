package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// direct makes the rig's client speak to the agent without the proxy.
func direct(r *rig) string { return r.proxy.target }

// BenchmarkUnary measures both ends of one unary attempt after another. On
// one core (-cpu 1) the target of 2,000 requests/s is 500 µs each.
func BenchmarkUnary(b *testing.B) {
	r := newRig(b, answer(1))
	addr := direct(r)
	latency := hdrhistogram.New(1, 10_000_000, 3)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		s, err := r.client.Attempt(b.Context(), addr, request(fmt.Sprint("a", i)))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := readAll(b.Context(), s); err != nil {
			b.Fatal(err)
		}
		_ = latency.RecordValue(time.Since(start).Microseconds())
		s.Close()
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(95)), "p95-µs")
}

// BenchmarkToken measures the way of one token through a running stream.
func BenchmarkToken(b *testing.B) {
	tokens := make(chan time.Time)
	r := newRig(b, func(l *AnswerLog, _ *linkv1.AttemptRequest) {
		_ = l.Head(&linkv1.Head{Status: http.StatusOK})
		for range tokens {
			_ = l.Data(context.Background(), []byte(`{"delta":"token"}`))
		}
		_ = l.End(&linkv1.Final{})
	})
	s, err := r.client.Attempt(b.Context(), direct(r), request("a"))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	latency := hdrhistogram.New(1, 10_000_000, 3)
	tokens <- time.Now()
	if _, err := s.Next(b.Context()); err != nil {
		b.Fatal(err)
	}
	if _, err := s.Next(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		tokens <- start
		if _, err := s.Next(b.Context()); err != nil {
			b.Fatal(err)
		}
		_ = latency.RecordValue(time.Since(start).Microseconds())
	}
	close(tokens)
	if _, err := readAll(b.Context(), s); err != nil && !errors.Is(err, io.EOF) {
		b.Fatal(err)
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(95)), "p95-µs")
}
