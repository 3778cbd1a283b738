package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/store"
)

// Wait times of the table followers.
const (
	// maxUpdateWait bounds one wait of a follower for an update.
	maxUpdateWait = time.Second
	// failedWritePause is the pause after a failed write to the store.
	failedWritePause = 150 * time.Millisecond
)

// bounds returns the time limits that depend on how current the configuration must be.
func (g *Gateway) bounds() following.FreshnessBounds {
	s := g.settings()
	return following.FreshnessBounds{ConfigWithin: s.ConfigWithin, RevokeWithin: s.RevokeWithin}
}

// feedHold is how long the store holds a feed call open when there are no changes.
func (g *Gateway) feedHold() time.Duration { return g.bounds().HoldTimeout() }

// operatorPolicy returns how often the operator's table is read.
func (g *Gateway) operatorPolicy() following.ReadPolicy {
	p := following.ReadPolicy{Interval: g.feedHold() / 2, LongPoll: true, ReplacedWhole: true}
	if g.gossip != nil {
		p.CheckInterval = g.bounds().CheckInterval(g.gossip.Gateways())
	}
	return p
}

// followOperator keeps the configuration and the rollout orders current.
func (g *Gateway) followOperator(ctx context.Context) error {
	f := g.newFollower(g.docs.OperatorTable(), g.operatorPolicy)
	f.onCall = g.storeContact.recordCall
	for ctx.Err() == nil {
		u, ok := f.next(ctx, maxUpdateWait)
		if !ok {
			continue
		}
		g.rateLimits.syncClock(g.bootClock(), u.page.Now)
		g.applyDomainDrains(u, time.Now()) // before a first configuration lets requests in
		for _, r := range u.page.Rows {
			g.applyOperatorRow(r)
		}
		if u.storeRestored {
			g.shifts.storeRestored(store.Era(u.page.Rev))
			if g.gossip != nil {
				g.gossip.Reregister()
			}
		}
		f.finishUpdate(u, u.page.Rows)
		g.storeContact.confirm(f.confirmed)
	}
	return nil
}

// applyOperatorRow applies a row of the operator's table: a configuration, an order for a
// shift, or both.
func (g *Gateway) applyOperatorRow(r store.Row) {
	if spec, ok, err := g.docs.Routing(r); err != nil {
		g.log.Event(component, "configuration unreadable", zap.Uint64("rev", r.Rev), eventlog.Error(err))
	} else if ok {
		g.applyConfig(spec, r.Rev)
	}
	if order, ok, err := g.docs.Shift(r); err != nil {
		g.log.Event(component, "shift order unreadable", zap.String("service", order.Service), zap.Uint64("rev", r.Rev), eventlog.Error(err))
	} else if ok {
		if g.shifts.applyOrder(order, r.Removed) {
			g.log.Event(component, "shift ordered", zap.String("service", order.Service), zap.String("to", order.To),
				zap.Duration("withinMs", order.Within), zap.Uint64("rev", r.Rev))
		}
	}
}

// applyConfig puts a configuration into force. A version lower than the one in force is
// ignored.
func (g *Gateway) applyConfig(spec routetable.Spec, rev uint64) {
	old := g.routeTable.Load()
	if old != nil && spec.Version <= old.Version() {
		if spec.Version < old.Version() {
			g.log.Event(component, "older configuration ignored", zap.Int64("version", spec.Version),
				zap.Int64("inForce", old.Version()), zap.Uint64("rev", rev))
		}
		return
	}
	g.routeTable.Store(routetable.New(spec))
	g.counters.configs.Inc(1)
	g.log.Event(component, "configuration in force", zap.Int64("version", spec.Version), zap.Uint64("rev", rev),
		zap.Int("routes", len(spec.Routes)), zap.Int("organisations", len(spec.Organisations)))
}
