package controller

import (
	"time"

	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// queryOwner is the owner of a query: a client's call. It receives at most one of finished, paged, deferred
// and killed, right after closed; only closed if the client disconnected or cancelled the query.
type queryOwner interface {
	finished(pages [][]byte)
	// paged answers with the first page of a spooled result and where to read the rest.
	paged(first []byte, rest msgpackrpc.PageInfo)
	// deferred rejects a query that the client may resend without a second effect, after retryAfter; 0: no
	// time given.
	deferred(retryAfter time.Duration)
	killed(reason string)
	// notifyWait reports how long the query is expected to wait, to owners that asked for it.
	notifyWait(wait time.Duration)
	// closed reports that no answer is owed any more, or that the answer follows at once.
	closed()
	// connection returns the connection that the query came from; nil: none.
	connection() *Connection
}

// query is a query from its arrival until it is answered and all of its attempts are reported. The scheduler
// keeps a record of its own, which has the same id.
type query struct {
	// as the client sent it
	id             string
	groupName      string // as spelled by the client
	owner          queryOwner
	group          *group
	key            *orderKey // the key whose queries run in order; nil: none
	keyNumber      int64     // the key's number at the scheduler, -1: none
	tableGroup     int64     // from the statement, see msgpackrpc.TableGroup
	idempotencyKey string    // "": none
	statement      []byte
	customer       int // index in Controller.customers, -1: none

	// estimates by the client, 0: none
	estimatedWork     time.Duration
	estimatedMemoryMB float64

	receivedAt time.Duration
	deadline   time.Duration

	// last set by the scheduler
	priority      int
	memoryGrantMB int

	attempts []*attempt
	answered bool // closeQuery was called: the query is answered, or no answer is owed

	// with peers
	confined  bool // needs the lease of confined tenants, see servingLease
	held      bool // arrived while the controller was paused, and waits for admission
	residency *queryResidency

	spooled    *spool.Result    // nil: the client does not read page by page
	cacheState *queryCacheState // nil: the cache is not involved

	waitTimer *timerqueue.Timer // set while the query waits in the fair queue or is held
	// with fair queueing
	fairEntry   *fairqueue.Query
	fairOutcome fairqueue.Outcome // how the query was closed
}

// effectivePriority returns the query's priority at engines: the scheduler's, and at most 0 while fair
// queueing has lowered the query's priority. No other code combines the two.
func (q *query) effectivePriority() int {
	if q.fairEntry != nil && q.fairEntry.PriorityLowered() {
		return min(q.priority, 0)
	}
	return q.priority
}

// queryTable holds the queries that are not over.
type queryTable struct {
	queries           map[string]*query // by id
	submitted         submittedIDs
	keys              keyTable
	statementBytes    int
	maxStatementBytes int
}

// dispatch passes a received query through the serving lease, the spool and the cache to the fair queue, or
// to the scheduler without one. Each of them may hold the query back or answer it.
func (c *Controller) dispatch(q *query, from CallOrigin) {
	if q.answered {
		return
	}
	q.tableGroup = msgpackrpc.TableGroup(q.statement)
	if c.servingLease != nil && !c.isDraining() && !c.servingLease.admit(q, from) {
		return
	}
	if c.paging != nil && c.mayRetain(q) { // otherwise the result is answered in one piece
		c.paging.reserve(q, from)
	}
	if c.caching != nil && !q.answered && c.mayRetain(q) {
		goOn := func(from CallOrigin) { c.dispatch(q, from) }
		if !c.caching.lookup(q, from, goOn) {
			return
		}
	}
	switch {
	case q.answered:
	case c.fairQueue != nil:
		c.fairQueue.enqueue(q, from)
	default:
		c.submitToScheduler(q)
	}
}

// mayRetain reports whether data residency allows storing a query's result or answer here.
func (c *Controller) mayRetain(q *query) bool {
	return c.servingLease == nil || c.servingLease.residency.mayRetain(q)
}

// submitToScheduler passes a query to the scheduler. With a serving lease, the query passes through data
// residency, which may answer it instead.
func (c *Controller) submitToScheduler(q *query) {
	if c.servingLease != nil {
		c.servingLease.residency.forwardToScheduler(q)
		return
	}
	c.scheduler.QueryArrived(c.now, q.id, q.group.index, q.customer, q.deadline-c.now,
		q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB)
}

// abandonQuery closes a query without an answer, because its client cancelled it or disconnected.
func (c *Controller) abandonQuery(q *query) {
	c.counters.abandoned++
	// The scheduler must learn that the client left before it learns that unsent attempts ended, because it
	// would take their end to mean that the query was answered.
	c.enqueueCallback(func() { c.scheduler.ClientLeft(c.now, q.id) })
	c.closeQuery(q, fairqueue.ClientGone)
}

var queryOutcomeNames = [...]string{
	fairqueue.Finished:   "finished",
	fairqueue.Deferred:   "deferred",
	fairqueue.Killed:     "killed",
	fairqueue.ClientGone: "left",
}

// closeQuery records that a query is answered, or that no answer is owed; the caller answers right after it.
// It revokes the write permits of all attempts and withdraws those that were not sent, ends the hold of a
// held query, tells the owner, the fair queue and the cache, and releases the query if it is over.
//
// The query must not be closed yet. If it is, closeQuery counts a violated invariant and returns false.
func (c *Controller) closeQuery(q *query, end fairqueue.Outcome) bool {
	if !invariant.Check(!q.answered, "a query has one final answer") {
		return false
	}
	q.answered = true
	for _, a := range q.attempts {
		a.permit.Revoke()
		if !a.sent {
			// Also withdrawn if engines support no cancellation. Otherwise the next query of the same key
			// would wait until the connection for this attempt is established.
			c.withdrawAttempt(a, scheduler.NeverSent)
		}
	}
	if c.TraceQueries {
		c.trace(q.logFields(), "closed: %s", queryOutcomeNames[end])
	}
	q.owner.closed()
	if q.held {
		c.servingLease.endHold(q)
	}
	if c.fairQueue != nil {
		c.fairQueue.queryClosed(q, end)
	}
	if c.caching != nil {
		c.caching.queryAnswered(q)
	}
	c.releaseIfOver(q)
	return true
}

// answerFinished answers a query, and the queries that wait for the same answer, with its result in one
// piece. A result that the client reads page by page is answered by resultPaging.answerFirstPage.
func (c *Controller) answerFinished(q *query, pages [][]byte) {
	var followers []*query
	if c.caching != nil && !q.answered {
		followers = c.caching.takeFollowers(q, pages)
	}
	if c.closeQuery(q, fairqueue.Finished) {
		c.counters.finished++
		q.owner.finished(pages)
	}
	if len(followers) > 0 {
		c.caching.answerFollowers(followers, pages)
	}
}

// answerDeferred answers an open query with a deferral: the client may resend it after retryAfter; 0: no time
// given.
func (c *Controller) answerDeferred(q *query, retryAfter time.Duration) {
	if !q.answered && c.closeQuery(q, fairqueue.Deferred) {
		c.counters.deferred++
		q.owner.deferred(retryAfter)
	}
}

// answerKilled answers an open query with a failure and its reason.
func (c *Controller) answerKilled(q *query, reason string) {
	if !q.answered && c.closeQuery(q, fairqueue.Killed) {
		c.counters.killed++
		q.owner.killed(reason)
	}
}

// releaseIfOver schedules the release of a query that is over: it is answered, and all of its attempts are
// reported to the scheduler. Each change of that state calls releaseIfOver.
func (c *Controller) releaseIfOver(q *query) {
	if !q.answered || c.queries[q.id] != q {
		return
	}
	for _, a := range q.attempts {
		if !a.reported {
			return
		}
	}
	// the scheduler may still act on the query within this step
	c.enqueueCallback(func() {
		if c.queries[q.id] == q {
			c.releaseQuery(q)
		}
	})
}

// releaseQuery removes a query that is over from the table, tells paging, the fair queue and the cache, and
// frees the memory and the key of the query.
func (c *Controller) releaseQuery(q *query) {
	delete(c.queries, q.id)
	if q.mayHaveTakenEffect() {
		c.submitted.add(q.id, c.now)
	}
	if c.paging != nil {
		c.paging.queryOver(q)
	}
	if c.fairQueue != nil {
		c.fairQueue.queryOver(q)
	}
	if c.caching != nil {
		c.caching.queryOver(q)
	}
	c.statementBytes -= len(q.statement)
	// free the memory now: timers may hold the query for longer
	q.statement = nil
	q.attempts = nil
	if q.key != nil {
		c.keys.release(q.key, c.now)
	}
}
