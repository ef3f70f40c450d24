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
func (r *Controller) validateCall(name, id string, patience time.Duration, keyed bool, size int, from From) string {
	g := r.groups[settings.Plain(name)]
	switch {
	case g == nil:
		return "no such method"
	case g.timeout > 0 && patience > g.timeout:
		return "no such patience"
	case g.inOrder && !keyed:
		return "no entity"
	case g.needsIdempotencyKey && !enginehttp.Sendable(from.Fields.Get(r.FieldNames.IdempotencyKey)):
		return "no such token"
	case r.queries[id] != nil:
		return "this trace is in hand"
	case r.statementBytes+size > r.maxStatementBytes:
		return statementMemoryFull
	}
	return ""
}

// take is the one way in, whichever front a query came by. It copies what it
// keeps; why tells what is wrong with a call that isn't taken.
func (r *Controller) receiveQuery(a queryOwner, name, id string, patience time.Duration, k []byte, keyed bool, statement []byte, from From) (q *query, why string) {
	if why = r.validateCall(name, id, patience, keyed, len(statement), from); why != "" {
		return nil, why
	}
	g := r.groups[settings.Plain(name)]
	r.statementBytes += len(statement)
	q = &query{id: id, groupName: name, owner: a, group: g, statement: append([]byte{}, statement...),
		receivedAt: r.now, deadline: r.now + patience, priority: -1}
	q.customer = r.customerIndex(from)
	if g.needsIdempotencyKey {
		q.idempotencyKey = string(from.Fields.Get(r.FieldNames.IdempotencyKey))
	}
	q.estimatedWork = time.Duration(parseEstimate(from.Fields.Get(r.FieldNames.EstimatedWork), 24*3600*1000) * float64(time.Millisecond))
	q.estimatedMemoryMB = parseEstimate(from.Fields.Get(r.FieldNames.EstimatedMemory), 1<<30)
	number := int64(-1)
	if g.inOrder {
		q.key = r.keys.acquire(string(k))
		number = q.key.number
		// its client's time counts from when it would have sent it, which of a key's queries it may have
		// held back: answered by when it was written some were lost, half a second after that time
		q.deadline = min(q.deadline, q.key.noteArrival(r.now, patience)+patience+keyDeadlineSlack) - min(firstKeySpacing, patience/8)
	}
	r.queries[q.id] = q
	r.counters.received++
	if r.TraceQueries {
		r.trace(q.logFields(), "taken, key %q (%d), for %v, fields %q", k, number, patience, from.Fields.Names())
	}
	r.lastQueryAt = r.now
	if r.caching != nil {
		r.caching.noteMutation(q)
	}
	// once all that has come is read: what is taken back in one breath goes nowhere
	r.runSoon(func() { r.dispatch(q, from, number) })
	return q, ""
}

// customer is the place of the one that a call names among the settings', -1: none.
func (r *Controller) customerIndex(from From) int {
	return slices.Index(r.customers, settings.Plain(string(from.Fields.Get(r.FieldNames.Customer))))
}

// enter hands a query on to its turn or to the decisions.
func (r *Controller) dispatch(q *query, from From, number int64) {
	if q.answered {
		return
	}
	q.tableGroup, q.keyNumber = msgpackrpc.Tables(q.statement), number
	if r.warrant != nil && !r.closing && !r.warrant.admit(q, from) {
		return
	}
	if r.paging != nil && r.mayRetain(q) { // where it may not be kept it is answered whole
		r.paging.reserve(q, from)
	}
	if r.caching != nil && !q.answered && r.mayRetain(q) && !r.caching.lookup(q, from, func(from From) { r.dispatch(q, from, number) }) {
		return
	}
	switch {
	case q.answered:
	case r.fairQueue != nil:
		r.fairQueue.enqueue(q, from, q.tableGroup, number)
	default:
		r.submitToScheduler(q)
	}
}

// keeps: its result or answer may be kept here.
func (r *Controller) mayRetain(q *query) bool {
	return r.warrant == nil || r.warrant.residency.mayRetain(q)
}

// begin hands a query on to the decisions.
func (r *Controller) submitToScheduler(q *query) {
	if r.warrant != nil {
		r.warrant.residency.forwardToScheduler(q)
		return
	}
	r.scheduler.Take(r.now, q.id, q.group.index, q.customer, q.deadline-r.now, q.tableGroup, q.keyNumber, q.estimatedWork, q.estimatedMemoryMB)
}

// told is a figure that a client tells; one that can't be meant is taken as not told.
func parseEstimate(text []byte, most float64) float64 {
	if x, err := strconv.ParseFloat(string(text), 64); err == nil && x >= 0 && x <= most {
		return x
	}
	return 0
}

// left: its asker wants no answer any more.
func (r *Controller) clientGone(q *query) {
	r.counters.abandoned++
	r.runSoon(func() { r.scheduler.ClientLeft(r.now, q.id) }) // before the end of what was not sent, or it counts as answered
	r.closeQuery(q, fairqueue.Left)
}

var endNames = [...]string{fairqueue.Finished: "finished", fairqueue.Deferred: "deferred", fairqueue.Killed: "killed", fairqueue.Left: "left"}

// close marks the query answered, or no answer owed.
func (r *Controller) closeQuery(q *query, end fairqueue.End) bool {
	if !invariant.Hold(!q.answered, "one final answer a query") {
		return false
	}
	q.answered = true
	for _, s := range q.attempts {
		if s.permit.Revoke(); !s.sent { // where nothing may be cancelled, too: its key's next would wait for a dial
			r.withdrawAttempt(s, scheduler.NeverSent)
		}
	}
	if r.TraceQueries {
		r.trace(q.logFields(), "closed: %s", endNames[end])
	}
	q.owner.closed()
	if q.blocked {
		r.warrant.endHold(q)
	}
	if r.fairQueue != nil {
		r.fairQueue.queryClosed(q, end)
	}
	if r.caching != nil {
		r.caching.queryAnswered(q)
	}
	r.forgetQuery(q)
	return true
}

func (r *Controller) answerFinished(q *query, pages [][]byte) {
	var others []*query
	if r.caching != nil && !q.answered {
		others = r.caching.takeFollowers(q, pages)
	}
	if r.closeQuery(q, fairqueue.Finished) {
		r.counters.finished++
		q.owner.finished(pages)
	}
	if len(others) > 0 {
		r.caching.answerFollowers(others, pages)
	}
}

func (r *Controller) answerDeferred(q *query, comeBack time.Duration) {
	if !q.answered && r.closeQuery(q, fairqueue.Deferred) {
		r.counters.deferred++
		q.owner.deferred(comeBack)
	}
}

func (r *Controller) answerKilled(q *query, why string) {
	if !q.answered && r.closeQuery(q, fairqueue.Killed) {
		r.counters.killed++
		q.owner.killed(why)
	}
}

// drop forgets a query once it is answered and nothing of it is out.
func (r *Controller) forgetQuery(q *query) {
	if !q.answered {
		return
	}
	for _, s := range q.attempts {
		if !s.reported {
			return
		}
	}
	if r.queries[q.id] == q {
		// the decisions may still have a word on it in this very step
		r.runSoon(func() {
			if r.queries[q.id] == q {
				delete(r.queries, q.id)
				if r.paging != nil {
					r.paging.queryOver(q)
				}
				if r.fairQueue != nil {
					r.fairQueue.queryOver(q)
				}
				if r.caching != nil {
					r.caching.queryOver(q)
				}
				r.statementBytes -= len(q.statement)
				q.statement, q.attempts = nil, nil // what is due for it may outlive it
				if q.key != nil {
					r.keys.release(q.key, r.now)
				}
			}
		})
	}
}
