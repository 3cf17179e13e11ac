package model

import "container/list"

// prefixCache is a bounded set of prompt prefixes with LRU eviction.
type prefixCache struct {
	limit   int
	order   *list.List // of uint64, most recently used first
	entries map[uint64]*list.Element
	changes []CacheChange
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns the number of leading blocks of a prompt that are cached and marks them as
// recently used.
func (c *prefixCache) lookup(prefixes []uint64) int {
	hits := 0
	for _, p := range prefixes {
		entry, ok := c.entries[p]
		if !ok {
			break
		}
		c.order.MoveToFront(entry)
		hits++
	}
	return hits
}

// store adds as many leading prefixes as the cache can hold. It adds the longest first: the
// shortest, which more prompts share, is then the most recently used and evicted last.
func (c *prefixCache) store(prefixes []uint64) {
	for i := min(len(prefixes), c.limit) - 1; i >= 0; i-- {
		c.add(prefixes[i])
	}
}

func (c *prefixCache) add(prefix uint64) {
	if entry, ok := c.entries[prefix]; ok {
		c.order.MoveToFront(entry)
		return
	}
	if c.order.Len() >= c.limit {
		c.evict()
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	c.changes = append(c.changes, CacheChange{Prefix: prefix, Stored: true})
}

func (c *prefixCache) evict() {
	last := c.order.Back()
	prefix := c.order.Remove(last).(uint64)
	delete(c.entries, prefix)
	c.changes = append(c.changes, CacheChange{Prefix: prefix})
}

func (c *prefixCache) takeChanges() []CacheChange {
	changes := c.changes
	c.changes = nil
	return changes
}
