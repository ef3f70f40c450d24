package resultcache

import (
	"cmp"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Invalidate removes the entries that match a scope and were requested before an index in the fleet's
// log. Matching flights that began before that index still answer their leaders, but their answers
// are neither cached nor served to other requests. next are followers of such flights that now lead
// flights of their own: the caller must send them to engines.
func (c *Cache) Invalidate(
	now time.Duration, scope *fleet.Scope, index uint64,
) (found fleet.InvalidationCounts, next []*Request) {
	c.advance(now)
	c.logIndex = max(c.logIndex, index)
	inScope := func(e *entry) bool {
		return e.logIndex < index && scope.Matches(e.tenant.name, e.tables, e.startedUnixMillis)
	}
	for _, e := range c.entriesWhere(inScope) {
		c.Counts.Purged++
		found.Answers++
		found.Bytes += e.size
		c.remove(e)
	}
	askedBefore := func(f *flight) bool {
		return f.logIndex < index && scope.Matches(f.leader.Tenant, f.leader.Tables, f.startedUnixMillis)
	}
	for _, f := range c.invalidateFlights(askedBefore) {
		if leader := c.promote(f); leader != nil {
			next = append(next, leader)
		}
	}
	return found, next
}

// invalidateFlights prevents flights that satisfy a condition from being cached and from gaining
// followers. It returns these flights in the order in which they began.
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

// MutationStarted records that a query that changes tables was received; without tables, it may
// change any. Until MutationEnded, no answer over these tables is served or cached. Requests that
// lead or follow a flight over these tables came before the mutation, so the flight still answers
// them.
func (c *Cache) MutationStarted(now time.Duration, tables []int64) {
	c.advance(now)
	c.countMutation(tables, 1)
	for _, e := range c.entriesWhere(func(e *entry) bool { return mayOverlap(e.tables, tables) }) {
		c.Counts.RemovedByMutation++
		c.remove(e)
	}
	c.invalidateFlights(func(f *flight) bool { return mayOverlap(f.leader.Tables, tables) })
}

// MutationEnded records that no attempt of a query that changes tables is in flight any more.
func (c *Cache) MutationEnded(now time.Duration, tables []int64) {
	c.advance(now)
	c.countMutation(tables, -1)
}

// countMutation adds n to the number of mutations in flight of each table, or of unknown tables.
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

// isChanging reports whether a query in flight changes, or may change, one of these tables.
func (c *Cache) isChanging(tables []int64) bool {
	switch {
	case c.unknownMutations > 0:
		return true
	case len(tables) == 0: // unknown
		return len(c.mutations) > 0
	}
	return slices.ContainsFunc(tables, func(t int64) bool { return c.mutations[t] > 0 })
}

// mayOverlap reports whether two lists of tables may have one in common. An empty list is unknown
// tables, which overlap with any.
func mayOverlap(a, b []int64) bool { return len(a) == 0 || len(b) == 0 || fleet.TablesOverlap(a, b) }
