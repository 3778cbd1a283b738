package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/integration/harness"
	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/ports/client"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
)

// Names of the host and the key of a measured path.
const (
	host = "host-0"
	key  = "bench-key"
)

// versions returns the names of the first n versions of the one model.
func versions(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("small@%d", i+1))
	}
	return out
}

// slots of the engine; the path is never held back by them.
const slots = 8192

// startTimeout bounds the time until all daemons are ready.
const startTimeout = 30 * time.Second

// objects is a configuration as the catalog reads it.
type objects []catalog.Object

func (o *objects) add(t testing.TB, kind catalog.Kind, name string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	spec, err := catalog.Canonical(data)
	if err != nil {
		t.Fatal(err)
	}
	*o = append(*o, catalog.Object{Key: catalog.Key{Kind: kind, Name: name}, Spec: spec})
}

// configuration returns a set with the first n versions.
func configuration(t testing.TB, n int, upstreams map[string]*catalog.Upstream) *catalog.Set {
	t.Helper()
	var all objects
	all.add(t, catalog.KindOrganisation, "alpha", catalog.Organisation{
		Keys: []string{catalog.HashKey(key)}, Allow: []string{"small"},
	})
	all.add(t, catalog.KindModel, "small", catalog.Model{QualityTarget: 0.8})
	for _, v := range versions(n) {
		all.add(t, catalog.KindVersion, v, catalog.Version{InputMicros: 1, OutputMicros: 2, PriorQuality: 0.95})
	}
	for name, u := range upstreams {
		all.add(t, catalog.KindUpstream, name, u)
	}
	set, err := catalog.NewSet(all)
	if err != nil {
		t.Fatal(err)
	}
	if faults := set.Check(); len(faults) > 0 {
		t.Fatalf("the configuration has faults: %v", faults)
	}
	return set
}

// upstreamAt is an engine with the first n versions and enough slots for any
// load.
func upstreamAt(host, agent, address string, n int) *catalog.Upstream {
	return &catalog.Upstream{
		Host: host, Domain: "north", Agent: agent, Address: address,
		Versions: versions(n), Slots: slots,
	}
}

// store is the platform stand-in of one run.
type store struct {
	url       string
	publisher *publish.Publisher
}

func newStore(t testing.TB) *store {
	t.Helper()
	url := "http://" + harness.StartPlatform(t).Ready.Address
	c := client.New(client.Options{BaseURL: url})
	return &store{
		url:       url,
		publisher: publish.NewPublisher(publish.Store{Table: c.Table, Objects: c.Objects}, publish.PublisherOptions{}),
	}
}

// publish puts a configuration in force.
func (s *store) publish(t testing.TB, set *catalog.Set) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if _, err := s.publisher.Publish(ctx, publish.Change{Author: "bench", Want: set}); err != nil {
		t.Fatal(err)
	}
}

// platformSettings, listener and the like are the parts of a settings file.
type (
	platformSettings struct {
		Table   string `json:"table"`
		Objects string `json:"objects"`
		Hosts   string `json:"hosts"`
		Ratings string `json:"ratings"`
		Weights string `json:"weights"`
	}
	listener struct {
		Listen string `json:"listen"`
	}
	logLevel struct {
		Level string `json:"level"`
	}
	sessionKey struct {
		Name   string `json:"name"`
		Secret string `json:"secret"`
	}
	daemonSettings struct {
		Role        string           `json:"role"`
		Name        string           `json:"name"`
		Domain      string           `json:"domain"`
		Link        listener         `json:"link"`
		Admin       listener         `json:"admin"`
		Caller      *listener        `json:"caller,omitempty"`
		Platform    platformSettings `json:"platform"`
		Log         logLevel         `json:"log"`
		SessionKeys []sessionKey     `json:"sessionKeys,omitempty"`
	}
)

// settingsFile writes the settings of a daemon with defaults for all limits.
func (s *store) settingsFile(t testing.TB, role, name string) string {
	t.Helper()
	local := listener{Listen: "127.0.0.1:0"}
	d := daemonSettings{
		Role: role, Name: name, Domain: "north", Link: local, Admin: local,
		Platform: platformSettings{s.url, s.url, s.url, s.url, s.url},
		Log:      logLevel{"info"},
	}
	if role == "entry" {
		d.Caller = &local
		d.SessionKeys = []sessionKey{{"k1", "a-secret-of-the-bench-that-is-long-enough"}}
	}
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// daemon starts a process of the role. It may not be ready before a
// configuration is in force.
func (s *store) daemon(t testing.TB, role, name string) *harness.Proc {
	t.Helper()
	return harness.Start(t, name, nil, harness.Binary(t), role, "--settings", s.settingsFile(t, role, name))
}

// waitReady waits until the daemon says that it takes work.
func waitReady(t testing.TB, p *harness.Proc) {
	t.Helper()
	admin := adminapi.NewClient(p.Ready.Admin, "")
	eventually(t, p.Name+" is ready", func() error {
		status, err := admin.Status(t.Context())
		if err == nil && !status.Ready {
			return errors.New(status.Reason)
		}
		return err
	})
}

// eventually waits until the check passes.
func eventually(t testing.TB, what string, check func() error) {
	t.Helper()
	limit := time.NewTimer(startTimeout)
	defer limit.Stop()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-tick.C:
		case <-limit.C:
			t.Fatalf("%s: not in %v: %v", what, startTimeout, err)
		}
	}
}

// path is one entry before one agent before one engine.
type path struct {
	store                *store
	engine, agent, entry *harness.Proc
}

func newPath(t testing.TB, b engine.Behaviour, n int) *path {
	t.Helper()
	p := &path{store: newStore(t)}
	p.engine = harness.StartEngine(t, engine.Options{Name: "engine", Versions: versions(n), Behaviour: b})
	p.agent = p.store.daemon(t, "agent", host)
	p.store.publish(t, configuration(t, n, map[string]*catalog.Upstream{
		"engine-0": upstreamAt(host, p.agent.Ready.Link, p.engine.Ready.Address, n),
	}))
	p.entry = p.store.daemon(t, "entry", "entry-0")
	waitReady(t, p.agent)
	waitReady(t, p.entry)
	return p
}

// through and direct are where a chat is sent.
func (p *path) through() target { return newTarget(p.entry.Ready.Caller, "small") }
func (p *path) direct() target  { return newTarget(p.engine.Ready.Address, versions(1)[0]) }
