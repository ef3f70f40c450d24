package spool

import (
	"cmp"
	"time"
)

// ReadFirstPage passes the first page of a committed result to tell, at once or after a disk read.
func (c *Core) ReadFirstPage(now time.Duration, r *Result, tell func(body []byte, err error)) {
	c.advance(now)
	if len(r.pages) > 0 && r.pages[0].body != nil {
		tell(r.pages[0].body, nil)
		return
	}
	c.fetch(r, 0, tell)
}

// ErrPageNotFound is the error for every invalid token or page number, so that a client can't learn
// which part was wrong.
var ErrPageNotFound = RefusalError("no such page")

// ErrTooManyReads means that MaxReads pages are being read from disk.
var ErrTooManyReads = RefusalError("too many pages are being read")

// ReadPage passes a page of the result that a token opens to tell, at once or after a disk read. The
// error is ErrPageNotFound for every token or page number that is not valid, ErrTooManyReads, or the
// error of the disk.
func (c *Core) ReadPage(now time.Duration, token []byte, tenantName string, number int,
	tell func(body []byte, err error)) {
	c.advance(now)
	r := c.openToken(token, tenantName)
	if r == nil || number < 0 || number >= r.pageCount || !c.mayServe(r) {
		c.Counts.BadTokens++
		tell(nil, ErrPageNotFound)
		return
	}
	r.lastReadAt, r.requestedByToken = c.now, true
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
		if err == ErrPurged || err == nil && !c.mayServe(r) { // the client must not learn the reason
			c.Counts.BadTokens++
			body, err = nil, ErrPageNotFound
		}
		tell(body, err)
	})
}

// mayServe reports whether the residency rules allow the result to be served here.
func (c *Core) mayServe(r *Result) bool {
	return c.MayServe == nil || c.MayServe(r.owner(), r.tag.Tables)
}

// owner returns the data owner that purges and residency rules name.
func (r *Result) owner() string { return cmp.Or(r.tag.Owner, r.tenant.name) }

// fetch reads a page from disk and passes it to tell. The error is ErrPurged if the result was purged
// meanwhile, or the error of the disk.
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
		case r.purged: // a page read before the purge must not be served
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

// pageServed counts a served page and, except for the first page, marks it as read. Once the last unread
// page is read, the result may be evicted, so that the next eviction scan is allowed at once.
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
