package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

// maxConnections keeps every connection of a load open between requests.
const maxConnections = 4096

// target is where chats are sent and what they ask for.
type target struct {
	url    string
	model  string
	client *http.Client
}

func newTarget(address, model string) target {
	return target{
		url:   "http://" + address + "/v1/chat/completions",
		model: model,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxConnections,
			DisableCompression:  true,
		}},
	}
}

// prompt is about 1 KiB, a usual size for a chat.
var prompt = strings.Repeat("some words of a question ", 40)

// chatBody is the same for both targets but for the model.
func chatBody(model string, stream bool, tokens int) []byte {
	return chatBodyOf(prompt, model, stream, tokens)
}

func chatBodyOf(prompt, model string, stream bool, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"stream":%t,"max_tokens":%d}`,
		model, prompt, stream, tokens)
}

// longDeadline keeps idle streams open, in milliseconds.
const longDeadline = "600000"

// send asks for one chat. The caller closes the body.
func (g target) send(ctx context.Context, stream bool, tokens int) (io.ReadCloser, error) {
	body := bytes.NewReader(chatBody(g.model, stream, tokens))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", longDeadline)
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp.Body, nil
}

// unary asks for one whole answer and returns how long it took.
func (g target) unary(ctx context.Context, tokens int) (time.Duration, error) {
	began := time.Now()
	body, err := g.send(ctx, false, tokens)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	if _, err := io.Copy(io.Discard, body); err != nil {
		return 0, err
	}
	return time.Since(began), nil
}

// streamed reads one stream to its end. It returns the time to the first event
// and passes each pause between events of tokens to gap.
func (g target) streamed(ctx context.Context, tokens int, gap func(time.Duration)) (time.Duration, error) {
	began := time.Now()
	body, err := g.send(ctx, true, tokens)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	var first time.Duration
	last := began
	events := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			continue
		}
		now := time.Now()
		events++
		switch {
		case events == 1:
			first = now.Sub(began)
		case events <= tokens:
			gap(now.Sub(last))
		}
		last = now
	}
	if events < tokens {
		return first, fmt.Errorf("%d events of %d: %w", events, tokens, io.ErrUnexpectedEOF)
	}
	return first, lines.Err()
}

// Bounds of recorded times, in nanoseconds, and their precision.
const (
	shortest = int64(time.Microsecond)
	longest  = int64(time.Minute)
	digits   = 3
)

// times is a histogram of durations.
type times struct{ *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(shortest, longest, digits)} }

func (h times) observe(d time.Duration) {
	_ = h.RecordValue(int64(d)) // a value over the bound is counted nowhere
}

func (h times) at(quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile))
}

// flood sends unary chats from so many callers for a time, and returns the
// requests that were answered and those that failed.
func (g target) flood(ctx context.Context, callers, tokens int, during time.Duration) (answered, failed int) {
	ctx, cancel := context.WithTimeout(ctx, during)
	defer cancel()
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			good, bad := 0, 0
			for ctx.Err() == nil {
				if _, err := g.unary(ctx, tokens); err == nil {
					good++
				} else if ctx.Err() == nil {
					bad++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			answered += good
			failed += bad
		})
	}
	workers.Wait()
	return answered, failed
}

// steadyCallers is more than run at a time at any measured rate.
const steadyCallers = 64

// steady sends unary chats at a rate for a time and returns how many failed.
func (g target) steady(ctx context.Context, perSecond int, during time.Duration) (failed int) {
	ctx, cancel := context.WithTimeout(ctx, during)
	defer cancel()
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var bad atomic.Int64
	var workers sync.WaitGroup
	for range steadyCallers {
		workers.Go(func() {
			for limiter.Wait(ctx) == nil {
				if _, err := g.unary(ctx, steadyTokens); err != nil && ctx.Err() == nil {
					bad.Add(1)
				}
			}
		})
	}
	workers.Wait()
	return int(bad.Load())
}

// steadyTokens is the length of an answer at a steady rate.
const steadyTokens = 32
