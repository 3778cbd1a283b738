package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
)

// Bounds on callers that hold before a configuration sets its own.
const (
	// maxHeader is the largest header section of any configuration, in bytes.
	maxHeaderBytes = 64 << 10
	// headerTime is how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// adminTime bounds requests to the readiness and metrics listeners.
	adminTimeout = 2 * time.Second
)

// server is one open listener.
type server struct {
	http *http.Server
	ln   *acceptor
}

// acceptor is a listener that can stop without cutting off what has connected already.
type acceptor struct {
	net.Listener
	finishing atomic.Bool
}

// backlogTime is how long connections that wait to be accepted are still taken in.
const backlogTimeout = 50 * time.Millisecond

// finish has the listener accept what waits and then end.
func (a *acceptor) finish() error {
	a.finishing.Store(true)
	tcp, ok := a.Listener.(*net.TCPListener)
	if !ok {
		return a.Close()
	}
	return tcp.SetDeadline(time.Now().Add(backlogTimeout))
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil && a.finishing.Load() {
		return nil, http.ErrServerClosed
	}
	return c, err
}

// listen opens the listeners: callers, readiness and, if set, metrics.
func (g *Gateway) listen() ([]*server, error) {
	callers := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.conns.stateChanged, ConnContext: g.conns.connContext,
	}
	admin := http.NewServeMux()
	admin.HandleFunc("/metrics", g.serveMetrics)
	admin.HandleFunc("/dump", g.serveDump)
	var out []*server
	for _, s := range []struct {
		address string
		http    *http.Server
	}{
		{g.settings().Listen, callers},
		{g.settings().ReadyListen, &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: adminTimeout}},
		{g.settings().AdminListen, &http.Server{Handler: admin, ReadHeaderTimeout: adminTimeout}},
	} {
		if s.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			for _, o := range out {
				_ = o.ln.Close() // nothing was served on it
			}
			return nil, errors.Annotatef(err, "listen on %s", s.address)
		}
		out = append(out, &server{http: s.http, ln: &acceptor{Listener: ln}})
	}
	return out, nil
}

// serve runs until the context ends or the server is closed.
func (s *server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotatef(err, "serve on %s", s.ln.Addr())
	}
	return nil
}

// serveReady tells the platform whether new callers should come here. Any path
// is answered, since the listener serves nothing else.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := g.ready()
	if g.counters.recordReady(ok) {
		g.log.Event(component, "readiness", zap.Bool("ready", ok), zap.String("why", why),
			zap.Duration("confirmedMsAgo", g.storeContact.age(g.bootClock())))
	}
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Times of a drain.
const (
	// leaveTime is how long callers may still be sent here after the process
	// reports itself unready: two missed questions a second apart, and slack.
	unreadyDelay = 2600 * time.Millisecond
	// acceptPart of the grace is how long new connections are taken at most. While most
	// gateways of a failure domain stop, callers are sent to all of them; the rest of the
	// grace is for what they send.
	maxAcceptShare = 0.5
	// drainPoll is the pause between two looks at what still runs.
	drainPollInterval = 50 * time.Millisecond
	// lastPart of the grace is left for closing down.
	shutdownShare = 0.12
)

// leaving refuses a stream that arrives when callers have had the time to go
// elsewhere, because the grace would end in the middle of it.
func (g *Gateway) refuseWhileStopping(q *request) *result.Error {
	if !g.stopping.Load() || q.route.Kind != routetable.Stream ||
		q.arrived.Sub(g.started)-time.Duration(g.stopStarted.Load()) < unreadyDelay {
		return nil
	}
	return result.New(result.Stopping, "this gateway is stopping").WithRetryAfter(minRetryDelay)
}

// drain serves what still arrives until nothing runs or the grace is over. The first
// server is that of the callers.
func (g *Gateway) drain(servers []*server) {
	start := time.Now()
	accepts := true
	stopAccepting := func() {
		if accepts {
			accepts = false
			if err := servers[0].ln.finish(); err != nil {
				g.log.Event(component, "listener not finished", eventlog.Error(err))
			}
		}
	}
	acceptUntil := max(unreadyDelay, time.Duration(maxAcceptShare*float64(g.settings().Grace)))
	g.stopStarted.Store(int64(start.Sub(g.started)))
	g.stopping.Store(true)
	end := start.Add(time.Duration((1 - shutdownShare) * float64(g.settings().Grace)))
	g.log.Event(component, "stopping", zap.Int("running", g.conns.running()), zap.Duration("graceMs", g.settings().Grace))
	for now := start; now.Before(end); now = time.Now() {
		if passed := now.Sub(start); passed >= unreadyDelay {
			// Callers go elsewhere with what they send next; nothing that was
			// read is dropped.
			g.CloseIdle(now)
			idle := g.conns.running() == 0
			if idle && !accepts {
				break
			}
			if idle || passed >= acceptUntil {
				stopAccepting()
			}
		}
		time.Sleep(drainPollInterval)
	}
	stopAccepting()
	g.log.Event(component, "drained", zap.Int("running", g.conns.running()), zap.Duration("tookMs", time.Since(start)))
	last, cancel := context.WithTimeout(context.Background(), time.Duration(shutdownShare/2*float64(g.settings().Grace)))
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(last); err != nil {
			g.log.Event(component, "cut at the end of the grace", zap.String("listener", s.ln.Addr().String()), eventlog.Error(err))
		}
	}
}
