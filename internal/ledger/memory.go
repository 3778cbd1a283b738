package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/juju/errors"

	"tarragonbay.example/tarragonbay/internal/link/linkv1"
)

// maxGroupRows is the maximum number of rows in one transaction of the
// charger.
const maxGroupRows = 32

// blockBuilder builds the block for charges of one minute.
type blockBuilder func(part []numbered) (*linkv1.ChargeBlock, error)

// groups is like buildGroups for block builders that cannot fail. Once the
// last group is written, all charges up to the number last are durable.
func (c *Charger) groups(list []numbered, last uint64, block blockBuilder) []*group {
	out, err := c.buildGroups(list, last, block)
	if err != nil {
		// The block builders passed to groups never fail.
		panic(err)
	}
	return out
}

func (c *Charger) buildGroups(list []numbered, last uint64, block blockBuilder) ([]*group, error) {
	sortByMinute(list)
	var out []*group
	for parts := range slices.Chunk(splitByMinute(list), maxGroupRows) {
		g := &group{operationID: c.opts.NewID()}
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
		g.size += len(g.charges) * queuedChargeBytes
		out = append(out, g)
	}
	out[len(out)-1].durableUpTo = last
	return out, nil
}

// queuedChargeBytes is the memory that one charge in a group takes, in bytes.
const queuedChargeBytes = 112

// chargeBlock returns a block with one entry for each charge.
func (c *Charger) chargeBlock(part []numbered) (*linkv1.ChargeBlock, error) {
	b := newBlock(entriesWithoutNumbers(part), false)
	c.origin().setOn(b, part[0].number, part[len(part)-1].number)
	return b, nil
}

func (c *Charger) origin() origin { return origin{c.opts.Agent, c.opts.Incarnation} }

// reduceMemory frees memory while the table service is unavailable. It spills
// blocks to the object store, replaces them by sums if the object store is
// unavailable too, and drops the oldest sums beyond maxSumBytes.
func (c *Charger) reduceMemory(ctx context.Context) {
	held := c.movableBytes()
	switch {
	case held < spillThresholdBytes:
	case c.objectStoreAvailable(ctx) && c.spill(ctx, c.movableCharges()):
	case held >= compactThresholdBytes:
		c.compact(c.movableCharges())
	}
	c.dropOldestSums()
}

// probeObject is written to check whether the object store is available.
const probeObject = spillPrefix + "probe"

// objectStoreAvailable checks the object store before a spill spends time on
// encoding blocks.
func (c *Charger) objectStoreAvailable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.opts.Objects.PutIfAbsent(ctx, probeObject, []byte(probeObject)) == nil
}

// movableBytes returns the size of all movable groups.
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

// movableCharges returns the charges of all movable groups.
func (c *Charger) movableCharges() []numbered {
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

// movable reports whether the group's charges may be moved to other rows.
func (g *group) movable() bool { return len(g.charges) > 0 && !g.outcomeUnknown }

// spill writes the blocks to the object store and queues references to them
// instead.
func (c *Charger) spill(ctx context.Context, list []numbered) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	groups, err := c.buildGroups(list, maxNumber(list), func(part []numbered) (*linkv1.ChargeBlock, error) {
		b, err := c.chargeBlock(part)
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
	c.replaceMovable(groups)
	return true
}

// compact replaces the charges by sums for each minute. The sums have no
// request IDs; the stored range of charge numbers lets the folder ignore a
// charge that is handed in later and was counted already.
func (c *Charger) compact(list []numbered) {
	first, last := list[0].number, maxNumber(list)
	for _, n := range list {
		first = min(first, n.number)
	}
	groups := c.groups(sumsByMinute(list), last, func(part []numbered) (*linkv1.ChargeBlock, error) {
		b := newBlock(entriesWithoutNumbers(part), true)
		c.origin().setOn(b, first, last)
		return b, nil
	})
	c.replaceMovable(groups)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Compacted += uint64(len(list))
}

// sumsByMinute sums the charges of each minute. A sum keeps the key of one of
// its charges, which is used only to find the minute.
func sumsByMinute(list []numbered) []numbered {
	sortByMinute(list)
	var out []numbered
	for len(list) > 0 {
		m := list[0].key.minute()
		n := 1
		for n < len(list) && list[n].key.minute() == m {
			n++
		}
		for _, s := range sumByAccount(entriesWithoutNumbers(list[:n])) {
			s.key = list[0].key
			out = append(out, numbered{entry: s, number: list[0].number})
		}
		list = list[n:]
	}
	return out
}

func maxNumber(list []numbered) uint64 {
	last := uint64(0)
	for _, n := range list {
		last = max(last, n.number)
	}
	return last
}

// replaceMovable replaces all movable groups by the given ones. Groups that
// are not movable are older and stay in front.
func (c *Charger) replaceMovable(groups []*group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.queue[:0]
	c.queuedBytes = 0
	for _, g := range c.queue {
		if !g.movable() {
			kept = append(kept, g)
			c.queuedBytes += g.size
		}
	}
	for _, g := range groups {
		kept = append(kept, g)
		c.queuedBytes += g.size
	}
	c.queue = kept
}

// dropOldestSums drops the oldest sums beyond maxSumBytes.
func (c *Charger) dropOldestSums() {
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
		if !g.sums || sums <= maxSumBytes {
			kept = append(kept, g)
			continue
		}
		sums -= g.size
		c.queuedBytes -= g.size
		c.counts.Lost += chargeCount(g)
	}
	c.queue = kept
}

func chargeCount(g *group) uint64 {
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
