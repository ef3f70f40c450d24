package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Waiter is a query as fairness knows it: its owner keeps it inside its own
// record, so that one in and one out allocate nothing.
type Waiter struct {
	Of    any // its owner's record
	Lane  int
	Team  int           // as Whose tells
	Key   int64         // its order's key, -1: none
	Chain int64         // its table group, used in chained lanes
	Until time.Duration // its client waits no longer
	// Again names the call that this one repeats, 0 for none: it keeps that one's
	// age and what was charged for it.
	Again uint64
	// Ask: its client wants to be told anew when its wait changes by much.
	Ask bool
	// Self is what a repeat of this one will name, 0: nothing.
	Self uint64

	Arrived time.Duration // an earlier one if it repeats a call
	entered time.Duration
	seq     uint64
	leaf    *node
	state   state
	est     float64 // thread seconds it is thought to take
	raw     float64 // seconds until its start, before what the lane's last ones taught
	charged float64
	credit  float64 // charged for what it repeats
	began   time.Duration
	seenAt  time.Duration
	remains float64 // of est
	served  float64 // what service was when it was handed on
	seen    float64 // of its work as it runs, for the capacity
	ran     float64 // seconds since it began, as far as they were counted
	lowered bool

	Estimate time.Duration // first told
	told     time.Duration // when it was last told to start
	ahead    float64       // of its team before it, with all that had gone
	listed   bool

	inTurn intrusivelist.Element[Waiter] // in its leaf's list, or among the running
	inAge  intrusivelist.Element[Waiter] // in its lane, all that wait
	inLeaf bool
	links  [2]link // its places in the lines of its key and its chain
	parked bool    // its turn came, and one of its chain that can't go has to go first
}

type state uint8

const (
	away state = iota
	waits
	passed  // handed to the decisions, not sent yet
	running // sent
)

type link struct {
	line       *line
	prev, next *Waiter
}

// line keeps the order in which queries of a key, or loads of a table group, came.
type line struct {
	first, last *Waiter
	id          lineID
	parked      int // of a chain
}

type lineID struct {
	kind int // 0: key, 1: chain
	id   int64
}

// list is what may go of a leaf in a lane, oldest first, or what runs.
type list = intrusivelist.List[Waiter]

// mayGo: its key's turn is its own. Who stands behind another of its chain may
// have a turn: the other goes on it.
func (w *Waiter) mayGo() bool {
	x := w.links[0].line
	return x == nil || x.first == w
}

func older(a, b *Waiter) bool {
	return a.Arrived < b.Arrived || a.Arrived == b.Arrived && a.seq < b.seq
}

// behind is the one of its chain that has to go before it, nil if none has.
func (w *Waiter) behind() *Waiter {
	if x := w.links[1].line; x != nil && x.first != w {
		return x.first
	}
	return nil
}

// Lowered reports whether the priority of a query is to be the least for now.
func (w *Waiter) Lowered() bool { return w.lowered }

// Waits reports whether a query was taken in and not handed on yet.
func (w *Waiter) Waits() bool { return w.state == waits }
