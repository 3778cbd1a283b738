package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/eventlog"
	"tarragonbay.example/tarragonbay/internal/following"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/store"
)

// tableFollower keeps a copy of one store table up to date, by its own calls or by the reads
// that peers send (see following.ReadPolicy). A single goroutine uses it; reads of peers
// arrive through a channel.
type tableFollower struct {
	g      *Gateway
	table  string
	policy func() following.ReadPolicy
	rev    uint64
	// listed is false until a full list was applied, and again after the store has dropped
	// the history.
	listed bool
	// failures counts consecutive failed calls.
	failures int
	clock    following.Clock
	tail     following.Tail
	// confirmed is the time up to which all changes are known, on the boot clock. lastCall
	// is the time of the last own call, lastEarlierRead that of the last read received
	// from a gateway that sorts before this one by name.
	confirmed, lastCall, lastEarlierRead time.Duration
	// missedChanges is true when a peer has read changes that did not reach this gateway.
	missedChanges bool
	// onCall, if set, is called with the result of each own call.
	onCall func(now time.Duration, ok bool)
	// nextCallAt is the earliest time of the next own call, on the boot clock.
	// readsResumed is true when a read from a peer has ended a period in which no gateway
	// read the table.
	nextCallAt   time.Duration
	readsResumed bool
	// isTableReader is true while this gateway reads the table for all gateways.
	isTableReader bool
	peerReads     chan peerRead
}

// peerRead is a read of a table as received from a peer.
type peerRead struct {
	peers.TableUpdate
	from       string
	receivedAt time.Duration
}

// maxPendingPeerReads bounds the queue of reads received from peers. A gateway that drops
// some of them reads the table itself.
const maxPendingPeerReads = 16

// newFollower returns a follower of a table and registers it for the reads of peers. All
// followers are created before gossip starts.
func (g *Gateway) newFollower(table string, policy func() following.ReadPolicy) *tableFollower {
	f := &tableFollower{
		g: g, table: table, policy: policy, confirmed: neverTime, lastCall: neverTime, lastEarlierRead: neverTime,
		peerReads: make(chan peerRead, maxPendingPeerReads),
	}
	g.followersMu.Lock()
	defer g.followersMu.Unlock()
	g.followers[table] = f
	return f
}

// receiveRead queues a read received from a peer. It never blocks.
func (g *Gateway) receiveRead(from string, r peers.TableUpdate) {
	g.followersMu.Lock()
	f := g.followers[r.Table]
	g.followersMu.Unlock()
	if f == nil {
		return
	}
	select {
	case f.peerReads <- peerRead{TableUpdate: r, from: from, receivedAt: g.bootClock()}:
	default: // the next read reveals the gap in the revisions
	}
}

// update is a result to be applied: of an own call or of a read by a peer.
type update struct {
	page store.Page
	// full is true when the page holds all rows of the table.
	full   bool
	answer following.Response
	// fromPeer is true when the update came from a peer; broadcast is true when it must be
	// sent to peers.
	fromPeer, broadcast bool
	// storeRestored is true for the first page after the store was restored from an older
	// copy: writes made after that copy are lost.
	storeRestored bool
}

// next returns the next update, from an own call or from a peer's read. ok is false when
// none came within maxWait.
func (f *tableFollower) next(ctx context.Context, maxWait time.Duration) (u update, ok bool) {
	select {
	case t := <-f.peerReads:
		return f.applyPeerRead(t)
	default:
	}
	now := f.g.bootClock()
	action := f.policy().Next(f.readState(now))
	switch {
	case action.Call && now < f.nextCallAt:
		action.Wait = f.nextCallAt - now
	case action.Call:
		return f.call(ctx, action)
	}
	timer := time.NewTimer(min(action.Wait, maxWait))
	defer timer.Stop()
	select {
	case t := <-f.peerReads:
		return f.applyPeerRead(t)
	case <-timer.C:
	case <-ctx.Done():
	}
	return update{}, false
}

func (f *tableFollower) readState(now time.Duration) following.ReadState {
	age := func(at time.Duration) time.Duration {
		if at == neverTime {
			return following.Never
		}
		return now - at
	}
	v := following.ReadState{LastCallAge: age(f.lastCall), LastReadAge: age(f.confirmed), LastEarlierPeerReadAge: age(f.lastEarlierRead), Behind: f.missedChanges, Failing: f.failures > 0, OutageEnded: f.readsResumed}
	if f.g.gossip != nil {
		v.EarlierPeers = f.g.gossip.Peers.CountBefore(f.g.settings().Name, time.Now())
	}
	return v
}

// applyPeerRead turns a peer's read into an update, unless changes before it are missing
// here.
func (f *tableFollower) applyPeerRead(t peerRead) (u update, ok bool) {
	if store.Era(t.Page.Rev) < store.Era(f.rev) {
		return update{}, false // the peer does not know yet that the store was restored
	}
	if t.from < f.g.settings().Name {
		f.lastEarlierRead = max(f.lastEarlierRead, t.receivedAt)
		f.setTableReader(false, zap.String("reader", t.from))
	}
	if !f.listed || t.After > f.rev {
		if f.listed && t.Page.Rev > f.rev && !f.missedChanges {
			f.missedChanges = true
			f.g.log.Event(component, "changes missed", zap.String("table", f.table), zap.String("reader", t.from),
				zap.Uint64("rev", f.rev), zap.Uint64("after", t.After), zap.Uint64("toldRev", t.Page.Rev))
		}
		return update{}, false
	}
	if now := f.g.bootClock(); f.policy().EndsOutage(f.readState(now)) {
		f.readsResumed = true
		f.nextCallAt = now + time.Duration(rand.Float64()*float64(following.ProbeSpread(f.g.gateways())))
	}
	u = update{page: store.Page{Rev: t.Page.Rev, Now: t.Page.Now}, fromPeer: true}
	for _, r := range t.Page.Rows {
		if r.Rev > f.rev {
			u.page.Rows = append(u.page.Rows, r)
		}
	}
	if len(u.page.Rows) > 0 {
		f.g.log.Event(component, "changes told", zap.String("table", f.table), zap.String("reader", t.from),
			zap.Int("rows", len(u.page.Rows)), zap.Uint64("after", f.rev), zap.Uint64("rev", t.Page.Rev), zap.Duration("storeNowMs", t.Page.Now))
	}
	f.rev = max(f.rev, t.Page.Rev)
	return u, true
}

// setTableReader records and logs whether this gateway reads the table for all gateways.
func (f *tableFollower) setTableReader(isReader bool, fields ...zap.Field) {
	if isReader == f.isTableReader {
		return
	}
	f.isTableReader = isReader
	f.g.log.Event(component, "reader of a table", append(fields, zap.String("table", f.table), zap.Bool("this", isReader), zap.Uint64("rev", f.rev))...)
}

// call makes an own call to the store. While the store is unreachable, a read received
// from a peer cancels the call, which may never be answered.
func (f *tableFollower) call(ctx context.Context, action following.Action) (u update, ok bool) {
	if f.failures == 0 {
		return f.handleResult(f.fetch(ctx, action))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, 1)
	go func() { results <- f.fetch(ctx, action) }()
	for {
		select {
		case a := <-results:
			return f.handleResult(a)
		case t := <-f.peerReads:
			behind := f.listed && t.After > f.rev
			if !f.listed || (behind && (action.List || !f.policy().Relists(f.readState(f.g.bootClock()).LastReadAge))) {
				continue // the call returns the changes that the read lacks
			}
			cancel()
			if a := <-results; a.err == nil {
				return f.handleResult(a) // the next peer read repeats the rows of this one
			}
			f.lastCall = f.g.bootClock()
			return f.applyPeerRead(t)
		}
	}
}

// callResult is the result of an own call.
type callResult struct {
	action following.Action
	update update
	err    error
	// historyLost is true when the store has dropped the history after this gateway's
	// revision.
	historyLost bool
}

// fetch makes the call without changing the follower. A list older than the revision
// already seen is an error.
func (f *tableFollower) fetch(ctx context.Context, action following.Action) (a callResult) {
	a = callResult{action: action, update: update{broadcast: action.SendToPeers, answer: following.Response{SentAt: f.g.bootClock(), HoldTimeout: action.Hold}}}
	if f.listed && !action.List {
		a.update.page, a.err = f.g.store.Feed(ctx, f.table, f.rev, action.Hold)
		if a.historyLost = result.Is(a.err, result.HistoryGone); !a.historyLost {
			return a
		}
	}
	a.update.full = true
	a.update.page, a.err = f.g.store.List(ctx, f.table, "")
	if a.err == nil && a.update.page.Rev < f.rev {
		a.err = result.New(result.TableUnavailable, "the list at revision %d is older than revision %d", a.update.page.Rev, f.rev)
	}
	return a
}

// handleResult applies the result of an own call to the follower's state.
func (f *tableFollower) handleResult(a callResult) (u update, ok bool) {
	if a.historyLost {
		f.listed = false
		f.g.log.Event(component, "history lost", zap.String("table", f.table), zap.Uint64("after", f.rev))
	}
	f.lastCall, f.readsResumed = f.g.bootClock(), false
	f.recordCallError(a.err)
	if f.onCall != nil {
		f.onCall(f.lastCall, a.err == nil)
	}
	if a.err != nil {
		f.setTableReader(false)
		f.nextCallAt = f.lastCall + jitter(following.OutageBackoff(f.failures, f.g.reachableGateways()))
		return update{}, false
	}
	if a.action.SendToPeers {
		f.setTableReader(true)
	}
	u = a.update
	if u.storeRestored = f.listed || f.rev > 0; u.storeRestored {
		u.storeRestored = store.Era(u.page.Rev) > store.Era(f.rev)
	}
	if u.storeRestored {
		f.clock = following.Clock{}
		f.g.log.Event(component, "store came back older", zap.String("table", f.table), zap.Uint64("era", store.Era(u.page.Rev)),
			zap.Uint64("rev", u.page.Rev), zap.Uint64("knownRev", f.rev), zap.Int("rows", len(u.page.Rows)))
	}
	f.listed, f.missedChanges = true, false
	f.rev = max(f.rev, u.page.Rev)
	u.answer.ReceivedAt, u.answer.StoreNow = f.lastCall, u.page.Now
	u.answer.HasChanges = u.full || len(u.page.Rows) > 0
	f.clock.Observe(u.answer.SentAt, u.page.Now)
	return u, true
}

// finishUpdate records that an update was applied and sends it to peers if required.
// changed holds the rows that are relevant to peers.
func (f *tableFollower) finishUpdate(u update, changed []store.Row) {
	now := f.g.bootClock()
	if u.fromPeer {
		if at, ok := f.clock.LocalTimeBefore(u.page.Now, now); ok {
			f.confirmed = max(f.confirmed, at-following.MaxReadDelay)
		}
	} else {
		f.confirmed = max(f.confirmed, u.answer.ConfirmedAt(&f.clock))
	}
	if u.full {
		f.tail.Reset(f.rev)
	} else {
		f.tail.Add(changed, now)
	}
	if u.broadcast && f.g.gossip != nil {
		after, rows := f.tail.Rows()
		f.g.gossip.SendTableUpdate(peers.TableUpdate{
			Table: f.table, After: after, Page: store.Page{Rows: rows, Rev: f.rev, Now: u.page.Now},
		})
	}
}

// recordCallError counts consecutive failures and logs when the store becomes unreachable
// and reachable again.
func (f *tableFollower) recordCallError(err error) {
	switch {
	case err != nil:
		f.failures++
		if f.failures > 1 {
			return
		}
		f.g.counters.storeLost.Inc(1)
		f.g.log.Event(component, "store lost", zap.String("table", f.table), zap.Uint64("rev", f.rev), eventlog.Error(err))
	case f.failures > 0:
		f.failures = 0
		f.g.log.Event(component, "store regained", zap.String("table", f.table), zap.Uint64("rev", f.rev))
	}
}
