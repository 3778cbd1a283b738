package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Bounds of an answer's head.
const (
	// maxHeadBytes bounds the status line and the headers.
	maxHeadBytes = 1 << 20
	// lastWordTimeout is how long an upstream that takes no more of a request
	// may take to say why.
	lastWordTimeout = time.Second
)

// directTransport makes each call over a connection of its own and reads the
// answer in the caller's goroutine. An http.Transport keeps two goroutines
// beside each connection, whose stacks outweigh the connection of a stream that
// waits for its next token. Nothing is sent twice.
type directTransport struct{ dialer net.Dialer }

// RoundTrip implements http.RoundTripper.
func (t *directTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	conn, err := t.dialer.DialContext(ctx, "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: conn})
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	go send(conn, req)
	resp, err := readHead(conn)
	if err != nil {
		stop()
		conn.Close()
		return nil, err
	}
	resp.Body = &directBody{Reader: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// send writes the request. An upstream may answer before it has read all of it.
func send(conn net.Conn, req *http.Request) {
	req.Close = true
	if err := req.Write(conn); err != nil {
		_ = conn.SetReadDeadline(time.Now().Add(lastWordTimeout)) // fails on a closed connection, which needs none
	}
}

// readHead reads up to the headers of the answer, past those of status 1xx.
// The response does not hold the request, whose body can then be freed.
func readHead(conn net.Conn) (*http.Response, error) {
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	in := bufio.NewReaderSize(limited, streamBufferBytes)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			limited.N = math.MaxInt64
			return resp, nil
		}
	}
}

// directBody is the body of an answer that has its connection to itself.
type directBody struct {
	io.Reader
	conn net.Conn
	stop func() bool
}

// Close ends the connection, whatever is left of the answer.
func (b *directBody) Close() error {
	b.stop()
	return b.conn.Close()
}
