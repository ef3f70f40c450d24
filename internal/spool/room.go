package spool

import "time"

// comes: room may come by a time, because something is being written or compacted,
// or a result's life ends.
func (c *Core) spaceMayCome(until time.Duration, of *Result) bool {
	own := c.exceedsTeamLimit(of, 1) // then only room of its own team's helps
	if !own && (c.writingBytes > 0 || c.deadBytes > 0) {
		return true
	}
	for _, r := range c.results {
		if own && r.team != of.team {
			continue
		}
		if r.expiry(c) <= until || r.pendingReads > 0 || r.pendingWrites > 0 {
			return true
		}
	}
	return false
}

// teamFull: with so much more a result's team would have more than any may.
func (c *Core) exceedsTeamLimit(r *Result, size int64) bool {
	return c.MaxTeamBytes > 0 && r.team.bytes+size > c.MaxTeamBytes
}

// most is what any result may have at all.
func (c *Core) sizeLimit() int64 {
	most := min(c.MaxResultBytes, c.MaxMemoryBytes)
	if c.MaxDiskBytes > 0 {
		most = min(c.MaxResultBytes, c.MaxDiskBytes-c.MaxDiskBytes/16)
	}
	if c.MaxTeamBytes > 0 {
		most = min(most, c.MaxTeamBytes)
	}
	return most
}

// makeRoom finds room for a page, by giving up what may be.
func (c *Core) makeSpace(r *Result, size int64) bool {
	for c.exceedsTeamLimit(r, size) {
		if !c.evictOne(r.team, afterRead|expired) {
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
	// the dead are still there until they are compacted
	return c.diskBytes+c.deadBytes+r.unwrittenBytes()+size+recordOverheadBytes <= c.MaxDiskBytes+c.MaxDiskBytes/8
}

// share is what pages being taken in may have of the memory before they go to disk.
func (c *Core) spillThreshold() int64 { return c.MaxMemoryBytes / 2 }

// OnSpace has do called once, when there may be room again.
func (c *Core) OnSpace(do func()) { c.spaceWaiters = append(c.spaceWaiters, do) }

// wake tells all that wait, in the order in which they came; who finds none waits anew.
func (c *Core) notifySpaceWaiters() {
	l := c.spaceWaiters
	c.spaceWaiters = nil
	for _, do := range l {
		do()
	}
}

// Why results are evicted.
const (
	afterRead = 1 << iota
	expired
	overShare
)

// noneFor is how long it isn't looked again for what may be evicted where there was
// nothing, unless a result went or was read to its end.
const evictionRetryInterval = 100 * time.Millisecond

// life is when a result's life is over unless it is read before.
func (r *Result) expiry(c *Core) time.Duration { return min(r.lastReadAt+c.IdleTimeout, r.expiresAt) }

// mayGo: nothing of it is being read, or written.
func (r *Result) isIdle() bool { return r.complete && r.pendingReads == 0 && r.pendingWrites == 0 }

// beingRead: its client is between its first and last page, within its life.
func (r *Result) isBeingRead(c *Core) bool {
	return r.readPastFirst && r.unreadCount > 0 && c.now < r.expiry(c)
}

// evictOne gives a result up for room, of one team or of any: first one that was read
// to its end, then one past its life, then the largest of a team over its share. One
// that is being read within its life is never given up.
func (c *Core) evictOne(of *team, why int) bool {
	if c.nothingEvictable && c.now-c.nothingEvictableAt < evictionRetryInterval {
		return false
	}
	var best *Result
	bestRank := 0
	for _, r := range c.results {
		if !r.isIdle() || of != nil && r.team != of || r.isBeingRead(c) {
			continue
		}
		rank := 0
		switch {
		case why&afterRead != 0 && r.unreadCount == 0:
			rank = 3
		case why&expired != 0 && c.now >= r.expiry(c):
			rank = 2
		case why&overShare != 0 && c.isOverShare(r.team):
			rank = 1
		default:
			continue
		}
		if best == nil || rank > bestRank || rank == bestRank && (r.bytes > best.bytes || r.bytes == best.bytes && r.id < best.id) {
			best, bestRank = r, rank
		}
	}
	if best == nil {
		if of == nil && why == afterRead|expired|overShare {
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

// over: a team has more than its share of the room.
func (c *Core) isOverShare(t *team) bool {
	all := c.MaxDiskBytes
	if all == 0 {
		all = c.MaxMemoryBytes
	}
	return float64(t.bytes) > c.TeamShare*float64(all)
}

// uncache frees memory of the page set longest unread that is on disk too.
func (c *Core) releaseLeastRecentlyRead() bool {
	first := c.cachedLRU.First()
	if first == nil {
		return false
	}
	c.releaseMemory(first.Value)
	return true
}

// list has a result's pages in memory go last of all.
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
