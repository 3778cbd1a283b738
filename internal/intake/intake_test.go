package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/standin/pipe"
)

// server is an HTTP server whose handler records what it gets.
type server struct {
	address string
	ln      *Listener
	share   *holding.Share

	mu    sync.Mutex
	got   []string
	lines int
}

// serve starts a server; without limits, nothing is admitted or held back.
func serve(t testing.TB, limits *holding.Limits, handler http.Handler) *server {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: ln.Addr().String()}
	if handler == nil {
		handler = http.HandlerFunc(s.record)
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10}
	accepts := ln
	if limits != nil {
		s.share = holding.NewShare(*limits)
		s.ln = New(ln, Options{
			Name: "test", Share: s.share, HeadBytes: func() int { return 16 << 10 }, BodyCopies: 1,
			Answer: func(code result.Code) []byte { return Answer(code, http.Header{"Content-Length": {"0"}}, nil) },
			Event: func(string, ...zap.Field) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.lines++
			},
		})
		accepts, h.Handler, h.ConnContext = s.ln, Handler(handler), ConnContext
	}
	go func() { _ = h.Serve(accepts) }() // ends with Close
	t.Cleanup(func() { _ = h.Close() })
	return s
}

func (s *server) record(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	s.got = append(s.got, fmt.Sprintf("%s %s %d %d %v", r.Method, r.URL, len(r.Header), len(body), err != nil))
	s.mu.Unlock()
	_, _ = io.WriteString(w, "ok") // the client may have gone
}

func (s *server) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.got...)
}

// play sends parts on one connection and returns all that was answered.
func (s *server) play(t *testing.T, parts []string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
		}
	}()
	answers, _ := io.ReadAll(c) // a reset ends it as well
	return string(answers)
}

// randomRequests returns requests in a row on one connection, the last of which closes it.
func randomRequests(r *rand.Rand) string {
	var b strings.Builder
	n := 1 + r.IntN(6)
	for i := range n {
		closes := ""
		if i == n-1 {
			closes = "Connection: close\r\n"
		}
		size := r.IntN(3) * r.IntN(20_000)
		switch r.IntN(5) {
		case 0:
			fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: x\r\n%s\r\n", i, closes)
		case 1:
			fmt.Fprintf(&b, "POST /%d HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", i, closes, size, strings.Repeat("\n", size))
		case 2:
			fmt.Fprintf(&b, "POST /%d HTTP/1.1\r\nHost: x\r\n%sTransfer-Encoding:\r\n chunked\r\n\r\n", i, closes)
			for range r.IntN(4) {
				k := 1 + r.IntN(5000)
				fmt.Fprintf(&b, "%x;y=z\r\n%s\r\n", k, strings.Repeat("0", k))
			}
			b.WriteString("0\r\nT: u\r\n\r\n")
		case 3:
			fmt.Fprintf(&b, "PUT /%d HTTP/1.1\r\nHost: x\r\n%sContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", i, closes)
		default:
			fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: x\r\n%s%s\r\n", i, closes, strings.Repeat("A: \r\n", r.IntN(200)))
		}
	}
	return b.String()
}

// TestServerSeesTheSameRequests: requests in a row, cut anywhere, reach the handler as they do
// without admission, and nothing stays admitted.
func TestServerSeesTheSameRequests(t *testing.T) {
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 1))
		text := randomRequests(r)
		parts := pieces(r, text)
		if r.IntN(2) == 0 {
			parts = []string{text}
		}
		plain, admitted := serve(t, nil, nil), serve(t, &holding.Limits{Bytes: 16 << 20, Connections: 10}, nil)
		plain.play(t, parts)
		admitted.play(t, parts)
		want, got := strings.Join(plain.requests(), "\n"), strings.Join(admitted.requests(), "\n")
		if want != got || want == "" {
			t.Fatalf("seed %d: got\n%s\nwant\n%s", seed, got, want)
		}
		for end := time.Now().Add(10 * time.Second); admitted.share.Usage() != (holding.Usage{}); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("seed %d: %+v stays admitted", seed, admitted.share.Usage())
			}
		}
	}
}

// TestHeadIsAdmittedBeforeItIsParsed: a head that does not fit is answered with a promise, and
// neither it nor what follows on the connection reaches the handler.
func TestHeadIsAdmittedBeforeItIsParsed(t *testing.T) {
	ordinary := "GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n"
	large := "GET /large HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: \r\n", 3000) + "\r\n"
	for _, c := range []struct {
		name, first, want string
		limit             int64
	}{
		{"many lines", large, "503 Service Unavailable", 400 << 10},
		{"over the size", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 40<<10), "431 Request Header Fields Too Large", 4 << 20},
		{"many lines after a request", ordinary + large, "503 Service Unavailable", 400 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, &holding.Limits{Bytes: c.limit, Connections: 10}, nil)
			answers := s.play(t, []string{c.first, ordinary})
			if !strings.Contains(answers, c.want) {
				t.Errorf("answered %.200q, want %q", answers, c.want)
			}
			if n := len(s.requests()); n != strings.Count(c.first, "ordinary") {
				t.Errorf("the handler got %d requests", n)
			}
			if s.ln.Refused(NoRoom)+s.ln.Refused(HeadTooLarge) != 1 {
				t.Error("the refusal is not counted")
			}
		})
	}
}

// TestBodyThatDoesNotFitEndsInTheHandler: the handler learns that the body was not admitted.
func TestBodyThatDoesNotFitEndsInTheHandler(t *testing.T) {
	refused := make(chan error, 1)
	s := serve(t, &holding.Limits{Bytes: 1 << 20, Connections: 10}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		refused <- err
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	s.play(t, []string{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n", strings.Repeat("x", 2_000_000)})
	if err := <-refused; err == nil || !strings.Contains(err.Error(), ErrNoRoom.Error()) {
		t.Errorf("got %v", err)
	}
}

// TestConnectionsBeyondTheLimitAreAnswered: a connection for which there is no room is
// answered or closed at once, and does not wait for another to end.
func TestConnectionsBeyondTheLimitAreAnswered(t *testing.T) {
	release := make(chan struct{})
	running := make(chan struct{}, 2)
	s := serve(t, &holding.Limits{Bytes: 1 << 20, Connections: 2}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}))
	defer close(release)
	for range 2 {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		<-running
	}
	var d net.Dialer
	c, err := d.DialContext(context.Background(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answer, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
		t.Errorf("answered %q, %v", answer, err)
	}
}

// TestLinesOfAFloodAreBounded: a flood is one line in an interval, which tells its size.
func TestLinesOfAFloodAreBounded(t *testing.T) {
	l, start, lines, events := &Listener{}, time.Unix(1000, 0), 0, int64(0)
	for i := range 1001 {
		if n, due := l.lineDue(start.Add(time.Duration(i) * reportInterval / 100)); due {
			lines, events = lines+1, events+n
		}
	}
	if lines != 11 || events != 1001 {
		t.Errorf("%d lines for %d events", lines, events)
	}
}

// TestRefusalsAreCountedAndReported: a connection without room is counted and in the log.
func TestRefusalsAreCountedAndReported(t *testing.T) {
	s := serve(t, &holding.Limits{Bytes: 1, Connections: 1}, nil)
	for range 5 {
		s.play(t, nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.ln.Refused(NoRoom); n != 5 || s.lines == 0 {
		t.Errorf("%d refusals counted, %d lines", n, s.lines)
	}
}

// TestConnectionMakesRoomAfterItsAnswer: a connection whose request was answered is idle,
// whatever became of the body, and gives way to the next one.
func TestConnectionMakesRoomAfterItsAnswer(t *testing.T) {
	for _, c := range []struct {
		name, request string
		reads         bool
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
		{"body read", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\norder", true},
		{"body left", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\norder", false},
		{"chunks left", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, &holding.Limits{Bytes: 1 << 20, Connections: 1}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.reads {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				w.Header().Set("Content-Length", "2")
				_, _ = io.WriteString(w, "ok")
			}))
			first, err := net.Dial("tcp", s.address)
			if err != nil {
				t.Fatal(err)
			}
			defer first.Close()
			if _, err := io.WriteString(first, c.request); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(first), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%v, %v", resp, err)
			}
			s.knockUntilOneGivesWay(t)
		})
	}
}

// knockUntilOneGivesWay opens connections until another was closed for one of them.
func (s *server) knockUntilOneGivesWay(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.share.Closed() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection does not give way")
		}
		next, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = next.Close() // it may have been refused
	}
}

// TestAnswerIsSentBeforeItsConnectionGivesWay: a handler has returned, and its answer is still
// being sent, when the only place is asked for.
func TestAnswerIsSentBeforeItsConnectionGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := pipe.Listen()
		share := holding.NewShare(holding.Limits{Bytes: 1 << 20, Connections: 1})
		ln := New(inner, Options{Name: "test", Share: share, HeadBytes: func() int { return 4096 }, BodyCopies: 1})
		returned := make(chan struct{})
		h := &http.Server{ReadHeaderTimeout: time.Second, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(returned)
			_, _ = io.WriteString(w, "answer")
		}))}
		go func() { _ = h.Serve(ln) }() // ends with Close
		first := inner.Dial()
		if _, err := io.WriteString(first, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		<-returned
		synctest.Wait()
		second := inner.Dial()
		synctest.Wait()
		if share.Refused() != 1 || share.Closed() != 0 {
			t.Errorf("%d refused, %d closed", share.Refused(), share.Closed())
		}
		resp, err := http.ReadResponse(bufio.NewReader(first), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "answer" {
			t.Errorf("answer %q, %v", body, err)
		}
		_, _ = first.Close(), second.Close()
		_ = h.Close()
		synctest.Wait()
	})
}
