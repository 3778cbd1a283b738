package version

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragonbay.example/tarragonbay/internal/enginemodel"
	"tarragonbay.example/tarragonbay/internal/quality"
	"tarragonbay.example/tarragonbay/internal/rollout"
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Bounds of the latency histogram, in microseconds.
const (
	leastLatency    = 1
	greatestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits   = 3
)

// maxAttempts bounds how often a request is planned.
const maxAttempts = 4

// run is one policy under one load at one site.
type run struct {
	clock enginemodel.Clock
	site  *site
	load  *load
	// arrivals draws the requests, so that all policies get the same, and
	// rnd all that follows from a policy's choices.
	arrivals *rand.Rand
	rnd      *rand.Rand
	pools    []*pool
	policy   policy
	// stages of the roll-out; the zero value before it begins.
	rollout rollout.State
	figures figures
}

// figures are what a run measures after its warm time.
type figures struct {
	requests, answered, refused int
	late, exposed, onTime       int
	falseWithdrawals            int
	cost                        float64
	latency                     *hdrhistogram.Histogram
	// rollout is how the roll-out ended; the zero value without one.
	rollout rollout.State
	// good and byClass count good answers and answers of each class.
	good, byClass []int
}

func newRun(s *site, l *load, seed uint64) *run {
	r := &run{
		site:     s,
		load:     l,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		rnd:      rand.New(rand.NewPCG(seed, 4)),
	}
	for range s.models {
		r.pools = append(r.pools, newPool(&r.clock, s))
	}
	r.figures = figures{
		latency: hdrhistogram.New(leastLatency, greatestLatency, latencyDigits),
		good:    make([]int, len(s.classes)),
		byClass: make([]int, len(s.classes)),
	}
	return r
}

// time returns the wall time of the run.
func (r *run) time() time.Time { return epoch.Add(r.clock.Now()) }

// sinceWarm returns the time since figures are taken; negative before.
func (r *run) sinceWarm() time.Duration { return r.clock.Now() - r.load.warm }

func (r *run) measured(arrived time.Duration) bool { return arrived >= r.load.warm }

// execute runs the load to its end.
func (r *run) execute() {
	r.clock.After(0, r.everySecond)
	r.clock.After(0, r.arrive)
	r.setFaults()
	if r.load.rollout {
		r.clock.After(r.load.warm+r.load.rolloutAt, r.beginRollout)
	}
	r.clock.RunUntil(r.load.warm + r.load.length)
	r.figures.rollout = r.rollout
}

func (r *run) everySecond() {
	r.policy.tick()
	r.clock.After(time.Second, r.everySecond)
}

func (r *run) setFaults() {
	l := r.load
	if l.lostFor != never {
		r.clock.After(l.warm+l.lostAt, func() { r.setReplicas(r.pools, inFirstDomain, (*pool).lose) })
		r.clock.After(l.warm+l.lostAt+l.lostFor, func() { r.setReplicas(r.pools, inFirstDomain, (*pool).restore) })
	}
	if l.goneFor != never {
		middles := r.pools[middle : middle+1]
		r.clock.After(l.warm+l.goneAt, func() { r.setReplicas(middles, notFirst, (*pool).lose) })
		r.clock.After(l.warm+l.goneAt+l.goneFor, func() { r.setReplicas(middles, notFirst, (*pool).restore) })
	}
}

func inFirstDomain(i int) bool { return i%domains == 0 }

func notFirst(i int) bool { return i > 0 }

func (r *run) setReplicas(pools []*pool, match func(int) bool, set func(*pool, int)) {
	for _, p := range pools {
		for i := range p.replicas {
			if match(i) {
				set(p, i)
			}
		}
	}
}

// arrive starts a request and sets the next.
func (r *run) arrive() {
	rate := r.site.rate * r.load.rate(r.sinceWarm())
	gap := r.arrivals.ExpFloat64() / rate
	r.clock.After(time.Duration(gap*float64(time.Second)), r.arrive)
	class := r.drawClass()
	req := &request{
		class:   class,
		arrived: r.clock.Now(),
		output:  1 + int(float64(r.site.classes[class].output)*(0.5+r.arrivals.Float64())),
		sticky:  r.arrivals.Uint64(),
		luck:    r.arrivals.Uint64(),
	}
	if r.measured(req.arrived) {
		r.figures.requests++
	}
	r.begin(req)
}

func (r *run) drawClass() int {
	x := r.arrivals.Float64()
	for i := range r.site.classes {
		x -= r.site.classes[i].share
		if x < 0 {
			return i
		}
	}
	return 0
}

// begin plans a request, again after a version could not take it.
func (r *run) begin(req *request) {
	req.attempts++
	c, ok := r.policy.choose(req)
	if !ok || req.attempts > maxAttempts {
		r.refuse(req)
		return
	}
	if len(c.shadow) > 0 {
		r.runShadow(req, c.shadow, 0)
	}
	r.runStep(req, c.steps, 0)
}

func (r *run) refuse(req *request) {
	if r.measured(req.arrived) {
		r.figures.refused++
	}
}

// again plans the request without the version, where the policy does so.
func (r *run) again(req *request, version int) {
	if !r.policy.replans() {
		r.refuse(req)
		return
	}
	req.without = append(req.without, version)
	r.begin(req)
}

// runStep makes the answer of step i.
func (r *run) runStep(req *request, steps []step, i int) {
	st := steps[i]
	if !r.policy.admit(st.version) {
		r.again(req, st.version)
		return
	}
	asked := r.clock.Now()
	accepted := r.pools[st.version].submit(job{
		service: r.site.models[st.version].service(req.output),
		drop:    func() bool { return r.dropLate(req) },
		done: func(ok bool) {
			if !ok {
				r.runStep(req, steps, i)
				return
			}
			r.finishStep(req, steps, i, asked)
		},
	})
	if !accepted {
		r.again(req, st.version)
	}
}

// dropLate refuses a queued request whose deadline has passed.
func (r *run) dropLate(req *request) bool {
	if r.clock.Now()-req.arrived <= r.site.classes[req.class].deadline {
		return false
	}
	r.refuse(req)
	return true
}

func (r *run) finishStep(req *request, steps []step, i int, asked time.Duration) {
	st := steps[i]
	r.charge(req, st.version)
	r.policy.answered(st.key, r.clock.Now()-asked, req.output)
	a := r.draw(st.version, req)
	if i < len(steps)-1 {
		r.policy.drafted(st.key, !a.confident)
		if !a.confident {
			r.runStep(req, steps, i+1)
			return
		}
	}
	r.deliver(req, st, a.good)
}

// answer is the hidden truth of an answer.
type answer struct {
	good bool
	// confident is what the answer says of itself.
	confident bool
}

// draw makes an answer of the version. The request's luck decides, so that
// policies that choose alike get the same answers. A wrong answer through a
// fault of the version is as sure of itself as a good one.
func (r *run) draw(version int, req *request) answer {
	luck := rand.New(rand.NewPCG(req.luck, uint64(version)))
	if luck.Float64() < r.load.faulty(version, r.sinceWarm()) {
		return answer{confident: luck.Float64() < confidentWhenGood}
	}
	good := luck.Float64() < r.site.models[version].good[req.class]
	sure := confidentWhenBad
	if good {
		sure = confidentWhenGood
	}
	return answer{good: good, confident: luck.Float64() < sure}
}

func (r *run) charge(req *request, version int) {
	if !r.measured(req.arrived) {
		return
	}
	prompt := r.site.classes[req.class].prompt
	r.figures.cost += float64(r.site.models[version].price) * float64(prompt+req.output)
}

// deliver hands the answer to the caller and asks for its rating.
func (r *run) deliver(req *request, st step, good bool) {
	r.rate(req, st.key, good, false)
	if !r.measured(req.arrived) {
		return
	}
	f := &r.figures
	latency := r.clock.Now() - req.arrived
	f.answered++
	f.byClass[req.class]++
	if good {
		f.good[req.class]++
	}
	if r.load.isBad(st.version, r.sinceWarm()) {
		f.exposed++
	}
	if latency > r.site.classes[req.class].deadline {
		f.late++
	} else {
		f.onTime++
	}
	// The histogram holds all latencies up to an hour; none is longer.
	_ = f.latency.RecordValue(min(greatestLatency, int64(latency/time.Microsecond)))
}

// rate sends the rating on its way. While the rating service is away ratings
// wait for it.
func (r *run) rate(req *request, k quality.Key, good, shadow bool) {
	lag := ratingLagLeast + time.Duration(r.rnd.Int64N(int64(ratingLagMost-ratingLagLeast)))
	if t := r.sinceWarm() + lag; within(t, r.load.awayAt, r.load.awayFor) {
		lag += r.load.awayAt + r.load.awayFor - t
	}
	r.clock.After(lag, func() { r.policy.rated(k, req.class, good, shadow) })
}

// runShadow runs a chain for its ratings only, where there is a free slot.
func (r *run) runShadow(req *request, steps []step, i int) {
	st := steps[i]
	p := r.pools[st.version]
	if !p.idle() {
		return
	}
	p.submit(job{
		service: r.site.models[st.version].service(req.output),
		drop:    func() bool { return false },
		done: func(ok bool) {
			if ok {
				r.finishShadow(req, steps, i)
			}
		},
	})
}

func (r *run) finishShadow(req *request, steps []step, i int) {
	st := steps[i]
	r.charge(req, st.version)
	a := r.draw(st.version, req)
	if i < len(steps)-1 {
		r.policy.drafted(st.key, !a.confident)
		if !a.confident {
			r.runShadow(req, steps, i+1)
			return
		}
	}
	r.rate(req, st.key, a.good, true)
}
