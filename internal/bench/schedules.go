package bench

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/historycheck"
)

// Schedule configures the simulation of a fleet in virtual time. Package node is the core of each simulated
// controller, as it is in a real controller. The seed determines the operators' requests and all faults. A
// fault loses, delays or duplicates messages, cuts links, slows down a disk, or pauses, kills and restarts
// controllers.
type Schedule struct {
	Seed            uint64
	Controllers     int // number of voters, relays and followers, which are created in this order
	Voters          int
	ControlOnly     bool          // voters and relays accept no queries
	Relays          int           // relays that aggregate the followers' lease renewals; 0: none
	Duration        time.Duration // length of the period with faults, after which the fleet must recover
	Lease           time.Duration
	FaultsPerSecond float64
	MessageFault    *MessageFault // if not nil, the only fault of the schedule
	ChangeVoters    bool          // some changes replace the voters
	EncodeMessages  bool          // each message is encoded and decoded before its delivery
	RestartIsolated bool          // isolated followers are restarted, without any other fault
}

// MessageFault is a fault at one message between controllers. MessageNumber 1 is the first message after
// the first request of an operator.
type MessageFault struct {
	MessageNumber int
	Kind          string // one of MessageFaultKinds
}

// MessageFaultKinds lists the kinds of a MessageFault. The kinds "sender" and "receiver" kill the message's
// sender or receiver, "stopped" pauses the receiver, and "cut" cuts the link from the sender to the
// receiver.
var MessageFaultKinds = []string{"lost", "doubled", "late", "sender", "receiver", "stopped", "cut"}

// ScheduleResult is the result of one or several schedules.
type ScheduleResult struct {
	Schedules, Events, Messages int
	FaultsByKind                map[string]int // number of faults of each kind
	FaultStates                 map[string]int // number of faults by kind, role and state, see describeState
	Changes, Withdrawn, Purges  int
	Acts, Forgotten             int
	Violations                  []string // descriptions of the violated invariants
	TraceHash                   uint64   // hash of the times of all events, equal for equal seeds
}

// Add adds the counts and violations of another result.
func (r *ScheduleResult) Add(o *ScheduleResult) {
	r.Schedules, r.Events, r.Messages = r.Schedules+o.Schedules, r.Events+o.Events, r.Messages+o.Messages
	r.Changes, r.Withdrawn, r.Purges, r.Acts =
		r.Changes+o.Changes, r.Withdrawn+o.Withdrawn, r.Purges+o.Purges, r.Acts+o.Acts
	r.Forgotten += o.Forgotten
	if r.FaultsByKind == nil {
		r.FaultsByKind, r.FaultStates = map[string]int{}, map[string]int{}
	}
	for kind, n := range o.FaultsByKind {
		r.FaultsByKind[kind] += n
	}
	for state, n := range o.FaultStates {
		r.FaultStates[state] += n
	}
	r.Violations = append(r.Violations, o.Violations...)
	r.TraceHash = r.TraceHash*31 + o.TraceHash
}

// DistinctFaultStates returns the number of different combinations of fault, role and state.
func (r *ScheduleResult) DistinctFaultStates() int { return len(r.FaultStates) }

// scheduleRun is the state of a running Schedule.
type scheduleRun struct {
	Schedule
	rng             *rand.Rand
	now             time.Duration
	events          scheduleEventQueue
	lastSequence    int
	fleet           []*simulatedController
	byName          map[string]*simulatedController
	cutUntil        map[[2]string]time.Duration // end of the cut of each link, by sender and receiver
	lossyUntil      time.Duration               // end of the period with lost, delayed and duplicated messages
	leader          string                      // name of the controller that granted the latest lease
	history         historycheck.FleetHistory
	result          *ScheduleResult
	pendingRequests map[uint64]*scheduleRequest // by handle
	lastHandle      uint64
	operations      []*scheduleOperation
	changeReports   []historycheck.ChangeReport
	settling        bool // the period with faults is over
	votersChanged   bool // a change that replaces the voters was requested
	countMessages   bool // messages are counted for MessageFault
	countedMessages int
	lastQuery       int
}

type scheduleEvent struct {
	at          time.Duration
	sequence    int
	controller  *simulatedController // the event belongs to this controller's process; nil: none
	incarnation uint64               // the event is dropped if the controller was restarted since
	action      func()
}

// scheduleEventQueue is a heap of events. It orders the events by time, and events of the same time by the
// order in which they were scheduled.
type scheduleEventQueue []*scheduleEvent

func (q scheduleEventQueue) Len() int { return len(q) }
func (q scheduleEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q scheduleEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *scheduleEventQueue) Push(x any)   { *q = append(*q, x.(*scheduleEvent)) }
func (q *scheduleEventQueue) Pop() any {
	events := *q
	last := events[len(events)-1]
	*q = events[:len(events)-1]
	return last
}

// scheduleAfter schedules an action after a delay. If the controller isn't nil, the action belongs to the
// controller's process: it is dropped if the process ends, and delayed while the process is paused.
func (run *scheduleRun) scheduleAfter(delay time.Duration, controller *simulatedController, action func()) {
	run.lastSequence++
	event := &scheduleEvent{at: run.now + delay, sequence: run.lastSequence, controller: controller,
		action: action}
	if controller != nil {
		event.incarnation = controller.incarnation
	}
	heap.Push(&run.events, event)
}

// randomDuration returns a random duration between two bounds, both included.
func (run *scheduleRun) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(run.rng.Int64N(int64(longest-shortest)+1))
}

// Run runs the schedule and returns its result. After the period with faults, Run restores all links and
// restarts all controllers. It then gives the fleet time to recover, requests all operations again and
// checks the final state.
func (s Schedule) Run() *ScheduleResult {
	run := &scheduleRun{
		Schedule: s,
		rng:      rand.New(rand.NewPCG(s.Seed, 0x5c4ed)),
		byName:   map[string]*simulatedController{},
		cutUntil: map[[2]string]time.Duration{},
		result: &ScheduleResult{
			Schedules: 1, FaultsByKind: map[string]int{}, FaultStates: map[string]int{},
		},
		pendingRequests: map[uint64]*scheduleRequest{},
	}
	for i := range s.Controllers {
		name := fmt.Sprintf("c%d", i)
		controller := &simulatedController{
			name:          name,
			diskID:        "disk-" + name,
			clockRate:     1 + (run.rng.Float64()-0.5)*0.009,
			invalidations: map[string]fleet.Order{},
			results:       map[string]simulatedResult{},
		}
		controller.member = fleet.Member{
			Name:          name,
			DiskID:        controller.diskID,
			Site:          []string{"east", "west"}[i%2],
			PeerAddress:   name + ":1",
			ClientAddress: name + ":2",
			ControlOnly:   s.ControlOnly && i < s.Voters+s.Relays,
		}
		run.fleet = append(run.fleet, controller)
		run.byName[name] = controller
	}
	for _, controller := range run.fleet {
		run.startController(controller)
	}
	run.scheduleAfter(run.randomDuration(800*time.Millisecond, 1500*time.Millisecond), nil, run.issueOperations)
	switch {
	case s.RestartIsolated:
		run.scheduleAfter(time.Second, nil, run.restartIsolated)
	case s.MessageFault == nil:
		run.scheduleAfter(500*time.Millisecond, nil, run.injectFaults)
	}
	run.runUntil(s.Duration)
	run.heal()
	run.settling = true
	// The fleet needs time for elections, for the expiry of leases and for the operations in progress.
	run.runUntil(run.now + 4*s.Lease + 8*time.Second)
	run.repeatAllRequests()
	run.runUntil(run.now + 3*s.Lease + 6*time.Second)
	run.checkFinalState()
	return run.result
}

// runUntil runs all events up to a time.
func (run *scheduleRun) runUntil(end time.Duration) {
	for len(run.events) > 0 && run.events[0].at <= end {
		event := heap.Pop(&run.events).(*scheduleEvent)
		run.now = event.at
		if controller := event.controller; controller != nil {
			if controller.down || event.incarnation != controller.incarnation {
				continue
			}
			// A new sequence number keeps the order of the events that are delayed until the controller resumes.
			if run.now < controller.pausedUntil {
				run.lastSequence++
				event.at, event.sequence = controller.pausedUntil, run.lastSequence
				heap.Push(&run.events, event)
				continue
			}
		}
		run.result.Events++
		run.result.TraceHash = run.result.TraceHash*1099511628211 + uint64(event.at)
		event.action()
	}
	run.now = end
}

// addViolation adds a violation to the result, unless the result has 20 violations.
func (run *scheduleRun) addViolation(format string, args ...any) {
	if len(run.result.Violations) < 20 {
		run.result.Violations = append(run.result.Violations,
			fmt.Sprintf("seed %d at %v: ", run.Seed, run.now)+fmt.Sprintf(format, args...))
	}
}

// checkFinalState adds a violation for each controller that doesn't serve by the latest version, for each
// repeated request without a response, and for responses to operators that contradict each other. It also
// adds the faults of the history.
func (run *scheduleRun) checkFinalState() {
	version := uint64(0)
	for _, controller := range run.fleet {
		version = max(version, controller.version)
	}
	policy := ""
	for _, controller := range run.fleet {
		if controller.version == version {
			policy = controller.policy
		}
	}
	for _, controller := range run.fleet {
		// A controller that rejects the policy can't serve. The change came into force nevertheless, because
		// the controller was down when the fleet decided.
		if strings.HasSuffix(policy, " unfit for "+controller.name) {
			continue
		}
		if !controller.forgotten &&
			controller.servingState.ServingVersion(controller.localTime(run), false) != version {
			run.addViolation("half: %s serves by version %d after all faults ended, not by version %d",
				controller.name, controller.servingState.ServingVersion(controller.localTime(run), false), version)
		}
	}
	for _, handle := range slices.Sorted(maps.Keys(run.pendingRequests)) {
		pending := run.pendingRequests[handle]
		// The controller's process ended before it sent a response, but it may have forwarded the change.
		if pending.operation.request.Kind == "apply" {
			run.changeReports = append(run.changeReports, historycheck.ChangeReport{
				Client:   len(run.changeReports) % 7,
				From:     pending.requestedAt,
				ID:       pending.operation.request.ID,
				Base:     pending.operation.request.BaseVersion,
				Proposes: true,
				Outcome:  "unknown",
			})
		}
		if pending.final {
			run.addViolation("false_word: %s did not answer the request %s after all faults ended",
				pending.controller.name, pending.operation.request.ID)
		}
	}
	for _, fault := range run.history.Faults {
		run.addViolation("%v", fault)
	}
	if linearizable, excerpt := historycheck.Linearizable(run.changeReports, 2*time.Second); !linearizable {
		run.addViolation("false_word: no order of the changes explains the operators' reports:\n%s", excerpt)
	}
	run.result.Changes, run.result.Withdrawn, run.result.Purges, run.result.Acts =
		run.history.Changes, run.history.Withdrawn, run.history.Purges, run.history.Acts
}

// SchedulePlan is a list of schedules to run.
type SchedulePlan struct {
	Schedules []Schedule
}

// AddRandom adds n schedules with random faults and consecutive seeds.
func (plan *SchedulePlan) AddRandom(
	seed uint64, n, controllers, voters int, duration time.Duration, faultsPerSecond float64,
) {
	for i := range n {
		plan.Schedules = append(plan.Schedules, Schedule{
			Seed:            seed + uint64(i),
			Controllers:     controllers,
			Voters:          voters,
			Duration:        duration,
			Lease:           800 * time.Millisecond,
			FaultsPerSecond: faultsPerSecond,
			EncodeMessages:  i%8 == 0,
		})
	}
}

// AddMessageFaults adds schedules with one seed, each with a different MessageFault. It adds a schedule for
// each kind of fault at each of the messages first, first+step and so on up to last.
func (plan *SchedulePlan) AddMessageFaults(seed uint64, first, last, step int) {
	for number := first; number <= last; number += step {
		for _, kind := range MessageFaultKinds {
			plan.Schedules = append(plan.Schedules, Schedule{
				Seed:         seed,
				Controllers:  5,
				Voters:       3,
				Duration:     4 * time.Second,
				Lease:        500 * time.Millisecond,
				MessageFault: &MessageFault{MessageNumber: number, Kind: kind},
			})
		}
	}
}

// Run runs the schedules on a number of threads and returns the sum of their results. If until isn't zero,
// Run starts no schedule after that time. The result's field Schedules counts the schedules that were run.
func (plan *SchedulePlan) Run(threads int, until time.Time) *ScheduleResult {
	results := make([]*ScheduleResult, len(plan.Schedules))
	var next atomic.Int64
	var wg sync.WaitGroup
	for range threads {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(plan.Schedules) || !until.IsZero() && time.Now().After(until) {
					return
				}
				results[i] = plan.Schedules[i].Run()
			}
		})
	}
	wg.Wait()
	total := &ScheduleResult{}
	for _, result := range results {
		if result != nil {
			total.Add(result)
		}
	}
	return total
}
