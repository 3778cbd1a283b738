package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/crashwatch"
	"tarragonbay.example/tarragonbay/internal/fleet"
	"tarragonbay.example/tarragonbay/internal/holdtable"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/quarantine"
	"tarragonbay.example/tarragonbay/internal/result"
)

// crashTracker holds what this gateway knows of crashes of upstreams and the requests that
// cause them.
type crashTracker struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	// breaks, waiting, roster and refusals are what the tracker is fed from and asked about.
	breaks   crashwatch.Breaks
	waiting  crashwatch.Waiting
	roster   quarantine.Roster
	refusals crashwatch.Refusals
	// rows are the holds in the store.
	rows holdtable.Rows
	// report wakes the task that tells peers, save the one that writes to the store.
	report, save chan struct{}
}

func newCrashTracker() *crashTracker {
	return &crashTracker{tracker: quarantine.NewTracker(), report: make(chan struct{}, 1), save: make(chan struct{}, 1)}
}

// wake wakes the task that waits on the channel.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is about to run
	}
}

// minClearingEvents is the number of events from which a stream shows that its upstream
// survives the request; a crash may cut off the first one.
const minClearingEvents = 2

// crashFeatures returns what may crash upstreams: the parts of the prompt but the last,
// which other requests share, and the request itself.
func (q *request) crashFeatures() []quarantine.Feature {
	if q.features == nil {
		for i, p := range q.call.Prompt {
			if i < len(q.call.Prompt)-1 && i < quarantine.MaxFeatures-1 {
				q.features = append(q.features, quarantine.Feature(xxhash.Sum64String("part "+p.ID)))
			}
		}
		q.features = append(q.features, quarantine.Feature(q.contentHash()))
	}
	return q.features
}

// judge returns the verdict on the request, and an error if it is held.
func (g *Gateway) judge(q *request) (quarantine.Verdict, *result.Error) {
	now := time.Now()
	g.crashes.mu.Lock()
	verdict, hold := g.crashes.tracker.Judge(q.crashFeatures(), now)
	g.crashes.mu.Unlock()
	if verdict != quarantine.Held {
		return verdict, nil
	}
	if !q.explained {
		g.counters.held.Inc(1)
	}
	return verdict, result.New(result.RequestHeld, "%d upstreams crashed under requests with %s", hold.Crashes, holdtable.FeatureNames(hold.Features)).
		WithRetryAfter(hold.Until.Sub(now))
}

// answered records that an upstream survives the request.
func (g *Gateway) answered(q *request) {
	g.crashes.mu.Lock()
	changes := g.crashes.tracker.Answered(q.crashFeatures(), q.contentHash(), q.sentAt)
	g.crashes.mu.Unlock()
	g.applyHoldChanges(changes, byAnswer)
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	verdict attemptResult
	err     error
	// began is true when the head of an answer came, or when that does not show that the
	// request runs; events counts its events.
	began  bool
	events int
	// framed is true when the answer shows by itself that it is whole; another one may have
	// ended with its upstream.
	framed bool
}

// recordAttemptEnd records what the end of an attempt says of its upstream and of the
// request.
func (g *Gateway) recordAttemptEnd(q *request, p selection, end attemptEnd) {
	now, boot := time.Now(), quarantine.Boot(bootID(p.up))
	switch {
	case end.verdict == answered:
		if end.framed || end.events >= minClearingEvents {
			g.answered(q)
		}
		return
	case end.verdict == notSent && errors.Is(end.err, syscall.ECONNREFUSED):
		g.upstreamRefused(p.up, now)
		return
	case end.verdict == outcomeUnknown && isBroken(end.err) && !q.callerGone():
	case end.verdict == discarded:
	default:
		return
	}
	var changes []quarantine.Change
	g.crashes.mu.Lock()
	if g.crashes.roster.Leaves(p.up.ID, boot, now) || g.notices.Leaves(p.up) {
		g.crashes.mu.Unlock()
		return
	}
	if end.events == 0 {
		changes = g.crashes.tracker.Unanswered(quarantine.Attempt{
			Boot: boot, Request: q.contentHash(), Features: q.crashFeatures(), SentAt: q.sentAt, EndedAt: now,
			Began: end.began, GivenUp: end.verdict == discarded,
		}, now)
	}
	verify := end.verdict != discarded && g.crashes.breaks.Add(boot, now)
	g.crashes.mu.Unlock()
	g.applyHoldChanges(changes, byStrike)
	if verify {
		go g.verifyCrash(p.up)
	}
}

// isBroken reports whether the other end closed or reset the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errPartialEvent) || errors.Is(err, errNoEvent) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// verifyCrash finds out whether an upstream that broke a connection accepts others.
func (g *Gateway) verifyCrash(u fleet.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.pool.Get(ctx, poolKey(u), u.Address, time.Now())
	now := time.Now()
	if err == nil {
		g.pool.PutUnused(poolKey(u), conn, now)
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.upstreamRefused(u, now)
	}
}

// upstreamRefused records that nothing listens at the address of an upstream: it crashed
// when its first connection broke.
func (g *Gateway) upstreamRefused(u fleet.Upstream, now time.Time) {
	boot := quarantine.Boot(bootID(u))
	g.crashes.mu.Lock()
	at, broke := g.crashes.breaks.First(boot)
	first := broke && !g.crashes.tracker.HasCrashedAt(boot, at)
	var changes []quarantine.Change
	if first {
		changes = g.crashes.tracker.Crashed(boot, at, now)
	}
	g.crashes.mu.Unlock()
	if !first {
		return
	}
	g.log.Event(component, "upstream crashed", zap.String("upstream", u.ID), zap.Int64("born", u.Born), zap.String("proof", "refused"), zap.Duration("brokeMsAgo", now.Sub(at)))
	g.applyHoldChanges(changes, byStrike)
	wake(g.crashes.report)
}

// upstreamsListed feeds changed entries of the list, which may show that upstreams crashed.
func (g *Gateway) upstreamsListed(list listChanges, now time.Time) {
	var changes []quarantine.Change
	g.crashes.mu.Lock()
	g.crashes.tracker.SetGateways(g.gateways())
	g.crashes.roster.Read(now)
	for _, u := range list.upstreams {
		for _, e := range g.crashes.roster.Put(quarantine.Listed{ID: u.ID, Address: u.Address, Boot: quarantine.Boot(u.Boot), Born: u.Born, Leaving: u.Leaving}) {
			e.Planned = e.Planned || g.notices.Leaves(fleet.Upstream{ID: e.ID, Born: e.Born})
			c, crashed := g.crashes.tracker.Ended(e, now)
			if changes = append(changes, c...); crashed {
				g.log.Event(component, "upstream crashed", zap.String("upstream", e.ID), zap.Int64("born", e.Born), zap.String("proof", "successor"),
					zap.String("successor", u.ID), zap.Int64("successorBorn", u.Born), zap.Uint64("rev", u.rev))
				wake(g.crashes.report)
			}
		}
	}
	for _, id := range list.removed {
		g.crashes.roster.Remove(id, now)
	}
	if list.all != nil {
		g.crashes.roster.Retain(list.all, now)
	}
	g.crashes.mu.Unlock()
	g.applyHoldChanges(changes, byStrike)
}

// Sources of a change of holds, as they are logged.
const (
	byStrike = "crashes"
	byAnswer = "answer"
	byRow    = "row"
	byTime   = "time"
	byPeer   = "peer " // and its name
)

// applyHoldChanges logs changes of holds, ends the attempts that are held, and saves the
// holds.
func (g *Gateway) applyHoldChanges(changes []quarantine.Change, source string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		event := "requests held"
		if c.Released {
			event = "requests released"
		}
		g.log.Event(component, event, append(holdFields(c.Hold), zap.String("source", source))...)
	}
	g.crashes.mu.Lock()
	g.crashes.waiting.End(g.crashes.tracker, time.Now())
	g.crashes.mu.Unlock()
	wake(g.crashes.report)
	wake(g.crashes.save)
}

func holdFields(h quarantine.Hold) []zap.Field {
	return []zap.Field{
		zap.String("hold", holdtable.FeatureName(h.Name)), zap.String("features", holdtable.FeatureNames(h.Features)),
		zap.Int("crashes", h.Crashes), zap.Int("answers", h.Answers), zap.Duration("sinceMsAgo", time.Since(h.Since)),
	}
}

// logRefusal logs that a hold that was placed elsewhere is not taken over, once for each reason.
func (g *Gateway) logRefusal(h quarantine.Hold, why quarantine.Refusal, source string) {
	if g.crashes.refusals.Note(h.Name, why) {
		g.log.Event(component, "hold not taken over", append(holdFields(h), zap.String("why", string(why)), zap.String("source", source))...)
	}
}

// await registers an attempt that a hold may end before its first event.
func (c *crashTracker) await(q *request, cancel context.CancelFunc) *crashwatch.Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting.Add(q.crashFeatures(), cancel)
}

// done ends the registration; it reports whether a hold has ended the attempt.
func (c *crashTracker) done(a *crashwatch.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting.Done(a)
}

// pruneCrashes drops what no longer counts.
func (g *Gateway) pruneCrashes(now time.Time) {
	g.crashes.mu.Lock()
	before := g.crashes.tracker.Unproven()
	changes := g.crashes.tracker.Prune(now)
	unproven := g.crashes.tracker.Unproven() - before
	g.crashes.breaks.Prune(now)
	g.crashes.roster.Prune(now)
	g.crashes.mu.Unlock()
	g.applyHoldChanges(changes, byTime)
	if unproven > 0 {
		g.log.Event(component, "breaks without a crash", zap.Int("attempts", unproven))
	}
}

// Intervals of the reports on crashes.
const (
	// minReportPause is the shortest pause between two reports.
	minReportPause = 20 * time.Millisecond
	// reportRounds is for how many rounds of gossip a crash is reported at once, since datagrams
	// get lost.
	reportRounds = 4
	// repeatInterval is the interval between two repetitions for gateways that were started,
	// frozen or cut off, and repeatFanout the number of peers, drawn at random, that each goes to.
	repeatInterval = time.Second
	repeatFanout   = 8
)

// repeatCrashes repeats to peers what they may have missed of crashes and holds until ctx ends.
func (g *Gateway) repeatCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, jitter(repeatInterval))
		now := time.Now()
		g.crashes.mu.Lock()
		r := g.crashes.tracker.Repeat(now)
		g.crashes.mu.Unlock()
		if !r.Empty() {
			g.gossip.SendCrashes(r, repeatFanout, now)
		}
	}
	return nil
}

// reportCrashes tells peers of crashes until ctx ends.
func (g *Gateway) reportCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-g.crashes.report:
		case <-ctx.Done():
			return nil
		}
		for ctx.Err() == nil {
			round, now := peers.RoundInterval(g.gateways()-1), time.Now()
			g.crashes.mu.Lock()
			r := g.crashes.tracker.Report(reportRounds*round, now)
			g.crashes.mu.Unlock()
			if r.Empty() {
				break
			}
			g.gossip.SendCrashes(r, peers.Everyone, now)
			sleep(ctx, minReportPause+round/10)
			timer := time.NewTimer(jitter(round))
			select {
			case <-g.crashes.report:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
	}
	return nil
}

// receiveCrashes applies what a peer has seen of crashes.
func (g *Gateway) receiveCrashes(from string, r quarantine.Report) {
	now := time.Now()
	r.From = from
	g.crashes.mu.Lock()
	changes := g.crashes.tracker.Hear(r, now)
	contested := false
	for _, h := range r.Holds {
		switch why := g.crashes.tracker.AdoptTold(h); why {
		case quarantine.Taken:
			changes = append(changes, quarantine.Change{Hold: h})
		case quarantine.Known:
		default:
			contested = contested || why == quarantine.Answered
			g.logRefusal(h, why, byPeer+from)
		}
	}
	answer := contested || len(r.Strikes) > 0 && len(g.crashes.tracker.Report(reportRounds*peers.RoundInterval(g.gateways()-1), now).Clearances) > 0
	g.crashes.mu.Unlock()
	if len(changes) > 0 {
		g.log.Event(component, "peer reports crashes", zap.String("peer", from), zap.Int("strikes", len(r.Strikes)), zap.Int("cleared", len(r.Clearances)), zap.Int("holds", len(r.Holds)))
	}
	g.applyHoldChanges(changes, byPeer+from)
	if answer {
		wake(g.crashes.report)
	}
}
