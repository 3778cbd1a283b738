package host

import (
	"math/rand/v2"
	"time"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/enginemodel"
	"tarragonbay.example/tarragonbay/internal/result"
	"tarragonbay.example/tarragonbay/internal/retry"
)

// entry is one entry host under one policy.
type entry struct {
	id     int
	fleet  *fleet
	picker picker
	stats  *stats
	// heard is when each upstream last reported.
	heard []time.Duration
	lost  []bool

	// The rest is used by a policy that admits.
	admits  bool
	rnd     *rand.Rand
	control *admission.Controller
	retries *retry.Policy
	calls   map[admission.Ticket]*call
}

// call is one request at an entry.
type call struct {
	entry   *entry
	req     *request
	tried   []int
	current *attempt
	to      int
	closed  bool

	ticket   admission.Ticket
	admitted bool
	since    time.Duration
	plan     *retry.Plan
	busy     bool
	queued   int
}

func newEntry(id int, f *fleet, p policy, s *stats, seed uint64) *entry {
	rnd := rand.New(rand.NewPCG(seed, uint64(10+id)))
	e := &entry{
		id: id, fleet: f, stats: s, picker: p.picker(f, id, rnd), admits: p.admits, rnd: rnd,
		heard: make([]time.Duration, replicas), lost: make([]bool, replicas),
	}
	if p.admits {
		e.calls = map[admission.Ticket]*call{}
		e.control = admission.NewController(admission.Settings{Random: rnd.Float64})
		e.control.Configure(fleetSet(f), 1.0/entries, f.now())
		e.retries = retry.New(retry.Settings{}, f.now())
		f.clock.Every(gateTick, func() { e.apply(e.control.Tick(f.now())) })
	}
	f.clock.Every(reportEvery, e.reports)
	return e
}

// slotsPerShare is how much more than its even share of the slots an entry
// may use, since callers spread unevenly.
const slotsPerShare = 1.25

// reports asks every agent for its load and notes who is silent.
func (e *entry) reports() {
	now := e.fleet.clock.Now()
	for i, a := range e.fleet.agents {
		if !a.engine.Down() {
			load := *a.load()
			lag := time.Duration(e.rnd.Float64() * float64(reportLag))
			e.fleet.clock.After(lag, func() { e.reported(i, load) })
		}
		if now-e.heard[i] > lostAfter && !e.lost[i] {
			e.lost[i] = true
			e.picker.silent(i)
		}
	}
	if p, ok := e.picker.(interface{ slots() int }); ok {
		e.control.SetTargetCapacity(string(target.Version), int(slotsPerShare*float64(p.slots())/entries))
	}
}

func (e *entry) reported(i int, l balance.Load) {
	e.heard[i] = e.fleet.clock.Now()
	if e.lost[i] {
		e.lost[i] = false
		e.picker.back(i)
	}
	e.picker.report(i, l)
}

// take begins a request.
func (e *entry) take(req *request) {
	c := &call{entry: e, req: req}
	e.fleet.clock.After(req.deadline()-e.fleet.clock.Now(), c.deadline)
	if !e.admits {
		c.send()
		return
	}
	c.plan = e.retries.Plan(orgName(req.org), true, epoch.Add(req.deadline()))
	ticket, events := e.control.Submit(&admission.Request{
		Organisation: orgName(req.org), Priority: 1, Target: string(target.Version),
		PromptTokens: req.prompt, OutputTokens: req.class.output,
		Deadline: epoch.Add(req.deadline()),
	}, e.fleet.now())
	c.ticket = ticket
	e.calls[ticket] = c
	e.apply(events)
}

// apply carries out the admission's decisions.
func (e *entry) apply(events []admission.Event) {
	for _, ev := range events {
		c := e.calls[ev.Ticket]
		delete(e.calls, ev.Ticket)
		if ev.Refused != nil {
			c.close(refused)
			continue
		}
		c.admitted = true
		c.since = e.fleet.clock.Now()
		c.send()
	}
}

// send starts an attempt.
func (c *call) send() {
	if c.closed {
		return
	}
	e := c.entry
	to, ok := e.picker.pick(c.req, c.tried)
	if !ok {
		c.failed(result.New(result.NoUpstream, "none"))
		return
	}
	c.to = to
	e.picker.started(c.req, to)
	c.current = e.fleet.call(e.id, to, c.req, c.replied)
}

// replied takes the end of an attempt.
func (c *call) replied(rep reply) {
	if c.closed {
		return
	}
	c.current = nil
	c.entry.picker.finished(c.req, c.to, rep)
	if rep.load != nil {
		c.queued = rep.load.Queued
	}
	if rep.outcome == balance.Answered {
		c.close(answered)
		return
	}
	c.tried = append(c.tried, c.to)
	c.failed(failureOf(rep.outcome))
}

func failureOf(o balance.Outcome) *result.Error {
	switch o {
	case balance.Busy:
		return result.New(result.UpstreamBusy, "busy")
	case balance.Refused:
		return result.New(result.UpstreamRefused, "refused")
	}
	return result.New(result.OutcomeUnknown, "silent")
}

// failed retries the call or gives it up.
func (c *call) failed(failure *result.Error) {
	c.busy = c.busy || failure.Code == result.UpstreamBusy
	if c.plan == nil {
		if len(c.tried) < retry.DefaultMaxAttempts && failure.Code != result.NoUpstream {
			c.send()
			return
		}
		c.close(refused)
		return
	}
	d := c.plan.Next(retry.Failure{Err: failure}, c.entry.fleet.now(), c.entry.rnd.Float64())
	if d.Final != nil {
		c.close(refused)
		return
	}
	c.entry.fleet.clock.After(d.Wait, c.send)
}

// deadline ends a call whose caller stops waiting.
func (c *call) deadline() {
	if !c.closed {
		c.close(missed)
	}
}

// close ends the call, and its attempt when one is under way.
func (c *call) close(how ending) {
	c.closed = true
	e := c.entry
	now := e.fleet.clock.Now()
	e.stats.ended(c.req, how, now+client)
	if c.current != nil {
		e.picker.finished(c.req, c.to, reply{outcome: balance.Expired})
		at, to := c.current, e.fleet.agents[c.to]
		e.fleet.clock.After(latency(e.id, to.domain), func() { to.cancel(at) })
	}
	if !e.admits {
		return
	}
	if !c.admitted {
		e.control.Cancel(c.ticket)
		delete(e.calls, c.ticket)
		return
	}
	if how == answered {
		e.retries.Succeeded(orgName(c.req.org))
	}
	e.apply(e.control.Release(c.ticket, c.feedback(how, now), e.fleet.now()))
}

func (c *call) feedback(how ending, now time.Duration) admission.Feedback {
	fb := admission.Feedback{Busy: c.busy, Queued: c.queued, Slots: enginemodel.DefaultConfig().Slots, Late: how == missed}
	if how != refused {
		fb.RunTime = now - c.since
	}
	return fb
}
