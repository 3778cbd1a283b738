package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"tarragonbay.example/tarragonbay/internal/crossing"
	"tarragonbay.example/tarragonbay/internal/placement"
)

// crossings tracks the requests that this gateway sends to other failure domains.
type crossings struct {
	mu      sync.Mutex
	budget  crossing.Budget
	answers map[string]*crossing.Sizes // by route
	shares  crossing.Shares
}

func newCrossings() *crossings { return &crossings{answers: map[string]*crossing.Sizes{}} }

// headBytes is the assumed size of the heads of a request and its answer.
const headBytes = 900

// terms returns the operator's terms for traffic between domains, with this gateway's part
// of the bound on bytes.
func (g *Gateway) crossingTerms() crossing.Terms {
	s := g.settings()
	return crossing.Terms{SecondsPerGB: s.CrossDomainSecondsPerGB, BytesPerS: s.CrossDomainBytesPerS / float64(g.gateways())}
}

// minSaving returns the time that sending the request to another domain must save.
func (g *Gateway) minSaving(q *request, now time.Time) time.Duration {
	terms := g.crossingTerms()
	c := g.crossings
	c.mu.Lock()
	defer c.mu.Unlock()
	spent := c.budget.Spent(terms.BytesPerS, now.Sub(processStart))
	return terms.MinSaving(c.bytes(q), q.route.Target, spent)
}

// bytes estimates what a request moves. The caller holds c.mu.
func (c *crossings) bytes(q *request) float64 {
	bytes := float64(headBytes + q.body.Len())
	if s := c.answers[q.route.Name]; s != nil {
		bytes += s.Mean()
	}
	return bytes
}

// recordCrossing counts a request that is sent to an upstream.
func (g *Gateway) recordCrossing(q *request, p selection, now time.Time) {
	terms := g.crossingTerms()
	c := g.crossings
	c.mu.Lock()
	bytes := c.bytes(q)
	changes := c.shares.Add(p.up.Domain, bytes, now.Sub(processStart))
	if p.up.Domain != g.settings().Domain {
		c.budget.Use(bytes, terms.BytesPerS, now.Sub(processStart))
		g.counters.left.Inc(1)
		g.counters.leftBytes.Inc(int64(bytes))
	}
	c.mu.Unlock()
	for _, change := range changes {
		g.log.Event(component, "share of a domain", zap.String("domain", change.Domain), zap.Float64("was", change.Was),
			zap.Float64("share", change.Now), zap.Duration("minSavingMs", p.minSaving), placementField(p.choice))
	}
}

func placementField(c placement.Choice) zap.Field { return zap.Duration("expectedMs", c.Expected) }

// learnAnswerBytes adds the size of an answer of a route.
func (g *Gateway) learnAnswerBytes(q *request, bytes int) {
	c := g.crossings
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.answers[q.route.Name]
	if s == nil {
		s = &crossing.Sizes{}
		c.answers[q.route.Name] = s
	}
	s.Learn(float64(bytes))
}

// totals returns what was sent to each domain since the start.
func (c *crossings) totals() map[string]crossing.Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares.Totals()
}
