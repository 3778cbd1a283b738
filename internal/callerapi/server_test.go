package callerapi

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/standin/pipe"
)

// admission has room for all that a test sends.
func admission() httpserver.Admission {
	return httpserver.Admission{Share: holding.NewShare(holding.Limits{Bytes: 1 << 30, Connections: 100_000})}
}

// serving runs a server around the router until the test's end.
func serving(t *testing.T, r Router) (ln *pipe.Listener, stop func() error) {
	set := testSet(t)
	s := settings.Default(settings.RoleEntry)
	h := NewHandler(Options{Router: r, Set: func() *catalog.Set { return set }, Limits: s.Limits, Timeouts: s.Timeouts})
	ln = pipe.Listen()
	server := httpserver.New(serverConfig(s, admission()), h, ln)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	return ln, func() error { cancel(); return <-done }
}

func rawChat(body string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-a\r\n" +
		"Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestSlowReaderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		big := strings.Repeat(" ", 64<<10)
		ln, stop := serving(t, &fakeRouter{chat: func(_ context.Context, _ ChatCall, sink AnswerSink) error {
			err := sink.Begin(testStart)
			for err == nil {
				err = sink.Chunk([]byte(big))
			}
			ended <- err
			return err
		}})
		c := ln.Dial()
		if _, err := io.WriteString(c, rawChat(streamBody)); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := <-ended; !result.Is(err, result.CallerGone) {
			t.Errorf("the router got %v", err)
		}
		if took := time.Since(began); took != settings.Default(settings.RoleEntry).Timeouts.Write {
			t.Errorf("the reader was held for %v", took)
		}
		c.Close()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestSlowBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, stop := serving(t, &fakeRouter{})
		c := ln.Dial()
		half := rawChat(goodBody)
		half = half[:len(half)-10]
		if _, err := io.WriteString(c, half); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(res.Body)
		if e := errorOf(t, string(body)); e.TBCode != result.BadJSON.String() || e.Outcome != "not_run" {
			t.Errorf("got %+v", e)
		}
		c.Close()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestSlowHeadersAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, stop := serving(t, &fakeRouter{})
		c := ln.Dial()
		if _, err := io.WriteString(c, "POST /v1/chat"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(c); err != nil {
			t.Fatal(err)
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestCallerThatLeavesEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		ln, stop := serving(t, &fakeRouter{chat: func(ctx context.Context, _ ChatCall, _ AnswerSink) error {
			<-ctx.Done()
			ended <- context.Cause(ctx)
			return ctx.Err()
		}})
		c := ln.Dial()
		if _, err := io.WriteString(c, rawChat(streamBody)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		c.Close()
		if err := <-ended; err != context.Canceled { //nolint:errorlint // the cause itself
			t.Errorf("got %v", err)
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestStopLetsARunningRequestFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		ln, stop := serving(t, &fakeRouter{chat: func(ctx context.Context, c ChatCall, sink AnswerSink) error {
			<-release
			return answer(`{"id":"c1"}`)(ctx, c, sink)
		}})
		c := ln.Dial()
		if _, err := io.WriteString(c, rawChat(goodBody)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		synctest.Wait()
		close(release)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(res.Body); string(body) != `{"id":"c1"}` {
			t.Errorf("got %s", body)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		c.Close()
	})
}
