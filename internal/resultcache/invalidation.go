package resultcache

import (
	"cmp"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Invalidate removes the entries of a scope, and sees to it that no answer asked for before an index
// of the log is cached, or served to who follows it or comes later. Those that it names followed
// such a flight, and have to go their way now.
func (c *Cache) Invalidate(
	now time.Duration, scope *fleet.Scope, index uint64,
) (found fleet.InvalidationCounts, next []*Request) {
	c.advance(now)
	c.logIndex = max(c.logIndex, index)
	inScope := func(e *entry) bool {
		return e.logIndex < index && scope.Matches(e.tenant.name, e.tables, e.startedWall)
	}
	for _, e := range c.entriesWhere(inScope) {
		c.Counts.Purged++
		found.Answers++
		found.Bytes += e.size
		c.remove(e)
	}
	askedBefore := func(f *flight) bool {
		return f.logIndex < index && scope.Matches(f.leader.Team, f.leader.Tables, f.startedWall)
	}
	for _, f := range c.invalidateFlights(askedBefore) {
		if leader := c.promote(f); leader != nil {
			next = append(next, leader)
		}
	}
	return found, next
}

// invalidateFlights sees to it that flights for which a condition holds are not cached, and
// followed by nobody else. It gives them in the order in which they began.
func (c *Cache) invalidateFlights(holds func(f *flight) bool) (flights []*flight) {
	for f := range c.flights {
		if holds(f) {
			f.invalidated = true
			c.closeToFollowers(f)
			flights = append(flights, f)
		}
	}
	slices.SortFunc(flights, func(a, b *flight) int { return cmp.Compare(a.serial, b.serial) })
	return flights
}

// MutationStarted tells that a query that changes tables was received; none: it isn't known which.
// Until MutationEnded nothing of these tables is served or cached. Who leads or follows a
// flight over them asked before, and is answered by it.
func (c *Cache) MutationStarted(now time.Duration, tables []int64) {
	c.advance(now)
	c.countMutation(tables, 1)
	for _, e := range c.entriesWhere(func(e *entry) bool { return mayOverlap(e.tables, tables) }) {
		c.Counts.RemovedByMutation++
		c.remove(e)
	}
	c.invalidateFlights(func(f *flight) bool { return mayOverlap(f.leader.Tables, tables) })
}

// MutationEnded tells that nothing of a query that changes tables is in flight any more.
func (c *Cache) MutationEnded(now time.Duration, tables []int64) {
	c.advance(now)
	c.countMutation(tables, -1)
}

func (c *Cache) countMutation(tables []int64, n int) {
	if len(tables) == 0 {
		c.unknownMutations += n
	}
	for _, t := range tables {
		c.mutations[t] += n
		if c.mutations[t] <= 0 {
			delete(c.mutations, t)
		}
	}
}

// isChanging reports whether a query in flight changes some of these tables, or may.
func (c *Cache) isChanging(tables []int64) bool {
	switch {
	case c.unknownMutations > 0:
		return true
	case len(tables) == 0: // they can't be told
		return len(c.mutations) > 0
	}
	return slices.ContainsFunc(tables, func(t int64) bool { return c.mutations[t] > 0 })
}

// mayOverlap reports whether two lists have a table in common; where one can't be told they may.
func mayOverlap(a, b []int64) bool { return len(a) == 0 || len(b) == 0 || fleet.TablesOverlap(a, b) }
