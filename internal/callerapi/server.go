package callerapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/netutil"

	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/tlsfiles"
)

// Server listens for callers.
type Server struct {
	http     *http.Server
	listener net.Listener
	timeouts settings.Timeouts
}

// Listen opens the caller listener of the settings; nothing is served before
// Run. The error is a *result.Error when the certificate cannot be used.
func Listen(s settings.Settings, handler http.Handler) (*Server, error) {
	var tlsConfig *tls.Config
	if s.Caller.TLS.Enabled() {
		pair, err := tlsfiles.Load(s.Caller.TLS.CertFile, s.Caller.TLS.KeyFile)
		if err != nil {
			return nil, err
		}
		tlsConfig = pair.Server()
	}
	ln, err := net.Listen("tcp", s.Caller.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "listen for callers")
	}
	ln = netutil.LimitListener(ln, s.Limits.Connections)
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	return newServer(s, handler, ln), nil
}

func newServer(s settings.Settings, handler http.Handler, ln net.Listener) *Server {
	return &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: s.Timeouts.ReadHeader,
			IdleTimeout:       s.Timeouts.Idle,
			// The handler refuses headers over the limit with a numbered
			// error; this bound only stops those far beyond it.
			MaxHeaderBytes: 2 * s.Limits.HeaderBytes,
		},
		listener: ln,
		timeouts: s.Timeouts,
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
		return errors.Annotate(err, "serve callers")
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timeouts.Drain)
	defer cancel()
	err := s.http.Shutdown(drain)
	if err != nil {
		_ = s.http.Close() // the drain time has passed
	}
	<-failed //nolint:errcheck // it is http.ErrServerClosed
	return errors.Annotate(err, "drain callers")
}
