package ledger

import (
	"context"
	"sync"
	"time"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
	"tarragonbay.example/tarragonbay/internal/ports"
	"tarragonbay.example/tarragonbay/internal/result"
)

// Intervals, size thresholds and timeouts of the charger.
const (
	// MaxFlushInterval and minFlushInterval are the upper and lower bound of the
	// interval between writes. Until a charge is written, only the agent and
	// the entries hold it.
	MaxFlushInterval = 10 * time.Second
	minFlushInterval = 500 * time.Millisecond
	// maxFlushesPerSecond limits the write rate of all agents together; the
	// limit is exceeded once MaxFlushInterval bounds the interval.
	maxFlushesPerSecond = 30
	// spillThresholdBytes is the size of the queued blocks above which they
	// are moved from memory to the object store.
	spillThresholdBytes = 4 << 20
	// compactThresholdBytes is the size of the queued blocks above which they
	// are replaced by sums if the object store is unavailable too.
	compactThresholdBytes = 16 << 20
	// maxSumBytes is the maximum size of the queued sums; beyond it the oldest
	// are lost.
	maxSumBytes = 8 << 20
	// writeTimeout bounds one write attempt.
	writeTimeout = 5 * time.Second
	// handInTimeout is shorter than the timeout of an RPC between daemons.
	handInTimeout = 700 * time.Millisecond
	// stopTimeout bounds the final flush at shutdown.
	stopTimeout = 10 * time.Second
)

// FlushInterval returns the interval between the writes of one agent, given the
// number of agents. With fewer agents each one writes more often, so its
// charges become durable sooner.
func FlushInterval(agents int) time.Duration {
	pause := time.Duration(agents) * time.Second / maxFlushesPerSecond
	return min(max(pause, minFlushInterval), MaxFlushInterval)
}

// ChargerOptions configure a Charger.
type ChargerOptions struct {
	// Agent and Incarnation identify the agent that numbers the charges.
	Agent       string
	Incarnation uint64
	Table       ports.Table
	Objects     ports.Objects
	// FlushInterval returns the interval until the next write.
	FlushInterval func() time.Duration
	// NewID returns a new operation ID.
	NewID func() string
}

// Charger numbers the charges of one agent incarnation and writes them to the
// table service. Its methods are safe for concurrent use.
type Charger struct {
	opts     ChargerOptions
	flushNow chan struct{}

	mu sync.Mutex
	// lastNumber is the number of the newest charge.
	lastNumber uint64
	pending    []numbered
	// queue holds the groups that have not been written yet, oldest first.
	queue       []*group
	queuedBytes int
	durable     uint64
	counts      ChargerCounts
	rowSeq      int
}

// ChargerCounts counts charges by outcome, for metrics and the state dump.
type ChargerCounts struct {
	Charges uint64 `json:"charges"`
	// Compacted charges are billed as sums, without request IDs.
	Compacted uint64 `json:"compacted"`
	// Lost charges are never billed.
	Lost uint64 `json:"lost"`
	// Queued is the number of blocks that have not been written to the table
	// service yet, and HeldBytes is their size.
	Queued    int `json:"queued"`
	HeldBytes int `json:"heldBytes"`
}

// group holds the rows that one transaction writes. Once it is written, all
// charges up to durableUpTo are durable; 0 means that later groups complete
// the range.
type group struct {
	operationID string
	rows        []blockRow
	durableUpTo uint64
	// charges holds the charges in rows; it is empty after a spill or
	// compaction.
	charges []numbered
	// sums is set if the rows hold sums without request IDs.
	sums bool
	// outcomeUnknown is set when the reply to a write was lost. The rows may
	// exist already, so their charges must not be counted in sums as well.
	outcomeUnknown bool
	size           int
}

// NewCharger returns a charger. The caller must start Run.
func NewCharger(opts ChargerOptions) *Charger {
	return &Charger{opts: opts, flushNow: make(chan struct{}, 1)}
}

// Charge numbers the charge and holds it until it is durable.
func (c *Charger) Charge(charge *linkv1.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.counts.Charges++
	charge.Agent, charge.Incarnation, charge.Number = c.opts.Agent, c.opts.Incarnation, c.lastNumber
	c.pending = append(c.pending, numbered{entry: newEntry(charge), number: c.lastNumber})
	if len(c.pending) >= MaxBlockCharges {
		c.requestFlush()
	}
}

func (c *Charger) requestFlush() {
	select {
	case c.flushNow <- struct{}{}:
	default:
	}
}

// Durable returns the highest number up to which all charges are durable.
func (c *Charger) Durable() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.durable
}

// Counts returns the counters and the current queue size.
func (c *Charger) Counts() ChargerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Queued, out.HeldBytes = len(c.queue), c.queuedBytes
	return out
}

// HandIn immediately writes charges of an agent that died, in one transaction,
// and returns how many are durable: all or none.
func (c *Charger) HandIn(charges []*linkv1.Charge) int {
	if len(charges) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), handInTimeout)
	defer cancel()
	byOrigin := map[origin][]numbered{}
	for _, charge := range charges {
		o := origin{charge.GetAgent(), charge.GetIncarnation()}
		byOrigin[o] = append(byOrigin[o], numbered{entry: newEntry(charge), number: charge.GetNumber()})
	}
	var rows []blockRow
	for o, list := range byOrigin {
		rows = append(rows, c.handInRows(o, list)...)
	}
	if ports.CommitResolved(ctx, c.opts.Table, createRowsTxn(c.opts.NewID(), rows)) != nil {
		return 0
	}
	return len(charges)
}

// handInRows returns the rows for charges that another agent numbered.
func (c *Charger) handInRows(o origin, list []numbered) []blockRow {
	sortByMinute(list)
	var rows []blockRow
	for _, part := range splitByMinute(list) {
		b := newBlock(entriesWithoutNumbers(part), false)
		o.setOn(b, 0, 0)
		for _, n := range part {
			b.Numbers = append(b.Numbers, n.number)
		}
		rows = append(rows, blockRow{key: c.rowKey(part[0].key.minute(), 0), value: encode(b)})
	}
	return rows
}

// rowKey returns a row key that is unique within this incarnation.
func (c *Charger) rowKey(m minute, number uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowSeq++
	return blockKey(m, c.opts.Agent, c.opts.Incarnation, number, c.rowSeq)
}

// Run writes the charges periodically until ctx ends and then flushes the rest
// for at most stopTimeout. It must outlive the attempts that call Charge.
func (c *Charger) Run(ctx context.Context) error {
	pause := time.NewTimer(c.opts.FlushInterval())
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return c.stop(ctx)
		case <-pause.C:
		case <-c.flushNow:
		}
		c.Flush(ctx)
		pause.Reset(c.opts.FlushInterval())
	}
}

func (c *Charger) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if c.Flush(ctx) {
		return nil
	}
	counts := c.Counts()
	return result.New(result.TableUnavailable, "%d blocks of charges were not written before shutdown", counts.Queued)
}

// Flush writes all pending and queued charges and reports whether all of them
// are durable. It must not be called concurrently.
func (c *Charger) Flush(ctx context.Context) bool {
	c.enqueuePending()
	for {
		g := c.oldest()
		if g == nil {
			return true
		}
		if !c.write(ctx, g) {
			c.reduceMemory(ctx)
			return false
		}
		c.dequeue(g)
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

// write writes the group and reports whether it is durable. A conflict means
// that an earlier attempt took effect, since no other process writes these
// rows.
func (c *Charger) write(ctx context.Context, g *group) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := ports.CommitResolved(ctx, c.opts.Table, createRowsTxn(g.operationID, g.rows))
	g.outcomeUnknown = g.outcomeUnknown || result.Is(err, result.TableUnknown)
	return err == nil || result.Is(err, result.TableConflict)
}

func (c *Charger) dequeue(g *group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = c.queue[1:]
	c.queuedBytes -= g.size
	c.durable = max(c.durable, g.durableUpTo)
}

// enqueuePending moves the pending charges into the queue.
func (c *Charger) enqueuePending() {
	c.mu.Lock()
	list := c.pending
	last := c.lastNumber
	c.pending = nil
	c.mu.Unlock()
	if len(list) == 0 {
		return
	}
	c.enqueue(c.groups(list, last, c.chargeBlock))
}

func (c *Charger) enqueue(groups []*group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range groups {
		c.queue = append(c.queue, g)
		c.queuedBytes += g.size
	}
}
