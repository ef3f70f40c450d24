package spool

import (
	"cmp"
	"time"
)

// First hands out a whole result's first page, now or once it was read from disk.
func (c *Core) First(now time.Duration, r *Result, tell func(body []byte, err error)) {
	c.at(now)
	if len(r.pages) > 0 && r.pages[0].body != nil {
		tell(r.pages[0].body, nil)
		return
	}
	c.fetch(r, 0, tell)
}

// ErrNone is all that is told of a token or page that opens nothing.
var ErrNone = Refusal("no such page")

// ErrBusy tells that too many pages are being read from disk.
var ErrBusy = Refusal("too many pages are being read")

// Read hands out a page to whoever holds its result's token, now or once it was read
// from disk. It tells one reason for refusing from another in nothing.
func (c *Core) Read(now time.Duration, token []byte, teamName string, number int, tell func(body []byte, err error)) {
	c.at(now)
	r := c.opened(token, teamName)
	if r == nil || number < 0 || number >= r.count || !c.serves(r) {
		c.Counts.BadTokens++
		tell(nil, ErrNone)
		return
	}
	r.readAt, r.begun = c.now, true
	if r.inMemory > 0 && c.Disk > 0 && r.listed {
		c.list(r)
	}
	if number < len(r.pages) && r.pages[number].body != nil {
		c.handed(r, number)
		tell(r.pages[number].body, nil)
		return
	}
	if c.reads >= c.Reads {
		tell(nil, ErrBusy)
		return
	}
	c.fetch(r, number, func(body []byte, err error) {
		if err == ErrPurged || err == nil && !c.serves(r) { // which is nobody's to know
			c.Counts.BadTokens++
			body, err = nil, ErrNone
		}
		tell(body, err)
	})
}

func (c *Core) serves(r *Result) bool { return c.Serves == nil || c.Serves(r.owner(), r.tag.Tables) }

// owner is whose it is.
func (r *Result) owner() string { return cmp.Or(r.tag.Owner, r.team.name) }

func (c *Core) fetch(r *Result, number int, tell func(body []byte, err error)) {
	c.reads++
	r.reading++
	c.Counts.FromDisk++
	w := &Work{Fetch: &Fetch{r.id, number}}
	w.Done = func(now time.Duration) {
		c.at(now)
		c.reads--
		r.reading--
		switch {
		case r.purged: // whatever was read comes too late
			tell(nil, ErrPurged)
		case w.Err != nil:
			c.Counts.Spoilt++
			tell(nil, w.Err)
		default:
			r.readAt = c.now
			c.handed(r, number)
			tell(w.Body, nil)
		}
	}
	c.do(w)
}

// handed marks a page as read.
func (c *Core) handed(r *Result, number int) {
	c.Counts.Pages++
	if number == 0 || r.unread == 0 {
		return
	}
	if r.read == nil {
		r.read = make([]uint64, (r.count+63)/64)
	}
	if bit := uint64(1) << (number % 64); r.read[number/64]&bit == 0 {
		r.read[number/64] |= bit
		if r.unread--; r.unread == 0 {
			r.read, c.none = nil, false
		}
	}
}
