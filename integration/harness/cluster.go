package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"tarragonbay.example/tarragonbay/internal/adminapi"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/history"
	"tarragonbay.example/tarragonbay/internal/ledger"
	"tarragonbay.example/tarragonbay/internal/ports/client"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
	"tarragonbay.example/tarragonbay/internal/standin/service"
)

// Spec says what a cluster is made of.
type Spec struct {
	// Entries and Agents are numbers of processes. Each agent stands before
	// one engine and one plain service.
	Entries, Agents int
	// Versions are served by every engine.
	Versions []string
	Engine   engine.Behaviour
	Service  service.Behaviour
	// Slots of each upstream.
	Slots int
	// ChecksFence is set for engines that check fencing numbers.
	ChecksFence bool
	// Edit changes the objects before they are published.
	Edit func(o *Objects)
	// LinkTLS turns mutual TLS between daemons on.
	LinkTLS bool
	// Limits are those in the settings of the daemons, where they differ from the defaults.
	Limits map[string]any
	// Descriptors bounds the files of each daemon, unless it is zero.
	Descriptors int
	// TableReads and TableWrites limit the table service, a second.
	TableReads, TableWrites float64
}

// Node is one daemon with the proxies on its links.
type Node struct {
	Proc *Proc
	// Link is the proxy before the daemon's link listener; nil for an entry.
	Link *Proxy
	// Platform is the proxy between the daemon and the platform.
	Platform *Proxy
	// Engine and Service are the proxies before an agent's upstreams.
	Engine, Service *Proxy
	// EngineProc and ServiceProc are an agent's upstreams.
	EngineProc, ServiceProc *Proc

	name     string
	role     string
	settings string
	// url is where callers reach an entry; they go on while it restarts.
	url atomic.Pointer[string]
	// admin is one client for each incarnation, since a daemon bounds the
	// connections of operators.
	admin *adminapi.Client
}

// Admin is a client of the daemon's admin listener.
func (n *Node) Admin() *adminapi.Client { return n.admin }

// URL is where callers reach an entry.
func (n *Node) URL() string { return *n.url.Load() }

// Name is the daemon's name.
func (n *Node) Name() string { return n.name }

// Cluster is a running product with its stand-ins.
type Cluster struct {
	T        testing.TB
	Platform *Proc
	Entries  []*Node
	Agents   []*Node
	Objects  *Objects
	// Direct are clients of the platform that go around every proxy.
	Direct *client.Client
	// History collects what callers see and what the test does.
	History *history.Memory
	// Faults counts the faults injected.
	Faults atomic.Int64

	// verified is set once the promises were checked.
	verified  bool
	dir       string
	limits    map[string]any
	files     int
	certs     *Certs
	publisher *publish.Publisher
}

// New starts a cluster and waits until every daemon is ready.
func New(t testing.TB, spec Spec) *Cluster {
	t.Helper()
	takeSlot(t)
	if len(spec.Versions) == 0 {
		spec.Versions = []string{"small@1"}
	}
	c := &Cluster{T: t, History: &history.Memory{}, dir: t.TempDir(), limits: spec.Limits, files: spec.Descriptors}
	if spec.LinkTLS {
		certs := NewCerts(t, c.dir)
		c.certs = &certs
	}
	c.Platform = startStandin(t, "platform", standinSpec{
		Kind: "platform", Limits: platformOptions{Reads: spec.TableReads, Writes: spec.TableWrites},
	})
	c.Direct = client.New(client.Options{BaseURL: "http://" + c.Platform.Ready.Address})
	c.publisher = publish.NewPublisher(publish.Store{Table: c.Direct.Table, Objects: c.Direct.Objects}, publish.PublisherOptions{})
	c.Objects = baseObjects(spec.Versions)
	for i := range spec.Agents {
		c.Agents = append(c.Agents, c.newAgent(i, spec))
	}
	if spec.Edit != nil {
		spec.Edit(c.Objects)
	}
	c.Publish()
	for i := range spec.Entries {
		c.Entries = append(c.Entries, c.newEntry(i))
	}
	c.WaitReady()
	t.Cleanup(c.checkFailed)
	return c
}

// domains are the failure domains of a cluster, taken in turn.
var domains = []string{"north", "south", "east"}

func (c *Cluster) newAgent(i int, spec Spec) *Node {
	c.T.Helper()
	name := fmt.Sprintf("host-%d", i)
	domain := domains[i%len(domains)]
	n := &Node{name: name, role: "agent"}
	n.EngineProc = startStandin(c.T, name+"-engine", standinSpec{Kind: "engine", Engine: engine.Options{
		Name: name + "-engine", Versions: spec.Versions, ChecksFence: spec.ChecksFence, Behaviour: spec.Engine,
	}})
	n.ServiceProc = startStandin(c.T, name+"-desk", standinSpec{Kind: "service", Service: serviceOptions{Name: Desk, Behaviour: spec.Service}})
	n.Engine = newProxy(c.T, name+"-engine", n.EngineProc.Ready.Address, &c.Faults)
	n.Service = newProxy(c.T, name+"-desk", n.ServiceProc.Ready.Address, &c.Faults)
	n.Platform = newProxy(c.T, name+"-platform", c.Platform.Ready.Address, &c.Faults)
	n.settings = c.writeSettings(n, domain, map[string]any{})
	n.Proc = c.startNode(n)
	n.Link = newProxy(c.T, name+"-link", n.Proc.Ready.Link, &c.Faults)
	slots := spec.Slots
	if slots == 0 {
		slots = 64
	}
	c.Objects.Upstreams[name+"-engine"] = &catalog.Upstream{
		Host: name, Domain: domain, Agent: n.Link.Address(), Address: n.Engine.Address(),
		Versions: spec.Versions, Slots: slots, ChecksFence: spec.ChecksFence,
	}
	c.Objects.Upstreams[name+"-desk"] = &catalog.Upstream{
		Host: name, Domain: domain, Agent: n.Link.Address(), Address: n.Service.Address(),
		Service: Desk, Slots: slots,
	}
	return n
}

func (c *Cluster) newEntry(i int) *Node {
	c.T.Helper()
	n := &Node{name: fmt.Sprintf("entry-%d", i), role: "entry"}
	n.Platform = newProxy(c.T, n.name+"-platform", c.Platform.Ready.Address, &c.Faults)
	n.settings = c.writeSettings(n, domains[i%len(domains)], map[string]any{
		"caller":      map[string]any{"listen": "127.0.0.1:0"},
		"sessionKeys": []map[string]string{{"name": "k1", "secret": "a-secret-of-the-tests-that-is-long-enough"}},
		"peers":       c.agentLinks(),
	})
	n.Proc = c.startNode(n)
	return n
}

func (c *Cluster) agentLinks() []string {
	var out []string
	for _, a := range c.Agents {
		out = append(out, a.Link.Address())
	}
	return out
}

func (c *Cluster) writeSettings(n *Node, domain string, more map[string]any) string {
	c.T.Helper()
	url := "http://" + n.Platform.Address()
	s := map[string]any{
		"role":   n.role,
		"name":   n.name,
		"domain": domain,
		"link":   c.linkSettings(),
		"admin":  map[string]any{"listen": "127.0.0.1:0"},
		"platform": map[string]any{
			"table": url, "objects": url, "hosts": url, "ratings": url, "weights": url,
		},
		"timeouts": map[string]any{"drain": "20s"},
		"log":      map[string]any{"level": "debug"},
	}
	if c.limits != nil {
		s["limits"] = c.limits
	}
	for k, v := range more {
		s[k] = v
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		c.T.Fatal(err)
	}
	path := filepath.Join(c.dir, n.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.T.Fatal(err)
	}
	return path
}

func (c *Cluster) linkSettings() map[string]any {
	link := map[string]any{"listen": "127.0.0.1:0"}
	if c.certs != nil {
		link["tls"] = map[string]string{
			"certFile": c.certs.CertFile, "keyFile": c.certs.KeyFile, "caFile": c.certs.CAFile,
		}
	}
	return link
}

func (c *Cluster) startNode(n *Node) *Proc {
	c.T.Helper()
	command := []string{nextBinary(c.T), n.role, "--settings", n.settings}
	if c.files > 0 {
		command = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, c.files)}, command...)
	}
	p := Start(c.T, n.name, nil, command[0], command[1:]...)
	n.admin = adminapi.NewClient(p.Ready.Admin, "")
	url := "http://" + p.Ready.Caller
	n.url.Store(&url)
	return p
}

// Restart starts a daemon again after it ended, as a new incarnation.
func (c *Cluster) Restart(n *Node) {
	c.T.Helper()
	n.Proc = c.startNode(n)
	if n.Link != nil {
		n.Link.Retarget(c.T, n.Proc.Ready.Link)
	}
}

// Publish publishes the objects as they stand and records the revision.
func (c *Cluster) Publish() uint64 {
	c.T.Helper()
	set := c.Objects.Set(c.T)
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	p, err := c.publisher.Publish(ctx, publish.Change{Author: "test", Want: set})
	if err != nil {
		c.T.Fatal(err)
	}
	c.History.Record(history.Event{Kind: history.Published, Revision: p.State.Revision, Config: configOf(c.Objects, p.State.Digest)})
	return p.State.Revision
}

func configOf(o *Objects, digest string) *history.Config {
	cfg := &history.Config{Allowed: map[string][]string{}, Hash: digest}
	for name, org := range o.Organisations {
		for v := range o.Versions {
			for _, allow := range org.Allow {
				if allow == v || allow == catalog.VersionName(v).Model() {
					cfg.Allowed[name] = append(cfg.Allowed[name], v)
				}
			}
		}
		cfg.Allowed[name] = append(cfg.Allowed[name], org.Services...)
	}
	for v, x := range o.Versions {
		if x.State == catalog.VersionWithdrawn {
			cfg.Withdrawn = append(cfg.Withdrawn, v)
		}
	}
	return cfg
}

// Status asks a daemon's admin listener what it says of itself.
func (c *Cluster) Status(n *Node) (adminapi.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	return n.admin.Status(ctx)
}

// settleTimeout bounds waiting for a condition. It fails a hang, not a slow
// machine.
const settleTimeout = 60 * time.Second

// Eventually waits until the condition holds.
func (c *Cluster) Eventually(what string, ok func() bool) {
	c.T.Helper()
	deadline := time.Now().Add(settleTimeout)
	for !ok() {
		for _, n := range c.Nodes() {
			if n.Proc.Crashed() {
				c.T.Fatalf("%s crashed while waiting for: %s", n.name, what)
			}
		}
		if time.Now().After(deadline) {
			c.T.Fatalf("not reached in %v: %s", settleTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Nodes returns every daemon.
func (c *Cluster) Nodes() []*Node {
	return append(append([]*Node(nil), c.Agents...), c.Entries...)
}

// WaitReady waits until every daemon is ready.
func (c *Cluster) WaitReady() {
	c.T.Helper()
	for _, n := range c.Nodes() {
		c.Eventually(n.name+" is ready", func() bool {
			s, err := c.Status(n)
			return err == nil && s.Ready
		})
	}
}

// WaitRevision waits until the revision is in force at the daemons, and
// records it.
func (c *Cluster) WaitRevision(revision uint64, nodes ...*Node) {
	c.T.Helper()
	for _, n := range nodes {
		c.Eventually(fmt.Sprintf("revision %d at %s", revision, n.name), func() bool {
			s, err := c.Status(n)
			return err == nil && s.Revision >= revision
		})
		c.History.Record(history.Event{
			Kind: history.InForce, Source: n.name, Revision: revision,
		})
	}
}

// SetEngine changes how an agent's engine answers.
func (c *Cluster) SetEngine(n *Node, b engine.Behaviour) {
	c.T.Helper()
	putJSON(c.T, "http://"+n.EngineProc.Ready.Address+"/admin/behaviour", b)
}

// SetService changes how an agent's plain service answers.
func (c *Cluster) SetService(n *Node, b service.Behaviour) {
	c.T.Helper()
	putJSON(c.T, "http://"+n.ServiceProc.Ready.Address+"/admin/behaviour", b)
}

// EngineRuns returns what the agent's engine ran.
func (c *Cluster) EngineRuns(n *Node) []engine.Run {
	c.T.Helper()
	var runs []engine.Run
	getJSON(c.T, "http://"+n.EngineProc.Ready.Address+"/admin/runs", &runs)
	return runs
}

// ServiceRuns returns what the agent's plain service ran.
func (c *Cluster) ServiceRuns(n *Node) []service.Run {
	c.T.Helper()
	var runs []service.Run
	getJSON(c.T, "http://"+n.ServiceProc.Ready.Address+"/admin/runs", &runs)
	return runs
}

// Copies returns an entry's counts of the charges that it keeps.
func (c *Cluster) Copies(n *Node) ledger.CopyCounts {
	c.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	dump, err := adminapi.NewClient(n.Proc.Ready.Admin, "").Dump(ctx)
	if err != nil {
		return ledger.CopyCounts{}
	}
	var counts ledger.CopyCounts
	for _, part := range dump.Parts {
		if part.Part == "copies" {
			if err := json.Unmarshal(part.State, &counts); err != nil {
				c.T.Fatal(err)
			}
		}
	}
	return counts
}
