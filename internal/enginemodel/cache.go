package enginemodel

import "container/list"

// prefixCache is an LRU cache of prompt prefixes, bounded by a number of tokens.
type prefixCache struct {
	capacity int
	used     int
	recent   *list.List
	entries  map[uint64]*list.Element
}

type cachedPrefix struct {
	prefix uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recent: list.New(), entries: map[uint64]*list.Element{}}
}

// cached returns how many tokens of the prefix are cached, and marks it as used.
func (c *prefixCache) cached(prefix uint64) int {
	e, ok := c.entries[prefix]
	if !ok {
		return 0
	}
	c.recent.MoveToFront(e)
	return e.Value.(*cachedPrefix).tokens
}

// put caches at least the given number of tokens of the prefix and returns the evicted
// prefixes. A prefix larger than the cache is not cached.
func (c *prefixCache) put(prefix uint64, tokens int) (evicted []uint64) {
	if tokens > c.capacity {
		return nil
	}
	if e, ok := c.entries[prefix]; ok {
		p := e.Value.(*cachedPrefix)
		c.used += max(0, tokens-p.tokens)
		p.tokens = max(p.tokens, tokens)
		c.recent.MoveToFront(e)
	} else {
		c.entries[prefix] = c.recent.PushFront(&cachedPrefix{prefix, tokens})
		c.used += tokens
	}
	for c.used > c.capacity {
		last := c.recent.Remove(c.recent.Back()).(*cachedPrefix)
		delete(c.entries, last.prefix)
		c.used -= last.tokens
		evicted = append(evicted, last.prefix)
	}
	return evicted
}
