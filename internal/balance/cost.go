package balance

// candidate is the cheapest upstream found so far.
type candidate struct {
	r      *replica
	affine bool
	full   bool
	cost   float64
}

const (
	// queueFactor is how much dearer a place in the queue is than a slot of
	// a running batch.
	queueFactor = 4.0
	// batchTokens is the cost of a full batch in prompt tokens: how much
	// reading a prompt must save to make a full upstream as good as an idle
	// one.
	batchTokens = 1024.0
	// suspectCost keeps work from an upstream whose last attempt failed.
	suspectCost = 1e9
)

// consider keeps the upstream when it is cheaper than the one found.
func (c *candidate) consider(s *search, r *replica, home bool) {
	if r == nil || (r == c.r && !home) {
		return
	}
	cost, full := s.cost(r, home)
	if c.r == nil || cost < c.cost {
		*c = candidate{r: r, affine: home, full: full, cost: cost}
	}
}

// cost estimates the time to an answer in prompt tokens: reading what is not
// cached, sharing the batch, and waiting for a slot.
func (s *search) cost(r *replica, home bool) (cost float64, full bool) {
	slots := r.capacity(s.now, s.slowStart)
	load := r.inFlight(s.now)
	cost = batchTokens * load / slots
	if !home {
		cost += float64(s.req.PromptTokens)
	}
	if waiting := load + 1 - slots; waiting > 0 {
		full = true
		cost += batchTokens * queueFactor * waiting / slots
	}
	if r.health.suspect() {
		cost += suspectCost
	}
	return cost, full
}
