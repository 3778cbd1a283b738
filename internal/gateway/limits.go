package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
)

// limits are the rates that upstreams take from all gateways together.
type limits struct {
	mu     sync.Mutex
	keeper sharedrate.Keeper
}

func bootOf(u fleet.Upstream) sharedrate.Boot {
	return sharedrate.Boot(peers.HashBoot(u.ID, u.Born))
}

// heedLimit takes in what an answer says of its upstream's limit; sent is when its
// request was sent, on the boot clock.
func (g *Gateway) heedLimit(q *request, p picked, said exchange.Limit, sent time.Duration) {
	fields := func(more ...zap.Field) []zap.Field {
		return q.fields(append(more, zap.String("upstream", p.up.ID), zap.Int64("born", p.up.Born))...)
	}
	if said.Unreadable {
		g.log.Routine(part, "limit unreadable", fields()...)
		return
	}
	now := g.boot()
	word := sharedrate.Word{PerSecond: said.PerSecond, At: now}
	if said.PerSecond == 0 {
		word.At = sent
	}
	g.limits.mu.Lock()
	was, age, known := g.limits.keeper.Limit(bootOf(p.up), now)
	changed := g.limits.keeper.Hear(bootOf(p.up), word)
	g.limits.mu.Unlock()
	if !changed {
		return
	}
	before := zap.Skip()
	if known {
		before = zap.Float64("was", was)
	}
	if said.PerSecond > 0 {
		g.log.Event(part, "upstream names a limit", fields(zap.Float64("perSecond", said.PerSecond), before)...)
	} else {
		g.log.Event(part, "upstream ends its limit", fields(before, zap.Duration("wasMsAgo", age))...)
	}
}

// noteLimited logs a request that is sent to an upstream with a limit.
func (g *Gateway) noteLimited(q *request, p picked) {
	g.limits.mu.Lock()
	limit, age, ok := g.limits.keeper.Limit(bootOf(p.up), g.boot())
	g.limits.mu.Unlock()
	if !ok {
		return
	}
	g.log.Event(part, "sent to a limited upstream", q.fields(zap.String("upstream", p.up.ID), zap.Int64("born", p.up.Born),
		zap.Float64("perSecond", limit), zap.Duration("limitMsAgo", age), zap.Bool("escalated", q.escalated),
		zap.Int("gateways", g.gateways()))...)
}
