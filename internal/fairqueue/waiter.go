package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Query is a query's state in the fair queue. Its owner embeds it in its own record, so that
// enqueueing and ending a query allocate nothing.
type Query struct {
	Owner    any // its owner's record
	Lane     int
	Tenant   int           // as Whose tells
	Key      int64         // its order's key, -1: none
	Chain    int64         // its table group, used in chained lanes
	Deadline time.Duration // its client waits no longer
	// Again names the call that this one repeats, 0 for none: it keeps that one's
	// age and what was charged for it.
	RepeatOf uint64
	// Ask: its client wants to be told anew when its wait changes by much.
	NotifyChanges bool
	// Self is what a repeat of this one will name, 0: nothing.
	RepeatID uint64

	Arrived           time.Duration // an earlier one if it repeats a call
	enqueuedAt        time.Duration
	sequence          uint64
	leaf              *node
	state             state
	estimatedWork     float64 // thread seconds it is thought to take
	uncorrectedWait   float64 // seconds until its start, before what the lane's last ones taught
	charged           float64
	credit            float64 // charged for what it repeats
	startedAt         time.Duration
	sweptAt           time.Duration
	remainingWork     float64 // of est
	serviceAtDispatch float64 // what service was when it was handed on
	measuredWork      float64 // of its work as it runs, for the capacity
	ranSeconds        float64 // seconds since it began, as far as they were counted
	lowered           bool

	Estimate      time.Duration // first told
	expectedStart time.Duration // when it was last told to start
	workAhead     float64       // of its team before it, with all that had gone
	subscribed    bool

	turnElement intrusivelist.Element[Query] // in its leaf's list, or among the running
	ageElement  intrusivelist.Element[Query] // in its lane, all that wait
	eligible    bool
	orders      [2]orderLink // its places in the lines of its key and its chain
	parked      bool         // its turn came, and one of its chain that can't go has to go first
}

type state uint8

const (
	stateAbsent state = iota
	stateWaiting
	stateDispatched // handed to the decisions, not sent yet
	stateRunning    // sent
)

type orderLink struct {
	order      *orderQueue
	prev, next *Query
}

// line keeps the order in which queries of a key, or loads of a table group, came.
type orderQueue struct {
	first, last *Query
	id          orderID
	parked      int // of a chain
}

type orderID struct {
	kind int // 0: key, 1: chain
	id   int64
}

// list is what may go of a leaf in a lane, oldest first, or what runs.
type list = intrusivelist.List[Query]

// mayGo: its key's turn is its own. Who stands behind another of its chain may
// have a turn: the other goes on it.
func (q *Query) firstOfItsKey() bool {
	x := q.orders[0].order
	return x == nil || x.first == q
}

func older(a, b *Query) bool {
	return a.Arrived < b.Arrived || a.Arrived == b.Arrived && a.sequence < b.sequence
}

// behind is the one of its chain that has to go before it, nil if none has.
func (q *Query) chainPredecessor() *Query {
	if x := q.orders[1].order; x != nil && x.first != q {
		return x.first
	}
	return nil
}

// Lowered reports whether the query's priority is lowered to the least for now.
func (q *Query) Lowered() bool { return q.lowered }

// Waiting reports whether the query was admitted and is not dispatched yet.
func (q *Query) Waiting() bool { return q.state == stateWaiting }
