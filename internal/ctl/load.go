package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alitto/pond/v2"
	"github.com/spf13/cobra"

	"tarragonbay.example/tarragonbay/internal/answers"
	"tarragonbay.example/tarragonbay/internal/result"
)

// The bounds of a load.
const (
	maxLoadRequests    = 1_000_000
	maxLoadConcurrency = 1_024
	maxLoadAnswer      = 64 << 20
)

// loadPlan says what a load sends.
type loadPlan struct {
	url         string
	key         string
	model       string
	class       string
	prompt      string
	stream      bool
	requests    int
	concurrency int
}

func (a *app) loadCommand() *cobra.Command {
	p := loadPlan{}
	cmd := &cobra.Command{
		Use:   "load URL --model NAME",
		Short: "Send a bounded load to a caller listener on loopback",
		Long: `Send a bounded load to a caller listener on loopback and print rates and
latencies, for at most --timeout. The caller key is read from $` + EnvCallerKey + `.`,
		Args: exactArgs("URL"),
		RunE: func(cmd *cobra.Command, args []string) error {
			p.url = args[0]
			p.key = a.Getenv(EnvCallerKey)
			if err := p.check(); err != nil {
				return err
			}
			ctx, cancel := a.context(cmd)
			defer cancel()
			return a.print(p.run(ctx))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&p.model, "model", "", "model, version or cascade")
	flags.StringVar(&p.class, "class", "", "request class")
	flags.StringVar(&p.prompt, "prompt", "hello", "the user's message")
	flags.BoolVar(&p.stream, "stream", false, "ask for streamed answers")
	flags.IntVar(&p.requests, "requests", 1000, fmt.Sprintf("requests to send, at most %d", maxLoadRequests))
	flags.IntVar(&p.concurrency, "concurrency", 8, fmt.Sprintf("requests at a time, at most %d", maxLoadConcurrency))
	_ = cmd.MarkFlagRequired("model") // fails only for a flag that is not defined
	return cmd
}

func (p loadPlan) check() error {
	u, err := url.Parse(p.url)
	if err != nil || u.Scheme != "http" {
		return result.New(result.BadUsage, "the URL must be http://IP:port")
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil || !addr.Addr().IsLoopback() {
		return result.New(result.BadUsage, "the load is sent to loopback only, not to %q", u.Host)
	}
	if p.key == "" {
		return result.New(result.BadUsage, "set $%s to the caller key", EnvCallerKey)
	}
	if p.requests < 1 || p.requests > maxLoadRequests {
		return result.New(result.BadUsage, "--requests must be from 1 to %d", maxLoadRequests)
	}
	if p.concurrency < 1 || p.concurrency > maxLoadConcurrency {
		return result.New(result.BadUsage, "--concurrency must be from 1 to %d", maxLoadConcurrency)
	}
	return nil
}

// loadReport is what a load measured.
type loadReport struct {
	Sent int `json:"sent"`
	// Answered counts whole answers.
	Answered int           `json:"answered"`
	Failures []loadFailure `json:"failures"`
	Seconds  float64       `json:"seconds"`
	PerSec   float64       `json:"requestsPerSecond"`
	// The latencies are of whole answers, in milliseconds.
	P50 float64 `json:"p50ms"`
	P95 float64 `json:"p95ms"`
	P99 float64 `json:"p99ms"`
	Max float64 `json:"maxMs"`
	// FirstP50 and FirstP95 are the times to the first event of a stream.
	FirstP50 float64 `json:"firstP50ms,omitempty"`
	FirstP95 float64 `json:"firstP95ms,omitempty"`
}

type loadFailure struct {
	Code  string `json:"code"`
	Count int    `json:"count"`
}

func (r loadReport) grid() grid {
	g := grid{rows: [][]string{
		{"sent", fmt.Sprint(r.Sent)},
		{"answered", fmt.Sprint(r.Answered)},
		{"requests/s", fmt.Sprintf("%.0f", r.PerSec)},
		{"p50 ms", fmt.Sprintf("%.3f", r.P50)},
		{"p95 ms", fmt.Sprintf("%.3f", r.P95)},
		{"p99 ms", fmt.Sprintf("%.3f", r.P99)},
		{"max ms", fmt.Sprintf("%.3f", r.Max)},
	}}
	if r.FirstP50 > 0 {
		g.rows = append(g.rows, []string{"first event p50 ms", fmt.Sprintf("%.3f", r.FirstP50)},
			[]string{"first event p95 ms", fmt.Sprintf("%.3f", r.FirstP95)})
	}
	for _, f := range r.Failures {
		g.rows = append(g.rows, []string{"failed " + f.Code, fmt.Sprint(f.Count)})
	}
	return g
}

// Histogram bounds: a microsecond to ten minutes, three digits.
const (
	histogramLow    = 1
	histogramHigh   = 10 * 60 * 1_000_000
	histogramDigits = 3
)

// loadRun is a load under way.
type loadRun struct {
	plan   loadPlan
	body   []byte
	client *http.Client

	mu       sync.Mutex // guards what follows
	total    *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	failures map[string]int
	sent     atomic.Int64
}

func (p loadPlan) run(ctx context.Context) loadReport {
	transport := answers.NewTransport(&http.Transport{MaxIdleConnsPerHost: p.concurrency, MaxConnsPerHost: p.concurrency})
	defer transport.CloseIdleConnections()
	r := &loadRun{
		plan:     p,
		body:     p.body(),
		client:   &http.Client{Transport: transport},
		total:    hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
		first:    hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
		failures: map[string]int{},
	}
	began := time.Now()
	group := pond.NewPool(p.concurrency).NewGroup()
	for range p.concurrency {
		group.Submit(func() { r.sendUntilDone(ctx) })
	}
	_ = group.Wait() // the tasks return no errors
	return r.report(time.Since(began))
}

func (p loadPlan) body() []byte {
	type chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	data, _ := json.Marshal(struct {
		Model    string        `json:"model"`
		Stream   bool          `json:"stream,omitempty"`
		Messages []chatMessage `json:"messages"`
	}{p.model, p.stream, []chatMessage{{"user", p.prompt}}}) // strings always encode
	return data
}

func (r *loadRun) sendUntilDone(ctx context.Context) {
	for ctx.Err() == nil && r.sent.Add(1) <= int64(r.plan.requests) {
		r.send(ctx)
	}
}

func (r *loadRun) send(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.plan.url+"/v1/chat/completions", bytes.NewReader(r.body))
	if err != nil {
		r.failed("bad URL")
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.plan.key)
	req.Header.Set("Content-Type", "application/json")
	if r.plan.class != "" {
		req.Header.Set("X-Request-Class", r.plan.class)
	}
	began := time.Now()
	res, err := r.client.Do(req)
	if err != nil {
		r.failed(missing(ctx))
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		r.failed(refusalCode(res.Body))
		return
	}
	if r.plan.stream {
		r.readStream(res.Body, began)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxLoadAnswer)); err != nil {
		r.failed("cut answer")
		return
	}
	r.answered(time.Since(began), 0)
}

// missing names an answer that did not come.
func missing(ctx context.Context) string {
	if ctx.Err() != nil {
		return "out of time"
	}
	return "no answer"
}

// refusalCode reads the numbered code of an error answer.
func refusalCode(body io.Reader) string {
	var e struct {
		Error struct {
			TBCode string `json:"tb_code"`
		} `json:"error"`
	}
	if json.NewDecoder(io.LimitReader(body, maxLoadAnswer)).Decode(&e) != nil || e.Error.TBCode == "" {
		return "other answer"
	}
	return e.Error.TBCode
}

// readStream counts a stream as answered only when it ends with [DONE].
func (r *loadRun) readStream(body io.Reader, began time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLoadAnswer)
	var first time.Duration
	for lines.Scan() {
		if first == 0 && len(lines.Bytes()) > 0 {
			first = time.Since(began)
		}
		if bytes.Equal(lines.Bytes(), []byte("data: [DONE]")) {
			r.answered(time.Since(began), first)
			_, _ = io.Copy(io.Discard, body) // so that the connection is used again
			return
		}
	}
	r.failed("cut answer")
}

func (r *loadRun) failed(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[code]++
}

func (r *loadRun) answered(total, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.total.RecordValue(total.Microseconds()) // the command's time is within the bounds
	if first > 0 {
		_ = r.first.RecordValue(first.Microseconds())
	}
}

func (r *loadRun) report(took time.Duration) loadReport {
	out := loadReport{
		Answered: int(r.total.TotalCount()),
		Failures: []loadFailure{},
		Seconds:  took.Seconds(),
		P50:      millis(r.total.ValueAtQuantile(50)),
		P95:      millis(r.total.ValueAtQuantile(95)),
		P99:      millis(r.total.ValueAtQuantile(99)),
		Max:      millis(r.total.Max()),
		FirstP50: millis(r.first.ValueAtQuantile(50)),
		FirstP95: millis(r.first.ValueAtQuantile(95)),
	}
	out.Sent = out.Answered
	for code, n := range r.failures {
		out.Failures = append(out.Failures, loadFailure{code, n})
		out.Sent += n
	}
	out.PerSec = float64(out.Answered) / out.Seconds
	return out
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
