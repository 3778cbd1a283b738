package gateway

import (
	"time"

	"go.uber.org/zap"
)

// applyDomainDrains applies the orders in an update of the operator's table that drain
// failure domains or take them back.
func (g *Gateway) applyDomainDrains(u update, now time.Time) {
	old := g.drainedDomains.Load()
	drained, listed := old, map[string]bool{}
	for _, r := range u.page.Rows {
		domain, ok := g.docs.DomainDrain(r)
		switch {
		case !ok:
		case r.Removed:
			drained = drained.TakeBack(domain)
		default:
			drained, listed[domain] = drained.Drain(domain), true
		}
	}
	if u.full {
		var keepUntil time.Time
		if u.storeRestored {
			keepUntil = now.Add(restoreGrace)
		}
		drained = drained.KeepOnly(listed, keepUntil)
	}
	g.drainedDomains.Store(drained)
	was, is := old.Domains(now), drained.Domains(now)
	for _, domain := range is {
		if !old.Drained(domain, now) {
			g.log.Event(component, "domain drained", zap.String("domain", domain), zap.Strings("drained", is), zap.Uint64("rev", u.page.Rev))
		}
	}
	for _, domain := range was {
		if !drained.Drained(domain, now) {
			g.log.Event(component, "domain taken back", zap.String("domain", domain), zap.Strings("drained", is), zap.Uint64("rev", u.page.Rev))
		}
	}
}
