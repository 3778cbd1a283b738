package adminapi

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/telemetry"
)

// daemon is a handler around state that the test changes.
type daemon struct {
	status Status
	set    *catalog.Set
	drains int
	addr   string
}

func newDaemon(t *testing.T, keyHash string) *daemon {
	t.Helper()
	log, err := telemetry.NewLog(&bytes.Buffer{}, "info")
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{status: Status{Name: "e1", Role: "entry", Revision: 4, Ready: true}}
	dumps := &telemetry.Dumps{}
	dumps.Register("route", telemetry.DumperFunc(func() any { return []int{1, 2} }))
	metrics := telemetry.NewMetrics()
	metrics.Counter("entry", "requests").Inc(3)
	server := httptest.NewServer(NewHandler(Options{
		KeyHash: keyHash, Log: log, Metrics: metrics, Dumps: dumps,
		Status: func() Status { return d.status },
		Config: func() (*catalog.Set, uint64) { return d.set, d.status.Revision },
		Drain:  func() { d.drains++ },
	}))
	t.Cleanup(server.Close)
	d.addr = server.Listener.Addr().String()
	return d
}

func TestClientReadsWhatTheDaemonSays(t *testing.T) {
	ctx := context.Background()
	d := newDaemon(t, "")
	c := NewClient(d.addr, "")
	if s, err := c.Status(ctx); err != nil || s != d.status {
		t.Errorf("status %+v %v", s, err)
	}
	dump, err := c.Dump(ctx)
	if err != nil || len(dump.Parts) != 1 || dump.Parts[0].Part != "route" {
		t.Errorf("dump %+v %v", dump, err)
	}
	var text strings.Builder
	if err := c.Metrics(ctx, &text); err != nil || !strings.Contains(text.String(), "tarragonbay_entry_requests_total 3") {
		t.Errorf("metrics %q %v", text.String(), err)
	}
	if err := c.SetLogLevel(ctx, "debug"); err != nil {
		t.Error(err)
	}
	if level, err := c.LogLevel(ctx); err != nil || level != "debug" {
		t.Errorf("level %q %v", level, err)
	}
	if err := c.SetLogLevel(ctx, "loud"); !result.Is(err, result.BadField) {
		t.Errorf("a wrong level got %v", err)
	}
	if err := c.Drain(ctx); err != nil || d.drains != 1 {
		t.Errorf("drain %v, %d calls", err, d.drains)
	}
}

func TestKeyGuardsAllButHealth(t *testing.T) {
	d := newDaemon(t, catalog.HashKey("secret"))
	for _, key := range []string{"", "wrong"} {
		c := NewClient(d.addr, key)
		if _, err := c.Dump(context.Background()); !result.Is(err, result.AdminKeyRefused) {
			t.Errorf("key %q: dump got %v", key, err)
		}
		if err := c.Drain(context.Background()); !result.Is(err, result.AdminKeyRefused) || d.drains != 0 {
			t.Errorf("key %q: drain got %v", key, err)
		}
	}
	if _, err := NewClient(d.addr, "secret").Dump(context.Background()); err != nil {
		t.Error(err)
	}
	if got := get(t, d.addr, PathHealth); got != http.StatusOK {
		t.Errorf("health without a key got %d", got)
	}
}

func get(t *testing.T, addr, path string) int {
	t.Helper()
	res, err := http.Get("http://" + addr + path)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	return res.StatusCode
}

func TestReadinessFollowsTheStatus(t *testing.T) {
	d := newDaemon(t, "")
	if got := get(t, d.addr, PathReady); got != http.StatusOK {
		t.Errorf("ready got %d", got)
	}
	d.status.Ready, d.status.Reason = false, "no configuration"
	if got := get(t, d.addr, PathReady); got != http.StatusServiceUnavailable {
		t.Errorf("not ready got %d", got)
	}
}

func TestDaemonThatIsAwayIsANumberedError(t *testing.T) {
	d := newDaemon(t, "")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := NewClient(d.addr, "").Status(ctx); !result.Is(err, result.AdminAway) {
		t.Errorf("got %v", err)
	}
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	if _, err := NewClient(other.Listener.Addr().String(), "").Status(context.Background()); !result.Is(err, result.AdminAway) {
		t.Errorf("got %v", err)
	}
}

func TestConfigComesBackAsTheSameSet(t *testing.T) {
	d := newDaemon(t, "")
	c := NewClient(d.addr, "")
	if _, err := c.Config(context.Background()); !result.Is(err, result.NoConfiguration) {
		t.Errorf("before the first configuration: %v", err)
	}
	set, err := catalog.NewSet([]catalog.Object{
		{Key: catalog.Key{Kind: catalog.KindModel, Name: "m"}, Spec: []byte(`{"qualityTarget":0.5}`)},
		{Key: catalog.Key{Kind: catalog.KindVersion, Name: "m@1"}, Spec: []byte(`{"inputMicros":1,"outputMicros":2}`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.set = set
	got, err := c.Config(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	again, err := got.Set()
	if err != nil || again.Digest() != set.Digest() || got.Revision != 4 {
		t.Errorf("revision %d, %v", got.Revision, err)
	}
}
