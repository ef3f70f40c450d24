package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Query is a query's state in the fair queue. Its owner embeds it in its own record, so that
// enqueueing and ending a query allocate nothing.
type Query struct {
	// Set by the owner before Enqueue.
	Owner         any           // the owner's record
	Lane          int           // index in Config.Lanes
	Tenant        int           // index as TenantOf gives it
	Key           int64         // of its order, -1: none
	Chain         int64         // its table group, used in chained lanes
	Deadline      time.Duration // its client waits no longer
	NotifyChanges bool          // its client wants to be notified when its estimate changes by much
	RepeatOf      uint64        // the call that this one repeats: it keeps its age and charge. 0: none
	RepeatID      uint64        // what a repeat of this one will name. 0: nothing

	// Set by the queue. ArrivedAt is an earlier call's time if the query repeats one.
	ArrivedAt    time.Duration
	WaitEstimate time.Duration // the first one

	// Waiting.
	state           state
	leaf            *node // its tenant's
	enqueuedAt      time.Duration
	sequence        uint64
	uncorrectedWait float64       // estimate in seconds before the lane's correction
	expectedStart   time.Duration // by the last estimate given
	workAhead       float64       // of its tenant before it, with all that had been dequeued
	subscribed      bool

	// Charges, in thread seconds.
	estimatedWork float64
	charged       float64
	credit        float64 // charged for the call that it repeats

	// Running.
	startedAt         time.Duration
	sweptAt           time.Duration
	ranSeconds        float64 // since the start, as far as sweeps counted them
	remainingWork     float64 // of the estimated work
	serviceAtDispatch float64 // servicePerThread then
	measuredWork      float64 // counted for the capacity while it runs
	lowered           bool

	// Places in lists.
	turnElement intrusivelist.Element[Query] // in its tenant's queue, or among the running
	ageElement  intrusivelist.Element[Query] // in its lane, among all that wait
	eligible    bool                         // it is in its tenant's queue
	orders      [2]orderLink                 // its places in the orders of its key and its chain
	parked      bool                         // its turn came, and one of its chain that can't go is before it
}

type state uint8

const (
	stateAbsent state = iota
	stateWaiting
	stateDispatched // handed to the scheduler, not sent yet
	stateRunning    // the first attempt was sent
)

// list holds the eligible queries of a tenant in a lane, oldest first, or the running queries.
type list = intrusivelist.List[Query]

func older(a, b *Query) bool {
	return a.ArrivedAt < b.ArrivedAt || a.ArrivedAt == b.ArrivedAt && a.sequence < b.sequence
}

// PriorityLowered reports whether the query's priority is lowered to the least for now.
func (q *Query) PriorityLowered() bool { return q.lowered }

// Waiting reports whether the query was admitted and is not dispatched yet.
func (q *Query) Waiting() bool { return q.state == stateWaiting }
