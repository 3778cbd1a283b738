package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"tarragonbay.example/tarragonbay/internal/result"
)

// Picker chooses upstreams. All methods are safe for concurrent use; Pick,
// Started, Finished and Observe take no lock on the usual path.
type Picker struct {
	settings Settings
	view     atomic.Pointer[view]
	// mu serialises Rebuild and ejections.
	mu sync.Mutex
}

// New returns a Picker that knows no upstream until Rebuild.
func New(s Settings) *Picker {
	s.setDefaults()
	p := &Picker{settings: s}
	p.view.Store(&view{})
	return p
}

// defaultRetryAfter is used when it is unknown when an upstream becomes free.
const defaultRetryAfter = time.Second

// Pick returns an upstream for the request. rnd is a fresh random number. The
// error is NoUpstream with a retry-after time; the request did not run.
func (p *Picker) Pick(req *Request, now time.Time, rnd uint64) (Choice, error) {
	pl, ok := p.view.Load().pools[req.Target]
	if !ok {
		return Choice{}, noUpstream(defaultRetryAfter)
	}
	s := search{req: req, pool: pl, now: now.UnixNano(), rnd: rnd, slowStart: p.settings.SlowStart}
	if s.probeDue() {
		if m := s.probe(pl); m != nil {
			return s.choice(m, false, true), nil
		}
	}
	if m, affine := s.best(pl); m != nil {
		return s.choice(m, affine, false), nil
	}
	if m := s.anyUsable(pl); m != nil {
		return s.choice(m, false, false), nil
	}
	if m := s.probe(pl); m != nil {
		return s.choice(m, false, true), nil
	}
	return Choice{}, noUpstream(pl.retryAfter(s.now))
}

// HasUntriedUpstream reports whether any upstream that the request has not tried takes work
// now. When none does, a request that may be repeated is retried on an upstream
// that it tried before.
func (p *Picker) HasUntriedUpstream(req *Request, now time.Time) bool {
	pl, ok := p.view.Load().pools[req.Target]
	if !ok {
		return false
	}
	s := search{req: req, pool: pl, now: now.UnixNano()}
	return s.anyUsable(pl) != nil
}

func noUpstream(after time.Duration) error {
	return result.New(result.NoUpstream, "no upstream can take the request now").WithRetryAfter(after)
}

// retryAfter returns the time until the first ejection ends, at most
// defaultRetryAfter.
func (pl *pool) retryAfter(now int64) time.Duration {
	after := defaultRetryAfter
	for _, m := range pl.members {
		if until := max(m.health.until.Load(), m.targetHealth.until.Load()); until > now {
			after = min(after, time.Duration(until-now))
		}
	}
	return after
}

// Started records that an attempt was sent to the choice.
func (p *Picker) Started(c Choice) {
	c.member.own.Add(1)
	c.member.unansweredSince.CompareAndSwap(0, c.at)
}

// Finished records the end of an attempt. It is called once for each Started.
func (p *Picker) Finished(c Choice, o Observation, now time.Time) {
	at := now.UnixNano()
	m := c.member
	m.own.Add(-1)
	if o.Load != nil {
		m.observe(*o.Load, at)
		p.classifySpeed(m.replica, at)
	}
	if c.Probe {
		m.finishProbe(o.Outcome)
	}
	switch {
	case o.Outcome == Answered:
		m.unansweredSince.Store(0)
		m.recordSuccess(at)
	case o.Outcome == Failed:
		m.unansweredSince.Store(0)
		if m.targetHealth.recordFailure(at) && !c.pool.hasSharedFailure() {
			p.ejectFrom(c.pool, m, at)
		}
	case o.Outcome.failure(), o.Outcome == Expired && m.unresponsive(at):
		if m.health.recordFailure(at) {
			p.eject(m.replica, at)
		}
	}
}

// Observe applies a load report of an upstream from a heartbeat. It drops a
// report about an unknown upstream.
func (p *Picker) Observe(upstream string, l Load, now time.Time) {
	if r, ok := p.view.Load().byName[upstream]; ok {
		r.observe(l, now.UnixNano())
		p.classifySpeed(r, now.UnixNano())
	}
}

// HostLeaving records whether the host list shows the host as leaving.
func (p *Picker) HostLeaving(host string, leaving bool) {
	for _, r := range p.view.Load().byHost[host] {
		r.leavingHost.Store(leaving)
	}
}

// HostSilent records that a host's heartbeats have stopped. It ejects the host's
// upstreams as far as MaxEjected allows; a successful probe brings each back.
func (p *Picker) HostSilent(host string, now time.Time) {
	at := now.UnixNano()
	for _, r := range p.view.Load().byHost[host] {
		r.health.recordFailure(at)
		p.eject(r, at)
	}
}

// HostBack records that a host's heartbeats have resumed. Its upstreams may be
// probed at once instead of when their ejections end.
func (p *Picker) HostBack(host string, now time.Time) {
	for _, r := range p.view.Load().byHost[host] {
		r.health.allowProbe(now.UnixNano())
	}
}

// eject ejects the upstream, unless more than MaxEjected of a target's upstreams
// would then be ejected.
func (p *Picker) eject(r *replica, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range p.view.Load().poolsOf[r] {
		if !pl.canEject(r, p.settings.MaxEjected) {
			return
		}
	}
	r.health.eject(now, p.settings.EjectFor, r.jitter(now))
}

// ejectFrom ejects the upstream for one target, within the same limit.
func (p *Picker) ejectFrom(pl *pool, m *member, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.canEject(m.replica, p.settings.MaxEjected) {
		m.targetHealth.eject(now, p.settings.EjectFor, m.jitter(now))
	}
}

// jitter returns a number from 0 to 1 that differs between upstreams, so that
// many ejections do not end together.
func (r *replica) jitter(now int64) float64 {
	return float64(mix(r.hash^uint64(now))>>11) / (1 << 53)
}

// sharedFailureShare is the share of a target's upstreams: when more of them
// fail, errors are attributed to the version and not to a host.
const sharedFailureShare = 1.0 / 3

// hasSharedFailure reports whether so many of the pool's upstreams fail that
// none of them is an outlier.
func (pl *pool) hasSharedFailure() bool {
	failing := 0
	for _, m := range pl.members {
		if m.targetHealth.suspect() {
			failing++
		}
	}
	return float64(failing) > sharedFailureShare*float64(len(pl.members))
}

// canEject reports whether the pool's ejected share stays within the limit when
// r is ejected as well.
func (pl *pool) canEject(r *replica, share float64) bool {
	out := 1
	total := 0
	for _, m := range pl.members {
		if m.leaving() {
			continue
		}
		total++
		if m.replica != r && !m.takesWork() {
			out++
		}
	}
	return float64(out) <= share*float64(total)
}
