package spool

import (
	"time"
)

// flush sends what has most in memory to disk, its last page too: else all memory may
// be held by pages that wait for more to come.
func (c *Core) flush() {
	var most *Result
	for r := range c.receiving {
		if r.writtenPages() < len(r.pages) && (most == nil || r.inMemory > most.inMemory || r.inMemory == most.inMemory && r.serial < most.serial) {
			most = r
		}
	}
	if most != nil {
		c.write(most, len(most.pages), nil)
	}
}

// unwritten is what of a result still has to go to disk.
func (r *Result) unwrittenBytes() int64 {
	if r.complete {
		return 0
	}
	return r.bytes + int64(len(r.pages))*recordOverheadBytes - r.onDisk
}

// spill writes full pages of a result once memory is used beyond its share: all but
// the last, which may still grow.
func (c *Core) spill(r *Result) {
	if c.memoryBytes <= c.spillThreshold() {
		return
	}
	c.write(r, len(r.pages)-1, nil)
}

// write sends pages that are in memory only to disk, up to one of them.
func (c *Core) write(r *Result, to int, promise *Metadata) {
	r.assignID(c)
	w := &DiskTask{}
	var sent []int
	size := int64(0)
	for i := r.writtenPages(); i < to; i++ {
		p := &r.pages[i]
		if p.state != inMemory {
			continue
		}
		p.state = writing
		sent = append(sent, i)
		size += int64(p.size)
		w.Pages = append(w.Pages, Page{r.id, uint32(i), p.body})
		r.onDisk += int64(p.size) + recordOverheadBytes
		c.diskBytes += int64(p.size) + recordOverheadBytes
	}
	if len(sent) == 0 && promise == nil {
		return
	}
	w.Metadata = promise
	c.writingBytes += size
	r.pendingWrites++
	w.OnDone = func(now time.Duration) {
		c.advance(now)
		c.writingBytes -= size
		r.pendingWrites--
		c.deadBytes = max(0, w.BytesOnDisk-c.diskBytes)
		for _, i := range sent {
			if w.Err != nil || r.dropped {
				break
			}
			p := &r.pages[i]
			if p.state = onDisk; promise == nil {
				c.releasePage(r, p)
			}
		}
		if w.Err != nil && r.failure == nil {
			r.failure = w.Err
			c.Counts.Failed++
		}
		c.finishWrites(r)
		c.notifySpaceWaiters()
	}
	c.submit(w)
}

// written is how many of its first pages need no writing any more.
func (r *Result) writtenPages() int {
	n := 0
	for n < len(r.pages) && r.pages[n].state != inMemory {
		n++
	}
	return n
}

func (c *Core) releasePage(r *Result, p *page) {
	if p.body != nil {
		c.memoryBytes -= int64(p.size)
		r.inMemory -= int64(p.size)
		p.body = nil
	}
}

// settled goes on once nothing of a result is on its way to disk.
func (c *Core) finishWrites(r *Result) {
	if r.pendingWrites > 0 || r.onCommitted == nil {
		return
	}
	tell := r.onCommitted
	r.onCommitted = nil
	if r.dropped {
		return
	}
	if r.failure != nil {
		err := r.failure
		tell(err)
		c.Drop(c.now, r)
		return
	}
	c.markCommitted(r, tell)
}

func (c *Core) markCommitted(r *Result, tell func(error)) {
	r.complete, r.lastReadAt = true, c.now
	r.unreadCount = r.pageCount - 1
	c.results[r.id] = r
	c.Counts.Committed++
	delete(c.receiving, r)
	tell(nil)
	switch {
	case r.pageCount == 1: // nothing is left to ask for
		c.Drop(c.now, r)
	case c.MaxDiskBytes == 0 || r.dropped:
	case c.memoryBytes > c.spillThreshold() || r.inMemory == 0:
		c.releaseMemory(r)
	default:
		c.addToLRU(r)
	}
}
