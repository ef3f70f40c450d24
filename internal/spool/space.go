package spool

import "time"

// spaceMayCome reports whether space for a result may become free by a time: because pages are being
// written, dropped results are not compacted yet, or a committed result expires by then or has a disk
// read or write in progress. If the tenant is at its limit, only committed results of that tenant count.
func (c *Core) spaceMayCome(until time.Duration, waiting *Result) bool {
	tenantIsFull := c.exceedsTenantLimit(waiting, 1) // then only space of the same tenant helps
	if !tenantIsFull && (c.writingBytes > 0 || c.deadBytes > 0) {
		return true
	}
	for _, r := range c.results {
		if tenantIsFull && r.tenant != waiting.tenant {
			continue
		}
		if r.expiry(c) <= until || r.pendingReads > 0 || r.pendingWrites > 0 {
			return true
		}
	}
	return false
}

// exceedsTenantLimit reports whether size more bytes of a result would exceed the limit of its tenant.
func (c *Core) exceedsTenantLimit(r *Result, size int64) bool {
	return c.MaxTenantBytes > 0 && r.tenant.bytes+size > c.MaxTenantBytes
}

// sizeLimit returns the largest size that a result can ever have.
func (c *Core) sizeLimit() int64 {
	most := min(c.MaxResultBytes, c.MaxMemoryBytes)
	if c.MaxDiskBytes > 0 {
		most = min(c.MaxResultBytes, c.MaxDiskBytes-c.MaxDiskBytes/16)
	}
	if c.MaxTenantBytes > 0 {
		most = min(most, c.MaxTenantBytes)
	}
	return most
}

// makeSpace reports whether a page of a result fits now. To make it fit, it releases cached pages and
// evicts other results. If memory is full and there is a disk, it starts to write pages to disk and
// returns false. It also returns false if nothing can be evicted for the page, if more than
// MaxWritingBytes are being written, or if dropped results still take too much of the disk.
func (c *Core) makeSpace(r *Result, size int64) bool {
	for c.exceedsTenantLimit(r, size) {
		if !c.evictOne(r.tenant, afterRead|expired) {
			return false
		}
	}
	for c.memoryBytes+size > c.MaxMemoryBytes {
		if c.releaseLeastRecentlyRead() {
			continue
		}
		if c.MaxDiskBytes > 0 {
			c.flush()
			return false
		}
		if !c.evictOne(nil, afterRead|expired|overShare) {
			return false
		}
	}
	if c.MaxDiskBytes == 0 {
		return true
	}
	if c.writingBytes > c.MaxWritingBytes {
		return false
	}
	for c.diskBytes+r.unwrittenBytes()+size+recordOverheadBytes > c.MaxDiskBytes {
		if !c.evictOne(nil, afterRead|expired|overShare) {
			return false
		}
	}
	// dropped results take disk space until they are compacted
	return c.diskBytes+c.deadBytes+r.unwrittenBytes()+size+recordOverheadBytes <= c.MaxDiskBytes+c.MaxDiskBytes/8
}

// spillThreshold returns the memory use beyond which pages of results being received go to disk.
func (c *Core) spillThreshold() int64 { return c.MaxMemoryBytes / 2 }

// OnSpace calls notify once, when there may be space again.
func (c *Core) OnSpace(notify func()) { c.spaceWaiters = append(c.spaceWaiters, notify) }

// notifySpaceWaiters calls all waiters in the order in which they registered. A waiter that still
// finds no space registers again.
func (c *Core) notifySpaceWaiters() {
	waiters := c.spaceWaiters
	c.spaceWaiters = nil
	for _, notify := range waiters {
		notify()
	}
}

// Reasons to evict a result, as bits.
const (
	afterRead = 1 << iota // no page after the first is unread
	expired
	overShare // its tenant is over its share
)

// evictionRetryInterval is the time until the next scan, after a scan of all results for all reasons
// found nothing to evict. Once a result is dropped or its last unread page is read, the next scan is
// allowed at once.
const evictionRetryInterval = 100 * time.Millisecond

// expiry returns when a result expires unless it is read before.
func (r *Result) expiry(c *Core) time.Duration { return min(r.lastReadAt+c.IdleTimeout, r.expiresAt) }

// isIdle reports whether a complete result has no read or write task in progress.
func (r *Result) isIdle() bool { return r.complete && r.pendingReads == 0 && r.pendingWrites == 0 }

// isBeingRead reports whether a client has asked for a page by token, has not read all pages after the
// first, and the result has not expired.
func (r *Result) isBeingRead(c *Core) bool {
	return r.requestedByToken && r.unreadCount > 0 && c.now < r.expiry(c)
}

// evictOne drops one result of a tenant (nil: of any tenant) for one of the given reasons, and reports
// whether there was one. It prefers a result whose pages after the first were all read (or that has
// none), then an expired one, then one of a tenant over its share; of equal results the largest. It
// never drops a result that is being read and has not expired.
func (c *Core) evictOne(of *tenant, reasons int) bool {
	if c.nothingEvictable && c.now-c.nothingEvictableAt < evictionRetryInterval {
		return false
	}
	var best *Result
	bestRank := 0
	for _, r := range c.results {
		if !r.isIdle() || of != nil && r.tenant != of || r.isBeingRead(c) {
			continue
		}
		rank := 0
		switch {
		case reasons&afterRead != 0 && r.unreadCount == 0:
			rank = 3
		case reasons&expired != 0 && c.now >= r.expiry(c):
			rank = 2
		case reasons&overShare != 0 && c.isOverShare(r.tenant):
			rank = 1
		default:
			continue
		}
		if best == nil || rank > bestRank || rank == bestRank &&
			(r.bytes > best.bytes || r.bytes == best.bytes && r.id < best.id) {
			best, bestRank = r, rank
		}
	}
	if best == nil {
		if of == nil && reasons == afterRead|expired|overShare {
			c.nothingEvictable, c.nothingEvictableAt = true, c.now
		}
		return false
	}
	switch bestRank {
	case 3:
		c.Counts.EvictedAfterRead++
	case 2:
		c.Counts.Expired++
	case 1:
		c.Counts.Evicted++
	}
	c.Drop(c.now, best)
	return true
}

// isOverShare reports whether a tenant holds more than its share of the disk, or of the memory without
// a disk.
func (c *Core) isOverShare(t *tenant) bool {
	capacity := c.MaxDiskBytes
	if capacity == 0 {
		capacity = c.MaxMemoryBytes
	}
	return float64(t.bytes) > c.TenantShare*float64(capacity)
}

// releaseLeastRecentlyRead releases the cached pages of the least recently read result that is on
// disk. It reports whether there was one.
func (c *Core) releaseLeastRecentlyRead() bool {
	first := c.cachedLRU.First()
	if first == nil {
		return false
	}
	c.releaseMemory(first.Value)
	return true
}

// addToLRU makes a result the last whose cached pages are released.
func (c *Core) addToLRU(r *Result) {
	c.removeFromLRU(r)
	r.inLRU = true
	c.cachedLRU.Append(&r.lruElement, r)
}

func (c *Core) removeFromLRU(r *Result) {
	if !r.inLRU {
		return
	}
	c.cachedLRU.Remove(&r.lruElement)
	r.inLRU = false
}
