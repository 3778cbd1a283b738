// Package dev runs an entry, agents and stand-ins of the platform, the engines
// and the plain services in one process on loopback. It is for trying the
// product out; the roles and the links between them are the real ones.
package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"io/fs"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/examples"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/daemon"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/ports/fake"
	"tarragonbay.example/tarragonbay/internal/publish"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/settings"
	"tarragonbay.example/tarragonbay/internal/standin/engine"
	platformstandin "tarragonbay.example/tarragonbay/internal/standin/platform"
	"tarragonbay.example/tarragonbay/internal/standin/service"
)

// Options configure the development mode.
type Options struct {
	// Config is the folder of the configuration.
	Config fs.FS
	// Listen is the callers' address, IP:port; port 0 picks a free one.
	Listen string
	// LogTo receives the logs of all parts.
	LogTo io.Writer
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Ready is the line of JSON printed once callers are served.
type Ready struct {
	Ready    bool     `json:"ready"`
	URL      string   `json:"url"`
	Key      string   `json:"key"`
	Models   []string `json:"models"`
	Cascades []string `json:"cascades"`
	// Admin is the entry's admin listener, and Platform the stand-in of the
	// platform, both for tarragonctl.
	Admin    string `json:"admin"`
	Platform string `json:"platform"`
}

// Dev is the running whole.
type Dev struct {
	options  Options
	set      *catalog.Set
	platform *fake.Platform
	servers  []server
	// links are the open link listeners of the agents, by host.
	links  map[string]net.Listener
	agents []*daemon.Daemon
	entry  *daemon.Daemon
	ready  Ready
}

// server is one stand-in and its listener.
type server struct {
	listener net.Listener
	handler  http.Handler
}

// New checks the configuration, starts the stand-ins' listeners, publishes the
// configuration with their addresses and composes the daemons.
func New(ctx context.Context, o Options) (*Dev, error) {
	set, err := load(o.Config)
	if err != nil {
		return nil, err
	}
	d := &Dev{options: o, platform: fake.New(fake.Options{Judge: judge})}
	if err := d.compose(ctx, set); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// judge rates an answer of the engine stand-in.
func judge(s ports.Sample) bool { return !strings.Contains(s.Answer, "wrong") }

func load(fsys fs.FS) (*catalog.Set, error) {
	src, err := catalog.Load(fsys)
	if err != nil {
		return nil, result.Wrap(err, result.ReadFailed, "the configuration cannot be read")
	}
	set, faults := src.Check()
	if len(faults) > 0 {
		lines := make([]string, len(faults))
		for i, f := range faults {
			lines[i] = f.String()
		}
		return nil, result.New(result.CheckFailed, "%d faults in the configuration:\n%s", len(faults), strings.Join(lines, "\n"))
	}
	return set, nil
}

func (d *Dev) compose(ctx context.Context, set *catalog.Set) error {
	platformURL, err := d.listenPlatform()
	if err != nil {
		return err
	}
	if err := d.listenLinks(set); err != nil {
		return err
	}
	if d.set, err = d.place(set); err != nil {
		return err
	}
	publisher := publish.NewPublisher(publish.Store{Table: d.platform.Table, Objects: d.platform.Objects}, publish.PublisherOptions{})
	if _, err := publisher.Publish(ctx, publish.Change{Author: "dev", Want: d.set}); err != nil {
		return err
	}
	if err := d.composeAgents(platformURL); err != nil {
		return err
	}
	return d.composeEntry(platformURL)
}

func (d *Dev) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	d.servers = append(d.servers, server{listener: l, handler: h})
	return l.Addr().String(), nil
}

func (d *Dev) listenPlatform() (string, error) {
	addr, err := d.listen(platformstandin.New(d.platform).Handler())
	return "http://" + addr, err
}

// listenLinks opens the link listener of the agent of each host.
func (d *Dev) listenLinks(set *catalog.Set) error {
	d.links = map[string]net.Listener{}
	for _, u := range set.Upstreams {
		if d.links[u.Host] != nil {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		d.links[u.Host] = l
	}
	return nil
}

// place starts a stand-in for each upstream and returns the set with their
// addresses.
func (d *Dev) place(set *catalog.Set) (*catalog.Set, error) {
	objects := set.Objects()
	for i, o := range objects {
		if o.Key.Kind != catalog.KindUpstream {
			continue
		}
		u := *set.Upstreams[o.Key.Name]
		addr, err := d.listen(standin(o.Key.Name, &u))
		if err != nil {
			return nil, err
		}
		u.Agent = d.links[u.Host].Addr().String()
		u.Address = addr
		if objects[i].Spec, err = encode(u); err != nil {
			return nil, err
		}
		d.platform.Hosts.Put(ports.HostState{Name: u.Host, Domain: u.Domain, Address: u.Agent})
	}
	return catalog.NewSet(objects)
}

func encode(u catalog.Upstream) (json.RawMessage, error) {
	data, err := json.Marshal(u)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return catalog.Canonical(data)
}

// Pace of the stand-ins, in milliseconds.
const (
	firstTokenMs = 60
	tokenMs      = 10
	answerTokens = 24
	serviceMs    = 5
)

func standin(name string, u *catalog.Upstream) http.Handler {
	if u.Service != "" {
		return service.New(u.Service, service.Behaviour{DelayMs: serviceMs}).Handler()
	}
	return engine.New(engine.Options{
		Name:        name,
		Versions:    u.Versions,
		ChecksFence: u.ChecksFence,
		Behaviour:   engine.Behaviour{FirstTokenMs: firstTokenMs, TokenMs: tokenMs, Tokens: answerTokens},
	}).Handler()
}

func (d *Dev) settings(role settings.Role, platformURL string) settings.Settings {
	s := settings.Default(role)
	s.Platform = settings.Platform{
		Table: platformURL, Objects: platformURL, Hosts: platformURL,
		Ratings: platformURL, Weights: platformURL,
	}
	s.Link.Listen = "127.0.0.1:0"
	s.Admin.Listen = ""
	if d.options.LogLevel != "" {
		s.Log.Level = d.options.LogLevel
	}
	return s
}

func (d *Dev) composeAgents(platformURL string) error {
	domains := map[string]string{}
	for _, u := range d.set.Upstreams {
		domains[u.Host] = u.Domain
	}
	for host, l := range d.links {
		s := d.settings(settings.RoleAgent, platformURL)
		s.Name = host
		s.Domain = domains[host]
		a, err := daemon.NewAgent(daemon.Options{Settings: s, LogTo: d.options.LogTo, Link: l})
		if err != nil {
			return err
		}
		d.agents = append(d.agents, a)
	}
	return nil
}

func (d *Dev) composeEntry(platformURL string) error {
	s := d.settings(settings.RoleEntry, platformURL)
	s.Name = "entry-dev"
	s.Domain = d.firstDomain()
	s.Caller.Listen = d.options.Listen
	s.Admin.Listen = "127.0.0.1:0"
	s.SessionKeys = []settings.SessionKey{{Name: "dev", Secret: uuid.NewString() + uuid.NewString()}}
	e, err := daemon.NewEntry(daemon.Options{Settings: s, LogTo: d.options.LogTo})
	if err != nil {
		return err
	}
	d.entry = e
	at := e.Addresses()
	d.ready = Ready{
		Ready:    true,
		URL:      "http://" + at.Caller,
		Key:      d.key(),
		Models:   names(d.set.Models),
		Cascades: names(d.set.Cascades),
		Admin:    at.Admin,
		Platform: platformURL,
	}
	return nil
}

func (d *Dev) firstDomain() string {
	var domains []string
	for _, u := range d.set.Upstreams {
		domains = append(domains, u.Domain)
	}
	if len(domains) == 0 {
		return "local"
	}
	return slices.Min(domains)
}

// key returns the caller key of the first organisation that has a known one.
func (d *Dev) key() string {
	for _, name := range names(d.set.Organisations) {
		key := examples.DevKey(name)
		if holder, _, ok := d.set.OrganisationByKey(key); ok && holder == name {
			return key
		}
	}
	return ""
}

func names[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Ready returns what is printed once callers are served.
func (d *Dev) Ready() Ready { return d.ready }

// readyPoll is the pause between two looks at the entry's state.
const readyPoll = 10 * time.Millisecond

// Run serves until ctx ends, then stops the entry first and the agents after
// it. onReady is called once, when callers are served.
func (d *Dev) Run(ctx context.Context, onReady func(Ready)) error {
	inner, stopInner := context.WithCancel(context.WithoutCancel(ctx))
	defer stopInner()
	var group sync.WaitGroup
	errs := make(chan error, len(d.servers)+len(d.agents)+1)
	for _, s := range d.servers {
		go func() { _ = http.Serve(s.listener, s.handler) }()
	}
	for _, a := range d.agents {
		group.Go(func() { errs <- a.Run(inner) })
	}
	go d.waitReady(ctx, onReady)
	errs <- d.entry.Run(ctx)
	for _, a := range d.agents {
		a.Drain()
	}
	group.Wait()
	d.closeListeners()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Dev) waitReady(ctx context.Context, onReady func(Ready)) {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for !d.allReady() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	onReady(d.ready)
}

func (d *Dev) allReady() bool {
	for _, x := range append(slices.Clone(d.agents), d.entry) {
		if x.Ready() != nil {
			return false
		}
	}
	return true
}

func (d *Dev) closeListeners() {
	for _, s := range d.servers {
		s.listener.Close()
	}
	for _, l := range d.links {
		l.Close()
	}
}

// Line returns the ready line without a line end.
func (r Ready) Line() string {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(r); err != nil {
		return "{}"
	}
	return strings.TrimSpace(b.String())
}
