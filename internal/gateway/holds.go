package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/store"
)

// holdTable is the store table with one row for each hold, so that holds outlast the
// gateways and reach those that hear no peers. Deleting a row lifts its hold.
const holdTable = "holds"

// Intervals of the hold tasks.
const (
	// holdReadInterval is the interval between two reads of the table: with a takeover, a
	// gateway without peers learns of a hold within three seconds.
	holdReadInterval = 2 * time.Second
	// holdWriteSpread spreads the gateways that are about to write the same hold, for
	// each fifty gateways.
	holdWriteSpread = 250 * time.Millisecond
)

// holdRow is the value of a row.
type holdRow struct {
	Features []string `json:"features"`
	// SinceMS and UntilMS are on the store's clock.
	SinceMS int64 `json:"since_ms"`
	UntilMS int64 `json:"until_ms"`
	Crashes int   `json:"crashes"`
}

// savedHold is a row as the store holds it.
type savedHold struct {
	rev      uint64
	features []quarantine.Feature
	// unreadable is true for a row that no gateway of this build wrote.
	unreadable bool
}

// holdRows are the rows of the hold table as far as they are known.
type holdRows struct {
	listed bool
	saved  map[quarantine.Feature]savedHold
	// storeNow is the store's clock at the local time at.
	storeNow time.Duration
	at       time.Time
}

func featureName(f quarantine.Feature) string { return strconv.FormatUint(uint64(f), 16) }

// parseFeature is the inverse of featureName. It takes no other spelling of a number, since
// that is the name of another row.
func parseFeature(name string) (quarantine.Feature, error) {
	n, err := strconv.ParseUint(name, 16, 64)
	if f := quarantine.Feature(n); err == nil && featureName(f) == name {
		return f, nil
	}
	return 0, errors.NotValidf("feature %q", name)
}

func featureNames(all []quarantine.Feature) string {
	names := make([]string, 0, len(all))
	for _, f := range all {
		names = append(names, featureName(f))
	}
	return strings.Join(names, ",")
}

// followHolds puts the holds in the store into force until ctx ends.
func (g *Gateway) followHolds(ctx context.Context) error {
	feed := g.newFollower(holdTable, func() following.ReadPolicy {
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
	rows := &c.rows
	rows.listed, rows.storeNow, rows.at = true, u.page.Now, now
	if u.full {
		rows.saved = map[quarantine.Feature]savedHold{}
	}
	for _, r := range u.page.Rows {
		name, err := parseFeature(r.Name)
		if err == nil && r.Removed {
			delete(rows.saved, name)
			changes = append(changes, c.tracker.Lift(name)...)
			continue
		}
		var h quarantine.Hold
		if err == nil {
			h, err = rows.decode(name, r.Value)
			rows.saved[name] = savedHold{rev: r.Rev, features: h.Features, unreadable: err != nil}
		}
		if err != nil {
			g.log.Event(component, "hold unreadable", zap.String("row", r.Name), zap.Uint64("rev", r.Rev), eventlog.Error(err))
			continue
		}
		if now.Before(h.Until) && c.tracker.Restore(h) {
			changes = append(changes, quarantine.Change{Hold: h})
		}
	}
	c.mu.Unlock()
	g.applyHoldChanges(changes)
	if u.full {
		wake(c.save)
	}
}

// decode returns the hold in a row, with its times on the local clock.
func (t *holdRows) decode(name quarantine.Feature, value []byte) (quarantine.Hold, error) {
	var row holdRow
	if err := json.Unmarshal(value, &row); err != nil {
		return quarantine.Hold{}, errors.Annotate(err, "decode a hold")
	}
	local := func(ms int64) time.Time { return t.at.Add(time.Duration(ms)*time.Millisecond - t.storeNow) }
	h := quarantine.Hold{Name: name, Crashes: row.Crashes, Since: local(row.SinceMS), Until: local(row.UntilMS)}
	if latest := t.at.Add(quarantine.HoldTime); h.Until.After(latest) {
		h.Until = latest // the store's clock has started anew
	}
	for _, n := range row.Features {
		f, err := parseFeature(n)
		if err != nil {
			return h, err
		}
		h.Features = append(h.Features, f)
	}
	return h, nil
}

// encode returns the row of a hold.
func (t *holdRows) encode(h quarantine.Hold) (store.Row, error) {
	ms := func(at time.Time) int64 { return (t.storeNow + at.Sub(t.at)).Milliseconds() }
	row := holdRow{SinceMS: ms(h.Since), UntilMS: ms(h.Until), Crashes: h.Crashes}
	for _, f := range h.Features {
		row.Features = append(row.Features, featureName(f))
	}
	value, err := json.Marshal(row)
	return store.Row{Key: holdKey(h.Name), Value: value}, errors.Annotate(err, "encode a hold")
}

func holdKey(name quarantine.Feature) store.Key {
	return store.Key{Table: holdTable, Name: featureName(name)}
}

// next returns the transaction that makes one row agree with the holds in force; ok is
// false when all do.
func (t *holdRows) next(holds []quarantine.Hold) (txn store.Txn, name quarantine.Feature, ok bool, err error) {
	if !t.listed {
		return txn, 0, false, nil
	}
	inForce := map[quarantine.Feature]bool{}
	for _, h := range holds {
		inForce[h.Name] = true
		if s, saved := t.saved[h.Name]; !saved || s.unreadable || !slices.Equal(s.features, h.Features) {
			row, err := t.encode(h)
			return store.Txn{Expect: []store.Expect{{Key: row.Key, Rev: s.rev}}, Set: []store.Row{row}}, h.Name, true, err
		}
	}
	for name, s := range t.saved {
		if !inForce[name] && !s.unreadable {
			return store.Txn{Expect: []store.Expect{{Key: holdKey(name), Rev: s.rev}}, Delete: []store.Key{holdKey(name)}}, name, true, nil
		}
	}
	return txn, 0, false, nil
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
	txn, name, ok, err := g.crashes.rows.next(g.crashes.tracker.Holds())
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
		g.log.Event(component, "hold not written", zap.String("hold", featureName(name)), eventlog.Error(err))
		sleep(ctx, jitter(failedWritePause))
		return true
	}
	g.log.Event(component, "hold written", zap.String("hold", featureName(name)), zap.Bool("removed", len(txn.Delete) > 0),
		zap.Bool("applied", out.Applied), zap.Uint64("rev", out.Rev))
	if out.Applied {
		g.recordSavedHold(txn, name, out.Rev)
	} else {
		sleep(ctx, holdWriteSpread) // the follower reads what another gateway has written
	}
	return true
}

// recordSavedHold records a row that this gateway has written.
func (g *Gateway) recordSavedHold(txn store.Txn, name quarantine.Feature, rev uint64) {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	rows := &g.crashes.rows
	if len(txn.Delete) > 0 {
		delete(rows.saved, name)
		return
	}
	if h, err := rows.decode(name, txn.Set[0].Value); err == nil {
		rows.saved[name] = savedHold{rev: rev, features: h.Features}
	}
}
