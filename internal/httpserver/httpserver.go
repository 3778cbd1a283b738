// Package httpserver runs the HTTP listeners of a daemon, with the same bounds
// and the same graceful shutdown for all of them.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/lastaccept"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/tlsfiles"
)

// Admission bounds what a listener takes in.
type Admission struct {
	// Share admits connections and requests.
	Share *holding.Share
	// Event writes a line about what was refused or closed to the log; nil writes none.
	Event func(event string, fields ...zap.Field)
}

// Config is what a listener needs.
type Config struct {
	// Name is used in errors, such as "callers".
	Name string
	// Address is IP:port; port 0 picks a free one.
	Address string
	// TLS is the certificate, if any.
	TLS settings.CallerTLS
	Admission
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	ReadHeader  time.Duration
	Idle        time.Duration
	// Drain is the time that running requests get at the end.
	Drain time.Duration
}

// Server is an open listener.
type Server struct {
	config   Config
	http     *http.Server
	listener net.Listener
	last     *lastaccept.Listener
}

// Listen opens the listener; nothing is served before Run. The error is a
// *result.Error when the certificate cannot be used.
func Listen(c Config, handler http.Handler) (*Server, error) {
	var tlsConfig *tls.Config
	if c.TLS.Enabled() {
		pair, err := tlsfiles.Load(c.TLS.CertFile, c.TLS.KeyFile)
		if err != nil {
			return nil, err
		}
		tlsConfig = pair.Server()
	}
	ln, err := intake.Listen(c.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s", c.Name)
	}
	return newServer(c, handler, ln, tlsConfig), nil
}

// New returns a server without TLS on a listener that is open already.
func New(c Config, handler http.Handler, ln net.Listener) *Server {
	return newServer(c, handler, ln, nil)
}

func newServer(c Config, handler http.Handler, ln net.Listener, tlsConfig *tls.Config) *Server {
	last := lastaccept.New(ln)
	ln = intake.New(last, intake.Options{
		Name: c.Name, Share: c.Share, HeadBytes: func() int { return c.HeaderBytes }, BodyCopies: 1,
		TLS: tlsConfig, Answer: intake.Refuse, Event: c.Event,
	})
	return &Server{
		config: c,
		http: &http.Server{
			Handler:           intake.Handler(handler),
			ConnContext:       intake.ConnContext,
			ReadHeaderTimeout: c.ReadHeader,
			IdleTimeout:       c.Idle,
			MaxHeaderBytes:    c.HeaderBytes,
		},
		listener: ln,
		last:     last,
	}
}

// Addr returns the address listened on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves until the context ends, then takes no new connections, lets
// running requests finish within the drain time, and returns. It returns an
// error when serving or draining failed.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Annotatef(err, "serve %s", s.config.Name)
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Drain)
	defer cancel()
	finishErr := s.last.Finish() // before Shutdown, which closes the listener
	if finishErr == nil {
		select {
		case <-s.last.Ended():
		case <-drain.Done():
		}
	}
	err := s.http.Shutdown(drain)
	if err != nil {
		_ = s.http.Close() // the drain time has passed
	}
	<-failed //nolint:errcheck // it is http.ErrServerClosed
	if err == nil {
		err = finishErr
	}
	return errors.Annotatef(err, "drain %s", s.config.Name)
}
