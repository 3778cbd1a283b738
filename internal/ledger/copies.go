package ledger

import (
	"context"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

const (
	// MaxCopies is the most charges an entry keeps.
	MaxCopies = 131072
	// handInBatch is how many charges one hand-in carries.
	handInBatch = 512
	// HandInEvery is the pause between tries to hand charges in.
	HandInEvery = time.Second
)

// HandInFunc gives charges to any living agent and returns how many of them
// it has made durable.
type HandInFunc func(ctx context.Context, charges []*linkv1.Charge) (accepted int, err error)

// Copies keeps the charges of one entry until they are durable, and hands in
// those of agents that died. It is safe for concurrent use.
type Copies struct {
	handIn HandInFunc
	every  time.Duration

	// handing has room for one hand-in, so that no batch goes out twice at
	// the same time. It is taken before mu.
	handing chan struct{}

	mu sync.Mutex
	// kept holds the charges of each agent's address, in the order in which
	// they came.
	kept map[string][]copied
	// orphans are the charges of dead agents' incarnations.
	orphans []copied
	// texts holds one copy of each name.
	texts   map[string]string
	held    int
	dropped uint64
	handed  uint64
}

// NewCopies returns copies that hand in through the function, every
// HandInEvery in service. Run must run beside it.
func NewCopies(handIn HandInFunc, every time.Duration) *Copies {
	return &Copies{handIn: handIn, every: every, handing: make(chan struct{}, 1),
		kept: map[string][]copied{}, texts: map[string]string{}}
}

// copied is a charge in little memory.
type copied struct {
	numbered
	agent       string
	incarnation uint64
	atMs        int64
	// request is set when the request's ID was not minted by NewRequestID.
	request string
}

func (c *Copies) copied(charge *linkv1.Charge) copied {
	out := copied{
		numbered:    numbered{entry: entryOf(charge), number: charge.GetNumber()},
		agent:       c.text(charge.GetAgent()),
		incarnation: charge.GetIncarnation(),
		atMs:        charge.GetAtMs(),
	}
	out.organisation = c.text(out.organisation)
	out.target = c.text(out.target)
	if MintedID(charge.GetRequestId()) != out.key.request() {
		out.request = charge.GetRequestId()
	}
	return out
}

func (c *Copies) text(s string) string {
	if known, ok := c.texts[s]; ok {
		return known
	}
	c.texts[s] = s
	return s
}

// message returns the charge as it came, but for the attempt and the caller's
// prefix of the request ID.
func (c *copied) message() *linkv1.Charge {
	sum := c.sum()
	out := &linkv1.Charge{
		RequestId: c.request, Step: c.key.step, AtMs: c.atMs,
		Organisation: sum.Organisation, Version: sum.Version, Service: sum.Service,
		InputTokens: sum.InputTokens, OutputTokens: sum.OutputTokens, Micros: sum.Micros,
		Agent: c.agent, Incarnation: c.incarnation, Number: c.number,
	}
	if out.RequestId == "" {
		out.RequestId = c.key.request()
	}
	return out
}

// Keep keeps a charge that the agent at the address made. When there are too
// many the oldest of that agent is dropped: then the agent alone has it.
func (c *Copies) Keep(agent string, charge *linkv1.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.kept[agent]
	if c.held >= MaxCopies && len(list) == 0 {
		c.dropped++
		return
	}
	if c.held >= MaxCopies {
		list = list[1:]
		c.held--
		c.dropped++
	}
	c.kept[agent] = append(list, c.copied(charge))
	c.held++
}

// Observe takes what the agent at an address reports: charges of this
// incarnation up to the number are durable. Those of any other incarnation
// are orphans, since it has died.
func (c *Copies) Observe(agent string, incarnation, durable uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []copied
	for _, charge := range c.kept[agent] {
		switch {
		case charge.incarnation != incarnation:
			c.orphans = append(c.orphans, charge)
		case charge.number > durable:
			left = append(left, charge)
		default:
			c.held--
		}
	}
	c.set(agent, left)
}

// Gone tells that the agent at an address will not come back.
func (c *Copies) Gone(agent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orphans = append(c.orphans, c.kept[agent]...)
	c.set(agent, nil)
}

// GoneAll takes every agent for gone, so that all copies are handed in. An
// entry that stops calls it: charges that their agents write as well count
// once.
func (c *Copies) GoneAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for agent, list := range c.kept {
		c.orphans = append(c.orphans, list...)
		delete(c.kept, agent)
	}
}

func (c *Copies) set(agent string, list []copied) {
	if len(list) == 0 {
		delete(c.kept, agent)
		return
	}
	c.kept[agent] = list
}

// CopyCounts is the state of the copies, for metrics and the state dump.
type CopyCounts struct {
	Held    int `json:"held"`
	Orphans int `json:"orphans"`
	// Dropped charges were too many to keep, HandedIn ones are durable.
	Dropped  uint64 `json:"dropped"`
	HandedIn uint64 `json:"handedIn"`
}

// Counts returns the state of the copies.
func (c *Copies) Counts() CopyCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CopyCounts{Held: c.held, Orphans: len(c.orphans), Dropped: c.dropped, HandedIn: c.handed}
}

// Run hands in the charges of dead agents until ctx ends.
func (c *Copies) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.every)
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

// HandInOnce hands in one batch and reports whether it was taken. A batch
// that was not taken, or whose reply was lost, is handed in again; the ledger
// counts it once.
func (c *Copies) HandInOnce(ctx context.Context) bool {
	select {
	case c.handing <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.handing }()
	c.mu.Lock()
	batch := c.orphans[:min(handInBatch, len(c.orphans))]
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
	c.handed += uint64(len(batch))
	return true
}
