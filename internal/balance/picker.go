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

// retrySoon is the advice when the time of the next free upstream is unknown.
const retrySoon = time.Second

// Pick returns an upstream for the request. rnd is a fresh random number. The
// error is NoUpstream with a time to come back; the request did not run.
func (p *Picker) Pick(req *Request, now time.Time, rnd uint64) (Choice, error) {
	pl, ok := p.view.Load().pools[req.Target]
	if !ok {
		return Choice{}, noUpstream(retrySoon)
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
	if m := s.last(pl); m != nil {
		return s.choice(m, false, false), nil
	}
	if m := s.probe(pl); m != nil {
		return s.choice(m, false, true), nil
	}
	return Choice{}, noUpstream(pl.comeBack(s.now))
}

// Left reports whether an upstream that the request has not tried takes work
// now. When none is left, a request that may be repeated goes back to one it
// tried.
func (p *Picker) Left(req *Request, now time.Time) bool {
	pl, ok := p.view.Load().pools[req.Target]
	if !ok {
		return false
	}
	s := search{req: req, pool: pl, now: now.UnixNano()}
	return s.last(pl) != nil
}

func noUpstream(after time.Duration) error {
	return result.New(result.NoUpstream, "no upstream can take the request now").WithRetryAfter(after)
}

// comeBack is the time until the first ejection ends.
func (pl *pool) comeBack(now int64) time.Duration {
	after := retrySoon
	for _, m := range pl.members {
		if until := max(m.health.until.Load(), m.faults.until.Load()); until > now {
			after = min(after, time.Duration(until-now))
		}
	}
	return after
}

// Started notes that an attempt was sent to the choice.
func (p *Picker) Started(c Choice) {
	c.member.own.Add(1)
	c.member.silentFrom.CompareAndSwap(0, c.at)
}

// Finished notes the end of an attempt that was started. It is called once
// for each Started.
func (p *Picker) Finished(c Choice, o Observation, now time.Time) {
	at := now.UnixNano()
	m := c.member
	m.own.Add(-1)
	if o.Load != nil {
		m.observe(*o.Load, at)
		p.judgeSpeed(m.replica, at)
	}
	if c.Probe {
		m.probed(o.Outcome)
	}
	switch {
	case o.Outcome == Answered:
		m.silentFrom.Store(0)
		m.succeeded(at)
	case o.Outcome == Failed:
		m.silentFrom.Store(0)
		if m.faults.failed(at) && !c.pool.shareFault() {
			p.ejectFrom(c.pool, m, at)
		}
	case o.Outcome.failure(), o.Outcome == Expired && m.hung(at):
		if m.health.failed(at) {
			p.eject(m.replica, at)
		}
	}
}

// Observe takes a load report of an upstream from a heartbeat. A report about
// an unknown upstream is dropped.
func (p *Picker) Observe(upstream string, l Load, now time.Time) {
	if r, ok := p.view.Load().byName[upstream]; ok {
		r.observe(l, now.UnixNano())
		p.judgeSpeed(r, now.UnixNano())
	}
}

// HostLeaving notes what the host list says about a host.
func (p *Picker) HostLeaving(host string, leaving bool) {
	for _, r := range p.view.Load().byHost[host] {
		r.leavingHost.Store(leaving)
	}
}

// HostSilent notes that a host's heartbeats have stopped. Its upstreams are
// ejected as far as the cap allows, and come back by a probe.
func (p *Picker) HostSilent(host string, now time.Time) {
	at := now.UnixNano()
	for _, r := range p.view.Load().byHost[host] {
		r.health.failed(at)
		p.eject(r, at)
	}
}

// HostBack notes that a host's heartbeats came back. Its upstreams are probed
// now and not only when their ejections end.
func (p *Picker) HostBack(host string, now time.Time) {
	for _, r := range p.view.Load().byHost[host] {
		r.health.probeFrom(now.UnixNano())
	}
}

// eject takes the upstream out, unless that would take out more than the
// allowed share of a target's upstreams.
func (p *Picker) eject(r *replica, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range p.view.Load().poolsOf[r] {
		if !pl.mayEject(r, p.settings.MaxEjected) {
			return
		}
	}
	r.health.eject(now, p.settings.EjectFor, r.spread(now))
}

// ejectFrom takes the upstream out for one target.
func (p *Picker) ejectFrom(pl *pool, m *member, now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.mayEject(m.replica, p.settings.MaxEjected) {
		m.faults.eject(now, p.settings.EjectFor, m.spread(now))
	}
}

// spread is a number from 0 to 1 that sets the ends of many ejections apart.
func (r *replica) spread(now int64) float64 {
	return float64(mix(r.hash^uint64(now))>>11) / (1 << 53)
}

// sharedFault is the share of a target's upstreams with failures from which
// errors speak against the version and not against a host.
const sharedFault = 1.0 / 3

// shareFault reports whether so many of the pool's upstreams fail that none of
// them is an outlier.
func (pl *pool) shareFault() bool {
	failing := 0
	for _, m := range pl.members {
		if m.faults.suspect() {
			failing++
		}
	}
	return float64(failing) > sharedFault*float64(len(pl.members))
}

// mayEject reports whether the pool can spare one more upstream.
func (pl *pool) mayEject(r *replica, share float64) bool {
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
