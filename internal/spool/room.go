package spool

import "time"

// comes: room may come by a time, because something is being written or compacted,
// or a result's life ends.
func (c *Core) comes(until time.Duration, of *Result) bool {
	own := c.teamFull(of, 1) // then only room of its own team's helps
	if !own && (c.flight > 0 || c.dead > 0) {
		return true
	}
	for _, r := range c.results {
		if own && r.team != of.team {
			continue
		}
		if r.life(c) <= until || r.reading > 0 || r.writing > 0 {
			return true
		}
	}
	return false
}

// teamFull: with so much more a result's team would have more than any may.
func (c *Core) teamFull(r *Result, size int64) bool {
	return c.MaxTeamBytes > 0 && r.team.bytes+size > c.MaxTeamBytes
}

// most is what any result may have at all.
func (c *Core) most() int64 {
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
func (c *Core) makeRoom(r *Result, size int64) bool {
	for c.teamFull(r, size) {
		if !c.evictOne(r.team, readOut|pastLife) {
			return false
		}
	}
	for c.memory+size > c.MaxMemoryBytes {
		if c.uncache() {
			continue
		}
		if c.MaxDiskBytes > 0 {
			c.flush()
			return false
		}
		if !c.evictOne(nil, readOut|pastLife|overShare) {
			return false
		}
	}
	if c.MaxDiskBytes == 0 {
		return true
	}
	if c.flight > c.MaxWritingBytes {
		return false
	}
	for c.disk+r.unwritten()+size+recordCost > c.MaxDiskBytes {
		if !c.evictOne(nil, readOut|pastLife|overShare) {
			return false
		}
	}
	// the dead are still there until they are compacted
	return c.disk+c.dead+r.unwritten()+size+recordCost <= c.MaxDiskBytes+c.MaxDiskBytes/8
}

// share is what pages being taken in may have of the memory before they go to disk.
func (c *Core) share() int64 { return c.MaxMemoryBytes / 2 }

// OnSpace has do called once, when there may be room again.
func (c *Core) OnSpace(do func()) { c.room = append(c.room, do) }

// wake tells all that wait, in the order in which they came; who finds none waits anew.
func (c *Core) wake() {
	l := c.room
	c.room = nil
	for _, do := range l {
		do()
	}
}

// Why results are evicted.
const (
	readOut = 1 << iota
	pastLife
	overShare
)

// noneFor is how long it isn't looked again for what may be evicted where there was
// nothing, unless a result went or was read to its end.
const noneFor = 100 * time.Millisecond

// life is when a result's life is over unless it is read before.
func (r *Result) life(c *Core) time.Duration { return min(r.readAt+c.IdleTimeout, r.ends) }

// mayGo: nothing of it is being read, or written.
func (r *Result) mayGo() bool { return r.whole && r.reading == 0 && r.writing == 0 }

// beingRead: its client is between its first and last page, within its life.
func (r *Result) beingRead(c *Core) bool { return r.begun && r.unread > 0 && c.now < r.life(c) }

// evictOne gives a result up for room, of one team or of any: first one that was read
// to its end, then one past its life, then the largest of a team over its share. One
// that is being read within its life is never given up.
func (c *Core) evictOne(of *team, why int) bool {
	if c.none && c.now-c.noneAt < noneFor {
		return false
	}
	var best *Result
	bestRank := 0
	for _, r := range c.results {
		if !r.mayGo() || of != nil && r.team != of || r.beingRead(c) {
			continue
		}
		rank := 0
		switch {
		case why&readOut != 0 && r.unread == 0:
			rank = 3
		case why&pastLife != 0 && c.now >= r.life(c):
			rank = 2
		case why&overShare != 0 && c.over(r.team):
			rank = 1
		default:
			continue
		}
		if best == nil || rank > bestRank || rank == bestRank && (r.bytes > best.bytes || r.bytes == best.bytes && r.id < best.id) {
			best, bestRank = r, rank
		}
	}
	if best == nil {
		if of == nil && why == readOut|pastLife|overShare {
			c.none, c.noneAt = true, c.now
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
func (c *Core) over(t *team) bool {
	all := c.MaxDiskBytes
	if all == 0 {
		all = c.MaxMemoryBytes
	}
	return float64(t.bytes) > c.TeamShare*float64(all)
}

// uncache frees memory of the page set longest unread that is on disk too.
func (c *Core) uncache() bool {
	first := c.byRead.First()
	if first == nil {
		return false
	}
	c.forget(first.Value)
	return true
}

// list has a result's pages in memory go last of all.
func (c *Core) list(r *Result) {
	c.unlist(r)
	r.listed = true
	c.byRead.Append(&r.inRead, r)
}

func (c *Core) unlist(r *Result) {
	if !r.listed {
		return
	}
	c.byRead.Remove(&r.inRead)
	r.listed = false
}
