package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/store"
)

// fleetView is the list of upstreams that may take new work, as published to
// requests.
type fleetView struct {
	byService map[string][]fleet.Upstream
	rev       uint64
	at        time.Time
}

// returnGrace is how long entries that lapsed together while the store was away
// are waited for after its return; upstreams enter themselves again within
// about two seconds.
const returnGrace = 2200 * time.Millisecond

// awayLong, with the time between two reads, is how long the store must have
// been away for entries to lapse: an upstream's entry goes after three heartbeats
// of about a second.
const awayLong = 1500 * time.Millisecond

// listTick is the pause between two looks at whether the list should be read.
const listTick = 60 * time.Millisecond

// listRead is what this gateway tells of its reads of the list: when the last
// one was and the revision of the last change that it found.
type listRead struct {
	at      time.Time
	changed uint64
}

// listFollower keeps the list of upstreams. Gateways tell one another of their
// reads, so that mostly one of them reads for all (see fleet.Reading).
type listFollower struct {
	g     *Gateway
	feed  follower
	known *fleet.Fleet
	last  listRead
	// heard is when the list was last known, by an own read or a peer's; back is
	// when the store came back from an absence.
	heard, back time.Time
}

// followUpstreams keeps the list until ctx ends.
func (g *Gateway) followUpstreams(ctx context.Context) error {
	l := &listFollower{
		g: g, feed: follower{g: g, table: g.docs.UpstreamTable()}, known: fleet.New(), heard: time.Now(),
	}
	for ctx.Err() == nil {
		now := time.Now()
		due := l.reading(now)
		if !l.last.at.IsZero() && now.Before(due.Due(g.settings().DrainWithin)) {
			l.heard = due.Last()
			l.expire(now)
			pause(ctx, jitter(listTick))
			continue
		}
		if !l.readList(ctx) {
			pause(ctx, jitter(awayPause))
		}
	}
	return nil
}

// reading is what this gateway and its peers know of the last reads.
func (l *listFollower) reading(now time.Time) fleet.Reading {
	r := fleet.Reading{Own: l.last.at, Seen: l.known.Rev()}
	if l.g.talk != nil {
		r.Told, r.Changed, r.Before = l.g.talk.Book.Reading(l.g.settings().Name, now)
	}
	return r
}

// readList makes one call to the store; it reports whether that succeeded.
func (l *listFollower) readList(ctx context.Context) bool {
	page, full, err := l.feed.step(ctx, 0)
	now := time.Now()
	if err != nil {
		return false
	}
	if now.Sub(l.heard) > awayLong+l.g.settings().DrainWithin/2 {
		l.back = now
	}
	l.heard, l.last.at = now, now
	goneAt := now
	if until := l.back.Add(returnGrace); !l.back.IsZero() && until.After(now) {
		goneAt = until
	}
	if changed := l.g.takeUpstreams(l.known, page, full, goneAt); changed > 0 {
		l.last.changed = changed
	}
	last := l.last
	l.g.listRead.Store(&last)
	l.expire(now)
	l.g.publishFleet(l.known, now)
	return true
}

// expire drops upstreams whose grace is over.
func (l *listFollower) expire(now time.Time) {
	gone := l.known.Expire(now)
	for _, id := range gone {
		l.g.log.Event(part, "upstream gone", zap.String("upstream", id), zap.Uint64("rev", l.known.Rev()))
	}
	if len(gone) > 0 {
		l.g.publishFleet(l.known, l.heard)
	}
}

// takeUpstreams takes in rows in their order and returns the revision of the
// last change, zero when nothing changed. A row that names no usable upstream
// counts as the removal of the one it stands for.
func (g *Gateway) takeUpstreams(known *fleet.Fleet, page store.Page, full bool, goneAt time.Time) (changed uint64) {
	listed := map[string]bool{}
	for _, r := range page.Rows {
		if r.Removed {
			known.Remove(r.Name, r.Rev, goneAt)
			changed = max(changed, r.Rev)
			continue
		}
		u, err := g.docs.Upstream(r)
		if err != nil {
			known.Remove(r.Name, r.Rev, time.Time{})
			changed = max(changed, r.Rev)
			g.log.Event(part, "upstream entry ignored", zap.String("upstream", r.Name), zap.Uint64("rev", r.Rev), eventlog.Error(err))
			continue
		}
		listed[u.ID] = true
		if known.Put(u, r.Rev) {
			changed = max(changed, r.Rev)
			g.log.Event(part, "upstream changed", zap.String("upstream", u.ID), zap.String("service", u.Service),
				zap.String("version", u.Version), zap.String("domain", u.Domain), zap.String("address", u.Address),
				zap.Bool("leaving", u.Leaving), zap.Uint64("rev", r.Rev))
		}
	}
	if full {
		known.RemoveOthers(listed, goneAt)
		changed = max(changed, page.Rev)
	}
	known.Advance(page.Rev)
	return changed
}

func (g *Gateway) publishFleet(known *fleet.Fleet, now time.Time) {
	g.shifts.seen(known.ByService(), now)
	g.fleet.Store(&fleetView{byService: known.ByService(), rev: known.Rev(), at: now})
}

// tidyEvery is the pause between two clean-ups of kept connections.
const tidyEvery = 500 * time.Millisecond

// tidy closes connections that nobody will use.
func (g *Gateway) tidy(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, tidyEvery)
		now := time.Now()
		view := g.fleet.Load()
		if view == nil {
			continue
		}
		live, kept := map[string]bool{}, map[string]bool{}
		for _, ups := range view.byService {
			for _, u := range ups {
				live[u.ID], kept[poolKey(u)] = true, true
			}
		}
		g.pool.Prune(now, func(id string) bool { return kept[id] })
		g.loads.forget(live)
		if t := g.table.Load(); t != nil && t.Limits().IdleTimeout > 0 {
			g.conns.closeIdle(now, t.Limits().IdleTimeout)
		}
	}
	return nil
}

// poolKey names the connections to one boot of an upstream.
func poolKey(u fleet.Upstream) string { return u.ID + "@" + u.Address }
