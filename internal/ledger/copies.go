package ledger

import (
	"context"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

const (
	// MaxCopies is the maximum number of charges that an entry holds.
	MaxCopies = 131072
	// handInBatchSize is the maximum number of charges in one hand-in request.
	handInBatchSize = 512
	// HandInInterval is the interval between attempts to hand in charges.
	HandInInterval = time.Second
)

// HandInFunc sends charges to any live agent and returns how many of them that
// agent has made durable.
type HandInFunc func(ctx context.Context, charges []*linkv1.Charge) (accepted int, err error)

// Copies holds the charges of one entry until they are durable, and hands in
// the charges of agents that died. It is safe for concurrent use.
type Copies struct {
	handIn         HandInFunc
	handInInterval time.Duration

	// handInSlot is a semaphore for one hand-in, so that no batch is sent
	// twice at the same time. It is acquired before mu.
	handInSlot chan struct{}

	mu sync.Mutex
	// byAgent maps an agent's address to its charges, in order of arrival.
	byAgent map[string][]chargeCopy
	// orphans are the charges of agent incarnations that died.
	orphans []chargeCopy
	// interned holds one copy of each agent, organisation and target name.
	interned map[string]string
	held     int
	dropped  uint64
	handedIn uint64
}

// NewCopies returns a Copies that calls handIn at the given interval, which is
// HandInInterval in production. The caller must start Run.
func NewCopies(handIn HandInFunc, handInInterval time.Duration) *Copies {
	return &Copies{handIn: handIn, handInInterval: handInInterval, handInSlot: make(chan struct{}, 1),
		byAgent: map[string][]chargeCopy{}, interned: map[string]string{}}
}

// chargeCopy is a compact copy of a charge.
type chargeCopy struct {
	numbered
	agent       string
	incarnation uint64
	atMs        int64
	// request is the full request ID if NewRequestID did not generate it, and
	// empty otherwise.
	request string
}

func (c *Copies) newCopy(charge *linkv1.Charge) chargeCopy {
	out := chargeCopy{
		numbered:    numbered{entry: newEntry(charge), number: charge.GetNumber()},
		agent:       c.intern(charge.GetAgent()),
		incarnation: charge.GetIncarnation(),
		atMs:        charge.GetAtMs(),
	}
	out.organisation = c.intern(out.organisation)
	out.target = c.intern(out.target)
	if GeneratedID(charge.GetRequestId()) != out.key.requestID() {
		out.request = charge.GetRequestId()
	}
	return out
}

func (c *Copies) intern(s string) string {
	if known, ok := c.interned[s]; ok {
		return known
	}
	c.interned[s] = s
	return s
}

// message rebuilds the charge, without the attempt ID and the caller's prefix
// of the request ID.
func (c *chargeCopy) message() *linkv1.Charge {
	sum := c.sum()
	out := &linkv1.Charge{
		RequestId: c.request, Step: c.key.step, AtMs: c.atMs,
		Organisation: sum.Organisation, Version: sum.Version, Service: sum.Service,
		InputTokens: sum.InputTokens, OutputTokens: sum.OutputTokens, Micros: sum.Micros,
		Agent: c.agent, Incarnation: c.incarnation, Number: c.number,
	}
	if out.RequestId == "" {
		out.RequestId = c.key.requestID()
	}
	return out
}

// Add adds a charge of the agent at the address. When MaxCopies is reached,
// it drops that agent's oldest charge, which is then held by the agent alone.
func (c *Copies) Add(agent string, charge *linkv1.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.byAgent[agent]
	if c.held >= MaxCopies && len(list) == 0 {
		c.dropped++
		return
	}
	if c.held >= MaxCopies {
		list = list[1:]
		c.held--
		c.dropped++
	}
	c.byAgent[agent] = append(list, c.newCopy(charge))
	c.held++
}

// Observe applies a report of the agent at the address: charges of this
// incarnation up to the number durable are durable. Charges of any other
// incarnation become orphans, since that incarnation has died.
func (c *Copies) Observe(agent string, incarnation, durable uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []chargeCopy
	for _, charge := range c.byAgent[agent] {
		switch {
		case charge.incarnation != incarnation:
			c.orphans = append(c.orphans, charge)
		case charge.number > durable:
			left = append(left, charge)
		default:
			c.held--
		}
	}
	c.setCopies(agent, left)
}

// MarkAgentGone marks the charges of the agent at the address as orphans, since the
// agent will not come back.
func (c *Copies) MarkAgentGone(agent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orphans = append(c.orphans, c.byAgent[agent]...)
	c.setCopies(agent, nil)
}

// MarkAllAgentsGone marks the charges of all agents as orphans, so that all of them are
// handed in. An entry calls it at shutdown. Charges that their agents write as
// well are billed once.
func (c *Copies) MarkAllAgentsGone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for agent, list := range c.byAgent {
		c.orphans = append(c.orphans, list...)
		delete(c.byAgent, agent)
	}
}

func (c *Copies) setCopies(agent string, list []chargeCopy) {
	if len(list) == 0 {
		delete(c.byAgent, agent)
		return
	}
	c.byAgent[agent] = list
}

// CopyCounts counts the copies by state, for metrics and the state dump.
type CopyCounts struct {
	Held    int `json:"held"`
	Orphans int `json:"orphans"`
	// Dropped charges exceeded MaxCopies; HandedIn charges were made durable
	// by another agent.
	Dropped  uint64 `json:"dropped"`
	HandedIn uint64 `json:"handedIn"`
}

// Counts returns the current counts.
func (c *Copies) Counts() CopyCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CopyCounts{Held: c.held, Orphans: len(c.orphans), Dropped: c.dropped, HandedIn: c.handedIn}
}

// Run hands in the charges of dead agents until ctx ends.
func (c *Copies) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.handInInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for c.HandInOnce(ctx) {
			if ctx.Err() != nil {
				return nil
			}
		}
	}
}

// HandInOnce hands in one batch and reports whether it was accepted. A batch
// that was rejected, or whose reply was lost, is handed in again; the ledger
// counts each charge once.
func (c *Copies) HandInOnce(ctx context.Context) bool {
	select {
	case c.handInSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.handInSlot }()
	c.mu.Lock()
	batch := c.orphans[:min(handInBatchSize, len(c.orphans))]
	c.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	charges := make([]*linkv1.Charge, len(batch))
	for i, charge := range batch {
		charges[i] = charge.message()
	}
	accepted, err := c.handIn(ctx, charges)
	if err != nil || accepted < len(batch) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orphans = c.orphans[len(batch):]
	c.held -= len(batch)
	c.handedIn += uint64(len(batch))
	return true
}
