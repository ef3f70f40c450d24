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
type asker interface {
	finished(pages [][]byte)
	// paged: finished, with the first page of a result that is kept.
	paged(first []byte, rest msgpackrpc.Paging)
	deferred(comeBack time.Duration)
	killed(why string)
	// told: it should start after so long. Only those that asked are told.
	told(wait time.Duration)
	// closed: no answer is owed any more, or it follows in the same breath.
	closed()
	// from is the connection it came by, whose end ends it; nil: none.
	from() *Connection
}

// query is one thing taken, until it is answered and nothing of it is out.
type query struct {
	id, method        string // as its client has them
	asker             asker
	group             *group
	key               *orderKey
	token             string // the mark by which engines know a repeat, "": none was given
	statement         []byte
	takenAt           time.Duration
	deadline          time.Duration
	priority, grantMB int
	subs              []*submission
	answered          bool
	bound, waits      bool            // where there are peers: it needs the lease of bound teams; it is held, unjudged
	place             *queryResidency // where its team's data may be, where there are peers
	kept              *spool.Result   // its client reads page by page
	memo              *cacheLookup    // where answers are cached

	// where teams wait for their turn, and only there
	turn           *fairqueue.Waiter
	latest         *timerqueue.Item // or while it is held
	came           fairqueue.End
	tables, number int64
	customer       int // its place in the settings, -1: none
	work           time.Duration
	need           float64 // MB
}

// rank is the priority that it has at engines: what the decisions set, unless
// fairness has it make way. Here and nowhere else the two meet.
func (q *query) rank() int {
	if q.turn != nil && q.turn.Lowered() {
		return min(q.priority, 0)
	}
	return q.priority
}

// hand is what is in hand of queries, and its bounds.
type hand struct {
	queries    map[string]*query
	keys       keyTable
	inHand     int // bytes of statements
	inHandMost int
}

// tooMuch is no fault of the call: the memory is all there is, and again later, or
// elsewhere, it can be taken.
const tooMuch = "too much is in hand"

// unfit says why a call can't be taken, "" if it can.
func (r *Controller) unfit(name, id string, patience time.Duration, keyed bool, size int, from From) string {
	g := r.groups[settings.Plain(name)]
	switch {
	case g == nil:
		return "no such method"
	case g.timeout > 0 && patience > g.timeout:
		return "no such patience"
	case g.inOrder && !keyed:
		return "no entity"
	case g.tokened && !enginehttp.Sendable(from.Fields.Get(r.Words.Token)):
		return "no such token"
	case r.queries[id] != nil:
		return "this trace is in hand"
	case r.inHand+size > r.inHandMost:
		return tooMuch
	}
	return ""
}

// take is the one way in, whichever front a query came by. It copies what it
// keeps; why tells what is wrong with a call that isn't taken.
func (r *Controller) take(a asker, name, id string, patience time.Duration, k []byte, keyed bool, statement []byte, from From) (q *query, why string) {
	if why = r.unfit(name, id, patience, keyed, len(statement), from); why != "" {
		return nil, why
	}
	g := r.groups[settings.Plain(name)]
	r.inHand += len(statement)
	q = &query{id: id, method: name, asker: a, group: g, statement: append([]byte{}, statement...),
		takenAt: r.now, deadline: r.now + patience, priority: -1}
	q.customer = r.customer(from)
	if g.tokened {
		q.token = string(from.Fields.Get(r.Words.Token))
	}
	q.work = time.Duration(told(from.Fields.Get(r.Words.Work), 24*3600*1000) * float64(time.Millisecond))
	q.need = told(from.Fields.Get(r.Words.Need), 1<<30)
	number := int64(-1)
	if g.inOrder {
		q.key = r.keys.acquire(string(k))
		number = q.key.number
		// its client's time counts from when it would have sent it, which of a key's queries it may have
		// held back: answered by when it was written some were lost, half a second after that time
		q.deadline = min(q.deadline, q.key.noteArrival(r.now, patience)+patience+keyDeadlineSlack) - min(firstKeySpacing, patience/8)
	}
	r.queries[q.id] = q
	r.tally.taken++
	if r.Trace {
		r.trace(q.about(), "taken, key %q (%d), for %v, fields %q", k, number, patience, from.Fields.Names())
	}
	r.asked = r.now
	if r.caching != nil {
		r.caching.noteMutation(q)
	}
	// once all that has come is read: what is taken back in one breath goes nowhere
	r.soon(func() { r.enter(q, from, number) })
	return q, ""
}

// customer is the place of the one that a call names among the settings', -1: none.
func (r *Controller) customer(from From) int {
	return slices.Index(r.customers, settings.Plain(string(from.Fields.Get(r.Words.Whose))))
}

// enter hands a query on to its turn or to the decisions.
func (r *Controller) enter(q *query, from From, number int64) {
	if q.answered {
		return
	}
	q.tables, q.number = msgpackrpc.Tables(q.statement), number
	if r.warrant != nil && !r.closing && !r.warrant.admit(q, from) {
		return
	}
	if r.paging != nil && r.keeps(q) { // where it may not be kept it is answered whole
		r.paging.reserve(q, from)
	}
	if r.caching != nil && !q.answered && r.keeps(q) && !r.caching.lookup(q, from, func(from From) { r.enter(q, from, number) }) {
		return
	}
	switch {
	case q.answered:
	case r.fair != nil:
		r.fair.enter(q, from, q.tables, number)
	default:
		r.begin(q)
	}
}

// keeps: its result or answer may be kept here.
func (r *Controller) keeps(q *query) bool {
	return r.warrant == nil || r.warrant.residency.mayRetain(q)
}

// begin hands a query on to the decisions.
func (r *Controller) begin(q *query) {
	if r.warrant != nil {
		r.warrant.residency.forwardToScheduler(q)
		return
	}
	r.gate.Take(r.now, q.id, q.group.index, q.customer, q.deadline-r.now, q.tables, q.number, q.work, q.need)
}

// told is a figure that a client tells; one that can't be meant is taken as not told.
func told(text []byte, most float64) float64 {
	if x, err := strconv.ParseFloat(string(text), 64); err == nil && x >= 0 && x <= most {
		return x
	}
	return 0
}

// left: its asker wants no answer any more.
func (r *Controller) left(q *query) {
	r.tally.left++
	r.soon(func() { r.gate.ClientLeft(r.now, q.id) }) // before the end of what was not sent, or it counts as answered
	r.close(q, fairqueue.Left)
}

var endNames = [...]string{fairqueue.Finished: "finished", fairqueue.Deferred: "deferred", fairqueue.Killed: "killed", fairqueue.Left: "left"}

// close marks the query answered, or no answer owed.
func (r *Controller) close(q *query, end fairqueue.End) bool {
	if !invariant.Hold(!q.answered, "one final answer a query") {
		return false
	}
	q.answered = true
	for _, s := range q.subs {
		if s.permit.Revoke(); !s.sent { // where nothing may be cancelled, too: its key's next would wait for a dial
			r.withdraw(s, scheduler.NeverSent)
		}
	}
	if r.Trace {
		r.trace(q.about(), "closed: %s", endNames[end])
	}
	q.asker.closed()
	if q.waits {
		r.warrant.endHold(q)
	}
	if r.fair != nil {
		r.fair.answered(q, end)
	}
	if r.caching != nil {
		r.caching.queryAnswered(q)
	}
	r.drop(q)
	return true
}

func (r *Controller) finished(q *query, pages [][]byte) {
	var others []*query
	if r.caching != nil && !q.answered {
		others = r.caching.takeFollowers(q, pages)
	}
	if r.close(q, fairqueue.Finished) {
		r.tally.finished++
		q.asker.finished(pages)
	}
	if len(others) > 0 {
		r.caching.answerFollowers(others, pages)
	}
}

func (r *Controller) deferred(q *query, comeBack time.Duration) {
	if !q.answered && r.close(q, fairqueue.Deferred) {
		r.tally.deferred++
		q.asker.deferred(comeBack)
	}
}

func (r *Controller) killed(q *query, why string) {
	if !q.answered && r.close(q, fairqueue.Killed) {
		r.tally.killed++
		q.asker.killed(why)
	}
}

// drop forgets a query once it is answered and nothing of it is out.
func (r *Controller) drop(q *query) {
	if !q.answered {
		return
	}
	for _, s := range q.subs {
		if !s.told {
			return
		}
	}
	if r.queries[q.id] == q {
		// the decisions may still have a word on it in this very step
		r.soon(func() {
			if r.queries[q.id] == q {
				delete(r.queries, q.id)
				if r.paging != nil {
					r.paging.queryOver(q)
				}
				if r.fair != nil {
					r.fair.over(q)
				}
				if r.caching != nil {
					r.caching.queryOver(q)
				}
				r.inHand -= len(q.statement)
				q.statement, q.subs = nil, nil // what is due for it may outlive it
				if q.key != nil {
					r.keys.release(q.key, r.now)
				}
			}
		})
	}
}
