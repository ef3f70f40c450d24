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

// queryOwner is whoever a query belongs to: a client's call. It gets at most one of finished, paged,
// deferred and killed, right after closed; only closed if the client went or cancelled the query.
type queryOwner interface {
	finished(pages [][]byte)
	// paged answers with the first page of a result that is spooled, and where to read the rest.
	paged(first []byte, rest msgpackrpc.Paging)
	// deferred rejects a query that has not run. It may be sent again after retryAfter, 0: not said.
	deferred(retryAfter time.Duration)
	killed(why string)
	// notifyWait says how long the query is expected to wait. Only owners that asked for it get it.
	notifyWait(wait time.Duration)
	// closed says that no answer is owed any more, or that it follows at once.
	closed()
	// connection is the one that the query came by; nil: none.
	connection() *Connection
}

// query is a query from when it is received until it is answered and none of its attempts is left to
// report. It belongs to the controller.
type query struct {
	// as the client sent it
	id             string
	groupName      string // as the client writes it
	owner          queryOwner
	group          *group
	key            *orderKey // whose queries run in order; nil: none
	keyNumber      int64     // the key as the scheduler knows it, -1: none
	tableGroup     int64     // as the statement tells, see msgpackrpc.Tables
	idempotencyKey string    // "": none
	statement      []byte
	customer       int // index in Controller.customers, -1: none

	// estimates by the client, 0: none
	estimatedWork     time.Duration
	estimatedMemoryMB float64

	receivedAt time.Duration
	deadline   time.Duration

	// as the scheduler last set them
	priority      int
	memoryGrantMB int

	attempts []*attempt
	answered bool // or no answer is owed: closeQuery was called

	// with peers
	confined  bool // it needs the lease of confined tenants
	held      bool // it came while nothing may be decided, and waits to be judged
	residency *queryResidency

	spooled    *spool.Result    // its client reads page by page; nil: not so
	cacheState *queryCacheState // nil: nothing of it concerns the cache

	waitTimer *timerqueue.Timer // while it waits in the fair queue or is blocked
	// with fair queueing
	fairEntry   *fairqueue.Query
	fairOutcome fairqueue.Outcome // how it was closed
}

// effectivePriority is the query's priority at engines: the scheduler's, unless fair queueing has lowered
// it. The two meet nowhere else.
func (q *query) effectivePriority() int {
	if q.fairEntry != nil && q.fairEntry.PriorityLowered() {
		return min(q.priority, 0)
	}
	return q.priority
}

// queryTable is the queries that are not over.
type queryTable struct {
	queries           map[string]*query // by id
	keys              keyTable
	statementBytes    int
	maxStatementBytes int
}

// dispatch takes a query that was received through the lease, the spool and the cache to the fair queue,
// or to the scheduler where there is none. Each may hold it back or answer it.
func (c *Controller) dispatch(q *query, from CallOrigin) {
	if q.answered {
		return
	}
	q.tableGroup = msgpackrpc.Tables(q.statement)
	if c.servingLease != nil && !c.isDraining() && !c.servingLease.admit(q, from) {
		return
	}
	if c.paging != nil && c.mayRetain(q) { // else it is answered in one piece
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

// mayRetain reports whether data residency allows keeping a query's result or answer here.
func (c *Controller) mayRetain(q *query) bool {
	return c.servingLease == nil || c.servingLease.residency.mayRetain(q)
}

func (c *Controller) submitToScheduler(q *query) {
	if c.servingLease != nil {
		c.servingLease.residency.forwardToScheduler(q)
		return
	}
	c.scheduler.QueryArrived(c.now, q.id, q.group.index, q.customer, q.deadline-c.now,
		q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB)
}

// abandonQuery closes a query without an answer, since its client cancelled it or disconnected.
func (c *Controller) abandonQuery(q *query) {
	c.counters.abandoned++
	// it must reach the scheduler before the ends of attempts that were not sent, which count as answered
	c.enqueueCallback(func() { c.scheduler.ClientLeft(c.now, q.id) })
	c.closeQuery(q, fairqueue.ClientGone)
}

var queryOutcomeNames = [...]string{
	fairqueue.Finished:   "finished",
	fairqueue.Deferred:   "deferred",
	fairqueue.Killed:     "killed",
	fairqueue.ClientGone: "left",
}

// closeQuery notes that a query is answered, or that no answer is owed; the caller answers right behind
// it. It withdraws attempts that were not sent, and reports false if the query was closed before.
func (c *Controller) closeQuery(q *query, end fairqueue.Outcome) bool {
	if !invariant.Check(!q.answered, "one final answer a query") {
		return false
	}
	q.answered = true
	for _, s := range q.attempts {
		s.permit.Revoke()
		if !s.sent {
			// also where engines take no cancellations: its key's next query would wait for a dial
			c.withdrawAttempt(s, scheduler.NeverSent)
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
	c.forgetQuery(q)
	return true
}

// answerFinished answers a query, and those that wait for the same answer, with its result.
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

func (c *Controller) answerDeferred(q *query, retryAfter time.Duration) {
	if !q.answered && c.closeQuery(q, fairqueue.Deferred) {
		c.counters.deferred++
		q.owner.deferred(retryAfter)
	}
}

func (c *Controller) answerKilled(q *query, why string) {
	if !q.answered && c.closeQuery(q, fairqueue.Killed) {
		c.counters.killed++
		q.owner.killed(why)
	}
}

// forgetQuery forgets a query once it is answered and all of its attempts are reported.
func (c *Controller) forgetQuery(q *query) {
	if !q.answered || c.queries[q.id] != q {
		return
	}
	for _, s := range q.attempts {
		if !s.reported {
			return
		}
	}
	// the scheduler may still decide on it in this very step
	c.enqueueCallback(func() {
		if c.queries[q.id] == q {
			c.releaseQuery(q)
		}
	})
}

func (c *Controller) releaseQuery(q *query) {
	delete(c.queries, q.id)
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
	// timers may hold the query for longer
	q.statement = nil
	q.attempts = nil
	if q.key != nil {
		c.keys.release(q.key, c.now)
	}
}
