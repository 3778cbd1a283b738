package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/holdtable"
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/store"
)

// Intervals of the hold tasks.
const (
	// holdReadInterval is the interval between two reads of the table: with a takeover, a
	// gateway without peers learns of a hold within three seconds.
	holdReadInterval = 2 * time.Second
	// holdWriteSpread spreads the gateways that are about to write the same hold, for
	// each fifty gateways.
	holdWriteSpread = 250 * time.Millisecond
)

// followHolds puts the holds in the store into force until ctx ends.
func (g *Gateway) followHolds(ctx context.Context) error {
	feed := g.newFollower(holdtable.Table, func() following.ReadPolicy {
		return following.ReadPolicy{Interval: holdReadInterval, LongPoll: true}
	})
	for ctx.Err() == nil {
		u, ok := feed.next(ctx, maxUpdateWait)
		if !ok {
			continue
		}
		g.applyHoldRows(u, time.Now())
		feed.finishUpdate(u, u.page.Rows)
	}
	return nil
}

// applyHoldRows applies an update of the hold table. A row that was deleted lifts its hold;
// one that is missing since the store was restored is written again.
func (g *Gateway) applyHoldRows(u update, now time.Time) {
	c := g.crashes
	var changes []quarantine.Change
	c.mu.Lock()
	c.rows.Update(u.full, u.page.Now, now)
	for _, r := range u.page.Rows {
		h, err := c.rows.Read(r)
		if err != nil {
			g.log.Event(component, "hold unreadable", zap.String("row", r.Name), zap.Uint64("rev", r.Rev), eventlog.Error(err))
			continue
		}
		if r.Removed {
			changes = append(changes, c.tracker.Lift(h.Name)...)
			continue
		}
		if !now.Before(h.Until) {
			continue
		}
		switch why := c.tracker.Adopt(h); why {
		case quarantine.Taken:
			changes = append(changes, quarantine.Change{Hold: h})
		case quarantine.Known:
		default:
			g.logRefusal(h, why, byRow)
			if why == quarantine.Answered {
				c.rows.Contested(h.Name)
				wake(c.report) // those that placed it hear of the answers
			}
		}
	}
	c.mu.Unlock()
	g.applyHoldChanges(changes, byRow)
	if u.full {
		wake(c.save)
	}
}

// saveHolds writes holds to the store until ctx ends. Every gateway runs it; the condition
// on the row's revision lets only one write succeed.
func (g *Gateway) saveHolds(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-g.crashes.save:
		case <-ctx.Done():
			return nil
		}
		for ctx.Err() == nil {
			sleep(ctx, time.Duration(rand.Int64N(int64(holdWriteSpread)*int64(1+g.gateways()/50))))
			if !g.saveOneHold(ctx) {
				break
			}
		}
	}
	return nil
}

// saveOneHold writes one row and reports whether there was one to write.
func (g *Gateway) saveOneHold(ctx context.Context) bool {
	g.crashes.mu.Lock()
	txn, name, ok, err := g.crashes.rows.Next(g.crashes.tracker.Holds())
	g.crashes.mu.Unlock()
	if !ok {
		return false
	}
	var out store.Outcome
	if err == nil {
		out, err = g.store.Commit(ctx, txn)
	}
	if err != nil {
		g.counters.storeFailures.Inc(1)
		g.log.Event(component, "hold not written", zap.String("hold", holdtable.FeatureName(name)), eventlog.Error(err))
		sleep(ctx, jitter(failedWritePause))
		return true
	}
	g.log.Event(component, "hold written", zap.String("hold", holdtable.FeatureName(name)), zap.Bool("removed", len(txn.Delete) > 0),
		zap.Bool("applied", out.Applied), zap.Uint64("rev", out.Rev))
	if out.Applied {
		g.crashes.mu.Lock()
		g.crashes.rows.Written(txn, name, out.Rev)
		g.crashes.mu.Unlock()
	} else {
		sleep(ctx, holdWriteSpread) // the follower reads what another gateway has written
	}
	return true
}
