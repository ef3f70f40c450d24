package resultstore

import (
	"slices"
	"sync"
)

// metaCache is an LRU cache of the Metas that Fetch uses. The pages of a result are mostly requested one
// after another, and decoding the locations of thousands of pages takes a millisecond.
type metaCache struct {
	mu        sync.Mutex
	entries   []*Meta // least recently used first
	pageCount int
}

const (
	// maxCachedPages limits how many page locations the cache holds; each takes about 40 bytes. The latest
	// result is cached even if it has more pages.
	maxCachedPages = 1 << 16
	// maxCachedMetas limits the cached results.
	maxCachedMetas = 64
)

// get returns the cached Meta of a result, or nil.
func (c *metaCache) get(id uint64) *Meta {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, m := range c.entries {
		if m.Result == id {
			c.entries = append(slices.Delete(c.entries, i, i+1), m)
			return m
		}
	}
	return nil
}

// put adds a Meta and evicts the least recently used ones beyond maxCachedMetas and maxCachedPages. It never
// evicts the Meta that it adds.
func (c *metaCache) put(m *Meta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(m.Result)
	c.entries = append(c.entries, m)
	for c.pageCount += len(m.pageLocations); c.pageCount > maxCachedPages && len(c.entries) > 1 ||
		len(c.entries) > maxCachedMetas; {
		c.pageCount -= len(c.entries[0].pageLocations)
		c.entries = slices.Delete(c.entries, 0, 1)
	}
}

// remove removes the Meta of a result.
func (c *metaCache) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(id)
}

// removeLocked is remove for a caller that holds mu.
func (c *metaCache) removeLocked(id uint64) {
	c.entries = slices.DeleteFunc(c.entries, func(m *Meta) bool {
		if m.Result == id {
			c.pageCount -= len(m.pageLocations)
			return true
		}
		return false
	})
}
