package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// groupRows is the most rows in one transaction of the charger.
const groupRows = 32

// build makes the block of some charges of one minute.
type build func(part []numbered) (*linkv1.ChargeBlock, error)

// groups makes the groups of charges; when the last one is written, all
// charges up to the number are durable.
func (c *Charger) groups(list []numbered, last uint64, block build) []*group {
	out, err := c.tryGroups(list, last, block)
	if err != nil {
		// charged and summed never fail.
		panic(err)
	}
	return out
}

func (c *Charger) tryGroups(list []numbered, last uint64, block build) ([]*group, error) {
	byMinute(list)
	var out []*group
	for parts := range slices.Chunk(chunks(list), groupRows) {
		g := &group{operation: c.opts.NewID()}
		for _, part := range parts {
			b, err := block(part)
			if err != nil {
				return nil, err
			}
			r := blockRow{key: c.rowKey(part[0].key.minute(), part[0].number), value: encode(b)}
			g.rows = append(g.rows, r)
			g.size += len(r.key) + len(r.value)
			if b.GetObject() == "" && len(b.GetCounts()) == 0 {
				g.charges = append(g.charges, part...)
			}
			g.sums = g.sums || len(b.GetCounts()) > 0
		}
		g.size += len(g.charges) * entrySize
		out = append(out, g)
	}
	out[len(out)-1].last = last
	return out, nil
}

// entrySize is the memory of one charge in a group, in bytes.
const entrySize = 112

// charged is the block of charges as they are.
func (c *Charger) charged(part []numbered) (*linkv1.ChargeBlock, error) {
	b := newBlock(entriesIn(part), false)
	c.origin().stamp(b, part[0].number, part[len(part)-1].number)
	return b, nil
}

func (c *Charger) origin() origin { return origin{c.opts.Agent, c.opts.Incarnation} }

// relieve frees memory while the table service is away: blocks go to the
// object store, become sums when that is away too, and the oldest sums are
// lost when there are too many of those.
func (c *Charger) relieve(ctx context.Context) {
	held := c.movableBytes()
	switch {
	case held < spillAt:
	case c.objectsThere(ctx) && c.spill(ctx, c.waiting()):
	case held >= compactAt:
		c.compact(c.waiting())
	}
	c.drop()
}

// probeObject is put to learn whether the object store is there.
const probeObject = spillPrefix + "probe"

// objectsThere asks before a spill encodes its blocks.
func (c *Charger) objectsThere(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.opts.Objects.PutIfAbsent(ctx, probeObject, []byte(probeObject)) == nil
}

// movableBytes is the size of all movable groups.
func (c *Charger) movableBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := 0
	for _, g := range c.queue {
		if g.movable() {
			held += g.size
		}
	}
	return held
}

// waiting returns the charges of all movable groups.
func (c *Charger) waiting() []numbered {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []numbered
	for _, g := range c.queue {
		if g.movable() {
			list = append(list, g.charges...)
		}
	}
	return list
}

// movable reports whether the group's charges may be put into other rows.
func (g *group) movable() bool { return len(g.charges) > 0 && !g.tried }

// spill puts the blocks into the object store and keeps references to them.
func (c *Charger) spill(ctx context.Context, list []numbered) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	groups, err := c.tryGroups(list, lastNumber(list), func(part []numbered) (*linkv1.ChargeBlock, error) {
		b, err := c.charged(part)
		if err != nil {
			return nil, err
		}
		raw := encode(b)
		sum := sha256.Sum256(raw)
		name := spillPrefix + hex.EncodeToString(sum[:])
		if err := c.opts.Objects.PutIfAbsent(ctx, name, raw); err != nil {
			return nil, errors.Trace(err)
		}
		return &linkv1.ChargeBlock{Object: name}, nil
	})
	if err != nil {
		return false
	}
	c.replace(groups)
	return true
}

// compact turns the charges into sums of each minute. Their request IDs are
// gone; the range of their numbers tells a later hand-in that they were
// counted.
func (c *Charger) compact(list []numbered) {
	first, last := list[0].number, lastNumber(list)
	for _, n := range list {
		first = min(first, n.number)
	}
	groups := c.groups(sumsByMinute(list), last, func(part []numbered) (*linkv1.ChargeBlock, error) {
		b := newBlock(entriesIn(part), true)
		c.origin().stamp(b, first, last)
		return b, nil
	})
	c.replace(groups)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Compacted += uint64(len(list))
}

// sumsByMinute adds the charges of each minute up. A sum keeps the identity of
// one of its charges, for the minute alone.
func sumsByMinute(list []numbered) []numbered {
	byMinute(list)
	var out []numbered
	for len(list) > 0 {
		m := list[0].key.minute()
		n := 1
		for n < len(list) && list[n].key.minute() == m {
			n++
		}
		for _, s := range sumUp(entriesIn(list[:n])) {
			s.key = list[0].key
			out = append(out, numbered{entry: s, number: list[0].number})
		}
		list = list[n:]
	}
	return out
}

func lastNumber(list []numbered) uint64 {
	last := uint64(0)
	for _, n := range list {
		last = max(last, n.number)
	}
	return last
}

// replace puts groups in the place of all movable ones. Any other group is
// older and stays in front.
func (c *Charger) replace(groups []*group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.queue[:0]
	c.held = 0
	for _, g := range c.queue {
		if !g.movable() {
			kept = append(kept, g)
			c.held += g.size
		}
	}
	for _, g := range groups {
		kept = append(kept, g)
		c.held += g.size
	}
	c.queue = kept
}

// drop loses the oldest sums beyond the limit.
func (c *Charger) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := 0
	for _, g := range c.queue {
		if g.sums {
			sums += g.size
		}
	}
	kept := c.queue[:0]
	for _, g := range c.queue {
		if !g.sums || sums <= dropAt {
			kept = append(kept, g)
			continue
		}
		sums -= g.size
		c.held -= g.size
		c.counts.Lost += chargesIn(g)
	}
	c.queue = kept
}

func chargesIn(g *group) uint64 {
	total := uint64(0)
	for _, r := range g.rows {
		_, entries, err := decodeBlock(r.value)
		if err != nil {
			continue
		}
		for _, e := range entries {
			total += e.count
		}
	}
	return total
}
