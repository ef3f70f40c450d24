package spool

import (
	"time"
)

// flush sends what has most in memory to disk, its last page too: else all memory may
// be held by pages that wait for more to come.
func (c *Core) flush() {
	var most *Result
	for r := range c.taking {
		if r.written() < len(r.pages) && (most == nil || r.inMemory > most.inMemory || r.inMemory == most.inMemory && r.serial < most.serial) {
			most = r
		}
	}
	if most != nil {
		c.write(most, len(most.pages), nil)
	}
}

// unwritten is what of a result still has to go to disk.
func (r *Result) unwritten() int64 {
	if r.whole {
		return 0
	}
	return r.bytes + int64(len(r.pages))*recordCost - r.onDisk
}

// spill writes full pages of a result once memory is used beyond its share: all but
// the last, which may still grow.
func (c *Core) spill(r *Result) {
	if c.memory <= c.share() {
		return
	}
	c.write(r, len(r.pages)-1, nil)
}

// write sends pages that are in memory only to disk, up to one of them.
func (c *Core) write(r *Result, to int, promise *Metadata) {
	r.number(c)
	w := &DiskTask{}
	var sent []int
	size := int64(0)
	for i := r.written(); i < to; i++ {
		p := &r.pages[i]
		if p.state != inMemory {
			continue
		}
		p.state = toDisk
		sent = append(sent, i)
		size += int64(p.size)
		w.Pages = append(w.Pages, Page{r.id, uint32(i), p.body})
		r.onDisk += int64(p.size) + recordCost
		c.disk += int64(p.size) + recordCost
	}
	if len(sent) == 0 && promise == nil {
		return
	}
	w.Metadata = promise
	c.flight += size
	r.writing++
	w.OnDone = func(now time.Duration) {
		c.at(now)
		c.flight -= size
		r.writing--
		c.dead = max(0, w.BytesOnDisk-c.disk)
		for _, i := range sent {
			if w.Err != nil || r.gone {
				break
			}
			p := &r.pages[i]
			if p.state = onDisk; promise == nil {
				c.uncachePage(r, p)
			}
		}
		if w.Err != nil && r.failed == nil {
			r.failed = w.Err
			c.Counts.Failed++
		}
		c.settled(r)
		c.wake()
	}
	c.do(w)
}

// written is how many of its first pages need no writing any more.
func (r *Result) written() int {
	n := 0
	for n < len(r.pages) && r.pages[n].state != inMemory {
		n++
	}
	return n
}

func (c *Core) uncachePage(r *Result, p *page) {
	if p.body != nil {
		c.memory -= int64(p.size)
		r.inMemory -= int64(p.size)
		p.body = nil
	}
}

// settled goes on once nothing of a result is on its way to disk.
func (c *Core) settled(r *Result) {
	if r.writing > 0 || r.promised == nil {
		return
	}
	tell := r.promised
	r.promised = nil
	if r.gone {
		return
	}
	if r.failed != nil {
		err := r.failed
		tell(err)
		c.Drop(c.now, r)
		return
	}
	c.promise(r, tell)
}

func (c *Core) promise(r *Result, tell func(error)) {
	r.whole, r.readAt = true, c.now
	r.unread = r.count - 1
	c.results[r.id] = r
	c.Counts.Committed++
	delete(c.taking, r)
	tell(nil)
	switch {
	case r.count == 1: // nothing is left to ask for
		c.Drop(c.now, r)
	case c.MaxDiskBytes == 0 || r.gone:
	case c.memory > c.share() || r.inMemory == 0:
		c.forget(r)
	default:
		c.list(r)
	}
}
