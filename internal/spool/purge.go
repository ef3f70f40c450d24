package spool

import (
	"cmp"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// ErrPurged tells that a result was purged while it was taken in, or while its first page was read.
var ErrPurged = RefusalError("what is kept of its team was purged before its result was whole")

// Purged reports whether a purge took the result.
func (r *Result) Purged() bool { return r.purged }

// Purge gives up what is kept of a scope and was asked for before a place in the record.
// From this moment no token opens it, a page that is being read from disk is handed out
// to nobody, and what is being taken in is refused with ErrPurged. unreached is called
// at once, wiped when no byte of it is on disk any more, with what was found. A program
// that ends before is to be given the same purge again, before it serves.
func (c *Core) Purge(now time.Duration, s *fleet.Scope, index uint64, unreached func(), wiped func(fleet.InvalidationCounts)) {
	c.advance(now)
	var l []*Result
	means := func(r *Result) {
		if r.tag.LogIndex < index && s.Matches(r.owner(), r.tag.Tables, r.createdWall) {
			l = append(l, r)
		}
	}
	for r := range c.receiving {
		means(r)
	}
	for _, r := range c.results {
		means(r)
	}
	// the order of a map must not show
	slices.SortFunc(l, func(a, b *Result) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.serial, b.serial)) })
	var found fleet.InvalidationCounts
	for _, r := range l {
		if r.purged = true; r.failure == nil {
			r.failure = ErrPurged
		}
		if r.bytes > 0 {
			found.Results++
			found.Bytes += r.bytes
		}
		c.Counts.Purged++
		c.Drop(c.now, r)
	}
	unreached()
	if c.MaxDiskBytes == 0 {
		wiped(found)
		return
	}
	w := &DiskTask{Erase: true}
	w.OnDone = func(now time.Duration) {
		c.advance(now)
		c.deadBytes = max(0, w.BytesOnDisk-c.diskBytes)
		wiped(found)
		c.notifySpaceWaiters()
	}
	c.submit(w)
}

// TagOf is what a token's result is found by; none where it opens nothing.
func (c *Core) TagOf(token []byte, teamName string) InvalidationTag {
	if r := c.openToken(token, teamName); r != nil {
		return r.tag
	}
	return InvalidationTag{}
}

// LogReplaced tells the place of the record that is gone by from now on. What is kept by a
// later one is so by the places of another record, or of a controller alone: it comes
// before all of this one's.
func (c *Core) LogReplaced(index uint64) {
	for _, r := range c.results {
		if r.tag.LogIndex > index {
			r.tag.LogIndex = 0
		}
	}
}
