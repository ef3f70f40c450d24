package controller

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/resultcache"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// resultCaching answers read-only queries from the cached answers of equal queries. It is nil if no
// result cache is configured. Only the controller goroutine accesses its fields.
type resultCaching struct {
	*Controller
	core         *resultcache.Cache
	cachedGroups map[string]bool // groups whose answers are cached, by name
}

// queryCacheState is the cache's state of a query. A query that reads has a request, one that changes
// tables has mutates set.
type queryCacheState struct {
	request     *resultcache.Request
	followTimer *timerqueue.Timer // end of the time for which the query may wait for a leader's answer
	proceed     func()            // dispatches a follower if it becomes the leader

	mutates bool    // its tables are not served from the cache until the query is over
	tables  []int64 // tables that the query changes; empty if they are unknown
}

const (
	cacheSweepInterval = time.Second
	// answerMargin is the time before its deadline at which a waiting query is deferred, so that
	// the answer reaches the client in time.
	answerMargin = 10 * time.Millisecond
)

func newResultCaching(c *Controller, limits *resultcache.Limits) *resultCaching {
	core, err := resultcache.New(*limits, c.StartedAt.UnixMilli())
	if err != nil {
		c.logMessage(warningLevel, err.Error())
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

// allTables returns the table groups that a statement reads or writes, or nil if any of them is unknown.
func allTables(statement []byte) []int64 {
	read, written, known := msgpackrpc.TableGroups(statement)
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

// noteMutation tracks a query that changes tables from its receipt on.
func (a *resultCaching) noteMutation(q *query) {
	if q.group.isLoad || !q.group.readOnly {
		_, written, known := msgpackrpc.TableGroups(q.statement)
		if !known {
			written = nil
		}
		q.cacheState = &queryCacheState{mutates: true, tables: written}
		a.core.MutationStarted(a.now, written)
	}
}

// lookup answers a query from the cache, or makes it a follower of an equal query that runs already. It
// reports whether the query must be dispatched instead. proceed dispatches a follower whose leader is gone.
func (a *resultCaching) lookup(q *query, from CallOrigin, proceed func(CallOrigin)) bool {
	if !a.mayLookUp(q) {
		return true
	}
	state := &queryCacheState{request: &resultcache.Request{
		Tenant:     a.dataOwner(from),
		Group:      q.group.index,
		Statement:  q.statement,
		Tables:     allTables(q.statement),
		LogIndex:   a.invalidation.currentIndex(),
		Deadline:   q.deadline - answerMargin,
		CallerData: q,
	}}
	verdict, pages := a.core.Lookup(a.now, state.request)
	switch verdict {
	case resultcache.Hit:
		a.invalidation.markRetained(func() { a.answerFinished(q, pages) })
		a.invalidation.trackRetainedAnswer(q)
		return false
	case resultcache.Follow:
		from.Fields = from.Fields.Clone() // the fields point into the connection's buffer
		q.cacheState = state
		state.proceed = func() { proceed(from) }
		state.followTimer = a.timers.Add(max(a.now, state.request.Deadline), func() { a.answerDeferred(q, 0) })
		return false
	case resultcache.Lead:
		q.cacheState = state
	}
	return true
}

// mayLookUp reports whether the cache may answer a query or store its answer.
func (a *resultCaching) mayLookUp(q *query) bool {
	return a.cachedGroups[q.group.name] && q.cacheState == nil && q.spooled == nil &&
		!a.isDraining() && !a.invalidation.servingBarred() && a.mayRetain(q)
}

// takeFollowers stores the answer of a query that its engine has finished, and returns the followers to
// which the same answer goes.
func (a *resultCaching) takeFollowers(q *query, pages [][]byte) (followers []*query) {
	if q.cacheState == nil || q.cacheState.request == nil {
		return nil
	}
	for _, follower := range a.core.Complete(a.now, q.cacheState.request, pages) {
		followers = append(followers, follower.CallerData.(*query))
	}
	return followers
}

// queryAnswered removes an answered or cancelled query from the cache's leaders and followers. If a leader
// leaves followers behind, one of them becomes the leader.
func (a *resultCaching) queryAnswered(q *query) {
	if q.cacheState == nil || q.cacheState.request == nil {
		return
	}
	a.timers.Cancel(q.cacheState.followTimer)
	a.promote(a.core.Abandon(a.now, q.cacheState.request))
}

// queryOver ends the tracking of a mutating query, no attempt of which is in flight any more.
func (a *resultCaching) queryOver(q *query) {
	if q.cacheState != nil && q.cacheState.mutates {
		a.core.MutationEnded(a.now, q.cacheState.tables)
	}
}

// promote dispatches a follower as the new leader. next may be nil.
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

// answerFollowers answers the followers with the leader's answer.
func (a *resultCaching) answerFollowers(followers []*query, pages [][]byte) {
	for _, follower := range followers {
		if a.invalidation.servingBarred() {
			a.answerDeferred(follower, a.servingLease.retryAfter())
			continue
		}
		if a.closeQuery(follower, fairqueue.Finished) {
			a.counters.finished++
			a.invalidation.markRetained(func() { follower.owner.finished(pages) })
			a.invalidation.trackRetainedAnswer(follower)
		}
	}
}

// ResultCache returns the result cache, or nil if none is configured. The cache must not be used during a
// Step.
func (c *Controller) ResultCache() *resultcache.Cache {
	if c.caching == nil {
		return nil
	}
	return c.caching.core
}
