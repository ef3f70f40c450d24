package fairqueue

import (
	"time"
)

type orderLink struct {
	order      *orderQueue
	prev, next *Query
}

// orderQueue keeps the order in which queries of a key, or loads of a table group, arrived.
type orderQueue struct {
	first, last *Query
	id          orderID
	parked      int // of a chain
}

// The kinds of orders: of a key, and of a chain.
const (
	keyOrder   = 0
	chainOrder = 1
)

type orderID struct {
	kind int // keyOrder or chainOrder
	id   int64
}

// firstOfItsKey reports whether no query of its key goes before it. One that stands behind another
// of its chain may still have a turn: the other goes in its place.
func (q *Query) firstOfItsKey() bool {
	x := q.orders[keyOrder].order
	return x == nil || x.first == q
}

// chainPredecessor is the query of its chain that has to go before it, nil if there is none.
func (q *Query) chainPredecessor() *Query {
	if x := q.orders[chainOrder].order; x != nil && x.first != q {
		return x.first
	}
	return nil
}

// joinOrder puts a query at the end of a key's or chain's order, which neither age nor weight
// changes.
func (f *Queue) joinOrder(q *Query, kind int, id int64) {
	at := orderID{kind, id}
	x := f.orders[at]
	if x == nil {
		if x = f.spareOrder; x != nil {
			f.spareOrder = nil
		} else {
			x = &orderQueue{}
		}
		x.id, x.first, x.last = at, nil, nil
		f.orders[at] = x
	}
	k := &q.orders[kind]
	k.order, k.prev, k.next = x, x.last, nil
	if x.last != nil {
		x.last.orders[kind].next = q
	} else {
		x.first = q
	}
	x.last = q
}

// leaveOrder takes a query out of an order and makes the one behind it eligible.
func (f *Queue) leaveOrder(q *Query, kind int) {
	k := &q.orders[kind]
	x := k.order
	if x == nil {
		return
	}
	if k.prev != nil {
		k.prev.orders[kind].next = k.next
	} else {
		x.first = k.next
	}
	if k.next != nil {
		k.next.orders[kind].prev = k.prev
	} else {
		x.last = k.prev
	}
	*k = orderLink{}
	if q.parked && kind == chainOrder {
		q.parked = false
		x.parked--
	}
	if x.first == nil {
		delete(f.orders, x.id)
		f.spareOrder = x
		return
	}
	if kind == chainOrder {
		f.unpark(x)
		return
	}
	// q may have been one further behind: then the first is eligible already.
	next := x.first
	if next.state == stateWaiting && !next.eligible && !next.parked {
		f.makeEligible(next)
	}
}

// unpark makes the queries eligible again that were parked behind the first of a chain.
func (f *Queue) unpark(x *orderQueue) {
	for q := x.first; q != nil && x.parked > 0; q = q.orders[chainOrder].next {
		if q.parked {
			q.parked = false
			x.parked--
			f.makeEligible(q)
		}
	}
}

// chainInFlight counts what of a chain was dispatched and is not over.
type chainInFlight struct {
	inFlight    int
	expectedEnd time.Duration // when it should be
}

// chainDispatched counts a load that was dispatched.
func (f *Queue) chainDispatched(q *Query, l *lane) {
	x := f.chains[q.Chain]
	x.inFlight++
	x.expectedEnd = max(x.expectedEnd, f.now) + seconds(f.usualRunSeconds(l))
	f.chains[q.Chain] = x
}

// chainEnded counts a dispatched load that is over.
func (f *Queue) chainEnded(q *Query) {
	if x := f.chains[q.Chain]; x.inFlight > 1 {
		x.inFlight--
		f.chains[q.Chain] = x
	} else {
		delete(f.chains, q.Chain)
	}
}

// predecessor is the query before q, or the last if q is not in the order yet.
func (x *orderQueue) predecessor(q *Query, kind int) *Query {
	if q.orders[kind].order == x {
		return q.orders[kind].prev
	}
	return x.last
}
