package news

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonbay.example/tarragonbay/internal/enginemodel"
	"tarragonbay.example/tarragonbay/internal/link/gossipv1"
	"tarragonbay.example/tarragonbay/internal/peers"
	"tarragonbay.example/tarragonbay/internal/placement"
	"tarragonbay.example/tarragonbay/internal/policybench"
)

// knowledge is what a gateway knows of the others' work.
type knowledge int

const (
	// nothing: each gateway counts its own work alone.
	nothing knowledge = iota
	// rounds of news.
	rounds
	// atOnce: rounds, and each long prompt when it is sent.
	atOnce
	// toAll: the same, also where there are so many gateways that ours tells the
	// engine's domain alone.
	toAll
	// everything: the counts of all at every moment.
	everything
	// turns: each gateway takes the engines in turn.
	turns
)

// The names of the policies.
const (
	ours      = "ours"
	floor     = "(all is known)"
	toAllName = "prompts at once to all"
)

var policies = []struct {
	name string
	knowledge
}{
	{"round robin", turns}, {"own work alone", nothing}, {"rounds of news", rounds}, {toAllName, toAll}, {ours, atOnce}, {floor, everything},
}

// Times of the runs.
const (
	quickTime = 10 * time.Second
	fullTime  = 120 * time.Second
	// warm is left out of the figures.
	warm = 3 * time.Second
	// path is how long a datagram takes.
	path = time.Millisecond
	// drain lets the last requests end.
	drain = 30 * time.Second
)

// Run runs every policy under every load and returns their figures; latencies
// are those of the first events. A quick run is shorter.
func Run(seed uint64, quick bool) ([]policybench.Row, error) {
	during := fullTime
	if quick {
		during = quickTime
	}
	var rows []policybench.Row
	for _, l := range loads(quick) {
		arrivals := l.arrivals(seed, during)
		for _, p := range policies {
			row := newSite(l, p.knowledge, seed).run(arrivals, during)
			row.Bench, row.Load, row.Policy, row.Seed = "news", l.name, p.name, seed
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// site is one run.
type site struct {
	load
	knows    knowledge
	clock    *enginemodel.Clock
	rnd      *rand.Rand
	engines  []*enginemodel.Engine
	gateways []*gateway
	first    []time.Duration
}

// gateway is what one gateway has under way.
type gateway struct {
	name   string
	domain string
	number uint32
	book   *peers.PeerTable
	loads  []placement.Load
	next   int // of the engines in turn
}

func newSite(l load, k knowledge, seed uint64) *site {
	s := &site{load: l, knows: k, clock: &enginemodel.Clock{}, rnd: rand.New(rand.NewPCG(seed, 2))}
	for range l.engines {
		s.engines = append(s.engines, enginemodel.NewEngine(engineConfig(), s.clock, s.rnd))
	}
	for i := range l.gateways {
		g := &gateway{name: fmt.Sprint("g", i), domain: l.domain(i), book: peers.NewPeerTable(), loads: make([]placement.Load, l.engines), next: s.rnd.IntN(l.engines)}
		for e := range g.loads {
			g.loads[e] = placement.Load{ID: fmt.Sprint("e", e), Domain: l.domain(e), Slots: engineConfig().Slots}
		}
		s.gateways = append(s.gateways, g)
	}
	return s
}

func (s *site) run(arrivals []arrival, during time.Duration) policybench.Row {
	if s.told() {
		pause := peers.RoundInterval(s.load.gateways - 1)
		for _, g := range s.gateways {
			s.clock.After(time.Duration(s.rnd.Int64N(int64(pause))), func() {
				s.round(g)
				s.clock.Every(pause, func() { s.round(g) })
			})
		}
	}
	for _, a := range arrivals {
		s.clock.After(a.at, func() { s.take(a) })
	}
	s.clock.RunUntil(during + drain)
	slices.Sort(s.first)
	at := func(p float64) time.Duration { return s.first[int(p*float64(len(s.first)-1))] }
	return policybench.Row{
		Requests: len(arrivals), Answered: len(s.first), P50: at(0.5), P95: at(0.95), P99: at(0.99),
		Goodput: float64(len(s.first)) / (during - warm).Seconds(),
	}
}

// now is the time as the book of news takes it.
func (s *site) now() time.Time { return time.Unix(0, 0).Add(s.clock.Now()) }

// round tells the others what the gateway has under way.
func (s *site) round(g *gateway) {
	g.number++
	n := &gossipv1.News{Gateway: g.name, Incarnation: 1, Number: g.number}
	for _, l := range g.loads {
		if l.Running > 0 {
			n.Upstreams, n.Running = append(n.Upstreams, peers.Hash(l.ID)), append(n.Running, uint32(l.Running))
			n.Waiting, n.UnreadMs = append(n.Waiting, uint32(l.Waiting)), append(n.UnreadMs, uint32(l.UnreadMS))
		}
	}
	s.tell(g, n, "")
}

// told reports whether gateways tell one another anything.
func (s *site) told() bool { return s.knows == rounds || s.knows == atOnce || s.knows == toAll }

// near reports whether prompts are told in the engine's domain alone.
func (s *site) near() bool { return s.knows == atOnce && s.domains > 1 }

// tell has the gateways of a domain take in news; the empty one stands for all.
func (s *site) tell(from *gateway, n *gossipv1.News, domain string) {
	s.clock.After(path, func() {
		for _, g := range s.gateways {
			if g != from && (domain == "" || g.domain == domain) {
				g.book.Record(n, s.now())
			}
		}
	})
}

// view is what the gateway knows of the engines.
func (s *site) view(g *gateway) []placement.Load {
	out := slices.Clone(g.loads)
	switch s.knows {
	case rounds, atOnce, toAll:
		others := g.book.Loads(s.now())
		for i := range out {
			o := others[peers.Hash(out[i].ID)]
			out[i].Running, out[i].Waiting, out[i].UnreadMS = out[i].Running+o.Running, out[i].Waiting+o.Waiting, out[i].UnreadMS+o.PendingWorkMS
		}
	case everything:
		for _, o := range s.gateways {
			for i := range out {
				if o != g {
					out[i].Running, out[i].Waiting, out[i].UnreadMS = out[i].Running+o.loads[i].Running,
						out[i].Waiting+o.loads[i].Waiting, out[i].UnreadMS+o.loads[i].UnreadMS
				}
			}
		}
	}
	return out
}

// place chooses an engine and tells how much work the prompt is.
func (s *site) place(g *gateway, tokens int) (engine int, workMS float64) {
	if s.knows == turns {
		g.next++
		return g.next % len(s.engines), 0
	}
	view := s.view(g)
	order := s.rnd.Perm(len(view))
	shuffled := make([]placement.Load, len(view))
	for i, e := range order {
		shuffled[i] = view[e]
	}
	c := placement.Engine(placement.Job{
		Tokens: tokens, Models: []placement.Model{{MSPerToken: readMS}}, Target: time.Minute, TimeLeft: time.Hour,
		Domain: g.domain, GossipLags: s.near(),
	}, shuffled)
	return order[c.Index], c.WorkMS
}

func (s *site) take(a arrival) {
	g := s.gateways[a.gateway]
	engine, workMS := s.place(g, a.tokens)
	l := &g.loads[engine]
	l.Running++
	l.Waiting++
	l.UnreadMS += workMS
	if (s.knows == atOnce || s.knows == toAll) && workMS >= peers.MinReportedWorkMS {
		domain := ""
		if s.near() {
			domain = l.Domain
		}
		s.tell(g, &gossipv1.News{
			Gateway: g.name, Incarnation: 1, Number: g.number, Addition: true,
			Upstreams: []uint32{peers.Hash(l.ID)}, UnreadMs: []uint32{uint32(workMS)},
		}, domain)
	}
	s.engines[engine].Submit(&enginemodel.Job{
		PromptTokens: a.tokens, OutputTokens: answerTokens,
		FirstToken: func() {
			l.Waiting--
			l.UnreadMS -= workMS
			if a.at >= warm {
				s.first = append(s.first, s.clock.Now()-a.at)
			}
		},
		Done: func(enginemodel.Result) { l.Running-- },
	})
}
