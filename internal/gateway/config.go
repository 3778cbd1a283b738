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

// Pace of the feeds.
const (
	// longestWait is how long a follower waits at most before it looks around.
	maxUpdateWait = time.Second
	// awayPause is the pause after a write that failed.
	failedWritePause = 150 * time.Millisecond
)

// bounds are the times that hang on how current this gateway is.
func (g *Gateway) bounds() following.Bounds {
	s := g.settings()
	return following.Bounds{ConfigWithin: s.ConfigWithin, RevokeWithin: s.RevokeWithin}
}

// feedWait is how long the store holds a feed without changes.
func (g *Gateway) feedHold() time.Duration { return g.bounds().Hold() }

// operatorPace is how the operator's table is followed.
func (g *Gateway) operatorPace() following.Pace {
	p := following.Pace{Every: g.feedHold() / 2, Held: true}
	if g.gossip != nil {
		p.Own = g.bounds().OwnEvery(g.gossip.Gateways())
	}
	return p
}

// followOperator keeps the configuration and the orders for shifts.
func (g *Gateway) followOperator(ctx context.Context) error {
	f := g.newFollower(g.docs.OperatorTable(), g.operatorPace)
	f.onCall = g.storeContact.recordCall
	for ctx.Err() == nil {
		u, ok := f.next(ctx, maxUpdateWait)
		if !ok {
			continue
		}
		g.rateLimits.syncClock(g.bootClock(), u.page.Now)
		for _, r := range u.page.Rows {
			g.applyOperatorRow(r)
		}
		if u.storeRestored {
			g.shifts.storeRestored(store.Era(u.page.Rev))
			if g.gossip != nil {
				g.gossip.EnterAgain()
			}
		}
		f.finishUpdate(u, u.page.Rows)
		g.storeContact.confirm(f.confirmed)
	}
	return nil
}

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

// adopt puts a configuration in force. A lower version than the one in force
// is never taken.
func (g *Gateway) applyConfig(spec routetable.Spec, rev uint64) {
	old := g.table.Load()
	if old != nil && spec.Version <= old.Version() {
		if spec.Version < old.Version() {
			g.log.Event(component, "older configuration ignored", zap.Int64("version", spec.Version),
				zap.Int64("inForce", old.Version()), zap.Uint64("rev", rev))
		}
		return
	}
	g.table.Store(routetable.New(spec))
	g.counters.configs.Inc(1)
	g.log.Event(component, "configuration in force", zap.Int64("version", spec.Version), zap.Uint64("rev", rev),
		zap.Int("routes", len(spec.Routes)), zap.Int("organisations", len(spec.Organisations)))
}
