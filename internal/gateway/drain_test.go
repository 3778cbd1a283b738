package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/graceperiod"
	"tarragonbay.example/tarragonbay/internal/lastaccept"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// laggingListener returns connections late, as on a machine that is short of processor time.
type laggingListener struct{ *net.TCPListener }

const acceptLag = 100 * time.Millisecond

func (l laggingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		time.Sleep(acceptLag)
	}
	return c, err
}

// TestConnectionAcceptedAsTheStopEndsIsCut: a connection that is accepted just before
// accepting ends gets the rest of the grace period for its request.
func TestConnectionAcceptedAsTheStopEndsIsCut(t *testing.T) {
	g := newTestGateway()
	g.currentSettings.Store(&settings.Gateway{Grace: 8 * time.Second})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepts := lastaccept.New(laggingListener{inner.(*net.TCPListener)})
	callers := &server{ln: accepts, admitted: accepts, http: &http.Server{
		ReadHeaderTimeout: headerTimeout, ConnState: g.conns.stateChanged, ConnContext: g.conns.connContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1500 * time.Millisecond)
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "answer") // a failure shows at the client
		}),
	}}
	served, drained := make(chan error, 1), make(chan struct{})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { served <- callers.serve(ctx) }()
	go func() {
		g.drain([]*server{callers})
		close(drained)
	}()
	for !callers.ln.Finishing() {
		time.Sleep(time.Millisecond)
	}
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "answer" {
		t.Errorf("body %q, %v", body, err)
	}
	<-drained
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestRequestReadAsTheStopClosesConnections: a request whose connection a stop has closed is
// not forwarded, and no connection is closed under a request.
func TestRequestReadAsTheStopClosesConnections(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		states []http.ConnState
		closes bool
	}{
		{"idle", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, true},
		{"request running", []http.ConnState{http.StateNew, http.StateActive}, false},
		{"request expected", []http.ConnState{http.StateNew}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newConnTracker()
			conn, _ := connPair(t)
			for _, s := range c.states {
				tr.stateChanged(conn, s)
			}
			if got := tr.closeAll(now); got != c.closes {
				t.Errorf("closed %v, want %v", got, c.closes)
			}
			tr.stateChanged(conn, http.StateActive) // its request has been read meanwhile
			if got := tr.alive(tr.connContext(t.Context(), conn)); got == c.closes {
				t.Errorf("alive %v", got)
			}
		})
	}
}

// TestRequestsRefusedInAStop: only what no upstream may have run is refused, so that 503
// stays a promise.
func TestRequestsRefusedInAStop(t *testing.T) {
	start := time.Now()
	late := start.Add(4 * time.Second)
	once := &routetable.Route{Kind: routetable.Once, MaxAttempts: 2}
	for _, c := range []struct {
		name       string
		stops, due bool
		route      *routetable.Route
		left       time.Duration
		mayHaveRun bool
		want       bool
	}{
		{"no stop", false, false, once, 6 * time.Second, false, false},
		{"does not fit", true, false, once, 6 * time.Second, false, true},
		{"fits", true, false, once, 3 * time.Second, false, false},
		{"its first attempt fits", true, false, plainRoute, 6 * time.Second, false, false},
		{"its first attempt does not fit", true, false, plainRoute, 9 * time.Second, false, true},
		{"repeat of what may have run", true, false, plainRoute, 9 * time.Second, true, false},
		{"answers are due", true, true, plainRoute, time.Second, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway()
			if plan := graceperiod.New(start, 8*time.Second); c.stops {
				g.stopPlan.Store(&plan)
			}
			if c.due {
				g.endRequests()
			}
			q := &request{deadline: late.Add(c.left), route: c.route, mayHaveRun: c.mayHaveRun}
			if got := g.refuseWhileStopping(q, late) != nil; got != c.want {
				t.Errorf("refused %v, want %v", got, c.want)
			}
		})
	}
}
