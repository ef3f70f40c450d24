package spool

import (
	"cmp"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// ErrPurged means that a result was purged while it was received, or while its first page was read.
var ErrPurged = RefusalError("retained data of its team was purged before the result was complete")

// Purged reports whether a purge removed the result.
func (r *Result) Purged() bool { return r.purged }

// Purge drops all results that match a scope and whose query was received before an index in the
// fleet's log. From the call on, no token opens them, a page that is being read from disk is not
// served, and results that are being received fail with ErrPurged. Purge calls unreachable before
// it returns, when no client can get these results any more, and erased with the counts once the disk
// holds no byte of them. If the process ends before erased is called, the caller must run the same purge
// after the restart, before it serves pages.
func (c *Core) Purge(now time.Duration, s *fleet.Scope, index uint64, unreachable func(),
	erased func(fleet.InvalidationCounts)) {
	c.advance(now)
	var matching []*Result
	collect := func(r *Result) {
		if r.tag.LogIndex < index && s.Matches(r.owner(), r.tag.Tables, r.createdUnixMillis) {
			matching = append(matching, r)
		}
	}
	for r := range c.receiving {
		collect(r)
	}
	for _, r := range c.results {
		collect(r)
	}
	// sorted so that the order of the effects doesn't depend on the map
	slices.SortFunc(matching, func(a, b *Result) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.serial, b.serial))
	})
	var found fleet.InvalidationCounts
	for _, r := range matching {
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
	unreachable()
	if c.MaxDiskBytes == 0 {
		erased(found)
		return
	}
	w := &DiskTask{Erase: true}
	w.OnDone = func(now time.Duration) {
		c.advance(now)
		c.deadBytes = max(0, w.BytesOnDisk-c.diskBytes)
		erased(found)
		c.notifySpaceWaiters()
	}
	c.submit(w)
}

// TagOf returns the tag of the result that a token opens for a tenant, or an empty tag if it opens none.
func (c *Core) TagOf(token []byte, tenantName string) InvalidationTag {
	if r := c.openToken(token, tenantName); r != nil {
		return r.tag
	}
	return InvalidationTag{}
}

// ReconcileLogIndex takes the current index of the fleet's log after a start. A result with a later
// index was tagged with the index of another log, or by a controller without a fleet. Such a result
// counts as older than all entries of this log, so that every purge of the log applies to it.
func (c *Core) ReconcileLogIndex(index uint64) {
	for _, r := range c.results {
		if r.tag.LogIndex > index {
			r.tag.LogIndex = 0
		}
	}
}
