package ledger

import (
	"context"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Timing and sizes of the charger.
const (
	// FlushEvery is the longest pause between writes, and flushSoonest the
	// shortest. Charges younger than that are held by the agent and the
	// entries only.
	FlushEvery   = 10 * time.Second
	flushSoonest = 500 * time.Millisecond
	// flushesPerSecond bounds the writes of all agents together, as long as
	// FlushEvery allows it.
	flushesPerSecond = 30
	// spillAt is how many bytes of blocks may wait in memory before they go
	// to the object store.
	spillAt = 4 << 20
	// compactAt is how many may wait when the object store is away as well;
	// above it they become sums.
	compactAt = 16 << 20
	// dropAt is how many bytes of sums may wait; above it the oldest are lost.
	dropAt = 8 << 20
	// writeTimeout bounds one try of a write.
	writeTimeout = 5 * time.Second
	// handInTimeout is shorter than a call of the link.
	handInTimeout = 700 * time.Millisecond
	// stopTimeout bounds the flush at a stop.
	stopTimeout = 10 * time.Second
)

// FlushPause is the pause between the writes of one of so many agents: the
// fewer there are, the sooner each makes its charges durable.
func FlushPause(agents int) time.Duration {
	pause := time.Duration(agents) * time.Second / flushesPerSecond
	return min(max(pause, flushSoonest), FlushEvery)
}

// ChargerOptions configure a Charger.
type ChargerOptions struct {
	// Agent and Incarnation name the agent that makes the charges.
	Agent       string
	Incarnation uint64
	Table       ports.Table
	Objects     ports.Objects
	// Every returns the pause until the next write.
	Every func() time.Duration
	// NewID returns a new operation ID.
	NewID func() string
}

// Charger takes the charges of one agent's incarnation. Its methods are safe
// for concurrent use.
type Charger struct {
	opts ChargerOptions
	full chan struct{}

	mu sync.Mutex
	// last is the number of the newest charge.
	last uint64
	open []numbered
	// queue holds the groups that wait to be written, oldest first.
	queue   []*group
	held    int
	durable uint64
	counts  ChargerCounts
	parts   int
}

// ChargerCounts is what happened to the charges so far, for metrics and the
// state dump.
type ChargerCounts struct {
	Charges uint64 `json:"charges"`
	// Compacted charges are billed, but as sums without request IDs.
	Compacted uint64 `json:"compacted"`
	// Lost charges will not be billed.
	Lost uint64 `json:"lost"`
	// Queued counts the blocks that wait for the table service, HeldBytes
	// their size.
	Queued    int `json:"queued"`
	HeldBytes int `json:"heldBytes"`
}

// group is the rows that one transaction writes. When it is written, all
// charges up to last are durable; 0 stands for a group that others follow.
type group struct {
	operation string
	rows      []blockRow
	last      uint64
	// charges holds what the rows say, until it is spilled or compacted.
	charges []numbered
	// sums marks rows without request IDs.
	sums bool
	// tried is set when a write's reply was lost. Its rows may exist, so
	// that they must not become sums.
	tried bool
	size  int
}

// NewCharger returns a charger. Run must run beside it.
func NewCharger(opts ChargerOptions) *Charger {
	return &Charger{opts: opts, full: make(chan struct{}, 1)}
}

// Charge numbers the charge and keeps it until it is durable.
func (c *Charger) Charge(charge *linkv1.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.counts.Charges++
	charge.Agent, charge.Incarnation, charge.Number = c.opts.Agent, c.opts.Incarnation, c.last
	c.open = append(c.open, numbered{entry: entryOf(charge), number: c.last})
	if len(c.open) >= MaxBlock {
		c.wake()
	}
}

func (c *Charger) wake() {
	select {
	case c.full <- struct{}{}:
	default:
	}
}

// Durable returns the highest number up to which all charges are durable.
func (c *Charger) Durable() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.durable
}

// Counts returns what happened so far.
func (c *Charger) Counts() ChargerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Queued, out.HeldBytes = len(c.queue), c.held
	return out
}

// HandIn writes charges of an agent that died, at once, and returns how many
// are durable: all or none.
func (c *Charger) HandIn(charges []*linkv1.Charge) int {
	if len(charges) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), handInTimeout)
	defer cancel()
	byOrigin := map[origin][]numbered{}
	for _, charge := range charges {
		o := origin{charge.GetAgent(), charge.GetIncarnation()}
		byOrigin[o] = append(byOrigin[o], numbered{entry: entryOf(charge), number: charge.GetNumber()})
	}
	var rows []blockRow
	for o, list := range byOrigin {
		rows = append(rows, c.handedIn(o, list)...)
	}
	if ports.CommitResolved(ctx, c.opts.Table, writeAll(c.opts.NewID(), rows)) != nil {
		return 0
	}
	return len(charges)
}

// handedIn makes the rows of charges that another agent numbered.
func (c *Charger) handedIn(o origin, list []numbered) []blockRow {
	byMinute(list)
	var rows []blockRow
	for _, part := range chunks(list) {
		b := newBlock(entriesIn(part), false)
		o.stamp(b, 0, 0)
		for _, n := range part {
			b.Numbers = append(b.Numbers, n.number)
		}
		rows = append(rows, blockRow{key: c.rowKey(part[0].key.minute(), 0), value: encode(b)})
	}
	return rows
}

// rowKey returns a row key that this incarnation uses once.
func (c *Charger) rowKey(m minute, number uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts++
	return blockKey(m, c.opts.Agent, c.opts.Incarnation, number, c.parts)
}

// Run writes the charges until ctx ends, and then once more what is left, for
// at most 10 s. It must outlive the attempts that charge.
func (c *Charger) Run(ctx context.Context) error {
	pause := time.NewTimer(c.opts.Every())
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return c.stop(ctx)
		case <-pause.C:
		case <-c.full:
		}
		c.Flush(ctx)
		pause.Reset(c.opts.Every())
	}
}

func (c *Charger) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if c.Flush(ctx) {
		return nil
	}
	counts := c.Counts()
	return result.New(result.TableUnavailable, "%d blocks of charges were not written at the stop", counts.Queued)
}

// Flush writes everything that waits and reports whether all is durable. It
// is called by one goroutine at a time.
func (c *Charger) Flush(ctx context.Context) bool {
	c.seal()
	for {
		g := c.oldest()
		if g == nil {
			return true
		}
		if !c.write(ctx, g) {
			c.relieve(ctx)
			return false
		}
		c.written(g)
	}
}

func (c *Charger) oldest() *group {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	return c.queue[0]
}

// write reports whether the group is durable. A conflict means that an
// earlier try took effect, since no one else writes these rows.
func (c *Charger) write(ctx context.Context, g *group) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := ports.CommitResolved(ctx, c.opts.Table, writeAll(g.operation, g.rows))
	g.tried = g.tried || result.Is(err, result.TableUnknown)
	return err == nil || result.Is(err, result.TableConflict)
}

func (c *Charger) written(g *group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = c.queue[1:]
	c.held -= g.size
	c.durable = max(c.durable, g.last)
}

// seal moves the open charges into the queue.
func (c *Charger) seal() {
	c.mu.Lock()
	list := c.open
	last := c.last
	c.open = nil
	c.mu.Unlock()
	if len(list) == 0 {
		return
	}
	c.enqueue(c.groups(list, last, c.charged))
}

func (c *Charger) enqueue(groups []*group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range groups {
		c.queue = append(c.queue, g)
		c.held += g.size
	}
}
