package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/exchange"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/sharedrate"
	"tarragonbay.example/tarragonbay/internal/warmup"
)

// rateLimits holds the request rates that upstreams accept from all gateways together:
// those that they announce, and those at which they warm up.
type rateLimits struct {
	mu      sync.Mutex
	shared  sharedrate.Keeper
	warmUps warmup.Tracker
}

// bootID returns the identifier of an upstream's boot. Listed upstreams have it computed.
func bootID(u fleet.Upstream) sharedrate.Boot {
	if u.Boot != 0 {
		return sharedrate.Boot(u.Boot)
	}
	return sharedrate.Boot(peers.HashBoot(u.ID, u.Born))
}

// applyLimit applies the limit that an answer announces for its upstream. sent is when the
// request was sent, on the boot clock.
func (g *Gateway) applyLimit(q *request, p selection, announced exchange.Limit, sent time.Duration) {
	fields := func(more ...zap.Field) []zap.Field {
		return q.fields(append(more, zap.String("upstream", p.up.ID), zap.Int64("born", p.up.Born))...)
	}
	if announced.Unreadable {
		g.log.Routine(component, "limit unreadable", fields()...)
		return
	}
	now := g.bootClock()
	report := sharedrate.RateLimit{PerSecond: announced.PerSecond, At: now}
	if announced.PerSecond == 0 {
		report.At = sent
	}
	g.rateLimits.mu.Lock()
	oldLimit, age, known := g.rateLimits.shared.Limit(bootID(p.up), now)
	changed := g.rateLimits.shared.RecordLimit(bootID(p.up), report)
	g.rateLimits.mu.Unlock()
	if !changed {
		return
	}
	oldField := zap.Skip()
	if known {
		oldField = zap.Float64("was", oldLimit)
	}
	if announced.PerSecond > 0 {
		g.log.Event(component, "upstream names a limit", fields(zap.Float64("perSecond", announced.PerSecond), oldField)...)
	} else {
		g.log.Event(component, "upstream ends its limit", fields(oldField, zap.Duration("wasMsAgo", age))...)
	}
}

// recordLimitedSend counts and logs a request that is sent to an upstream with a limit.
func (g *Gateway) recordLimitedSend(q *request, p selection) {
	if !p.grant.Limited() {
		return
	}
	g.rateLimits.mu.Lock()
	limit, age, _ := g.rateLimits.shared.Limit(bootID(p.up), g.bootClock())
	reachable, listed := g.rateLimits.shared.MemberCounts(q.service)
	announced := g.rateLimits.shared.Announced(bootID(p.up))
	g.rateLimits.mu.Unlock()
	g.counters.limitedSends.Inc(1)
	write := g.log.Event
	if !announced {
		write = g.log.Routine // all requests of a domain that warms up
	}
	write(component, "sent to a limited upstream", q.fields(zap.String("upstream", p.up.ID), zap.Int64("born", p.up.Born),
		zap.Float64("perSecond", limit), zap.Duration("limitMsAgo", age), zap.Bool("escalated", q.escalated),
		zap.Int("gatewaysHeard", reachable), zap.Int("gateways", listed))...)
}

// recordRequest counts a caller's request towards the demand of its service.
func (l *rateLimits) recordRequest(q *request, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared.Request(q.service, q.priority(), now)
}

// syncClock records the store's clock, which all gateways share.
func (l *rateLimits) syncClock(receivedAt, storeNow time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared.ObserveClock(receivedAt, storeNow)
}

func (l *rateLimits) acquire(u fleet.Upstream) (sharedrate.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shared.Take(bootID(u))
}

func (l *rateLimits) release(grant sharedrate.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared.GiveBack(grant)
}

func (l *rateLimits) prune(listed []fleet.Upstream, now time.Duration) {
	live := make(map[sharedrate.Boot]bool, len(listed))
	for _, u := range listed {
		live[bootID(u)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared.Prune(live)
	l.warmUps.Prune(now)
}

// dump adds the limits of upstreams to the map, by upstream ID.
func (l *rateLimits) dump(ups []fleet.Upstream, now time.Duration, to map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range ups {
		if limit, _, ok := l.shared.Limit(bootID(u), now); ok {
			to[u.ID] = limit
		}
	}
}

// limitedBoots holds the boots that must not be sent a request now, because of their
// limits.
type limitedBoots map[sharedrate.Boot]bool

// all reports whether all of the given upstreams are at their limits.
func (lb limitedBoots) all(ups []fleet.Upstream) bool {
	for _, u := range ups {
		if !lb[bootID(u)] {
			return false
		}
	}
	return len(ups) > 0
}

// limitedUpstreams are upstreams at their limits, with their loads.
type limitedUpstreams struct {
	ups   []fleet.Upstream
	loads []placement.Load
}

// split separates the upstreams that may be sent the request, with their loads, from those
// at their limits.
func (lb limitedBoots) split(ups []fleet.Upstream, loads []placement.Load) (open []fleet.Upstream, openLoads []placement.Load, limited limitedUpstreams) {
	if len(lb) == 0 {
		return ups, loads, limited
	}
	for i, u := range ups {
		if lb[bootID(u)] {
			limited.ups, limited.loads = append(limited.ups, u), append(limited.loads, loads[i])
		} else {
			open, openLoads = append(open, u), append(openLoads, loads[i])
		}
	}
	return open, openLoads, limited
}

// limitedBoots returns which of the upstreams must not be sent the request now. A retry
// may use any free capacity; first attempts need sufficient priority.
func (g *Gateway) limitedBoots(q *request, ups []fleet.Upstream) limitedBoots {
	minPriority := q.priority()
	if q.sent > 0 {
		minPriority = sharedrate.MustSend
	}
	now := g.bootClock()
	l := &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.explained {
		return l.shared.Spent(bootIDs(ups))
	}
	g.limitWarmUps(q.service, ups, now)
	if !l.shared.HasLimits() {
		return nil
	}
	if l.shared.MembersStale(now) {
		l.shared.SetMembers(g.settings().Name, g.rateMembers(l.shared.Services()), now)
	}
	return l.shared.Blocked(q.service, bootIDs(ups), minPriority, now)
}

func bootIDs(ups []fleet.Upstream) []sharedrate.Boot {
	out := make([]sharedrate.Boot, len(ups))
	for i, u := range ups {
		out[i] = bootID(u)
	}
	return out
}

// rateMembers returns the other gateways by service. A gateway without a gossip address
// assumes that it is the only one.
func (g *Gateway) rateMembers(services []string) map[string][]sharedrate.Member {
	if g.gossip != nil {
		return g.gossip.Members(services, time.Now())
	}
	alone := make(map[string][]sharedrate.Member, len(services))
	for _, s := range services {
		alone[s] = nil
	}
	return alone
}

// refuseLimited returns the error for a request whose possible upstreams are all at their
// limits. On a first attempt, the error gives the caller's retry time.
func (g *Gateway) refuseLimited(q *request, limited []fleet.Upstream, now time.Time) *result.Error {
	wait, ok := time.Duration(0), false
	if q.sent == 0 && !q.explained {
		maxWait := time.Duration(maxRetryShare * float64(q.timeLeft(now)))
		g.rateLimits.mu.Lock()
		wait, ok = g.rateLimits.shared.RetryAfter(q.service, bootIDs(limited), maxWait, g.bootClock())
		g.rateLimits.mu.Unlock()
		g.counters.limitedRefusals.Inc(1)
	}
	if !ok {
		wait = jitter(shortRetryDelay)
	}
	return result.New(result.UpstreamBusy, "all %d available upstreams of %s are at their rate limits or warm up",
		len(limited), q.service).WithRetryAfter(wait)
}

// addLimits adds the limits that upstreams have announced to this gateway, and the demand,
// to a gossip message.
func (g *Gateway) addLimits(n *gossipv1.News) {
	g.rateLimits.mu.Lock()
	reports, demands := g.rateLimits.shared.GossipState(g.bootClock())
	g.rateLimits.mu.Unlock()
	peers.AddLimits(n, reports, demands)
}

// receiveLimits applies the limits that upstreams have announced to a peer.
func (g *Gateway) receiveLimits(from string, reports []sharedrate.SentLimit) {
	view := g.fleet.Load()
	if view == nil {
		return // the next gossip message repeats it
	}
	listed := map[sharedrate.Boot]fleet.Upstream{}
	for _, ups := range view.byService {
		for _, u := range ups {
			listed[bootID(u)] = u
		}
	}
	now := g.bootClock()
	for _, t := range reports {
		u, ok := listed[t.Boot]
		if !ok {
			continue
		}
		g.rateLimits.mu.Lock()
		changed := g.rateLimits.shared.RecordPeerLimit(t.Boot, sharedrate.RateLimit{PerSecond: t.PerSecond, At: now - t.Age})
		g.rateLimits.mu.Unlock()
		if changed {
			g.log.Event(component, "limit of an upstream, a peer says", zap.String("upstream", u.ID), zap.Int64("born", u.Born),
				zap.Float64("perSecond", t.PerSecond), zap.Duration("saidMsAgo", t.Age), zap.String("peer", from))
		}
	}
}
