package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// The table of shifts: a state row for each service and an evidence row for
// each gateway and service.
const (
	shiftTable    = "shifts"
	stateSuffix   = "/state"
	evidenceInfix = "/seen/"
)

// Pace of the duty.
const (
	// shiftPause is the pause between two steps while a shift is open. The
	// users allow five seconds from the fiftieth bad answer to the last.
	shiftPause = 700 * time.Millisecond
	// evidenceLife is how old a gateway's evidence may be; after it the
	// gateway is taken as gone.
	evidenceLife = 5 * time.Second
)

// sighting is the evidence row of one gateway.
type sighting struct {
	Order    uint64                `json:"order"`
	At       time.Duration         `json:"at"` // store's clock
	Evidence versionshift.Evidence `json:"evidence"`
}

// runShifts advances shifts while any is open. Every gateway does; the
// condition on the state row's revision lets one of them through.
func (g *Gateway) runShifts(ctx context.Context) error {
	last := map[string]sighting{}
	for ctx.Err() == nil {
		open := g.shifts.open()
		if len(open) == 0 {
			select {
			case <-g.shifts.wake:
			case <-ctx.Done():
			}
			continue
		}
		page, err := g.store.List(ctx, shiftTable, "")
		if err != nil {
			g.count.storeFailures.Inc(1)
			pause(ctx, jitter(awayPause))
			continue
		}
		for _, o := range open {
			g.stepShift(ctx, o, page, last)
		}
		pause(ctx, jitter(shiftPause))
	}
	return nil
}

// stepShift takes in what the store holds of one shift, adds this gateway's
// evidence and advances the shift when the evidence says so.
func (g *Gateway) stepShift(ctx context.Context, o versionshift.Order, page store.Page, last map[string]sighting) {
	stateKey := store.Key{Table: shiftTable, Name: o.Service + stateSuffix}
	var st versionshift.State
	var rev uint64
	var all versionshift.Evidence
	for _, r := range page.Rows {
		if r.Key == stateKey {
			rev = r.Rev
			if err := json.Unmarshal(r.Value, &st); err != nil {
				g.log.Event(part, "shift state unreadable", zap.String("service", o.Service), zap.Uint64("rev", r.Rev), zap.Error(err))
				return
			}
		}
	}
	if st.Order < o.Rev {
		g.writeShift(ctx, versionshift.Start(o, page.Now), stateKey, rev, versionshift.Evidence{})
		return
	}
	g.takeShift(st, page.Now, rev)
	if st.Ended() {
		return
	}
	for _, r := range page.Rows {
		name, ok := strings.CutPrefix(r.Name, o.Service+evidenceInfix)
		if !ok || name == g.settings().Name {
			continue
		}
		var s sighting
		if err := json.Unmarshal(r.Value, &s); err != nil {
			g.log.Event(part, "evidence unreadable", zap.String("from", name), zap.Uint64("rev", r.Rev), zap.Error(err))
			continue
		}
		if s.Order == o.Rev && page.Now-s.At < evidenceLife {
			all = all.Add(s.Evidence)
		}
	}
	own := g.ownEvidence(o)
	all = all.Add(own)
	if next := versionshift.Next(st, all, page.Now); next.Phase != st.Phase {
		g.writeShift(ctx, next, stateKey, rev, all)
	}
	g.report(ctx, o, own, page.Now, last)
}

// ownEvidence is what this gateway has seen, and what it still runs on the old
// version.
func (g *Gateway) ownEvidence(o versionshift.Order) versionshift.Evidence {
	e := g.shifts.evidence(o.Service, time.Now())
	view := g.fleet.Load()
	if view == nil {
		return e
	}
	var old []string
	for _, u := range view.byService[o.Service] {
		if u.Version != o.To {
			old = append(old, u.ID)
		}
	}
	e.OldRunning = g.loads.runningAt(old)
	return e
}

// report writes this gateway's evidence when it has changed.
func (g *Gateway) report(ctx context.Context, o versionshift.Order, own versionshift.Evidence, now time.Duration, last map[string]sighting) {
	s := sighting{Order: o.Rev, At: now, Evidence: own}
	old, ok := last[o.Service]
	if ok && old.Order == s.Order && old.Evidence == s.Evidence && now-old.At < evidenceLife/2 {
		return
	}
	value, err := json.Marshal(s)
	if err != nil {
		g.log.Event(part, "evidence not written", zap.Error(err))
		return
	}
	key := store.Key{Table: shiftTable, Name: o.Service + evidenceInfix + g.settings().Name}
	if _, err := g.store.Commit(ctx, store.Txn{Set: []store.Row{{Key: key, Value: value}}}); err != nil {
		g.count.storeFailures.Inc(1)
		return // the next step writes it again
	}
	last[o.Service] = s
}

// writeShift writes a new state together with the status that the operator
// reads. A lost answer is resolved by the next read of the row.
func (g *Gateway) writeShift(ctx context.Context, st versionshift.State, key store.Key, rev uint64, e versionshift.Evidence) {
	value, err := json.Marshal(st)
	if err != nil {
		g.log.Event(part, "shift not written", zap.Error(err))
		return
	}
	status, err := g.docs.ShiftStatus(st.Service, st.To, st.Phase)
	if err != nil {
		g.log.Event(part, "shift not written", zap.Error(err))
		return
	}
	out, err := g.store.Commit(ctx, store.Txn{
		Expect: []store.Expect{{Key: key, Rev: rev}},
		Set:    []store.Row{{Key: key, Value: value}, status},
	})
	fields := []zap.Field{
		zap.String("service", st.Service), zap.String("to", st.To), zap.String("phase", string(st.Phase)),
		zap.String("why", st.Why), zap.Uint64("at revision", rev), zap.Any("evidence", e),
	}
	if err != nil {
		g.count.storeFailures.Inc(1)
		g.log.Event(part, "shift write failed", append(fields, zap.String("code", result.From(err).Code.String()))...)
		return
	}
	g.log.Event(part, "shift written", append(fields, zap.Bool("applied", out.Applied), zap.Uint64("rev", out.Rev))...)
	if out.Applied {
		g.takeShift(st, out.Now, out.Rev)
	}
}

// takeShift puts a state in force.
func (g *Gateway) takeShift(st versionshift.State, storeNow time.Duration, rev uint64) {
	if g.shifts.adopt(st, storeNow, time.Now()) {
		g.log.Event(part, "shift phase", zap.String("service", st.Service), zap.String("to", st.To),
			zap.String("phase", string(st.Phase)), zap.String("why", st.Why), zap.Uint64("rev", rev))
	}
}

// evidence returns what was seen of a service's shift.
func (b *shiftBook) evidence(service string, now time.Time) versionshift.Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).seen.sum(now)
}

// runningAt returns how many requests run at the upstreams.
func (b *loadBook) runningAt(ids []string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, id := range ids {
		if t := b.ups[id]; t != nil {
			n += t.running
		}
	}
	return n
}
