package balance

// candidate is the cheapest upstream found so far.
type candidate struct {
	m      *member
	affine bool
	cost   float64
}

const (
	// queueCostFactor is the cost of a place in the queue relative to a slot of a
	// running batch.
	queueCostFactor = 2.0
	// fullBatchCostTokens is the cost of a full batch in prompt tokens: a full
	// upstream costs as much as an idle one when its cache saves it reading
	// this many tokens.
	fullBatchCostTokens = 2048.0
	// crossDomainCostTokens is the cost of a round trip to another failure
	// domain.
	crossDomainCostTokens = 16.0
	// suspectCostTokens exceeds any other cost, so that an upstream whose last
	// attempt failed is chosen only when there is no other.
	suspectCostTokens = 1e9
)

// The fraction of a prompt that an upstream is expected to read uncached. The
// secondary affinity upstream costs more than the primary, so that a prefix
// moves only under load and leaves no stale copies behind.
const (
	unreadPrimary   = 0.0
	unreadSecondary = 0.5
	unreadOther     = 1.0
)

// consider replaces the candidate by m when m costs less. unread is the
// fraction of the prompt that m must read.
func (c *candidate) consider(s *search, m *member, unread float64) {
	if m == nil || (m == c.m && unread == unreadOther) {
		return
	}
	cost := s.cost(m, unread)
	if c.m == nil || cost < c.cost {
		*c = candidate{m: m, affine: unread < unreadOther, cost: cost}
	}
}

// cost estimates the time to an answer in prompt tokens: reading the uncached
// part of the prompt, sharing the batch, waiting for a slot and the network
// round trip.
func (s *search) cost(m *member, unread float64) float64 {
	slots := m.capacity(s.now, s.slowStart)
	load := m.inFlight(s.now)
	cost := fullBatchCostTokens*load/slots + unread*float64(s.req.PromptTokens)
	if waiting := load + 1 - slots; waiting > 0 {
		cost += fullBatchCostTokens * queueCostFactor * waiting / slots
	}
	if !m.id.Load().sameDomain {
		cost += crossDomainCostTokens
	}
	if m.suspect() {
		cost += suspectCostTokens
	}
	return cost
}
