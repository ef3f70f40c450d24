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

// Schedule is one play of many controllers' cores in virtual time: what is sent, lost,
// late and doubled, who stops, is killed and comes back, and when, follows from the seed.
type Schedule struct {
	Seed            uint64
	Controllers     int // the first Voters of them vote
	Voters          int
	ControlOnly     bool          // voters and relays take no queries
	Relays          int           // the next so many pass on the renewals of those after them, 0: none do
	Duration        time.Duration // in which faults come; after it all is healed and must come right
	Lease           time.Duration
	FaultsPerSecond float64       // a second
	MessageFault    *MessageFault // a fault at one step, in place of those
	ChangeVoters    bool          // changes may name others who vote
	EncodeMessages  bool          // messages go through the encoding
	RestartIsolated bool          // in place of those: followers go, and start cut off after a change or so
}

// MessageFault is a fault at the nth message between controllers once the first change or
// purge was asked for.
type MessageFault struct {
	MessageNumber int
	Kind          string // lost, doubled, late, sender, receiver (killed), stopped, cut
}

// MessageFaultKinds are the ways of a Strike.
var MessageFaultKinds = []string{"lost", "doubled", "late", "sender", "receiver", "stopped", "cut"}

// ScheduleResult is what schedules showed.
type ScheduleResult struct {
	Schedules, Events, Messages int
	FaultsByKind                map[string]int // that struck, by kind
	FaultStates                 map[string]int // how far a change or purge was, and who was struck how
	Changes, Withdrawn, Purges  int
	Acts, Forgotten             int
	Violations                  []string
	TraceHash                   uint64 // of all that happened: the same seed gives the same
}

// Add joins another play.
func (p *ScheduleResult) Add(o *ScheduleResult) {
	p.Schedules, p.Events, p.Messages = p.Schedules+o.Schedules, p.Events+o.Events, p.Messages+o.Messages
	p.Changes, p.Withdrawn, p.Purges, p.Acts = p.Changes+o.Changes, p.Withdrawn+o.Withdrawn, p.Purges+o.Purges, p.Acts+o.Acts
	p.Forgotten += o.Forgotten
	if p.FaultsByKind == nil {
		p.FaultsByKind, p.FaultStates = map[string]int{}, map[string]int{}
	}
	for k, n := range o.FaultsByKind {
		p.FaultsByKind[k] += n
	}
	for k, n := range o.FaultStates {
		p.FaultStates[k] += n
	}
	p.Violations = append(p.Violations, o.Violations...)
	p.TraceHash = p.TraceHash*31 + o.TraceHash
}

// DistinctFaultStates is in how many different states a fault really struck.
func (p *ScheduleResult) DistinctFaultStates() int { return len(p.FaultStates) }

type scheduleRun struct {
	Schedule
	rng             *rand.Rand
	now             time.Duration
	events          scheduleEventQueue
	lastSequence    int
	fleet           []*simulatedController
	byName          map[string]*simulatedController
	cutUntil        map[[2]string]time.Duration // from, to: until
	lossyUntil      time.Duration               // until when messages are lost, late and doubled
	leader          string
	history         historycheck.FleetHistory
	result          *ScheduleResult
	pendingRequests map[uint64]*scheduleRequest
	lastHandle      uint64
	operations      []*scheduleOperation
	changeReports   []historycheck.ChangeReport
	settling        bool
	votersChanged   bool // who votes was to be changed
	countMessages   bool // messages are counted for the strike
	countedMessages int
	lastQuery       int
}

type scheduleEvent struct {
	at          time.Duration
	sequence    int
	controller  *simulatedController // nil: the world
	incarnation uint64               // of who; 0: whichever
	run         func()
}

type scheduleEventQueue []*scheduleEvent

func (h scheduleEventQueue) Len() int { return len(h) }
func (h scheduleEventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h scheduleEventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *scheduleEventQueue) Push(x any)   { *h = append(*h, x.(*scheduleEvent)) }
func (h *scheduleEventQueue) Pop() any {
	l := *h
	x := l[len(l)-1]
	*h = l[:len(l)-1]
	return x
}

func (p *scheduleRun) scheduleAfter(within time.Duration, who *simulatedController, what func()) {
	p.lastSequence++
	x := &scheduleEvent{at: p.now + within, sequence: p.lastSequence, controller: who, run: what}
	if who != nil {
		x.incarnation = who.incarnation
	}
	heap.Push(&p.events, x)
}

func (p *scheduleRun) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rng.Int64N(int64(most-least)+1))
}

// Run plays it to its end.
func (s Schedule) Run() *ScheduleResult {
	p := &scheduleRun{Schedule: s, rng: rand.New(rand.NewPCG(s.Seed, 0x5c4ed)), byName: map[string]*simulatedController{}, cutUntil: map[[2]string]time.Duration{},
		result: &ScheduleResult{Schedules: 1, FaultsByKind: map[string]int{}, FaultStates: map[string]int{}}, pendingRequests: map[uint64]*scheduleRequest{}}
	for i := range s.Controllers {
		name := fmt.Sprintf("c%d", i)
		a := &simulatedController{name: name, diskID: "disk-" + name, clockRate: 1 + (p.rng.Float64()-0.5)*0.009, invalidations: map[string]fleet.Order{}, results: map[string]simulatedResult{}}
		a.member = fleet.Member{Name: name, DiskID: a.diskID, Site: []string{"east", "west"}[i%2], PeerAddress: name + ":1", ClientAddress: name + ":2",
			ControlOnly: s.ControlOnly && i < s.Voters+s.Relays}
		p.fleet = append(p.fleet, a)
		p.byName[name] = a
	}
	for _, a := range p.fleet {
		p.startController(a)
	}
	p.scheduleAfter(p.randomDuration(800*time.Millisecond, 1500*time.Millisecond), nil, p.issueOperations)
	switch {
	case s.RestartIsolated:
		p.scheduleAfter(time.Second, nil, p.restartIsolated)
	case s.MessageFault == nil:
		p.scheduleAfter(500*time.Millisecond, nil, p.injectFaults)
	}
	p.runUntil(s.Duration)
	p.heal()
	p.settling = true
	p.runUntil(p.now + 4*s.Lease + 8*time.Second) // elections, leases, and what was under way
	p.repeatAllRequests()
	p.runUntil(p.now + 3*s.Lease + 6*time.Second)
	p.checkFinalState()
	return p.result
}

func (p *scheduleRun) runUntil(end time.Duration) {
	for len(p.events) > 0 && p.events[0].at <= end {
		x := heap.Pop(&p.events).(*scheduleEvent)
		p.now = x.at
		if a := x.controller; a != nil {
			if a.down || x.incarnation != a.incarnation {
				continue
			}
			if p.now < a.pausedUntil { // in turn, once it goes on
				p.lastSequence++
				x.at, x.sequence = a.pausedUntil, p.lastSequence
				heap.Push(&p.events, x)
				continue
			}
		}
		p.result.Events++
		p.result.TraceHash = p.result.TraceHash*1099511628211 + uint64(x.at)
		x.run()
	}
	p.now = end
}

func (p *scheduleRun) addViolation(form string, args ...any) {
	if len(p.result.Violations) < 20 {
		p.result.Violations = append(p.result.Violations, fmt.Sprintf("seed %d at %v: ", p.Seed, p.now)+fmt.Sprintf(form, args...))
	}
}

func (p *scheduleRun) checkFinalState() {
	version := uint64(0)
	for _, a := range p.fleet {
		version = max(version, a.version)
	}
	policy := ""
	for _, a := range p.fleet {
		if a.version == version {
			policy = a.policy
		}
	}
	for _, a := range p.fleet {
		if strings.HasSuffix(policy, " unfit for "+a.name) { // it was down when that was decided, and can't serve by it
			continue
		}
		if !a.forgotten && a.servingState.ServingVersion(a.localTime(p), false) != version {
			p.addViolation("half: %s acts by version %d after all was healed, not %d", a.name, a.servingState.ServingVersion(a.localTime(p), false), version)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(p.pendingRequests)) {
		x := p.pendingRequests[h]
		if x.operation.request.Kind == "apply" { // who was asked is gone; it may have passed it on before
			p.changeReports = append(p.changeReports, historycheck.ChangeReport{Client: len(p.changeReports) % 7, From: x.requestedAt,
				ID: x.operation.request.ID, Base: x.operation.request.BaseVersion, Proposes: true, Outcome: "unknown"})
		}
		if x.final {
			p.addViolation("false_word: %s was asked for %s after all was healed and says nothing", x.controller.name, x.operation.request.ID)
		}
	}
	for _, f := range p.history.Faults {
		p.addViolation("%v", f)
	}
	if ok, why := historycheck.Linearizable(p.changeReports, 2*time.Second); !ok {
		p.addViolation("false_word: there is no order of these words:\n%s", why)
	}
	p.result.Changes, p.result.Withdrawn, p.result.Purges, p.result.Acts = p.history.Changes, p.history.Withdrawn, p.history.Purges, p.history.Acts
}

// SchedulePlan is a set of schedules: each seed alone, or the strikes at each of so many
// messages.
type SchedulePlan struct {
	Schedules []Schedule
}

// AddRandom are so many schedules of a size, from a seed on.
func (l *SchedulePlan) AddRandom(seed uint64, n, controllers, voters int, long time.Duration, faults float64) {
	for i := range n {
		l.Schedules = append(l.Schedules, Schedule{Seed: seed + uint64(i), Controllers: controllers, Voters: voters, Duration: long,
			Lease: 800 * time.Millisecond, FaultsPerSecond: faults, EncodeMessages: i%8 == 0})
	}
}

// AddMessageFaults are one schedule with a strike of each way at each of its messages from one to
// another, step apart.
func (l *SchedulePlan) AddMessageFaults(seed uint64, from, to, step int) {
	for at := from; at <= to; at += step {
		for _, how := range MessageFaultKinds {
			l.Schedules = append(l.Schedules, Schedule{Seed: seed, Controllers: 5, Voters: 3, Duration: 4 * time.Second, Lease: 500 * time.Millisecond,
				MessageFault: &MessageFault{MessageNumber: at, Kind: how}})
		}
	}
}

// Run plays all on so many threads until a time is over, and says how many were played.
func (l *SchedulePlan) Run(threads int, until time.Time) *ScheduleResult {
	out := make([]*ScheduleResult, len(l.Schedules))
	var next atomic.Int64
	var wg sync.WaitGroup
	for range threads {
		wg.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(l.Schedules) || !until.IsZero() && time.Now().After(until) {
					return
				}
				out[i] = l.Schedules[i].Run()
			}
		})
	}
	wg.Wait()
	all := &ScheduleResult{}
	for _, p := range out {
		if p != nil {
			all.Add(p)
		}
	}
	return all
}
