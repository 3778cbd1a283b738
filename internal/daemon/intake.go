package daemon

import (
	"net"

	"tarragonbay.example/tarragonbay/internal/holding"
	"tarragonbay.example/tarragonbay/internal/httpserver"
	"tarragonbay.example/tarragonbay/internal/intake"
	"tarragonbay.example/tarragonbay/internal/link"
	"tarragonbay.example/tarragonbay/internal/settings"
)

// linkShare is the part of what an entry holds for others that is for other daemons; the
// rest is for callers. An agent has no callers.
const linkShare = 0.25

// callerLimits are an entry's limits for callers.
func (d *Daemon) callerLimits() holding.Limits {
	l := d.plan.Callers.Part(1 - linkShare)
	l.Connections = min(l.Connections, d.settings.Limits.Connections)
	return l
}

// linkLimits are the limits for other daemons.
func (d *Daemon) linkLimits() holding.Limits {
	if d.settings.Role == settings.RoleAgent {
		return d.plan.Callers
	}
	return d.plan.Callers.Part(linkShare)
}

// admission returns the bounds of a listener. Their use is in the metrics, and what they
// refuse or close is in the log.
func (d *Daemon) admission(name string, limits holding.Limits) httpserver.Admission {
	s := holding.NewShare(limits)
	d.metrics.GaugeFunc(name, "held_bytes", func() int64 { return s.Usage().Bytes })
	d.metrics.GaugeFunc(name, "connections", func() int64 { return int64(s.Usage().Connections) })
	d.metrics.GaugeFunc(name, "closed_for_room", s.Closed)
	d.metrics.GaugeFunc(name, "no_room", s.Refused)
	return httpserver.Admission{Share: s, Event: d.log.Part("intake").Info}
}

// linkBodyCopies is how often a message on the link is held while it is read: in a buffer, in
// the one of twice the size into which that grows, and decoded.
const linkBodyCopies = 4

// admitLinks returns the link's listener with its bounds.
func (d *Daemon) admitLinks() net.Listener {
	a := d.admission("link", d.linkLimits())
	return intake.New(d.linkLn, intake.Options{
		Name: "link", Share: a.Share, HeadBytes: func() int { return link.MaxHeaderBytes },
		BodyCopies: linkBodyCopies, TLS: d.serverTLS, Answer: intake.Refuse, Event: a.Event,
	})
}
