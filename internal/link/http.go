package link

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"tarragonbay.example/tarragonbay/internal/answers"
)

// Waits and sizes of the HTTP connections.
const (
	dialTimeout    = 500 * time.Millisecond
	keepAlivePause = 15 * time.Second
	// clientIdle is less than serverIdle, so that the server seldom closes a
	// connection that the client is about to use.
	clientIdle    = 45 * time.Second
	serverIdle    = 2 * time.Minute
	headerTimeout = 5 * time.Second
	idlePerAgent  = 256
	// connectionBuffer is each buffer of a connection, and streamBuffer that
	// of one for streams, which hold it for long.
	connectionBuffer = 2 << 10
	streamBuffer     = 1 << 10
	// MaxHeaderBytes bounds the headers of a request on the link.
	MaxHeaderBytes    = 16 << 10
	tlsHandshakeLimit = time.Second
)

// NewHTTPServer returns a server for the handler that speaks HTTP/1.1 only,
// with mutual TLS when the configuration asks for it. Start it with Serve, or
// with ServeTLS and empty names when tlsConfig is not nil.
func NewHTTPServer(h http.Handler, tlsConfig *tls.Config) *http.Server {
	s := &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdle,
		MaxHeaderBytes:    MaxHeaderBytes,
		Protocols:         new(http.Protocols),
	}
	s.Protocols.SetHTTP1(true)
	return s
}

// Serve runs the server on the listener, with TLS when it is configured. It
// returns nil after Shutdown.
func Serve(s *http.Server, ln net.Listener) error {
	err := serveOn(s, ln)
	if err == http.ErrServerClosed { //nolint:errorlint // net/http returns it unwrapped.
		return nil
	}
	return err
}

func serveOn(s *http.Server, ln net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(ln, "", "")
	}
	return s.Serve(ln)
}

// newTransport returns a transport to one agent.
func newTransport(tlsConfig *tls.Config, pooled bool, bufferBytes int) answers.Transport {
	t := &http.Transport{
		DialContext:           dial,
		TLSHandshakeTimeout:   tlsHandshakeLimit,
		DisableCompression:    true,
		DisableKeepAlives:     !pooled,
		MaxIdleConnsPerHost:   idlePerAgent,
		IdleConnTimeout:       clientIdle,
		ReadBufferSize:        bufferBytes,
		WriteBufferSize:       bufferBytes,
		ExpectContinueTimeout: time.Second,
		Protocols:             new(http.Protocols),
	}
	if tlsConfig != nil {
		t.TLSClientConfig = tlsConfig.Clone()
	}
	t.Protocols.SetHTTP1(true)
	return answers.NewTransport(t)
}

// httpClient makes requests without redirects, cookies or a timeout of its
// own: connect-go needs no more than the transport.
type httpClient struct{ transport answers.Transport }

// Do implements connect.HTTPClient.
func (c httpClient) Do(r *http.Request) (*http.Response, error) {
	return c.transport.RoundTrip(r)
}

// gatheringClient is an httpClient for calls whose answers are short. It puts
// a small body into memory that net/http knows, because net/http sends the
// headers in a write of their own before any other body. The memory is held as
// long as the answer.
type gatheringClient struct{ httpClient }

// maxGathered is the largest body that fits behind the headers.
const maxGathered = connectionBuffer - 512

// Do implements connect.HTTPClient.
func (c gatheringClient) Do(r *http.Request) (*http.Response, error) {
	if r.ContentLength <= 0 || r.ContentLength > maxGathered {
		return c.httpClient.Do(r)
	}
	data := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, data)
	_ = r.Body.Close() // it was read to its end, or err tells of it
	if err != nil {
		return nil, err
	}
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(data)), nil }
	r.Body = io.NopCloser(bytes.NewReader(data))
	return c.httpClient.Do(r)
}
