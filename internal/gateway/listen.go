package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/explain"
	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/lastaccept"
)

// Limits on callers that apply before a configuration sets its own.
const (
	// maxHeaderBytes is the largest header section that any configuration allows.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
	// adminTimeout bounds requests to the readiness and metrics listeners.
	adminTimeout = 2 * time.Second
	// operatorHeaderBytes bounds the header section of those requests.
	operatorHeaderBytes = 8 << 10
)

// server is one open listener.
type server struct {
	http *http.Server
	ln   *lastaccept.Listener
	// admitted accepts from ln what there is room for.
	admitted net.Listener
}

// listen opens the listeners for callers, readiness and, if configured, metrics.
func (g *Gateway) listen() ([]*server, error) {
	callers := &http.Server{
		Handler: intake.Handler(g), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.conns.stateChanged, ConnContext: g.conns.connContext,
	}
	admin := http.NewServeMux()
	admin.HandleFunc("/metrics", g.serveMetrics)
	admin.HandleFunc("/dump", g.serveDump)
	admin.HandleFunc("POST "+explain.Path, g.serveExplain)
	var out []*server
	for _, s := range []struct {
		name, address string
		http          *http.Server
	}{
		{callersListener, g.settings().Listen, callers},
		{readyListener, g.settings().ReadyListen, operatorServer(http.HandlerFunc(g.serveReady))},
		{adminListener, g.settings().AdminListen, operatorServer(admin)},
	} {
		if s.address == "" {
			continue
		}
		ln, err := intake.Listen(s.address)
		if err != nil {
			for _, o := range out {
				_ = o.ln.Close() // nothing was served on it
			}
			return nil, errors.Annotatef(err, "listen on %s", s.address)
		}
		accepts := lastaccept.New(ln)
		out = append(out, &server{http: s.http, ln: accepts, admitted: g.admitFrom(s.name, accepts)})
	}
	return out, nil
}

// operatorServer returns a server for the platform's and operators' questions.
func operatorServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: intake.Handler(h), ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout, MaxHeaderBytes: operatorHeaderBytes,
		ConnContext: intake.ConnContext,
	}
}

// serve runs until the context ends or the server is closed.
func (s *server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.admitted); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotatef(err, "serve on %s", s.ln.Addr())
	}
	return nil
}

// serveReady reports to the platform whether new callers should be sent here. It ignores
// the path, since the listener serves nothing else.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := g.ready()
	if g.counters.recordReady(ok) {
		g.log.Event(component, "readiness", zap.Bool("ready", ok), zap.String("why", reason),
			zap.Duration("confirmedMsAgo", g.storeContact.age(g.bootClock())))
	}
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
