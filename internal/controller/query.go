package controller

import (
	"slices"
	"strconv"
	"time"

	"railrelay.dev/railrelay/internal/enginehttp"
	"railrelay.dev/railrelay/internal/fairqueue"
	"railrelay.dev/railrelay/internal/invariant"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/scheduler"
	"railrelay.dev/railrelay/internal/settings"
	"railrelay.dev/railrelay/internal/spool"
	"railrelay.dev/railrelay/internal/timerqueue"
)

// asker is whoever a query belongs to: a call on a connection, or what stands
// between. It is told one of finished, deferred and killed at most, after closed,
// and nothing but closed if it left by itself.
type queryOwner interface {
	finished(pages [][]byte)
	// paged: finished, with the first page of a result that is kept.
	paged(first []byte, rest msgpackrpc.Paging)
	deferred(comeBack time.Duration)
	killed(why string)
	// told: it should start after so long. Only those that asked are told.
	notifyWait(wait time.Duration)
	// closed: no answer is owed any more, or it follows in the same breath.
	closed()
	// from is the connection it came by, whose end ends it; nil: none.
	connection() *Connection
}

// query is one thing taken, until it is answered and nothing of it is out.
type query struct {
	id, groupName           string // as its client has them
	owner                   queryOwner
	group                   *group
	key                     *orderKey
	idempotencyKey          string // the mark by which engines know a repeat, "": none was given
	statement               []byte
	receivedAt              time.Duration
	deadline                time.Duration
	priority, memoryGrantMB int
	attempts                []*attempt
	answered                bool
	confined, blocked       bool            // where there are peers: it needs the lease of bound teams; it is held, unjudged
	residency               *queryResidency // where its team's data may be, where there are peers
	spooled                 *spool.Result   // its client reads page by page
	cacheState              *cacheLookup    // where answers are cached

	// where teams wait for their turn, and only there
	waiter                *fairqueue.Waiter
	waitTimer             *timerqueue.Item // or while it is held
	fairEnd               fairqueue.End
	tableGroup, keyNumber int64
	customer              int // its place in the settings, -1: none
	estimatedWork         time.Duration
	estimatedMemoryMB     float64 // MB
}

// rank is the priority that it has at engines: what the decisions set, unless
// fairness has it make way. Here and nowhere else the two meet.
func (q *query) effectivePriority() int {
	if q.waiter != nil && q.waiter.Lowered() {
		return min(q.priority, 0)
	}
	return q.priority
}

// hand is what is in hand of queries, and its bounds.
type queryTable struct {
	queries           map[string]*query
	keys              keyTable
	statementBytes    int // bytes of statements
	maxStatementBytes int
}

// tooMuch is no fault of the call: the memory is all there is, and again later, or
// elsewhere, it can be taken.
const statementMemoryFull = "too much is in hand"

// unfit says why a call can't be taken, "" if it can.
func (c *Controller) validateCall(name, id string, patience time.Duration, keyed bool, size int, from From) string {
	g := c.groups[settings.Plain(name)]
	switch {
	case g == nil:
		return "no such method"
	case g.timeout > 0 && patience > g.timeout:
		return "no such patience"
	case g.inOrder && !keyed:
		return "no entity"
	case g.needsIdempotencyKey && !enginehttp.Sendable(from.Fields.Get(c.FieldNames.IdempotencyKey)):
		return "no such token"
	case c.queries[id] != nil:
		return "this trace is in hand"
	case c.statementBytes+size > c.maxStatementBytes:
		return statementMemoryFull
	}
	return ""
}

// take is the one way in, whichever front a query came by. It copies what it
// keeps; why tells what is wrong with a call that isn't taken.
func (c *Controller) receiveQuery(a queryOwner, name, id string, patience time.Duration, k []byte, keyed bool, statement []byte, from From) (q *query, why string) {
	if why = c.validateCall(name, id, patience, keyed, len(statement), from); why != "" {
		return nil, why
	}
	g := c.groups[settings.Plain(name)]
	c.statementBytes += len(statement)
	q = &query{id: id, groupName: name, owner: a, group: g, statement: append([]byte{}, statement...),
		receivedAt: c.now, deadline: c.now + patience, priority: -1}
	q.customer = c.customerIndex(from)
	if g.needsIdempotencyKey {
		q.idempotencyKey = string(from.Fields.Get(c.FieldNames.IdempotencyKey))
	}
	q.estimatedWork = time.Duration(parseEstimate(from.Fields.Get(c.FieldNames.EstimatedWork), 24*3600*1000) * float64(time.Millisecond))
	q.estimatedMemoryMB = parseEstimate(from.Fields.Get(c.FieldNames.EstimatedMemory), 1<<30)
	number := int64(-1)
	if g.inOrder {
		q.key = c.keys.acquire(string(k))
		number = q.key.number
		// its client's time counts from when it would have sent it, which of a key's queries it may have
		// held back: answered by when it was written some were lost, half a second after that time
		q.deadline = min(q.deadline, q.key.noteArrival(c.now, patience)+patience+keyDeadlineSlack) - min(firstKeySpacing, patience/8)
	}
	c.queries[q.id] = q
	c.counters.received++
	if c.TraceQueries {
		c.trace(q.logFields(), "taken, key %q (%d), for %v, fields %q", k, number, patience, from.Fields.Names())
	}
	c.lastQueryAt = c.now
	if c.caching != nil {
		c.caching.noteMutation(q)
	}
	// once all that has come is read: what is taken back in one breath goes nowhere
	c.runSoon(func() { c.dispatch(q, from, number) })
	return q, ""
}

// customer is the place of the one that a call names among the settings', -1: none.
func (c *Controller) customerIndex(from From) int {
	return slices.Index(c.customers, settings.Plain(string(from.Fields.Get(c.FieldNames.Customer))))
}

// enter hands a query on to its turn or to the decisions.
func (c *Controller) dispatch(q *query, from From, number int64) {
	if q.answered {
		return
	}
	q.tableGroup, q.keyNumber = msgpackrpc.Tables(q.statement), number
	if c.servingLease != nil && !c.isDraining() && !c.servingLease.admit(q, from) {
		return
	}
	if c.paging != nil && c.mayRetain(q) { // where it may not be kept it is answered whole
		c.paging.reserve(q, from)
	}
	if c.caching != nil && !q.answered && c.mayRetain(q) && !c.caching.lookup(q, from, func(from From) { c.dispatch(q, from, number) }) {
		return
	}
	switch {
	case q.answered:
	case c.fairQueue != nil:
		c.fairQueue.enqueue(q, from, q.tableGroup, number)
	default:
		c.submitToScheduler(q)
	}
}

// keeps: its result or answer may be kept here.
func (c *Controller) mayRetain(q *query) bool {
	return c.servingLease == nil || c.servingLease.residency.mayRetain(q)
}

// begin hands a query on to the decisions.
func (c *Controller) submitToScheduler(q *query) {
	if c.servingLease != nil {
		c.servingLease.residency.forwardToScheduler(q)
		return
	}
	c.scheduler.QueryArrived(c.now, q.id, q.group.index, q.customer, q.deadline-c.now, q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB)
}

// told is a figure that a client tells; one that can't be meant is taken as not told.
func parseEstimate(text []byte, most float64) float64 {
	if x, err := strconv.ParseFloat(string(text), 64); err == nil && x >= 0 && x <= most {
		return x
	}
	return 0
}

// left: its asker wants no answer any more.
func (c *Controller) clientGone(q *query) {
	c.counters.abandoned++
	c.runSoon(func() { c.scheduler.ClientLeft(c.now, q.id) }) // before the end of what was not sent, or it counts as answered
	c.closeQuery(q, fairqueue.Left)
}

var endNames = [...]string{fairqueue.Finished: "finished", fairqueue.Deferred: "deferred", fairqueue.Killed: "killed", fairqueue.Left: "left"}

// close marks the query answered, or no answer owed.
func (c *Controller) closeQuery(q *query, end fairqueue.End) bool {
	if !invariant.Hold(!q.answered, "one final answer a query") {
		return false
	}
	q.answered = true
	for _, s := range q.attempts {
		if s.permit.Revoke(); !s.sent { // where nothing may be cancelled, too: its key's next would wait for a dial
			c.withdrawAttempt(s, scheduler.NeverSent)
		}
	}
	if c.TraceQueries {
		c.trace(q.logFields(), "closed: %s", endNames[end])
	}
	q.owner.closed()
	if q.blocked {
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

func (c *Controller) answerFinished(q *query, pages [][]byte) {
	var others []*query
	if c.caching != nil && !q.answered {
		others = c.caching.takeFollowers(q, pages)
	}
	if c.closeQuery(q, fairqueue.Finished) {
		c.counters.finished++
		q.owner.finished(pages)
	}
	if len(others) > 0 {
		c.caching.answerFollowers(others, pages)
	}
}

func (c *Controller) answerDeferred(q *query, comeBack time.Duration) {
	if !q.answered && c.closeQuery(q, fairqueue.Deferred) {
		c.counters.deferred++
		q.owner.deferred(comeBack)
	}
}

func (c *Controller) answerKilled(q *query, why string) {
	if !q.answered && c.closeQuery(q, fairqueue.Killed) {
		c.counters.killed++
		q.owner.killed(why)
	}
}

// drop forgets a query once it is answered and nothing of it is out.
func (c *Controller) forgetQuery(q *query) {
	if !q.answered {
		return
	}
	for _, s := range q.attempts {
		if !s.reported {
			return
		}
	}
	if c.queries[q.id] == q {
		// the decisions may still have a word on it in this very step
		c.runSoon(func() {
			if c.queries[q.id] == q {
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
				q.statement, q.attempts = nil, nil // what is due for it may outlive it
				if q.key != nil {
					c.keys.release(q.key, c.now)
				}
			}
		})
	}
}
