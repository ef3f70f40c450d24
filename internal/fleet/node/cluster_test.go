package node

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
)

// testCluster runs controllers in virtual time. Their simulated request sides perform each order
// after a fixed delay. Events run in the order of their times.
type testCluster struct {
	t               *testing.T
	now             time.Duration
	rand            *rand.Rand
	controllers     map[string]*testController
	names           []string
	timeline        timeline
	messagesSent    int
	eventsScheduled int
	cutLinks        map[string]bool // keys "from>to"
	responses       map[string][]*fleet.Response
	dropMessage     func(from, to string, m *Message) bool // besides cutLinks; nil: drop none
	onSend          func(from, to string, m *Message)
}

type scheduledEvent struct {
	at               time.Duration
	do               func()
	owner            *testController
	ownerIncarnation int
	order            int
}

// timeline is a heap of events by time, and by the order of scheduling for equal times.
type timeline []*scheduledEvent

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].order < l[j].order
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(*scheduledEvent)) }
func (l *timeline) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	*l = (*l)[:last]
	return x
}

type testController struct {
	*testCluster
	name           string
	config         Config
	core           *Core
	incarnation    int // 0: the controller is down
	starts         int
	disk           consensus.PersistentState
	timerAt        time.Duration
	serving        fleet.ServingState
	orders         []fleet.Order
	validations    []string // "asked CHANGE" and "done CHANGE", in order
	neverValidates string   // ID of a change whose validation never finishes
	rulesUnknown   bool     // it doesn't know the controllers' own rules, as a control process
	// attemptsOutside is the number of attempts outside that it reports with PolicyActivated.
	attemptsOutside int
}

func newTestCluster(t *testing.T, seed uint64, voters, followers int, lease time.Duration) *testCluster {
	s := newEmptyTestCluster(t, seed)
	l := votersNamed(voters)
	for i := range voters + followers {
		name := fmt.Sprintf("v%d", i)
		if i >= voters {
			name = fmt.Sprintf("f%d", i-voters)
		}
		s.add(testConfig(name, l, seed, lease))
	}
	return s
}

func newEmptyTestCluster(t *testing.T, seed uint64) *testCluster {
	return &testCluster{t: t, rand: rand.New(rand.NewPCG(seed, 1)), controllers: map[string]*testController{},
		cutLinks: map[string]bool{}, responses: map[string][]*fleet.Response{}}
}

func votersNamed(n int) (l []consensus.Voter) {
	for i := range n {
		l = append(l, consensus.Voter{Name: fmt.Sprintf("v%d", i), Address: fmt.Sprintf("v%d:1", i)})
	}
	return l
}

func testConfig(name string, voters []consensus.Voter, seed uint64, lease time.Duration) Config {
	return Config{Self: fleet.Member{Name: name, DiskID: "disk " + name, Site: "here", PeerAddress: name + ":1"},
		Voters: voters, Lease: lease, ClockDrift: 0.01, ElectionTimeout: 200 * time.Millisecond,
		HeartbeatInterval: 40 * time.Millisecond, Seed: seed, SnapshotAfterEntries: 50}
}

// add adds and starts a controller.
func (s *testCluster) add(b Config) *testController {
	a := &testController{testCluster: s, name: b.Self.Name, config: b}
	s.controllers[a.name] = a
	s.names = append(s.names, a.name)
	a.start()
	return a
}

func (a *testController) start() {
	a.starts++
	a.incarnation = a.starts
	a.config.Incarnation = uint64(a.starts)
	a.config.Persisted = a.disk
	a.serving, a.validations = fleet.ServingState{}, nil
	core, effects, err := New(a.config)
	if err != nil {
		a.t.Fatal(err)
	}
	a.core = core
	a.perform(effects)
}

func (a *testController) schedule(in time.Duration, do func()) {
	a.eventsScheduled++
	heap.Push(&a.timeline, &scheduledEvent{at: a.now + in, do: do, owner: a, ownerIncarnation: a.incarnation,
		order: a.eventsScheduled})
}

// request sends a controller an operator's request.
func (a *testController) request(handle uint64, ask *fleet.Request) {
	a.step(Event{Kind: OperatorRequested, Handle: handle, Request: ask})
}

// receive delivers a message to a controller.
func (a *testController) receive(m *Message) { a.step(Event{Kind: MessageReceived, Message: m}) }

func (a *testController) step(ev Event) { a.perform(a.core.Step(a.now, ev)) }

func (a *testController) perform(effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case Send:
			to := a.controllers[e.To]
			a.messagesSent++
			if to == nil || a.cutLinks[a.name+">"+e.To] ||
				a.dropMessage != nil && a.dropMessage(a.name, e.To, e.Message) {
				continue
			}
			if a.onSend != nil {
				a.onSend(a.name, e.To, e.Message)
			}
			to.schedule(time.Millisecond+time.Duration(a.rand.IntN(3000))*time.Microsecond,
				func() { to.step(Event{Kind: MessageReceived, Message: e.Message}) })
		case Persist:
			a.schedule(2*time.Millisecond, func() {
				a.disk = afterWrite(a.disk, e.Writes)
				a.step(Event{Kind: WritesPersisted})
			})
		case ValidatePolicy:
			a.validations = append(a.validations, "asked "+e.ValidationKey)
			if e.ValidationKey == a.neverValidates {
				continue
			}
			a.schedule(time.Millisecond, func() {
				why := ""
				if string(e.PolicyText) == "bad for "+a.name {
					why = "no such group"
				}
				ev := Event{Kind: PolicyValidated, ValidationKey: e.ValidationKey, Reason: why,
					Policy: string(e.PolicyText), ResidencyRulesUnknown: a.rulesUnknown}
				if voters, ok := strings.CutPrefix(string(e.PolicyText), "voters "); ok {
					ev.Voters = strings.Fields(voters)
				}
				a.validations = append(a.validations, "done "+e.ValidationKey)
				a.step(ev)
			})
		case OrderController:
			a.orders = append(a.orders, e.Order)
			a.schedule(time.Millisecond, func() { a.performOrder(e.Order) })
		case Respond:
			key := fmt.Sprintf("%s %d", a.name, e.Handle)
			a.responses[key] = append(a.responses[key], e.Response)
		case SetTimer:
			at := a.now + max(e.Delay, 100*time.Microsecond)
			a.timerAt = at
			a.schedule(at-a.now, func() {
				if a.timerAt == at {
					a.step(Event{Kind: TimerFired})
				}
			})
		}
	}
}

func (a *testController) performOrder(o fleet.Order) {
	switch o.Kind {
	case fleet.FencePolicy:
		a.serving.SetVersion(0)
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.PolicyFenced,
			ChangeID: o.ChangeID}})
	case fleet.ActivatePolicy:
		a.serving.SetVersion(o.Version)
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.PolicyActivated, Version: o.Version,
			AttemptsOutside: a.attemptsOutside}})
	case fleet.LeaseRenewed:
		a.serving.SetLease(o.LeaseEnd, o.ConfinedLeaseEnd)
	case fleet.InvalidateData:
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.DataTombstoned, ID: o.ID}})
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.DataErased, ID: o.ID,
			Counts: fleet.InvalidationCounts{Results: 1}}})
	}
}

// afterWrite returns the contents of a disk after a write.
func afterWrite(d consensus.PersistentState, k *consensus.PersistentState) consensus.PersistentState {
	if k.HardState != nil {
		d.HardState = k.HardState
	}
	if s := k.Snapshot; s != nil {
		d.Snapshot = s
		var l []consensus.LogEntry
		for _, r := range d.Entries {
			if r.Index > s.Index {
				l = append(l, r)
			}
		}
		d.Entries = l
	}
	if len(k.Entries) > 0 {
		i := 0
		for i < len(d.Entries) && d.Entries[i].Index < k.Entries[0].Index {
			i++
		}
		d.Entries = append(slices.Clone(d.Entries[:i]), k.Entries...)
	}
	return d
}

// waitFor runs events until holds returns true, and fails the test after a span of virtual time.
func (s *testCluster) waitFor(within time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for end := s.now + within; !holds(); {
		if s.now >= end {
			for _, n := range s.names {
				a := s.controllers[n]
				st := a.core.Status()
				s.t.Logf("%s incarnation %d leader %s index %d version %d serves %v may serve %d change %+v", n,
					a.incarnation, st.Leader,
					st.Index, st.Version, st.Serves, a.serving.ServingVersion(s.now, false), st.Change)
			}
			s.t.Fatalf("not reached within %v: %s", within, what)
		}
		s.runNextEvent()
	}
}

func (s *testCluster) waitUntilAllServe(within time.Duration) {
	s.t.Helper()
	s.waitFor(within, "all serve", func() bool { return s.allServe(s.names...) })
}

func (s *testCluster) runNextEvent() {
	e := heap.Pop(&s.timeline).(*scheduledEvent)
	s.now = max(s.now, e.at)
	if e.owner.incarnation == e.ownerIncarnation && e.ownerIncarnation > 0 {
		e.do()
	}
}

func (s *testCluster) allServe(names ...string) bool {
	for _, n := range names {
		if a := s.controllers[n]; a.incarnation == 0 || a.serving.ServingVersion(s.now, false) == 0 {
			return false
		}
	}
	return true
}

func (s *testCluster) leader() *testController {
	for _, n := range s.names {
		if a := s.controllers[n]; a.incarnation > 0 && a.core.IsLeader() && a.core.ready {
			return a
		}
	}
	return nil
}

func (s *testCluster) responseTo(a *testController, handle uint64) *fleet.Response {
	if l := s.responses[fmt.Sprintf("%s %d", a.name, handle)]; len(l) > 0 {
		return l[0]
	}
	return nil
}
