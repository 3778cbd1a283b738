package membership

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
)

// Reporter sends a heartbeat to an agent. An error means that a pooled and a
// new connection were both tried.
type Reporter interface {
	Report(ctx context.Context, address string, req *linkv1.ReportRequest) (*linkv1.ReportResponse, error)
}

// Options configure a Runner.
type Options struct {
	Settings Settings
	Reporter Reporter
	// Hosts is the platform's host list; nil leaves it out.
	Hosts ports.Hosts
	// OnEvent is called for each change of a host. It must not block or call
	// the Runner.
	OnEvent func(Event)
	// OnReport is called for each response to a heartbeat. It must not block.
	OnReport func(host Host, r *linkv1.ReportResponse)
	Log      *zap.Logger
}

// Limits of the runner.
const (
	// maxHeartbeatsInFlight bounds the heartbeats in flight.
	maxHeartbeatsInFlight = 8
	// wireOverhead is the bytes of HTTP around one heartbeat.
	wireOverhead = 400
)

// Runner keeps a View up to date. It is safe for concurrent use.
type Runner struct {
	options    Options
	probeSlots chan struct{}
	wake       chan struct{}

	mu    sync.Mutex
	view  *View
	stats Stats
	// lastReports holds the last response of each host, to detect changes.
	lastReports map[string]*linkv1.ReportResponse
}

// Stats counts heartbeats, reads of the host list and their bytes.
type Stats struct {
	Heartbeats uint64 `json:"heartbeats"`
	Failures   uint64 `json:"failures"`
	// Bytes of heartbeats and of reads of the host list, both ways.
	Bytes     uint64 `json:"bytes"`
	ListReads uint64 `json:"listReads"`
	// Notified counts the hosts that were notified of a change in the host list.
	Notified uint64 `json:"told"`
	// ListError is why the host list could not be read last; empty when it
	// could.
	ListError string `json:"listError,omitempty"`
}

// NewRunner returns a runner that knows no host until SetCatalog.
func NewRunner(o Options) *Runner {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.OnEvent == nil {
		o.OnEvent = func(Event) {}
	}
	if o.OnReport == nil {
		o.OnReport = func(Host, *linkv1.ReportResponse) {}
	}
	return &Runner{
		options:     o,
		probeSlots:  make(chan struct{}, maxHeartbeatsInFlight),
		wake:        make(chan struct{}, 1),
		view:        NewView(o.Settings),
		lastReports: map[string]*linkv1.ReportResponse{},
	}
}

// SetCatalog applies the hosts of a new revision.
func (r *Runner) SetCatalog(set *catalog.Set) {
	byName := map[string]Host{}
	for _, u := range set.Upstreams {
		byName[u.Host] = Host{Name: u.Host, Domain: u.Domain, Agent: u.Agent}
	}
	hosts := make([]Host, 0, len(byName))
	for _, h := range byName {
		hosts = append(hosts, h)
	}
	r.mu.Lock()
	r.view.SetHosts(hosts, time.Now())
	maps.DeleteFunc(r.lastReports, func(host string, _ *linkv1.ReportResponse) bool {
		_, stays := byName[host]
		return !stays
	})
	r.mu.Unlock()
	r.wakeRun()
}

// RecordResponse records a host's response to a request, which makes a heartbeat
// unnecessary. sentAt is when the request was sent.
func (r *Runner) RecordResponse(host string, incarnation uint64, leaving bool, sentAt time.Time) {
	b := Observation{SentAt: sentAt, Incarnation: incarnation, Leaving: leaving}
	r.apply(func(v *View, now time.Time) []Event { return v.RecordResponse(host, b, now) })
}

// RecordRequestFailure records that a host could not be reached for a request. The host is
// probed soon, and becomes silent only if the probe fails as well.
func (r *Runner) RecordRequestFailure(host string) {
	r.apply(func(v *View, now time.Time) []Event {
		v.RecordRequestFailure(host, now)
		return nil
	})
	r.wakeRun()
}

// apply changes the view, then logs and emits the events in order.
func (r *Runner) apply(change func(*View, time.Time) []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range change(r.view, time.Now()) {
		r.options.Log.Info("membership: host "+e.Kind.String(), zap.String("host", e.Host.Name))
		r.options.OnEvent(e)
	}
}

func (r *Runner) wakeRun() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Dump returns every host and the counters.
func (r *Runner) Dump() ([]HostStatus, Stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Dump(), r.stats
}

// Run sends heartbeats and reads the host list until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if r.options.Hosts != nil {
		tasks.Go(func() { _ = r.listWatch().Run(ctx) })
	}
	for {
		probe, at, ok := r.next()
		if ok {
			select {
			case r.probeSlots <- struct{}{}:
				tasks.Go(func() {
					defer func() { <-r.probeSlots }()
					r.sendHeartbeat(ctx, probe.Host)
				})
			case <-ctx.Done():
				return nil
			}
			continue
		}
		if !r.waitUntil(ctx, at) {
			return nil
		}
	}
}

func (r *Runner) next() (Probe, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Next(time.Now())
}

// waitUntil returns false when the context ended.
func (r *Runner) waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.wake:
	case <-ctx.Done():
		return false
	}
	return true
}

// sendHeartbeat sends one heartbeat and records its result.
func (r *Runner) sendHeartbeat(ctx context.Context, host Host) {
	sentAt := time.Now()
	req := &linkv1.ReportRequest{}
	resp, err := r.options.Reporter.Report(ctx, host.Agent, req)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.count(func(s *Stats) { s.Heartbeats++; s.Failures++; s.Bytes += wireOverhead })
		r.apply(func(v *View, now time.Time) []Event { return v.RecordHeartbeatFailure(host.Name, now) })
		return
	}
	bytes := proto.Size(req) + proto.Size(resp) + wireOverhead
	r.count(func(s *Stats) { s.Heartbeats++; s.Bytes += uint64(bytes) })
	b := Observation{
		SentAt:      sentAt,
		Incarnation: resp.GetEnvelope().GetIncarnation(),
		Leaving:     resp.GetLeaving(),
		Changed:     r.changed(host.Name, resp),
		Bytes:       bytes,
	}
	r.apply(func(v *View, now time.Time) []Event { return v.RecordResponse(host.Name, b, now) })
	r.options.OnReport(host, resp)
}

func (r *Runner) count(f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}

// changed reports whether a response differs from the host's previous one, the
// envelope aside.
func (r *Runner) changed(host string, resp *linkv1.ReportResponse) bool {
	body := proto.CloneOf(resp)
	body.Envelope = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.lastReports[host]
	r.lastReports[host] = body
	return before == nil || !proto.Equal(before, body)
}

// listWatch returns the reader of the host list.
func (r *Runner) listWatch() *ListWatch {
	return NewListWatch(ListOptions{
		Self:   r.options.Settings.Entry,
		Hosts:  r.options.Hosts,
		OnRead: r.onListRead,
		Notify: r.notifyHost,
	})
}

// onListRead records one read of the host list.
func (r *Runner) onListRead(list []ports.HostState, bytes int, err error) {
	r.count(func(s *Stats) {
		s.ListReads++
		s.Bytes += uint64(bytes)
		s.ListError = ""
		if err != nil {
			s.ListError = err.Error()
		}
	})
	if err == nil {
		r.apply(func(v *View, now time.Time) []Event { return v.ApplyHostList(list, now) })
	}
}

// notifyHost sends a changed leaving flag of the host list to a host that the
// configuration names.
func (r *Runner) notifyHost(ctx context.Context, host string, leaving bool) {
	r.mu.Lock()
	h, known := r.view.Host(host)
	r.mu.Unlock()
	if !known {
		return
	}
	req := &linkv1.ReportRequest{HostLeaving: &leaving}
	if _, err := r.options.Reporter.Report(ctx, h.Agent, req); err != nil {
		r.options.Log.Info("membership: could not notify a host of its change in the host list", zap.String("host", host), zap.Error(err))
	}
	r.count(func(s *Stats) { s.Notified++; s.Bytes += initialHeartbeatBytes })
}
