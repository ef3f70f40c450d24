package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// caching answers read-only queries from what others were answered. Without a part of
// the set-up for it it is nil, and costs nothing.
type resultCaching struct {
	*Controller
	core         *resultcache.Cache
	cachedGroups map[string]bool // whose answers are kept
}

// memo is what the cache knows of a query.
type cacheLookup struct {
	ask         *resultcache.Ask // it asks: read-only
	followTimer *timerqueue.Item // until when it may follow another
	proceed     func()           // its way, if it has to lead
	mutates     bool             // it changes tables, which nothing of is answered until it is over
	tables      []int64
}

func newResultCaching(c *Controller, l *resultcache.Limits) *resultCaching {
	core, err := resultcache.New(*l, c.StartedAt.UnixMilli())
	if err != nil {
		c.logMessage(true, err.Error())
		return nil
	}
	a := &resultCaching{Controller: c, core: core, cachedGroups: map[string]bool{}}
	for _, g := range c.groups {
		a.cachedGroups[g.name] = !g.isLoad && !g.inOrder && g.readOnly && (len(l.Groups) == 0 || slices.Contains(l.Groups, g.name))
	}
	a.sweep()
	return a
}

func (a *resultCaching) sweep() {
	a.runAfter(time.Second, a.sweep)
	a.core.Sweep(a.now)
}

// tablesOf are the groups of tables that a statement reads or writes, nil if any of it
// can't be told.
func allTables(statement []byte) []int64 {
	read, written, known := msgpackrpc.AllTables(statement)
	if !known {
		return nil
	}
	for _, t := range written {
		if !slices.Contains(read, t) {
			read = append(read, t)
		}
	}
	return read
}

// changing notes a query that changes tables, as soon as it is taken.
func (a *resultCaching) noteMutation(q *query) {
	if q.group.isLoad || !q.group.readOnly {
		_, written, known := msgpackrpc.AllTables(q.statement)
		if !known {
			written = nil
		}
		q.cacheState = &cacheLookup{mutates: true, tables: written}
		a.core.Loading(a.now, written)
	}
}

// enters is asked before a query goes its way, which goes is for. False: it doesn't
// need to, for now.
func (a *resultCaching) lookup(q *query, from From, goes func(From)) bool {
	if !a.cachedGroups[q.group.name] || q.cacheState != nil || q.spooled != nil || a.isDraining() || a.invalidation.servingBarred() || !a.mayRetain(q) {
		return true
	}
	m := &cacheLookup{ask: &resultcache.Ask{Team: a.dataOwner(from), Group: q.group.index, Statement: q.statement, Tables: allTables(q.statement),
		Index: a.invalidation.currentIndex(), Until: q.deadline - answerMargin, Of: q}}
	verdict, pages := a.core.Ask(a.now, m.ask)
	switch verdict {
	case resultcache.Hit:
		a.invalidation.markRetained(func() { a.answerFinished(q, pages) })
		a.invalidation.noteRetainedAnswer(q)
		return false
	case resultcache.Follow:
		from.Fields = from.Fields.Clone() // the call lies in its connection's buffer
		q.cacheState = m
		m.proceed = func() { goes(from) }
		m.followTimer = a.timers.Add(max(a.now, m.ask.Until), func() { a.answerDeferred(q, 0) })
		return false
	case resultcache.Lead:
		q.cacheState = m
	}
	return true
}

// answerBefore is before the queue timeout of one that follows: that it is deferred
// has to reach its client in time.
const answerMargin = 10 * time.Millisecond

// done: a query is about to be answered by what its engine told. It names who is
// answered by it, too.
func (a *resultCaching) takeFollowers(q *query, pages [][]byte) (others []*query) {
	if q.cacheState == nil || q.cacheState.ask == nil {
		return nil
	}
	for _, o := range a.core.Finished(a.now, q.cacheState.ask, pages) {
		others = append(others, o.Of.(*query))
	}
	return others
}

// answered: no answer is owed any more, whether it led, followed or neither.
func (a *resultCaching) queryAnswered(q *query) {
	if q.cacheState == nil || q.cacheState.ask == nil {
		return
	}
	a.timers.Drop(q.cacheState.followTimer)
	a.promote(a.core.Left(a.now, q.cacheState.ask))
}

// over: nothing of a query is out any more.
func (a *resultCaching) queryOver(q *query) {
	if q.cacheState != nil && q.cacheState.mutates {
		a.core.Loaded(a.now, q.cacheState.tables)
	}
}

// leads has one that followed go its way.
func (a *resultCaching) promote(next *resultcache.Ask) {
	if next == nil {
		return
	}
	q := next.Of.(*query)
	a.timers.Drop(q.cacheState.followTimer)
	a.runSoon(func() {
		if !q.answered {
			q.cacheState.proceed()
		}
	})
}

// hand answers those who followed with what another was answered.
func (a *resultCaching) answerFollowers(others []*query, pages [][]byte) {
	for _, o := range others {
		if a.invalidation.servingBarred() {
			a.answerDeferred(o, a.servingLease.retryAfter())
			continue
		}
		if a.closeQuery(o, fairqueue.Finished) {
			a.counters.finished++
			a.invalidation.markRetained(func() { o.owner.finished(pages) })
			a.invalidation.noteRetainedAnswer(o)
		}
	}
}

// AnswerCache is what the cache holds and counts, nil without one. It is for reports,
// between two steps.
func (c *Controller) AnswerCache() *resultcache.Cache {
	if c.caching == nil {
		return nil
	}
	return c.caching.core
}
