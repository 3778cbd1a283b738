package host

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/admission"
	"tarragonbay.example/tarragonbay/internal/balance"
	"tarragonbay.example/tarragonbay/internal/enginemodel"
)

const (
	entries  = 3
	domains  = 3
	replicas = 20
	// sameDomain and otherDomain are one-way latencies between hosts, client
	// the one to callers.
	sameDomain  = 300 * time.Microsecond
	otherDomain = 1500 * time.Microsecond
	client      = time.Millisecond
	// reportEvery is the interval of load reports, reportLag their greatest
	// delay, lostAfter the silence from which a host counts as away.
	reportEvery = time.Second
	reportLag   = 300 * time.Millisecond
	lostAfter   = 2 * time.Second
	// connectTimeout is how long a call to a dead host takes to fail,
	// silentAfter how long it takes to find that a stream is cut.
	connectTimeout = time.Second
	silentAfter    = 2 * time.Second
	// gateTick is how often an agent looks for requests that wait in vain.
	gateTick = 100 * time.Millisecond
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_700_000_000, 0)

// agent is the gate and the engine of one upstream.
type agent struct {
	fleet  *fleet
	id     int
	domain int
	engine *enginemodel.Engine
	gate   *admission.Controller
	meter  balance.TokenMeter
	// waiting and running are the attempts by ticket at the gate.
	waiting map[admission.Ticket]*attempt
}

// attempt is one call of an entry to an agent.
type attempt struct {
	req    *request
	job    *enginemodel.Job
	ticket admission.Ticket
	// admitted is when the gate let it through.
	admitted time.Duration
	running  bool
	ended    bool
	done     func(reply)
}

// reply is what the entry sees of an attempt.
type reply struct {
	outcome balance.Outcome
	load    *balance.Load
}

// fleet is the agents with their engines.
type fleet struct {
	clock  *enginemodel.Clock
	rnd    *rand.Rand
	agents []*agent
	// everywhere, when set, holds every prefix read by any engine and its
	// tokens, as if all engines shared one cache without bound.
	everywhere map[uint64]int
}

func newFleet(clock *enginemodel.Clock, seed uint64) *fleet {
	f := &fleet{clock: clock, rnd: rand.New(rand.NewPCG(seed, 2))}
	for i := range replicas {
		c := enginemodel.DefaultConfig()
		a := &agent{
			fleet: f, id: i, domain: i % domains,
			engine:  enginemodel.NewEngine(c, clock, rand.New(rand.NewPCG(seed, uint64(100+i)))),
			gate:    admission.NewUpstreamController(c.Slots, nil),
			waiting: map[admission.Ticket]*attempt{},
		}
		a.engine.OnTokens = func(n int, gap time.Duration) { a.meter.Add(n, gap, f.now()) }
		f.agents = append(f.agents, a)
	}
	clock.Every(gateTick, func() {
		for _, a := range f.agents {
			a.apply(a.gate.Tick(f.now()))
		}
	})
	return f
}

func (f *fleet) now() time.Time { return epoch.Add(f.clock.Now()) }

func latency(entry, domain int) time.Duration {
	if entry%domains == domain {
		return sameDomain
	}
	return otherDomain
}

// call sends the request to the agent and returns the attempt. done is called
// once at the entry, unless the attempt is cancelled.
func (f *fleet) call(entry, to int, req *request, done func(reply)) *attempt {
	a := f.agents[to]
	way := latency(entry, a.domain)
	at := &attempt{req: req}
	at.done = func(r reply) {
		if at.ended {
			return
		}
		at.ended = true
		delay := way
		if r.outcome == balance.TimedOut {
			delay += silentAfter
		}
		f.clock.After(delay, func() { done(r) })
	}
	f.clock.After(way, func() { a.receive(at) })
	return at
}

// receive takes an attempt at the agent.
func (a *agent) receive(at *attempt) {
	if at.ended {
		return
	}
	if a.engine.Down() {
		a.fleet.clock.After(connectTimeout, func() { at.done(reply{outcome: balance.Refused}) })
		return
	}
	req := &admission.Request{
		Organisation: orgName(at.req.org),
		Priority:     1,
		PromptTokens: at.req.prompt,
		OutputTokens: at.req.class.output,
		Deadline:     epoch.Add(at.req.deadline()),
	}
	ticket, events := a.gate.Submit(req, a.fleet.now())
	at.ticket = ticket
	a.waiting[ticket] = at
	a.apply(events)
}

// apply carries out the gate's decisions.
func (a *agent) apply(events []admission.Event) {
	for _, e := range events {
		at := a.waiting[e.Ticket]
		if e.Refused != nil {
			delete(a.waiting, e.Ticket)
			at.done(reply{outcome: balance.Busy, load: a.load()})
			continue
		}
		a.run(at)
	}
}

func (a *agent) run(at *attempt) {
	at.running = true
	at.admitted = a.fleet.clock.Now()
	at.job = &enginemodel.Job{
		Prefix: at.req.prefix, PrefixTokens: at.req.prefixTokens,
		PromptTokens: at.req.prompt, OutputTokens: at.req.output,
		Done: func(r enginemodel.Result) { a.finished(at, r) },
	}
	a.fleet.share(at.job)
	a.engine.Submit(at.job)
}

// share gives the job the prefix when the fleet shares one cache.
func (f *fleet) share(j *enginemodel.Job) {
	if f.everywhere == nil {
		return
	}
	j.FromKV = min(j.PrefixTokens, f.everywhere[j.Prefix])
	j.FirstToken = func() { f.everywhere[j.Prefix] = max(j.PrefixTokens, f.everywhere[j.Prefix]) }
}

func (a *agent) finished(at *attempt, r enginemodel.Result) {
	delete(a.waiting, at.ticket)
	if r.Failed {
		at.done(reply{outcome: balance.TimedOut})
		return
	}
	ran := a.fleet.clock.Now() - at.admitted
	a.apply(a.gate.Release(at.ticket, admission.Feedback{RunTime: ran}, a.fleet.now()))
	at.done(reply{outcome: balance.Answered, load: a.load()})
}

// cancel ends an attempt whose caller is gone.
func (a *agent) cancel(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	if _, here := a.waiting[at.ticket]; !here || at.ticket == 0 {
		return
	}
	delete(a.waiting, at.ticket)
	if !at.running {
		a.gate.Cancel(at.ticket)
		return
	}
	a.engine.Cancel(at.job)
	a.apply(a.gate.Release(at.ticket, admission.Feedback{}, a.fleet.now()))
}

func (a *agent) slots() int { return enginemodel.DefaultConfig().Slots }

func (a *agent) load() *balance.Load {
	running, waiting := a.gate.Counts()
	return &balance.Load{
		InFlight: running, Queued: waiting, Slots: a.slots(), TokenTime: a.meter.Best(a.fleet.now()),
	}
}

// kill loses the host: its engine dies and what waits gets no answer.
func (a *agent) kill() {
	a.engine.Kill()
	waiting := a.waiting
	a.waiting = map[admission.Ticket]*attempt{}
	a.gate = admission.NewUpstreamController(enginemodel.DefaultConfig().Slots, nil)
	for _, t := range slices.Sorted(maps.Keys(waiting)) {
		waiting[t].done(reply{outcome: balance.TimedOut})
	}
}
