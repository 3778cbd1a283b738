package host

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// class is a kind of request.
type class struct {
	name string
	// share is its part of all requests.
	share float64
	// shared is the part of the prompt that repeats: the organisation's
	// instructions, or the session so far. own is what each request adds.
	shared int
	own    int
	// output is the mean answer.
	output   int
	deadline time.Duration
	// turns is the mean number of requests in a session; 1 is none.
	turns int
}

// classes are the kinds of request of a meal-planning service: full plans in
// sessions, short dietary notes and brief tag checks.
var classes = []class{
	{name: "plan", share: 0.2, shared: 2000, own: 300, output: 300, deadline: 60 * time.Second, turns: 5},
	{name: "note", share: 0.4, shared: 400, own: 150, output: 80, deadline: 15 * time.Second, turns: 1},
	{name: "tag", share: 0.4, shared: 250, own: 50, output: 15, deadline: 6 * time.Second, turns: 1},
}

const (
	organisations = 10
	largeOnes     = 3
	// largeShare is the part of all requests that each large organisation
	// makes at usual times.
	largeShare = 0.2
	// openSessions is the number of sessions that an organisation has open.
	openSessions = 12
)

// request is one call of the workload. Its fields do not depend on a policy.
type request struct {
	id           int
	org          int
	class        *class
	at           time.Duration
	entry        int
	prefix       uint64
	prefixTokens int
	prompt       int
	output       int
}

func (r *request) deadline() time.Duration { return r.at + r.class.deadline }

func orgName(i int) string { return fmt.Sprintf("org%d", i) }

func large(org int) bool { return org < largeOnes }

// usualShare is the organisation's part of all requests at usual times.
func usualShare(org int) float64 {
	if large(org) {
		return largeShare
	}
	return (1 - largeOnes*largeShare) / (organisations - largeOnes)
}

// workload makes requests.
type workload struct {
	rnd      *rand.Rand
	sessions [organisations][]*session
	prefixes uint64
}

// session is a plan being drafted: each turn's prompt holds those before.
type session struct {
	prefix uint64
	tokens int
	left   int
}

func newWorkload(seed uint64) *workload {
	return &workload{rnd: rand.New(rand.NewPCG(seed, 1)), prefixes: 1000}
}

// arrivals returns the requests up to end. rate gives each organisation's
// requests a second; it is sampled as a Poisson process by thinning below
// most.
func (w *workload) arrivals(end time.Duration, most float64, rate func(at time.Duration, org int) float64) []*request {
	var out []*request
	at := time.Duration(0)
	for {
		at += time.Duration(w.rnd.ExpFloat64() / most * float64(time.Second))
		if at >= end {
			return out
		}
		if org, ok := w.draw(at, most, rate); ok {
			r := w.request(org, at)
			r.id = len(out)
			out = append(out, r)
		}
	}
}

func (w *workload) draw(at time.Duration, most float64, rate func(time.Duration, int) float64) (int, bool) {
	x := w.rnd.Float64() * most
	for org := range organisations {
		x -= rate(at, org)
		if x < 0 {
			return org, true
		}
	}
	return 0, false
}

// request makes one request of the organisation.
func (w *workload) request(org int, at time.Duration) *request {
	c := w.class()
	r := &request{
		org: org, class: c, at: at, entry: w.rnd.IntN(entries),
		output: w.spread(c.output),
	}
	if c.turns > 1 {
		w.turn(r)
		return r
	}
	r.prefix = uint64(org*len(classes) + len(c.name) + 1)
	r.prefixTokens = c.shared
	r.prompt = c.shared + w.spread(c.own)
	return r
}

func (w *workload) class() *class {
	x := w.rnd.Float64()
	for i := range classes {
		x -= classes[i].share
		if x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// turn makes the request the next turn of an open session.
func (w *workload) turn(r *request) {
	open := &w.sessions[r.org]
	for len(*open) < openSessions {
		w.prefixes++
		*open = append(*open, &session{
			prefix: w.prefixes, tokens: r.class.shared, left: 1 + w.rnd.IntN(2*r.class.turns-1),
		})
	}
	i := w.rnd.IntN(openSessions)
	s := (*open)[i]
	r.prefix = s.prefix
	r.prompt = s.tokens + w.spread(r.class.own)
	r.prefixTokens = r.prompt
	s.tokens = r.prompt + r.output
	s.left--
	if s.left == 0 {
		*open = append((*open)[:i], (*open)[i+1:]...)
	}
}

// spread draws a size around the mean, from a log-normal distribution.
func (w *workload) spread(mean int) int {
	const sigma = 0.5
	x := math.Exp(w.rnd.NormFloat64()*sigma - sigma*sigma/2)
	return max(1, int(float64(mean)*x))
}
