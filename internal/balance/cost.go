package balance

// candidate is the cheapest upstream found so far.
type candidate struct {
	m      *member
	affine bool
	full   bool
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

// good reports whether there is no need to look in other failure domains.
func (c *candidate) good() bool {
	return c.m != nil && !c.full && !c.m.suspect()
}

// consider keeps the upstream when it is cheaper than the one found. unread is
// the part of the prompt that it must read.
func (c *candidate) consider(s *search, m *member, unread float64) {
	if m == nil || (m == c.m && unread == unreadElsewhere) {
		return
	}
	cost, full := s.cost(m, unread)
	if c.m == nil || cost < c.cost {
		*c = candidate{m: m, affine: unread < unreadElsewhere, full: full, cost: cost}
	}
}

// cost estimates the time to an answer in prompt tokens: reading what is not
// cached, sharing the batch, and waiting for a slot.
func (s *search) cost(m *member, unread float64) (cost float64, full bool) {
	slots := m.capacity(s.now, s.slowStart)
	load := m.inFlight(s.now)
	cost = batchTokens*load/slots + unread*float64(s.req.PromptTokens)
	if waiting := load + 1 - slots; waiting > 0 {
		full = true
		cost += batchTokens * queueFactor * waiting / slots
	}
	if m.suspect() {
		cost += suspectCost
	}
	return cost, full
}
