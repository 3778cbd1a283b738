package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/store"
	"tarragonbay.example/tarragonbay/internal/versionshift"
)

// shiftTable is the store table with one row for each service: the state of its last
// shift.
const shiftTable = "shifts"

// Intervals of the shift tasks.
const (
	// stepInterval is the interval between two evaluations of the evidence. At most five
	// seconds may pass from the fiftieth bad answer to the last.
	stepInterval = 300 * time.Millisecond
	// writeSpread spreads the gateways that are about to write the same change, so that
	// most of them see it written instead.
	writeSpread = 250 * time.Millisecond
)

// followShifts follows the table of states while any shift is open.
func (g *Gateway) followShifts(ctx context.Context) error {
	f := g.newFollower(shiftTable, func() following.ReadPolicy { return following.ReadPolicy{Interval: g.feedHold() / 2, LongPoll: true} })
	for ctx.Err() == nil {
		if len(g.shifts.openOrders()) == 0 {
			select {
			case <-g.shifts.wakeup:
			case <-ctx.Done():
			}
			continue
		}
		u, ok := f.next(ctx, maxUpdateWait)
		if !ok {
			continue
		}
		now := time.Now()
		holds := map[string]bool{}
		for _, r := range u.page.Rows {
			holds[r.Name] = !r.Removed
			g.applyShiftRow(r)
		}
		if u.full {
			g.shifts.applyStateList(u.page.Rev, holds)
		}
		f.finishUpdate(u, u.page.Rows)
		if !u.fromPeer {
			g.shifts.statesRead(u.page.Now, now)
		}
	}
	return nil
}

// applyShiftRow applies a row of the table of states. One that holds no state is replaced by
// the next write.
func (g *Gateway) applyShiftRow(r store.Row) {
	var st versionshift.State
	if r.Removed {
		g.shifts.loseRow(r)
		return
	}
	err := json.Unmarshal(r.Value, &st)
	if err == nil {
		err = st.Check(r.Name, r.Rev)
	}
	if err != nil {
		g.shifts.loseRow(r)
		g.log.Event(component, "shift state unreadable", zap.String("service", r.Name), zap.Uint64("rev", r.Rev), eventlog.Error(err))
		return
	}
	g.applyShift(st, r.Rev)
}

// stepShifts advances shifts as the evidence requires. Every gateway runs it; the
// condition on the row's revision lets only one write succeed.
func (g *Gateway) stepShifts(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, jitter(stepInterval))
		for _, o := range g.shifts.openOrders() {
			st, observed, change := g.nextShift(o)
			if !change {
				continue
			}
			if st.Phase == versionshift.Withdrawn && g.shifts.decideWithdrawal(st) {
				g.log.Event(component, "version condemned", zap.String("service", st.Service), zap.String("to", st.To),
					zap.String("why", st.Reason), zap.Any("evidence", observed.Summarize()))
			}
			sleep(ctx, time.Duration(rand.Int64N(int64(writeSpread))))
			if st, observed, change := g.nextShift(o); change {
				g.writeShift(ctx, st, observed)
			}
		}
	}
	return nil
}

// nextShift returns the next state of a shift. change is false when the state stays as it
// is or is not known yet.
func (g *Gateway) nextShift(o versionshift.Order) (next versionshift.State, observed versionshift.EvidenceByClass, change bool) {
	now := time.Now()
	st, storeNow, ok := g.shifts.stateOf(o, now)
	if !ok {
		return st, nil, false
	}
	if unsaved, yes := g.shifts.unsavedState(o); yes {
		return unsaved, nil, true
	}
	if !st.BelongsTo(o) && st.Order < o.Rev {
		return versionshift.Start(o, storeNow, st), nil, true
	}
	observed = g.localEvidence(o).Add(g.peerEvidence(o, now))
	next = versionshift.Next(st, observed, storeNow)
	if withdrawal, yes := g.shifts.decidedWithdrawal(o); yes && !st.Ended() {
		next = withdrawal
	}
	return next, observed, next.Phase != st.Phase
}

// evidenceCacheTime is how long the sum of the peers' evidence is reused: a fraction of
// the interval of gossip messages. It is cached because every request needs it.
const evidenceCacheTime = 100 * time.Millisecond

// evidenceCache caches the sums of the peers' evidence by service.
type evidenceCache struct {
	mu   sync.Mutex
	sums map[string]cachedEvidence
}

type cachedEvidence struct {
	order    uint64
	at       time.Time
	observed versionshift.EvidenceByClass
}

// get returns the sum for an order and computes it again when the cached one is too old.
func (m *evidenceCache) get(o versionshift.Order, now time.Time, sum func() versionshift.EvidenceByClass) versionshift.EvidenceByClass {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.sums[o.Service]; ok && k.order == o.Rev && now.Sub(k.at) < evidenceCacheTime {
		return k.observed
	}
	if m.sums == nil {
		m.sums = map[string]cachedEvidence{}
	}
	observed := sum()
	m.sums[o.Service] = cachedEvidence{order: o.Rev, at: now, observed: observed}
	return observed
}

// peerEvidence returns the evidence of peers on a shift. The caller must not modify it.
func (g *Gateway) peerEvidence(o versionshift.Order, now time.Time) versionshift.EvidenceByClass {
	if g.gossip == nil {
		return nil
	}
	return g.peerEvidenceCache.get(o, now, func() versionshift.EvidenceByClass { return g.gossip.Peers.Evidence(o.Service, o.Rev, now) })
}

// localEvidence returns the evidence of this gateway by class, and under the empty class
// the number of its requests that still run on the old version.
func (g *Gateway) localEvidence(o versionshift.Order) versionshift.EvidenceByClass {
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
	e[""] = e[""].Add(versionshift.Evidence{OldRunning: g.loads.runningAt(old)})
	return e
}

// writeShift writes a new state together with the status for the operator. If the response
// is lost, the table's feed shows whether the write succeeded.
func (g *Gateway) writeShift(ctx context.Context, st versionshift.State, observed versionshift.EvidenceByClass) {
	rev := g.shifts.revOf(st.Service)
	fields := []zap.Field{
		zap.String("service", st.Service), zap.String("to", st.To), zap.String("phase", string(st.Phase)),
		zap.String("why", st.Reason), zap.Uint64("atRev", rev), zap.Any("evidence", observed.Summarize()),
	}
	value, err := json.Marshal(st)
	if err != nil {
		g.log.Event(component, "shift not written", append(fields, eventlog.Error(err))...)
		return
	}
	status, err := g.docs.ShiftStatus(st.Service, st.To, st.Phase)
	if err != nil {
		g.log.Event(component, "shift not written", append(fields, eventlog.Error(err))...)
		return
	}
	key := store.Key{Table: shiftTable, Name: st.Service}
	out, err := g.store.Commit(ctx, store.Txn{
		Expect: []store.Expect{{Key: key, Rev: rev}},
		Set:    []store.Row{{Key: key, Value: value}, status},
	})
	if err != nil {
		g.counters.storeFailures.Inc(1)
		g.log.Event(component, "shift write failed", append(fields, zap.String("code", result.From(err).Code.String()))...)
		sleep(ctx, jitter(failedWritePause))
		return
	}
	g.log.Event(component, "shift written", append(fields, zap.Bool("applied", out.Applied), zap.Uint64("rev", out.Rev))...)
	if out.Applied {
		g.applyShift(st, out.Rev)
	}
}

// applyShift puts a state into force.
func (g *Gateway) applyShift(st versionshift.State, rev uint64) {
	if g.shifts.applyState(st, rev) {
		g.log.Event(component, "shift phase", zap.String("service", st.Service), zap.String("to", st.To),
			zap.String("phase", string(st.Phase)), zap.String("why", st.Reason), zap.Uint64("rev", rev))
	}
}

// evidence returns the observations on a service's shift.
func (tr *shiftTracker) evidence(service string, now time.Time) versionshift.EvidenceByClass {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.shift(service).evidence.total(now)
}

// runningAt returns the number of requests in flight at the upstreams.
func (tr *loadTracker) runningAt(ids []string) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	n := 0
	for _, id := range ids {
		if t := tr.ups[id]; t != nil {
			n += t.running
		}
	}
	return n
}
