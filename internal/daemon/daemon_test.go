package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// stage is a role that records in which order it is used.
type stage struct {
	daemon *Daemon
	// notReady is what ready returns.
	notReady error
	// left is what drain returns.
	left error
	// whileDraining runs inside drain.
	whileDraining func(ctx context.Context)
	more          []duty

	mu     sync.Mutex
	events []string
}

func (s *stage) note(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

func (s *stage) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

func (s *stage) mount(mux *http.ServeMux) {
	mux.HandleFunc("/here", func(http.ResponseWriter, *http.Request) {})
}

func (s *stage) duties() []duty {
	return append(s.more, duty{"watcher", func(ctx context.Context) error {
		s.note("watcher runs")
		<-ctx.Done()
		s.note("watcher ends")
		return errors.New("a duty that is told to end may return anything")
	}})
}

func (s *stage) ready() error { return s.notReady }

func (s *stage) drain(ctx context.Context) error {
	s.note("drain")
	if s.whileDraining != nil {
		s.whileDraining(ctx)
	}
	return s.left
}

func (s *stage) addresses(*Addresses) {}

// compose returns a daemon on loopback that plays the stage.
func compose(t *testing.T, s *stage) *Daemon {
	t.Helper()
	set := settings.Default(settings.RoleAgent)
	set.Link.Listen, set.Admin.Listen = "127.0.0.1:0", ""
	p := fake.New(fake.Options{})
	d, err := newDaemon(Options{Settings: set, LogTo: io.Discard, Ports: &Ports{
		Table: p.Table, Objects: p.Objects, Hosts: p.Hosts, Ratings: p.Ratings, Weights: p.Weights,
	}})
	if err != nil {
		t.Fatal(err)
	}
	s.daemon = d
	if err := d.setRole(s); err != nil {
		t.Fatal(err)
	}
	return d
}

// links reports whether the link listener answers.
func links(d *Daemon) bool {
	resp, err := http.Get("http://" + d.Addresses().Link + "/here")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestReadinessIsTheRolesUntilTheStop(t *testing.T) {
	s := &stage{notReady: result.New(result.NoConfiguration, "nothing yet")}
	d := compose(t, s)
	if st := d.status(); st.Ready || !strings.Contains(st.Reason, "nothing yet") || st.Leaving {
		t.Errorf("before the configuration: %+v", st)
	}
	s.notReady = nil
	if st := d.status(); !st.Ready || st.Reason != "" || d.Ready() != nil {
		t.Errorf("with a configuration: %+v", st)
	}
	d.Drain()
	d.Drain()
	if st := d.status(); st.Ready || !st.Leaving || !result.Is(d.Ready(), result.Stopping) {
		t.Errorf("while it stops: %+v", st)
	}
	if err := d.Run(t.Context()); err != nil {
		t.Error(err)
	}
}

// TestStopOrder stops a daemon by Drain and by the end of its context: work is
// drained while duties and the link still run, and with time left.
func TestStopOrder(t *testing.T) {
	for name, stop := range map[string]func(d *Daemon, cancel context.CancelFunc){
		"drain":   func(d *Daemon, _ context.CancelFunc) { d.Drain() },
		"context": func(_ *Daemon, cancel context.CancelFunc) { cancel() },
	} {
		s := &stage{}
		s.whileDraining = func(ctx context.Context) {
			if _, bounded := ctx.Deadline(); !bounded || ctx.Err() != nil {
				t.Errorf("%s: the drain has the context %v", name, ctx)
			}
			if !links(s.daemon) {
				t.Errorf("%s: the link is closed before the work is done", name)
			}
			if !result.Is(s.daemon.Ready(), result.Stopping) {
				t.Errorf("%s: ready while draining", name)
			}
		}
		d := compose(t, s)
		ctx, cancel := context.WithCancel(t.Context())
		s.more = []duty{
			{"brief", func(context.Context) error { return nil }},
			{"stopper", func(context.Context) error { stop(d, cancel); return nil }},
		}
		if err := d.Run(ctx); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
		got := s.seen()
		if !slices.Equal(slices.DeleteFunc(got, func(e string) bool { return e == "watcher runs" }), []string{"drain", "watcher ends"}) {
			t.Errorf("%s: %v", name, got)
		}
		if links(d) {
			t.Errorf("%s: the link answers after the stop", name)
		}
	}
}

func TestAPartThatFailsEndsTheProcess(t *testing.T) {
	s := &stage{}
	s.more = []duty{{"charges", func(context.Context) error { return result.New(result.Internal, "broken") }}}
	d := compose(t, s)
	err := d.Run(t.Context())
	if !result.Is(err, result.Internal) || !strings.Contains(err.Error(), "charges") {
		t.Errorf("got %v, want the failure with the name of the duty", err)
	}
	if got := s.seen(); !slices.Contains(got, "watcher ends") || slices.Contains(got, "drain") {
		t.Errorf("the other duties: %v", got)
	}
	if d.Ready() == nil || links(d) {
		t.Error("a process that failed goes on serving")
	}
}

func TestWorkThatIsLeftIsReported(t *testing.T) {
	s := &stage{left: result.New(result.Stopping, "3 requests were cut")}
	d := compose(t, s)
	d.Drain()
	if err := d.Run(t.Context()); !result.Is(err, result.Stopping) {
		t.Errorf("got %v", err)
	}
}

// TestEntryShowsItselfUnreadyFirst gives the balancer its time to look before
// an entry refuses anything.
func TestEntryShowsItselfUnreadyFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, err := telemetry.NewLog(io.Discard, "error")
		if err != nil {
			t.Fatal(err)
		}
		s := &stage{}
		d := &Daemon{
			settings: settings.Default(settings.RoleEntry), log: log, role: s,
			draining: make(chan struct{}), linkServer: &http.Server{ReadHeaderTimeout: time.Second},
		}
		d.Drain()
		done := make(chan error, 1)
		go func() { done <- d.shutDown(t.Context()) }()
		time.Sleep(unreadyFor - time.Millisecond)
		synctest.Wait()
		if len(s.seen()) != 0 || !result.Is(d.Ready(), result.Stopping) {
			t.Errorf("before the time: %v, %v", s.seen(), d.Ready())
		}
		if err := <-done; err != nil || !slices.Equal(s.seen(), []string{"drain"}) {
			t.Errorf("after it: %v, %v", s.seen(), err)
		}
	})
}
