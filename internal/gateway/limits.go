package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/result"
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
	if !p.grant.Limited() {
		return
	}
	g.limits.mu.Lock()
	limit, age, _ := g.limits.keeper.Limit(bootOf(p.up), g.boot())
	heard, listed := g.limits.keeper.Sharers(q.service)
	g.limits.mu.Unlock()
	g.count.limitedSends.Inc(1)
	g.log.Event(part, "sent to a limited upstream", q.fields(zap.String("upstream", p.up.ID), zap.Int64("born", p.up.Born),
		zap.Float64("perSecond", limit), zap.Duration("limitMsAgo", age), zap.Bool("escalated", q.escalated),
		zap.Int("gatewaysHeard", heard), zap.Int("gateways", listed))...)
}

// request counts a caller's request for its service.
func (l *limits) request(q *request, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.Request(q.service, q.worth(), now)
}

// noteClock takes in the store's clock, which all gateways share.
func (l *limits) noteClock(came, storeNow time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.NoteClock(came, storeNow)
}

func (l *limits) take(u fleet.Upstream) (sharedrate.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Take(bootOf(u))
}

func (l *limits) giveBack(grant sharedrate.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.GiveBack(grant)
}

func (l *limits) forget(listed []fleet.Upstream) {
	live := make(map[sharedrate.Boot]bool, len(listed))
	for _, u := range listed {
		live[bootOf(u)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.Forget(live)
}

// dump adds the limits of upstreams by their IDs.
func (l *limits) dump(ups []fleet.Upstream, now time.Duration, to map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range ups {
		if limit, _, ok := l.keeper.Limit(bootOf(u), now); ok {
			to[u.ID] = limit
		}
	}
}

// atLimits holds the boots that may not be sent a request now, because of their limits.
type atLimits map[sharedrate.Boot]bool

// all reports whether all of some upstreams are at their limits.
func (a atLimits) all(ups []fleet.Upstream) bool {
	for _, u := range ups {
		if !a[bootOf(u)] {
			return false
		}
	}
	return len(ups) > 0
}

// split returns the upstreams that may be sent the request, and those that may not.
func (a atLimits) split(ups []fleet.Upstream) (open, limited []fleet.Upstream) {
	if len(a) == 0 {
		return ups, nil
	}
	for _, u := range ups {
		if a[bootOf(u)] {
			limited = append(limited, u)
		} else {
			open = append(open, u)
		}
	}
	return open, limited
}

// atLimits returns which of the upstreams may not be sent the request now. A request that
// was sent before goes on wherever there is room; first sends have to be worth it.
func (g *Gateway) atLimits(q *request, ups []fleet.Upstream) atLimits {
	worth := q.worth()
	if q.sent > 0 {
		worth = sharedrate.Certain
	}
	now := g.boot()
	l := &g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.keeper.Limits() {
		return nil
	}
	if l.keeper.Stale(now) {
		l.keeper.Members(g.settings().Name, g.rateSharers(l.keeper.Services()), now)
	}
	return l.keeper.Closed(q.service, boots(ups), worth, now)
}

func boots(ups []fleet.Upstream) []sharedrate.Boot {
	out := make([]sharedrate.Boot, len(ups))
	for i, u := range ups {
		out[i] = bootOf(u)
	}
	return out
}

// rateSharers are the other gateways by service. A gateway without an address for news is the
// only one.
func (g *Gateway) rateSharers(services []string) map[string][]sharedrate.Member {
	if g.talk != nil {
		return g.talk.Members(services, time.Now())
	}
	alone := make(map[string][]sharedrate.Member, len(services))
	for _, s := range services {
		alone[s] = nil
	}
	return alone
}

// allLimited refuses a request because all upstreams that could take it are at their
// limits. A caller of a first send is told when its turn comes.
func (g *Gateway) allLimited(q *request, limited []fleet.Upstream, now time.Time) *result.Error {
	wait, ok := time.Duration(0), false
	if q.sent == 0 {
		honours := time.Duration(retryPart * float64(q.left(now)))
		g.limits.mu.Lock()
		wait, ok = g.limits.keeper.RetryAfter(q.service, boots(limited), honours, g.boot())
		g.limits.mu.Unlock()
		g.count.limitedRefusals.Inc(1)
	}
	if !ok {
		wait = jitter(shortRetry)
	}
	return result.New(result.UpstreamBusy, "%d upstreams of %s are at the limits that they name, and there are no others",
		len(limited), q.service).WithRetryAfter(wait)
}

// tellLimits adds what upstreams have said here of their limits, and the demand.
func (g *Gateway) tellLimits(n *gossipv1.News) {
	g.limits.mu.Lock()
	told, demands := g.limits.keeper.Tell(g.boot())
	g.limits.mu.Unlock()
	peers.TellLimits(n, told, demands)
}

// hearLimits takes in what upstreams have told a peer of their limits.
func (g *Gateway) hearLimits(from string, told []sharedrate.Told) {
	view := g.fleet.Load()
	if view == nil {
		return // the next round tells it again
	}
	listed := map[sharedrate.Boot]fleet.Upstream{}
	for _, ups := range view.byService {
		for _, u := range ups {
			listed[bootOf(u)] = u
		}
	}
	now := g.boot()
	for _, t := range told {
		u, ok := listed[t.Boot]
		if !ok {
			continue
		}
		g.limits.mu.Lock()
		changed := g.limits.keeper.HearPeer(t.Boot, sharedrate.Word{PerSecond: t.PerSecond, At: now - t.Age})
		g.limits.mu.Unlock()
		if changed {
			g.log.Event(part, "limit of an upstream, a peer says", zap.String("upstream", u.ID), zap.Int64("born", u.Born),
				zap.Float64("perSecond", t.PerSecond), zap.Duration("saidMsAgo", t.Age), zap.String("peer", from))
		}
	}
}
