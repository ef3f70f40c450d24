package answers

import (
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Drop purges: what is kept of a scope goes at once, and what was asked for before a
// place in the record is neither kept nor served to who follows it, or comes later.
// Those named followed such a run and have to go their way now.
func (c *Cache) Drop(now time.Duration, s *fleet.Scope, index uint64) (found fleet.Counts, next []*Ask) {
	c.at(now)
	c.index = max(c.index, index)
	for _, k := range c.those(func(k *kept) bool { return k.index < index && s.Means(k.team.name, k.tables, k.wall) }) {
		c.Counts.Purged++
		found.Answers++
		found.Bytes += k.size
		c.drop(k)
	}
	for _, r := range c.strike(func(r *run) bool { return r.isPurged(s, index) }) {
		if n := c.next(r); n != nil {
			next = append(next, n)
		}
	}
	return found, next
}

// isPurged reports whether what is being drawn was asked for before a purge of this scope,
// whose place in the record is index: then nobody is served from it.
func (r *run) isPurged(s *fleet.Scope, index uint64) bool {
	return r.index < index && s.Means(r.lead.Team, r.lead.Tables, r.wall)
}
