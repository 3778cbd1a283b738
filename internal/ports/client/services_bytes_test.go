package client

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	standin "tarragonbay.example/tarragonbay/internal/standin/platform"
)

// TestBytesOfRatingsAndWeights counts what the calls of the rating service and
// the weight store send and receive, beside the text of prompts and answers.
func TestBytesOfRatingsAndWeights(t *testing.T) {
	p := fake.New(fake.Options{})
	srv := httptest.NewUnstartedServer(standin.New(p).Handler())
	var bytes atomic.Int64
	srv.Listener = countingListener{srv.Listener, &bytes}
	srv.Start()
	t.Cleanup(srv.Close)
	c := New(Options{BaseURL: srv.URL})
	count := func(call func() error) int64 {
		before := bytes.Load()
		if err := call(); err != nil {
			t.Fatal(err)
		}
		return bytes.Load() - before
	}
	reserve := func() error { return c.Weights.Reserve(t.Context(), "kiln-writer@3") }
	count(reserve)
	text := strings.Repeat("x", 1000)
	submit := func(i int) error {
		return c.Ratings.Submit(t.Context(), ports.Sample{
			RequestID: fmt.Sprintf("00000000-0000-4000-8000-%012d", i),
			Version:   "kiln-writer@3", Class: "dossier-review", Prompt: text, Answer: text,
		})
	}
	submitted := count(func() error { return submit(0) }) - int64(2*len(text))
	for i := range 999 {
		_ = submit(i + 1)
	}
	since := func(limit int) int64 {
		return count(func() error {
			_, _, err := c.Ratings.Since(t.Context(), 0, limit)
			return err
		})
	}
	empty := count(func() error {
		_, _, err := c.Ratings.Since(t.Context(), 1000, 1000)
		return err
	})
	one, all := since(1), since(1000)
	perRating := float64(all-empty) / 1000
	t.Logf("reserve a load: %d B; hand an answer in: %d B beside its text", count(reserve), submitted)
	t.Logf("read ratings: %d B when there are none, %d B with one, %.0f B a rating", empty, one, perRating)
	if perRating > 250 || submitted > 1000 {
		t.Errorf("%.0f B a rating and %d B a sample", perRating, submitted)
	}
}
