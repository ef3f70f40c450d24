package spool

import (
	"cmp"
	"time"
)

// ReadFirstPage hands out a whole result's first page, now or once it was read from disk.
func (c *Core) ReadFirstPage(now time.Duration, r *Result, tell func(body []byte, err error)) {
	c.advance(now)
	if len(r.pages) > 0 && r.pages[0].body != nil {
		tell(r.pages[0].body, nil)
		return
	}
	c.fetch(r, 0, tell)
}

// ErrPageNotFound is all that is told of a token or page that opens nothing.
var ErrPageNotFound = RefusalError("no such page")

// ErrTooManyReads tells that too many pages are being read from disk.
var ErrTooManyReads = RefusalError("too many pages are being read")

// ReadPage hands out a page to whoever holds its result's token, now or once it was read
// from disk. It tells one reason for refusing from another in nothing.
func (c *Core) ReadPage(now time.Duration, token []byte, teamName string, number int, tell func(body []byte, err error)) {
	c.advance(now)
	r := c.openToken(token, teamName)
	if r == nil || number < 0 || number >= r.pageCount || !c.mayServe(r) {
		c.Counts.BadTokens++
		tell(nil, ErrPageNotFound)
		return
	}
	r.lastReadAt, r.readPastFirst = c.now, true
	if r.inMemory > 0 && c.MaxDiskBytes > 0 && r.inLRU {
		c.addToLRU(r)
	}
	if number < len(r.pages) && r.pages[number].body != nil {
		c.pageServed(r, number)
		tell(r.pages[number].body, nil)
		return
	}
	if c.activeReads >= c.MaxReads {
		tell(nil, ErrTooManyReads)
		return
	}
	c.fetch(r, number, func(body []byte, err error) {
		if err == ErrPurged || err == nil && !c.mayServe(r) { // which is nobody's to know
			c.Counts.BadTokens++
			body, err = nil, ErrPageNotFound
		}
		tell(body, err)
	})
}

func (c *Core) mayServe(r *Result) bool {
	return c.MayServe == nil || c.MayServe(r.owner(), r.tag.Tables)
}

// owner is whose it is.
func (r *Result) owner() string { return cmp.Or(r.tag.Owner, r.team.name) }

func (c *Core) fetch(r *Result, number int, tell func(body []byte, err error)) {
	c.activeReads++
	r.pendingReads++
	c.Counts.PagesFromDisk++
	w := &DiskTask{Fetch: &Fetch{r.id, number}}
	w.OnDone = func(now time.Duration) {
		c.advance(now)
		c.activeReads--
		r.pendingReads--
		switch {
		case r.purged: // whatever was read comes too late
			tell(nil, ErrPurged)
		case w.Err != nil:
			c.Counts.FailedReads++
			tell(nil, w.Err)
		default:
			r.lastReadAt = c.now
			c.pageServed(r, number)
			tell(w.FetchedPage, nil)
		}
	}
	c.submit(w)
}

// handed marks a page as read.
func (c *Core) pageServed(r *Result, number int) {
	c.Counts.PagesServed++
	if number == 0 || r.unreadCount == 0 {
		return
	}
	if r.readPages == nil {
		r.readPages = make([]uint64, (r.pageCount+63)/64)
	}
	if bit := uint64(1) << (number % 64); r.readPages[number/64]&bit == 0 {
		r.readPages[number/64] |= bit
		if r.unreadCount--; r.unreadCount == 0 {
			r.readPages, c.nothingEvictable = nil, false
		}
	}
}
