package spool

import (
	"time"
)

// flush writes a result to disk, including its last, partly filled page. Otherwise the partly filled
// pages of many results could use up the memory limit. It selects the receiving result that uses the
// most memory, among those with a page that no write was submitted for. Pages being written count
// towards the memory of a result, because they stay in memory until releasePage.
func (c *Core) flush() {
	var largest *Result
	for r := range c.receiving {
		if r.writtenPages() < len(r.pages) && (largest == nil || r.inMemory > largest.inMemory ||
			r.inMemory == largest.inMemory && r.serial < largest.serial) {
			largest = r
		}
	}
	if largest != nil {
		c.write(largest, len(largest.pages), nil)
	}
}

// unwrittenBytes returns the disk space that the pages not yet submitted for writing will take.
func (r *Result) unwrittenBytes() int64 {
	if r.complete {
		return 0
	}
	return r.bytes + int64(len(r.pages))*recordOverheadBytes - r.onDisk
}

// spill writes the pages of a result to disk once memory use exceeds the spill threshold. The last
// page stays in memory, since the next page may be merged into it.
func (c *Core) spill(r *Result) {
	if c.memoryBytes <= c.spillThreshold() {
		return
	}
	c.write(r, len(r.pages)-1, nil)
}

// write submits one disk task with the pages before index to that are only in memory, and with the
// metadata if the result is to be committed. The result gets its ID first, even if there is nothing
// to submit.
//
// When the task ends without an error, its pages count as on disk, unless the result was dropped
// meanwhile. Their memory is released only if the task carried no metadata. An error fails the whole
// result, and the first error of a result is counted in Failed. In both cases OnDone calls finishWrites
// and notifies the results that wait for space.
func (c *Core) write(r *Result, to int, metadata *Metadata) {
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
	if len(sent) == 0 && metadata == nil {
		return
	}
	w.Metadata = metadata
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
			if p.state = onDisk; metadata == nil {
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

// writtenPages returns how many of the first pages are on disk or being written.
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

// finishWrites finishes the commit of a result once no write of it is pending. If a write failed, it
// calls the callback with the error and drops the result. If the result was dropped before, it
// discards the callback without a call. If no commit is under way, it does nothing.
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

// markCommitted registers a complete result under its ID, counts it, removes it from the results being
// received and calls the callback. It then drops a result of one page, since the answer held that
// page. A longer result has its memory released if memory use exceeds the spill threshold or no page
// is in memory, and is otherwise added to the LRU list. Without a disk, or if the callback dropped
// the result, its memory stays as it is.
func (c *Core) markCommitted(r *Result, tell func(error)) {
	r.complete, r.lastReadAt = true, c.now
	r.unreadCount = r.pageCount - 1
	c.results[r.id] = r
	c.Counts.Committed++
	delete(c.receiving, r)
	tell(nil)
	switch {
	case r.pageCount == 1: // the answer held the only page
		c.Drop(c.now, r)
	case c.MaxDiskBytes == 0 || r.dropped:
	case c.memoryBytes > c.spillThreshold() || r.inMemory == 0:
		c.releaseMemory(r)
	default:
		c.addToLRU(r)
	}
}
