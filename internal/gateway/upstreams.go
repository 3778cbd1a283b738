package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/h1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/store"
)

// fleetView is the published list of the upstreams that may take new requests.
type fleetView struct {
	byService map[string][]fleet.Upstream
	rev       uint64
	at        time.Time
}

// restoreGrace is how long entries that lapsed together during an outage of the store stay
// listed after its return; upstreams register again within about two seconds.
const restoreGrace = 2200 * time.Millisecond

// minOutage, plus half the drain limit, is the shortest outage of the store after which
// entries may have lapsed: an upstream's entry expires after three heartbeats of about one
// second.
const minOutage = 1500 * time.Millisecond

// Intervals of the list.
const (
	// listReadShare sets the interval between two reads of the list, as a share of the
	// time within which a leaving upstream must get no more requests.
	listReadShare = 0.3
	// expiryPollInterval is the interval between two checks for upstreams whose grace
	// period has ended.
	expiryPollInterval = 60 * time.Millisecond
)

// listFollower keeps the list of upstreams current.
type listFollower struct {
	g     *Gateway
	feed  *tableFollower
	known *fleet.Fleet
	// lastRead is when the list was last read, by this gateway or a peer. returnedAt is
	// when the store became reachable again after an outage.
	lastRead, returnedAt time.Time
}

// followUpstreams keeps the list of upstreams current until ctx ends.
func (g *Gateway) followUpstreams(ctx context.Context) error {
	policy := func() following.ReadPolicy {
		return following.ReadPolicy{Interval: time.Duration(listReadShare * float64(g.settings().DrainWithin))}
	}
	l := &listFollower{g: g, feed: g.newFollower(g.docs.UpstreamTable(), policy), known: fleet.New(), lastRead: time.Now()}
	for ctx.Err() == nil {
		maxWait := maxUpdateWait
		if l.known.Missing() {
			maxWait = jitter(expiryPollInterval)
		}
		if u, ok := l.feed.next(ctx, maxWait); ok {
			l.applyUpdate(u, time.Now())
		}
		l.expire(time.Now())
	}
	return nil
}

// applyUpdate applies an update to the list and publishes the result.
func (l *listFollower) applyUpdate(u update, now time.Time) {
	if now.Sub(l.lastRead) > minOutage+l.g.settings().DrainWithin/2 {
		l.returnedAt = now
	}
	if u.storeRestored {
		l.returnedAt = now
		l.known.StoreRestored(u.page.Rev, now.Add(restoreGrace))
	}
	l.lastRead = now
	l.g.rateLimits.syncClock(l.g.bootClock(), u.page.Now)
	goneAt := now
	if until := l.returnedAt.Add(restoreGrace); !l.returnedAt.IsZero() && until.After(now) {
		goneAt = until
	}
	changed := l.g.applyUpstreamRows(l.known, u.page, u.full, goneAt)
	l.g.upstreamsListed(changed, now)
	l.g.publishFleet(l.known, now)
	changed.log()
	l.feed.finishUpdate(u, changed.rows)
}

// expire drops upstreams whose grace period has ended.
func (l *listFollower) expire(now time.Time) {
	gone := l.known.Expire(now)
	for _, id := range gone {
		l.g.log.Event(component, "upstream gone", zap.String("upstream", id), zap.Uint64("rev", l.known.Rev()))
	}
	if len(gone) > 0 {
		l.g.publishFleet(l.known, l.lastRead)
	}
}

// applyUpstreamRows applies rows in order and returns those that change more than an
// upstream's heartbeat. A row that cannot be decoded, or would have the gateway send requests
// to itself, counts as the removal of its upstream; its later values change nothing until it can be decoded.
func (g *Gateway) applyUpstreamRows(known *fleet.Fleet, page store.Page, full bool, goneAt time.Time) (changed listChanges) {
	changed.g = g
	listed := map[string]bool{}
	for _, r := range page.Rows {
		if r.Removed {
			known.Remove(r.Name, r.Rev, goneAt)
			changed.rows, changed.removed = append(changed.rows, r), append(changed.removed, r.Name)
			continue
		}
		u, err := g.docs.Upstream(r)
		if own := g.settings().Listen; err == nil && own != "" && u.Address == own {
			err = errors.NotValidf("this gateway's own address %s in an upstream's entry", u.Address)
		}
		if err != nil {
			listed[r.Name] = false
			if known.RemoveUnusable(r.Name, r.Rev) {
				r.Value = nil // peers need not read it, and it may exceed a datagram
				changed.rows = append(changed.rows, r)
				g.log.Event(component, "upstream entry ignored", zap.String("upstream", r.Name), zap.Uint64("rev", r.Rev), eventlog.Error(err))
			}
			continue
		}
		u.Boot = peers.HashBoot(u.ID, u.Born)
		listed[u.ID] = true
		g.announceCold(u)
		if known.Put(u, r.Rev) {
			changed.rows = append(changed.rows, r)
			changed.upstreams = append(changed.upstreams, changedUpstream{Upstream: u, rev: r.Rev})
		}
	}
	if full {
		known.RemoveOthers(listed, goneAt)
		changed.all = listed
	}
	known.Advance(page.Rev)
	return changed
}

// listChanges holds the changes of one update to the list.
type listChanges struct {
	g *Gateway
	// rows are the changed rows, which are sent to peers.
	rows      []store.Row
	upstreams []changedUpstream
	// removed are the IDs of those that are no longer listed; all, if set, are those that are.
	removed []string
	all     map[string]bool
}

type changedUpstream struct {
	fleet.Upstream
	rev uint64
}

// log logs the changed upstreams, once they are published to requests.
func (c listChanges) log() {
	for _, u := range c.upstreams {
		c.g.log.Event(component, "upstream changed", zap.String("upstream", u.ID), zap.String("service", u.Service),
			zap.String("version", u.Version), zap.String("domain", u.Domain), zap.String("address", u.Address),
			zap.Bool("leaving", u.Leaving), zap.Uint64("rev", u.rev))
	}
}

func (g *Gateway) publishFleet(known *fleet.Fleet, now time.Time) {
	g.shifts.recordVersions(known.ByService(), now)
	g.fleet.Store(&fleetView{byService: known.ByService(), rev: known.Rev(), at: now})
}

// pruneInterval is the interval between two clean-ups.
const pruneInterval = 500 * time.Millisecond

// prune closes connections that are no longer needed and drops the state of upstreams that
// have gone.
func (g *Gateway) prune(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, pruneInterval)
		now := time.Now()
		g.pruneCrashes(now)
		view := g.fleet.Load()
		if view == nil {
			continue
		}
		live, idleLimits := map[string]bool{}, map[string]int{}
		var listed []fleet.Upstream
		for service, ups := range view.byService {
			listed = append(listed, ups...)
			maxIdle := g.maxIdleConns(service)
			for _, u := range ups {
				live[u.ID], idleLimits[poolKey(u)] = true, maxIdle
			}
		}
		g.pool.Prune(now, func(id string) int { return idleLimits[id] })
		g.loads.prune(live)
		g.notices.Forget(listed, now)
		g.rateLimits.prune(listed, g.bootClock())
		if t := g.routeTable.Load(); t != nil {
			g.rooms.prune(t)
		}
		if t := g.routeTable.Load(); t != nil && t.Limits().IdleTimeout > 0 {
			g.conns.closeIdle(now, t.Limits().IdleTimeout)
		}
	}
	return nil
}

// idleConnShare is the share of an upstream's connection limit that all gateways together
// may keep open and idle. The rest is for running requests; an upstream takes as many as
// it has slots and a few more.
const idleConnShare = 0.5

// maxIdleConns returns how many idle connections this gateway keeps to each upstream of a
// service: its share of what the upstream accepts from all gateways.
func (g *Gateway) maxIdleConns(service string) int {
	t := g.routeTable.Load()
	if t == nil || t.Service(service) == nil || t.Service(service).MaxConns <= 0 {
		return h1.UnboundedIdle
	}
	return max(1, int(idleConnShare*float64(t.Service(service).MaxConns))/g.gateways())
}

// poolKey identifies the connections to one boot of an upstream.
func poolKey(u fleet.Upstream) string { return u.ID + "@" + u.Address }
