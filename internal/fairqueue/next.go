package fairqueue

import (
	"time"
)

// Next is the query that goes next in a lane, nil if none waits that may. The
// decisions must be ready for one more: it is theirs from here on.
//
// Where the one whose turn it is stands behind another of its chain, that one goes
// on its turn: it has to go first, and its own team's turn may be far.
func (c *Core) Next(now time.Duration, i int) *Waiter {
	c.at(now)
	l := &c.lanes[i]
	if l.waiting == 0 || l.handed >= handedMost {
		return nil
	}
	for {
		w := l.byAge.First().Value
		if c.now-w.Arrived < c.shape.Age || !w.inLeaf {
			if w = c.turn(i); w == nil || c.makesWay(w) {
				return nil
			}
		}
		b := w.behind()
		switch {
		case b == nil:
			c.release(w, l)
			return w
		case b.inLeaf && b.Lane == i:
			c.release(b, l)
			return b
		}
		c.withdraw(w) // until the one before it may go, or is gone
		w.parked = true
		w.links[1].line.parked++
	}
}

// unpark offers those again that stood behind a line's first.
func (c *Core) unpark(x *line) {
	for w := x.first; w != nil && x.parked > 0; w = w.links[1].next {
		if w.parked {
			w.parked = false
			x.parked--
			c.offer(w)
		}
	}
}

// turn walks down to the team whose turn it is: of those within their budgets,
// if any of them has a query that may go, the one with the least tag.
func (c *Core) turn(i int) *Waiter {
	n := c.root
	for n.lists == nil {
		h := n.heaps[within][i]
		if len(h) == 0 {
			h = n.heaps[beyond][i]
		}
		if len(h) == 0 {
			return nil
		}
		n = h[0]
	}
	return n.lists[i].First().Value
}

// makesWay: there is room for it in its lane, but it would be taken from others'
// queries that find none in theirs. The engines are full then, and a team that is
// ahead of its share, or beyond its budget, leaves the next of it to them.
func (c *Core) makesWay(w *Waiter) bool {
	if !c.contended(w.Lane) {
		return false
	}
	return w.leaf.lead(len(c.lanes)) > c.lead(w.leaf)
}

// contended: a query waits in another lane because engines have no room for it.
func (c *Core) contended(but int) bool {
	for i := range c.lanes {
		if l := &c.lanes[i]; i != but && l.full && l.waiting > 0 {
			return true
		}
	}
	return false
}

// lead is how far a team may be ahead of its share before it makes way: for a
// query of its usual work at the least, or it could never have one.
func (c *Core) lead(n *node) float64 {
	return max(leadMost*n.share()*c.capacity(), 1e-3)
}

// leadMost is in seconds of a team's share of the engines.
const leadMost = 3.0

func (c *Core) release(w *Waiter, l *lane) {
	c.unqueue(w, l)
	w.state = passed
	c.went(w.Lane, w.est)
	if l.Chained {
		c.linked(w, l)
	}
	if l.busy {
		c.level.add(c.remains(), 100)
	}
	c.inFlight += w.est
	c.threads += l.Threads
	w.remains, w.served = w.est, c.service
	w.charged = max(0, w.est-w.credit)
	c.charge(w.leaf, w.Lane, w.charged)
	l.handed++
	l.passed += w.est
	c.running.Append(&w.inTurn, w)
}

// unqueue takes a query out of all that it waits in.
func (c *Core) unqueue(w *Waiter, l *lane) {
	c.withdraw(w)
	l.byAge.Remove(&w.inAge)
	c.part(w, 1) // the decisions keep a chain's order from here on; a key's turn comes with its end
	l.waiting--
	c.waiting--
	w.leaf.waiting--
	w.leaf.gone[w.Lane] += w.est
	for x := w.leaf; x.parent != nil; x = x.parent {
		x.queued--
		if x.backlog[w.Lane] -= w.est; x.lists != nil && x.waiting == 0 {
			x.backlog[w.Lane] = 0 // sums of what came and went don't quite meet
		}
	}
	if c.root.backlog[w.Lane] -= w.est; l.waiting == 0 {
		c.root.backlog[w.Lane] = 0
	}
}

// handedMost bounds those that the decisions hold for other reasons than room:
// locked tables, chains.
const handedMost = 256

// Full tells whether the decisions would take no more of a lane.
func (c *Core) Full(now time.Duration, i int, full bool) {
	c.at(now)
	l := &c.lanes[i]
	// one goes whenever there is room for it: the lane is at its capacity until
	// there is room and nobody left for it
	if l.busy = full || l.busy && l.waiting > 0; l.busy == l.wasBusy {
		l.full = full
		return
	}
	l.full, l.wasBusy = full, l.busy
	busy := 0
	for k := range c.lanes {
		if c.lanes[k].busy {
			busy++
		}
	}
	c.done.full(c.now, busy > 0)
}
