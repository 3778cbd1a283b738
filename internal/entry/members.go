package entry

import (
	"time"

	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/catalog"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/membership"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Members tells which hosts can take work. It is implemented by
// membership.Runner.
type Members interface {
	SetCatalog(set *catalog.Set)
	RecordResponse(host string, incarnation uint64, leaving bool, asked time.Time)
	RecordRequestFailure(host string)
}

// HostChanged takes a change of a host from membership.
func (e *Entry) HostChanged(ev membership.Event) {
	now := e.now()
	switch ev.Kind {
	case membership.HostReachable, membership.HostRestarted:
		e.picker.HostBack(ev.Host.Name, now)
		e.agents.heard(ev.Host.Agent, ev.Incarnation)
		e.copies.Observe(ev.Host.Agent, ev.Incarnation, 0)
	case membership.HostSilent:
		e.picker.HostSilent(ev.Host.Name, now)
		e.agents.forget(ev.Host.Agent)
		// Its charges may be lost with it; handed in twice they count once.
		e.copies.MarkAgentGone(ev.Host.Agent)
	case membership.HostRemoved:
		e.copies.MarkAgentGone(ev.Host.Agent)
		e.link.Forget(ev.Host.Agent)
	case membership.HostLeaving:
		e.picker.HostLeaving(ev.Host.Name, true)
	case membership.HostLeaveCancelled:
		e.picker.HostLeaving(ev.Host.Name, false)
	}
}

// HostReported takes the answer to a heartbeat.
func (e *Entry) HostReported(host membership.Host, r *linkv1.ReportResponse) {
	now := e.now()
	env := r.GetEnvelope()
	e.agents.heard(host.Agent, env.GetIncarnation())
	e.config.Saw(host.Agent, env.GetRevision())
	e.copies.Observe(host.Agent, env.GetIncarnation(), r.GetDurableCharge())
	for _, u := range r.GetUpstreams() {
		e.picker.Observe(u.GetName(), loadOf(u.GetLoad()), now)
	}
}

func loadOf(l *linkv1.Load) balance.Load {
	return balance.Load{
		InFlight:  int(l.GetInFlight()),
		Queued:    int(l.GetQueued()),
		Slots:     int(l.GetSlots()),
		TokenTime: time.Duration(l.GetTokenUs()) * time.Microsecond,
		Leaving:   l.GetLeaving(),
	}
}

// tellMembers passes on what an attempt showed of its host.
func (e *Entry) tellMembers(host string, sent time.Time, stream *link.Stream, failure *result.Error) {
	if incarnation := stream.Incarnation(); incarnation != 0 {
		// Whether the host leaves is told by heartbeats and the host list;
		// load tells it of one upstream only.
		e.members.RecordResponse(host, incarnation, stoppingAgent(failure), sent)
		return
	}
	if failure != nil && failure.Code == result.NoUpstream {
		e.members.RecordRequestFailure(host)
	}
}

func stoppingAgent(failure *result.Error) bool {
	return failure != nil && failure.Code == result.Stopping
}
