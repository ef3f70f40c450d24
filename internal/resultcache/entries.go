package resultcache

import (
	"cmp"
	"slices"
)

const (
	// entryOverheadBytes approximates the memory of an entry beside its pages and statement.
	entryOverheadBytes = 256
	pageOverheadBytes  = 24 // the size of a slice header
)

// insert caches the answer of a flight and evicts other entries to make space. It doesn't cache an
// answer that is too large or has expired already.
func (c *Cache) insert(f *flight, r *Request, pages [][]byte) {
	size := int64(entryOverheadBytes + len(r.Statement) + pageOverheadBytes*len(pages))
	for _, p := range pages {
		size += int64(cap(p))
	}
	if size > c.MaxAnswerBytes || size > c.MaxBytes {
		c.Counts.TooLarge++
		return
	}
	expiresAt := f.startedAt + c.Freshness
	if c.now >= expiresAt {
		c.Counts.Expired++
		return
	}
	for c.bytes+size > c.MaxBytes || c.count >= c.MaxEntries {
		c.Counts.Evicted++
		c.remove(c.evictionCandidate())
	}
	t := c.tenants[r.Tenant]
	if t == nil {
		t = &tenant{name: r.Tenant}
		c.tenants[r.Tenant] = t
	}
	e := &entry{
		hash:              f.hash,
		tenant:            t,
		group:             r.Group,
		statement:         r.Statement,
		tables:            r.Tables,
		pages:             pages,
		size:              size,
		expiresAt:         expiresAt,
		startedUnixMillis: f.startedUnixMillis,
		logIndex:          f.logIndex,
	}
	c.Counts.Cached++
	c.entries[f.hash] = append(c.entries[f.hash], e)
	c.bytes += size
	c.count++
	t.bytes += size
	c.appendToLRU(e)
}

// evictionCandidate returns the least recently used entry of all tenants over their share, or of all
// tenants if none is over its share.
func (c *Cache) evictionCandidate() (candidate *entry) {
	candidateIsOver := false
	for _, t := range c.tenants {
		oldest := t.lru.First().Value
		isOver := float64(t.bytes) > c.TenantShare*float64(c.MaxBytes)
		switch {
		case candidate == nil,
			isOver && !candidateIsOver,
			isOver == candidateIsOver && oldest.lastUse < candidate.lastUse:
			candidate = oldest
			candidateIsOver = isOver
		}
	}
	return candidate
}

// appendToLRU adds an entry to its tenant's list as the most recently used one.
func (c *Cache) appendToLRU(e *entry) {
	c.serial++
	e.lastUse = c.serial
	e.tenant.lru.Append(&e.lruElement, e)
}

// touch makes an entry the most recently used one of its tenant.
func (c *Cache) touch(e *entry) {
	e.tenant.lru.Remove(&e.lruElement)
	c.appendToLRU(e)
}

func (c *Cache) remove(e *entry) {
	t := e.tenant
	t.lru.Remove(&e.lruElement)
	t.bytes -= e.size
	if t.lru.First() == nil {
		delete(c.tenants, t.name)
	}
	c.bytes -= e.size
	c.count--
	rest := slices.DeleteFunc(c.entries[e.hash], func(x *entry) bool { return x == e })
	if len(rest) == 0 {
		delete(c.entries, e.hash)
	} else {
		c.entries[e.hash] = rest
	}
}

// entriesWhere returns the entries that satisfy a condition, least recently used first.
func (c *Cache) entriesWhere(holds func(e *entry) bool) (entries []*entry) {
	for _, t := range c.tenants {
		for element := t.lru.First(); element != nil; element = element.Next() {
			if holds(element.Value) {
				entries = append(entries, element.Value)
			}
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.lastUse, b.lastUse) })
	return entries
}
