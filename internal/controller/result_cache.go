package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// resultCaching answers read-only queries from what others were answered. Where the set-up has no
// result cache it is nil. All fields are the controller goroutine's.
type resultCaching struct {
	*Controller
	core         *resultcache.Cache
	cachedGroups map[string]bool // whose answers are cached, by the group's name
}

// queryCacheState is what the cache knows of a query: one that reads has an ask, one that changes
// tables has mutates set.
type queryCacheState struct {
	ask         *resultcache.Request
	followTimer *timerqueue.Timer // until when it may follow another
	proceed     func()            // sends it on its way, if it has to lead

	mutates bool    // nothing of its tables is answered from the cache until it is over
	tables  []int64 // that it changes; none: they can't be told
}

const (
	cacheSweepInterval = time.Second
	// answerMargin is how long before its deadline a query that follows is deferred: the
	// answer has to reach its client in time.
	answerMargin = 10 * time.Millisecond
)

func newResultCaching(c *Controller, limits *resultcache.Limits) *resultCaching {
	core, err := resultcache.New(*limits, c.StartedAt.UnixMilli())
	if err != nil {
		c.logMessage(true, err.Error())
		return nil
	}
	a := &resultCaching{Controller: c, core: core, cachedGroups: map[string]bool{}}
	for _, g := range c.groups {
		chosen := len(limits.Groups) == 0 || slices.Contains(limits.Groups, g.name)
		a.cachedGroups[g.name] = chosen && !g.isLoad && !g.inOrder && g.readOnly
	}
	a.sweep()
	return a
}

func (a *resultCaching) sweep() {
	a.runAfter(cacheSweepInterval, a.sweep)
	a.core.Sweep(a.now)
}

// allTables are the table groups that a statement reads or writes, nil if any of them
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

// noteMutation notes a query that changes tables, as soon as it is received.
func (a *resultCaching) noteMutation(q *query) {
	if q.group.isLoad || !q.group.readOnly {
		_, written, known := msgpackrpc.AllTables(q.statement)
		if !known {
			written = nil
		}
		q.cacheState = &queryCacheState{mutates: true, tables: written}
		a.core.MutationStarted(a.now, written)
	}
}

// lookup answers a query from the cache, or has it follow another that asks the same. It reports
// whether the query has to go its way, which proceed would send it on later.
func (a *resultCaching) lookup(q *query, from CallOrigin, proceed func(CallOrigin)) bool {
	if !a.mayLookUp(q) {
		return true
	}
	l := &queryCacheState{ask: &resultcache.Request{
		Team:       a.dataOwner(from),
		Group:      q.group.index,
		Statement:  q.statement,
		Tables:     allTables(q.statement),
		LogIndex:   a.invalidation.currentIndex(),
		Deadline:   q.deadline - answerMargin,
		CallerData: q,
	}}
	verdict, pages := a.core.Lookup(a.now, l.ask)
	switch verdict {
	case resultcache.Hit:
		a.invalidation.markRetained(func() { a.answerFinished(q, pages) })
		a.invalidation.noteRetainedAnswer(q)
		return false
	case resultcache.Follow:
		from.Fields = from.Fields.Clone() // the call lies in its connection's buffer
		q.cacheState = l
		l.proceed = func() { proceed(from) }
		l.followTimer = a.timers.Add(max(a.now, l.ask.Deadline), func() { a.answerDeferred(q, 0) })
		return false
	case resultcache.Lead:
		q.cacheState = l
	}
	return true
}

// mayLookUp reports whether a query may be answered from the cache, or its answer cached.
func (a *resultCaching) mayLookUp(q *query) bool {
	return a.cachedGroups[q.group.name] && q.cacheState == nil && q.spooled == nil &&
		!a.isDraining() && !a.invalidation.servingBarred() && a.mayRetain(q)
}

// takeFollowers is called when a query is about to be answered by its engine's result. It gives
// the queries that followed it and are answered by the same.
func (a *resultCaching) takeFollowers(q *query, pages [][]byte) (followers []*query) {
	if q.cacheState == nil || q.cacheState.ask == nil {
		return nil
	}
	for _, o := range a.core.Complete(a.now, q.cacheState.ask, pages) {
		followers = append(followers, o.CallerData.(*query))
	}
	return followers
}

// queryAnswered notes that a query is owed no answer any more, whether it led, followed or neither.
func (a *resultCaching) queryAnswered(q *query) {
	if q.cacheState == nil || q.cacheState.ask == nil {
		return
	}
	a.timers.Cancel(q.cacheState.followTimer)
	a.promote(a.core.Abandon(a.now, q.cacheState.ask))
}

// queryOver notes that nothing of a query is in flight any more.
func (a *resultCaching) queryOver(q *query) {
	if q.cacheState != nil && q.cacheState.mutates {
		a.core.MutationEnded(a.now, q.cacheState.tables)
	}
}

// promote sends a query that followed another on its own way; nil: none.
func (a *resultCaching) promote(next *resultcache.Request) {
	if next == nil {
		return
	}
	q := next.CallerData.(*query)
	a.timers.Cancel(q.cacheState.followTimer)
	a.enqueueCallback(func() {
		if !q.answered {
			q.cacheState.proceed()
		}
	})
}

// answerFollowers answers those who followed with what the leader was answered.
func (a *resultCaching) answerFollowers(followers []*query, pages [][]byte) {
	for _, o := range followers {
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

// ResultCache is the result cache, nil without one. It is for reports, between two steps.
func (c *Controller) ResultCache() *resultcache.Cache {
	if c.caching == nil {
		return nil
	}
	return c.caching.core
}
