package fairqueue

import (
	"time"
)

// orderLink is a query's place in an orderQueue, as a link of a doubly linked list.
type orderLink struct {
	order      *orderQueue
	prev, next *Query
}

// orderQueue holds the queries of a key, or the loads of a table group, in the order of arrival.
type orderQueue struct {
	first, last *Query
	id          orderID
	parked      int // number of parked queries, only in a chain's order
}

// Kinds of orders, also indexes in Query.orders.
const (
	keyOrder   = 0
	chainOrder = 1
)

// orderID identifies an orderQueue.
type orderID struct {
	kind int // keyOrder or chainOrder
	id   int64
}

// isFirstOfKey reports whether no earlier query of its key is left. Such a query is eligible even if
// earlier queries of its chain wait: when it is selected, Next dispatches the first of the chain.
func (q *Query) isFirstOfKey() bool {
	order := q.orders[keyOrder].order
	return order == nil || order.first == q
}

// blockingChainHead returns the first query of its chain, or nil if that is the query itself or if
// it belongs to no chain.
func (q *Query) blockingChainHead() *Query {
	if order := q.orders[chainOrder].order; order != nil && order.first != q {
		return order.first
	}
	return nil
}

// joinOrder appends a query to the order of a key or chain. Neither age nor weight changes its place
// there.
func (fq *Queue) joinOrder(q *Query, kind int, id int64) {
	orderKey := orderID{kind, id}
	order := fq.orders[orderKey]
	if order == nil {
		if order = fq.spareOrder; order != nil {
			fq.spareOrder = nil
		} else {
			order = &orderQueue{}
		}
		order.id, order.first, order.last = orderKey, nil, nil
		fq.orders[orderKey] = order
	}
	link := &q.orders[kind]
	link.order, link.prev, link.next = order, order.last, nil
	if order.last != nil {
		order.last.orders[kind].next = q
	} else {
		order.first = q
	}
	order.last = q
}

// leaveOrder removes a query from one of its orders. It then makes the order's first query eligible,
// or a chain's parked queries.
func (fq *Queue) leaveOrder(q *Query, kind int) {
	link := &q.orders[kind]
	order := link.order
	if order == nil {
		return
	}
	if link.prev != nil {
		link.prev.orders[kind].next = link.next
	} else {
		order.first = link.next
	}
	if link.next != nil {
		link.next.orders[kind].prev = link.prev
	} else {
		order.last = link.prev
	}
	*link = orderLink{}
	if q.parked && kind == chainOrder {
		q.parked = false
		order.parked--
	}
	if order.first == nil {
		delete(fq.orders, order.id)
		fq.spareOrder = order
		return
	}
	if kind == chainOrder {
		fq.unpark(order)
		return
	}
	// If q was not the first of its key, the first query is eligible already.
	next := order.first
	if next.state == stateWaiting && !next.eligible && !next.parked {
		fq.makeEligible(next)
	}
}

// unpark makes the parked queries of a chain eligible again.
func (fq *Queue) unpark(order *orderQueue) {
	for q := order.first; q != nil && order.parked > 0; q = q.orders[chainOrder].next {
		if q.parked {
			q.parked = false
			order.parked--
			fq.makeEligible(q)
		}
	}
}

// chainInFlight tracks the loads of a chain that were dispatched and have not ended.
type chainInFlight struct {
	inFlight    int
	expectedEnd time.Duration // of the last of them
}

// chainDispatched adds a dispatched load to its chain.
func (fq *Queue) chainDispatched(q *Query, l *laneState) {
	chain := fq.chains[q.Chain]
	chain.inFlight++
	chain.expectedEnd = max(chain.expectedEnd, fq.now) + seconds(fq.expectedRunSeconds(l))
	fq.chains[q.Chain] = chain
}

// chainEnded removes a dispatched load that has ended from its chain.
func (fq *Queue) chainEnded(q *Query) {
	if chain := fq.chains[q.Chain]; chain.inFlight > 1 {
		chain.inFlight--
		fq.chains[q.Chain] = chain
	} else {
		delete(fq.chains, q.Chain)
	}
}

// predecessor returns the query before q, or the last query if q has not joined the order.
func (o *orderQueue) predecessor(q *Query, kind int) *Query {
	if q.orders[kind].order == o {
		return q.orders[kind].prev
	}
	return o.last
}
