package gateway

import (
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/warmup"
)

// warmUpPolicy returns how the upstreams of a service warm up.
func (g *Gateway) warmUpPolicy(service string) warmup.Policy {
	t := g.routeTable.Load()
	if t == nil || t.Service(service) == nil {
		return warmup.Policy{}
	}
	return t.Service(service).WarmUp
}

// announceCold records that an upstream's row says that it is cold.
func (g *Gateway) announceCold(u fleet.Upstream) {
	if u.ColdFor <= 0 {
		return
	}
	g.rateLimits.mu.Lock()
	defer g.rateLimits.mu.Unlock()
	g.rateLimits.warmUps.Announce(uint32(bootID(u)), u.ColdFor, g.bootClock())
}

// suspectRestart records that an upstream has not answered: it may have crashed.
func (g *Gateway) suspectRestart(u fleet.Upstream) {
	policy := g.warmUpPolicy(u.Service)
	if !policy.Limits() {
		return
	}
	g.rateLimits.mu.Lock()
	defer g.rateLimits.mu.Unlock()
	g.rateLimits.warmUps.Suspect(uint32(bootID(u)), policy, g.bootClock())
}

// limitWarmUps puts the rates of the upstreams that warm up into force, and ends those of
// the others.
func (g *Gateway) limitWarmUps(service string, ups []fleet.Upstream, now time.Duration) {
	policy := g.warmUpPolicy(service)
	l := &g.rateLimits
	if !policy.Limits() && !l.shared.HasWarmUps() {
		return
	}
	for _, u := range ups {
		state, rate := l.warmUps.State(uint32(bootID(u)), now), 0.0
		if state != warmup.Warm {
			rate = policy.Rate()
		}
		if l.shared.SetWarmUp(bootID(u), rate) {
			g.logWarmUp(u, state, rate)
		}
	}
}

// logWarmUp logs a change of what is believed of an upstream. Idle upstreams are suspected
// all the time, so those lines are sampled.
func (g *Gateway) logWarmUp(u fleet.Upstream, state warmup.State, rate float64) {
	write := g.log.Routine
	if state == warmup.Cold {
		write = g.log.Event
	}
	write(component, "upstream warms up", zap.String("upstream", u.ID), zap.Int64("born", u.Born), zap.Stringer("state", state),
		zap.Float64("perSecond", rate), zap.Duration("coldMs", u.ColdFor))
}

// suspectIdle suspects the idle ones of the upstreams and adds those that were not limited
// before to the limited ones.
// lags is true where news of the other gateways' requests comes late.
func (g *Gateway) suspectIdle(service string, ups []fleet.Upstream, loads []placement.Load, limited limitedBoots, lags bool) limitedBoots {
	policy := g.warmUpPolicy(service)
	if !policy.Limits() || !warmup.IdleIsSuspicious(runningOf(loads), lags) {
		return limited
	}
	now := g.bootClock()
	l := &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, u := range ups {
		was := l.warmUps.State(uint32(bootID(u)), now)
		l.warmUps.ObserveRunning(uint32(bootID(u)), loads[i].Running, policy, now)
		state := l.warmUps.State(uint32(bootID(u)), now)
		if was != warmup.Warm || state == warmup.Warm {
			continue
		}
		if l.shared.SetWarmUp(bootID(u), policy.Rate()) {
			g.logWarmUp(u, state, policy.Rate())
		}
		if limited == nil {
			limited = limitedBoots{}
		}
		limited[bootID(u)] = true // it has no grant before its next slot
	}
	return limited
}

// runningOf returns the requests in flight at each upstream.
func runningOf(loads []placement.Load) []int {
	out := make([]int, len(loads))
	for i := range loads {
		out[i] = loads[i].Running
	}
	return out
}

// suspectedOnly returns those of the upstreams that are limited for no other reason than
// the suspicion that they are cold. They take requests that no other upstream can take.
func (g *Gateway) suspectedOnly(limited limitedUpstreams) (ups []fleet.Upstream, loads []placement.Load) {
	now := g.bootClock()
	l := &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, u := range limited.ups {
		if l.warmUps.State(uint32(bootID(u)), now) == warmup.Suspected && !l.shared.Announced(bootID(u)) {
			ups, loads = append(ups, u), append(loads, limited.loads[i])
		}
	}
	return ups, loads
}
