package fairqueue

import (
	"time"

	"railrelay.dev/railrelay/internal/intrusivelist"
)

// Query is the state of a query in the fair queue. The owner provides its memory, so that
// enqueueing and ending a query allocate nothing.
type Query struct {
	// Set by the owner before Enqueue.
	Owner         any           // the owner's record
	Lane          int           // index in Config.Lanes
	Tenant        int           // index returned by TenantOf
	Key           int64         // queries of one key run in order, -1: no key
	Chain         int64         // table group, used in chained lanes
	Deadline      time.Duration // time at which its client stops waiting
	NotifyChanges bool          // notify the client of changes of its wait estimate
	RepeatOf      uint64        // RepeatID of the call that this one repeats, 0: none
	RepeatID      uint64        // what a repeated call names in RepeatOf, 0: the call can't be repeated

	// Set by the queue. ArrivedAt is the arrival of the first call if this one repeats it.
	ArrivedAt    time.Duration
	WaitEstimate time.Duration // first estimate of the wait

	// Admission and waiting.
	state           queryState
	leaf            *node // state of its tenant
	enqueuedAt      time.Duration
	sequence        uint64
	uncorrectedWait float64       // wait estimate in seconds before the lane's correction
	expectedStart   time.Duration // by the latest wait estimate
	workAhead       float64       // work of its tenant ahead in the lane, on the scale of node.dequeuedWork
	subscribed      bool

	// Charges in thread seconds.
	estimatedWork float64
	charged       float64
	credit        float64 // charge of the call that it repeats

	// Running.
	startedAt         time.Duration
	sweptAt           time.Duration
	runSeconds        float64 // run time counted by Sweep
	remainingWork     float64 // part of estimatedWork that is left
	serviceAtDispatch float64 // Queue.servicePerThread at dispatch, or at the last sweep before the start
	countedWork       float64 // work already added to Queue.workDone
	priorityLowered   bool

	// List membership.
	queueElement intrusivelist.Element[Query] // in its tenant's queue, or in Queue.running
	ageElement   intrusivelist.Element[Query] // in its lane's list of waiting queries
	eligible     bool                         // in its tenant's queue
	orders       [2]orderLink                 // places in the orders of its key and its chain
	parked       bool                         // waits for the first query of its chain, see Queue.Next
}

// queryState is the progress of a query through the queue.
type queryState uint8

const (
	stateAbsent queryState = iota // not admitted, or ended
	stateWaiting
	stateDispatched // handed to the scheduler, no attempt sent yet
	stateRunning    // the first attempt was sent
)

// queryList is a list of queries: a tenant's eligible queries of a lane, oldest first, or the running
// queries.
type queryList = intrusivelist.List[Query]

// arrivedBefore orders queries by arrival time, and in a tie by the order of admission.
func arrivedBefore(a, b *Query) bool {
	return a.ArrivedAt < b.ArrivedAt || a.ArrivedAt == b.ArrivedAt && a.sequence < b.sequence
}

// PriorityLowered reports whether the query currently has the lowest priority.
func (q *Query) PriorityLowered() bool { return q.priorityLowered }

// Waiting reports whether the query was admitted and has not been dispatched.
func (q *Query) Waiting() bool { return q.state == stateWaiting }
