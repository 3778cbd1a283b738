package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"tarragonbay.example/tarragonbay/internal/result"
)

// answering returns the address of a server that reads the headers of each
// call, writes the text and then reads no more.
func answering(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text) // the caller's end tells
			}
		}
	}()
	return l.Addr().String()
}

func TestStreamIsRefusedBeforeItsBodyIsRead(t *testing.T) {
	c := NewClient(answering(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	call := chatCall(true)
	call.Body = make([]byte, 32<<20) // more than the kernel holds for a reader that stays away
	_, err := c.Do(t.Context(), call, &collector{})
	if e := result.From(err); e.Code != result.UpstreamBusy || e.Outcome != result.NotRun {
		t.Errorf("got %v", err)
	}
}

// cancelling ends the call's context with the first event.
type cancelling struct{ cancel context.CancelFunc }

func (c cancelling) Head(int, string) error { return nil }

func (c cancelling) Data([]byte) error {
	c.cancel()
	return nil
}

func TestStreamEndsWithItsContext(t *testing.T) {
	c := NewClient(answering(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {}\n\n"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := c.Do(ctx, chatCall(true), cancelling{cancel})
	if e := result.From(err); e.Code != result.DeadlineExceeded || e.Outcome != result.Ran {
		t.Errorf("got %v", err)
	}
}

func TestStreamWithAnEndlessHeadIsGivenUp(t *testing.T) {
	head := make([]byte, 2*maxHeadBytes)
	for i := range head {
		head[i] = 'x'
	}
	c := NewClient(answering(t, "HTTP/1.1 200 OK\r\nX-Long: "+string(head)))
	_, err := c.Do(t.Context(), chatCall(true), &collector{})
	if e := result.From(err); e.Code != result.OutcomeUnknown {
		t.Errorf("got %v", err)
	}
}
