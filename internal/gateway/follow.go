package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/routetable"
	"tarragonbay.example/tarragonbay/internal/store"
)

// Pace of the feeds.
const (
	// overdue is how many waits without a confirmation are too long.
	overdue = 2
	// awayPause is the pause after a call that failed.
	awayPause = 150 * time.Millisecond
)

// bounds are the times that hang on how current this gateway is.
func (g *Gateway) bounds() following.Bounds {
	s := g.settings()
	return following.Bounds{ConfigWithin: s.ConfigWithin, RevokeWithin: s.RevokeWithin}
}

// feedWait is how long the store holds a feed without changes.
func (g *Gateway) feedWait() time.Duration { return g.bounds().Hold() }

// follower reads one table: a list first, then its feed.
type follower struct {
	g     *Gateway
	table string
	rev   uint64
	// listed is false until a list was taken in, and after lost history.
	listed bool
	away   bool
}

// step makes one call and returns the changed rows; full is true when they are
// all rows of the table. A list that is older than what was seen is refused.
func (f *follower) step(ctx context.Context, wait time.Duration) (p store.Page, full bool, err error) {
	if f.listed {
		p, err = f.g.store.Feed(ctx, f.table, f.rev, wait)
		if result.Is(err, result.HistoryGone) {
			f.listed = false
			f.g.log.Event(part, "history lost", zap.String("table", f.table), zap.Uint64("after", f.rev))
		}
	}
	if !f.listed {
		full = true
		p, err = f.g.store.List(ctx, f.table, "")
		if err == nil && p.Rev < f.rev {
			return p, full, result.New(result.TableUnavailable, "the list at %d is older than %d", p.Rev, f.rev)
		}
	}
	if err == nil {
		f.listed = true
		f.rev = max(f.rev, p.Rev)
	}
	f.note(err)
	return p, full, err
}

// note logs when the store is lost and regained.
func (f *follower) note(err error) {
	switch {
	case err != nil && !f.away:
		f.away = true
		f.g.count.storeLost.Inc(1)
		f.g.log.Event(part, "store lost", zap.String("table", f.table), zap.Uint64("rev", f.rev), eventlog.Error(err))
	case err == nil && f.away:
		f.away = false
		f.g.log.Event(part, "store regained", zap.String("table", f.table), zap.Uint64("rev", f.rev))
	}
}

// followOperator keeps the configuration and the orders for shifts.
func (g *Gateway) followOperator(ctx context.Context) error {
	f := &follower{g: g, table: g.docs.OperatorTable()}
	clock := following.Clock{}
	for ctx.Err() == nil {
		asked, wait := g.boot(), g.feedWait()
		if g.contact.age(asked) > overdue*wait {
			wait = 0 // confirms at once what has not been confirmed for too long
		}
		page, full, err := f.step(ctx, wait)
		if err != nil {
			pause(ctx, jitter(awayPause))
			continue
		}
		for _, r := range page.Rows {
			g.takeOperator(r)
		}
		answer := following.Answer{
			Asked: asked, Got: g.boot(), Held: wait, Changes: full || len(page.Rows) > 0, StoreNow: page.Now,
		}
		clock.Note(asked, page.Now)
		g.contact.confirm(answer.Confirmed(&clock))
	}
	return nil
}

func (g *Gateway) takeOperator(r store.Row) {
	if spec, ok, err := g.docs.Routing(r); err != nil {
		g.log.Event(part, "configuration unreadable", zap.Uint64("rev", r.Rev), eventlog.Error(err))
	} else if ok {
		g.adopt(spec, r.Rev)
	}
	if order, ok, err := g.docs.Shift(r); err != nil {
		g.log.Event(part, "shift order unreadable", zap.String("service", order.Service), zap.Uint64("rev", r.Rev), eventlog.Error(err))
	} else if ok {
		if g.shifts.order(order, r.Removed) {
			g.log.Event(part, "shift ordered", zap.String("service", order.Service), zap.String("to", order.To),
				zap.Duration("withinMs", order.Within), zap.Uint64("rev", r.Rev))
		}
	}
}

// adopt puts a configuration in force. A lower version than the one in force
// is never taken.
func (g *Gateway) adopt(spec routetable.Spec, rev uint64) {
	old := g.table.Load()
	if old != nil && spec.Version <= old.Version() {
		if spec.Version < old.Version() {
			g.log.Event(part, "older configuration ignored", zap.Int64("version", spec.Version),
				zap.Int64("inForce", old.Version()), zap.Uint64("rev", rev))
		}
		return
	}
	g.table.Store(routetable.New(spec))
	g.count.configs.Inc(1)
	g.log.Event(part, "configuration in force", zap.Int64("version", spec.Version), zap.Uint64("rev", rev),
		zap.Int("routes", len(spec.Routes)), zap.Int("organisations", len(spec.Organisations)))
}
