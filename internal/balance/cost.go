package balance

// candidate is the cheapest upstream found so far.
type candidate struct {
	m      *member
	affine bool
	cost   float64
}

const (
	// queueFactor is how much dearer a place in the queue is than a slot of
	// a running batch.
	queueFactor = 2.0
	// batchTokens is the cost of a full batch in prompt tokens: how much
	// reading a prompt must save to make a full upstream as good as an idle
	// one.
	batchTokens = 2048.0
	// domainCost is that of the way to another failure domain and back.
	domainCost = 16.0
	// suspectCost keeps work from an upstream whose last attempt failed.
	suspectCost = 1e9
)

// The part of a prompt that an upstream is expected to read. A second home is
// dearer than the first, so that a prefix moves only for a good reason and
// leaves no stale copies behind.
const (
	unreadFirstHome  = 0.0
	unreadSecondHome = 0.5
	unreadElsewhere  = 1.0
)

// consider keeps the upstream when it is cheaper than the one found. unread is
// the part of the prompt that it must read.
func (c *candidate) consider(s *search, m *member, unread float64) {
	if m == nil || (m == c.m && unread == unreadElsewhere) {
		return
	}
	cost := s.cost(m, unread)
	if c.m == nil || cost < c.cost {
		*c = candidate{m: m, affine: unread < unreadElsewhere, cost: cost}
	}
}

// cost estimates the time to an answer in prompt tokens: reading what is not
// cached, sharing the batch, waiting for a slot and the way there.
func (s *search) cost(m *member, unread float64) float64 {
	slots := m.capacity(s.now, s.slowStart)
	load := m.inFlight(s.now)
	cost := batchTokens*load/slots + unread*float64(s.req.PromptTokens)
	if waiting := load + 1 - slots; waiting > 0 {
		cost += batchTokens * queueFactor * waiting / slots
	}
	if !m.id.Load().near {
		cost += domainCost
	}
	if m.suspect() {
		cost += suspectCost
	}
	return cost
}
