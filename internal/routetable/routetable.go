// Package routetable indexes one version of the routing configuration: routes by
// host and longest path prefix, services by name, and organisations by API key. A
// Table is immutable, so a request that keeps its Table sees one version throughout.
package routetable

import (
	"net"
	"slices"
	"strings"
	"time"

	"tarragonbay.example/tarragonbay/internal/warmup"
)

// Kind says whether requests of a route may run more than once and whether they are streams.
type Kind uint8

// The kinds of routes.
const (
	// Once requests run at most once for each attempt of the caller.
	Once Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests receive a stream of events as the response.
	Stream
)

// WeightedService is a service and its weight in a route's traffic.
type WeightedService struct {
	Service string
	Weight  int
}

// Route directs the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// Target is the time within which a response, or the first event of a
	// stream, has its full benefit.
	Target time.Duration
	// MaxEventGap is the longest interval between two events of a stream that counts as on time.
	MaxEventGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Models lists the models to choose from, smallest first.
	Models []string
	// Services share the route's traffic by weight.
	Services []WeightedService
	// MaxAttempts bounds the upstreams one request is sent to.
	MaxAttempts int
	// Anonymous is true if requests of the route need no API key.
	Anonymous bool
	// Resumable is true if a stream may be continued on another upstream.
	Resumable bool
}

// By the platform's protocol, callers wait for the next event of a stream for the longest
// of minEventTimeout, timeoutTargets times Target and timeoutGaps times MaxEventGap.
const (
	minEventTimeout = 2 * time.Second
	timeoutTargets  = 4
	timeoutGaps     = 8
)

// EventTimeout returns how long callers wait for the next event of a stream, including the
// first one, before they disconnect.
func (r *Route) EventTimeout() time.Duration {
	return max(minEventTimeout, timeoutTargets*r.Target, timeoutGaps*r.MaxEventGap)
}

// Repeats reports whether a request of the route may run more than once.
func (r *Route) Repeats() bool { return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable) }

// Pick returns the service for a random number u in [0, 1), by weight. It returns "" if no
// service has a weight.
func (r *Route) Pick(u float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := u * float64(total)
	for _, s := range r.Services {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// OrganisationNamed returns the organisation of a name, or nil.
func (t *Table) OrganisationNamed(name string) *Organisation {
	for i := range t.spec.Organisations {
		if t.spec.Organisations[i].Name == name {
			return &t.spec.Organisations[i]
		}
	}
	return nil
}

// Service is a named pool of upstreams.
type Service struct {
	Name string
	// MaxConns bounds the connections of all callers to one upstream.
	MaxConns int
	// Slots is the number of requests that an engine runs concurrently. It is zero for
	// a plain service, whose upstreams report their own.
	Slots int
	// MemoryTokens is the memory of one engine in tokens.
	MemoryTokens int
	// WarmUp is how the upstreams warm up after a start.
	WarmUp warmup.Policy
}

// Organisation owns API keys and may have a rank of its own.
type Organisation struct {
	Name string
	Keys []string
	// Rank overrides the rank of routes; it is negative if the organisation has no rank.
	Rank int
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec is the routing configuration as published.
type Spec struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is an indexed Spec.
type Table struct {
	spec     Spec
	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Organisation
}

// New returns the index of a configuration.
func New(s Spec) *Table {
	t := &Table{
		spec:     s,
		byHost:   map[string][]*Route{},
		services: map[string]*Service{},
		keys:     map[string]*Organisation{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Organisations {
		o := &s.Organisations[i]
		for _, k := range o.Keys {
			t.keys[k] = o
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the limits on requests and connections of callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Routes returns the routes in published order.
func (t *Table) Routes() []Route { return t.spec.Routes }

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest prefix of the path, or nil. It
// ignores a port in host.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether any organisation is configured, so that requests need API keys.
func (t *Table) RequiresKeys() bool { return len(t.spec.Organisations) > 0 }

// OrganisationByKey returns the organisation that owns the API key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation { return t.keys[key] }
