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

// stage is some controllers in virtual time, with reducers that do at once what they
// are told. What is in it happens in the order of the times.
type stage struct {
	t     *testing.T
	now   time.Duration
	rand  *rand.Rand
	all   map[string]*actor
	names []string
	due   timeline
	sent  int // messages
	count int
	cut   map[string]bool // "a>b"
	words map[string][]*fleet.Reply
	lose  func(from, to string, m *Message) bool // nil: none but those that are cut
	seen  func(from, to string, m *Message)
}

type event struct {
	at  time.Duration
	do  func()
	who *actor
	run int
	n   int
}

// timeline is events by their times, and among equal ones in the order they came.
type timeline []*event

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].n < l[j].n
}
func (l timeline) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(*event)) }
func (l *timeline) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	*l = (*l)[:last]
	return x
}

type actor struct {
	*stage
	name         string
	begin        Config
	core         *Core
	run          int // which start of it, 0: it is down
	starts       int
	disk         consensus.PersistentState
	wake         time.Duration
	word         fleet.Word
	orders       []fleet.Order
	checks       []string // asked for, and done
	idle         string   // a change that it never comes to check
	rulesUnknown bool     // of the controllers' own set-ups: it is a control process
	// outside is how much it tells to run outside as it opens.
	outside int
}

func newStage(t *testing.T, seed uint64, voters, followers int, lease time.Duration) *stage {
	s := emptyStage(t, seed)
	l := votersNamed(voters)
	for i := range voters + followers {
		name := fmt.Sprintf("v%d", i)
		if i >= voters {
			name = fmt.Sprintf("f%d", i-voters)
		}
		s.add(beginOf(name, l, seed, lease))
	}
	return s
}

func emptyStage(t *testing.T, seed uint64) *stage {
	return &stage{t: t, rand: rand.New(rand.NewPCG(seed, 1)), all: map[string]*actor{}, cut: map[string]bool{}, words: map[string][]*fleet.Reply{}}
}

func votersNamed(n int) (l []consensus.Voter) {
	for i := range n {
		l = append(l, consensus.Voter{Name: fmt.Sprintf("v%d", i), Address: fmt.Sprintf("v%d:1", i)})
	}
	return l
}

func beginOf(name string, voters []consensus.Voter, seed uint64, lease time.Duration) Config {
	return Config{Self: fleet.Member{Name: name, Disk: "disk " + name, Site: "here", Peer: name + ":1"},
		Voters: voters, Lease: lease, ClockDrift: 0.01, ElectionTimeout: 200 * time.Millisecond, HeartbeatInterval: 40 * time.Millisecond, Seed: seed, SnapshotAfterEntries: 50}
}

// add starts one more.
func (s *stage) add(b Config) *actor {
	a := &actor{stage: s, name: b.Self.Name, begin: b}
	s.all[a.name] = a
	s.names = append(s.names, a.name)
	a.start()
	return a
}

func (a *actor) start() {
	a.starts++
	a.run = a.starts
	a.begin.Incarnation = uint64(a.starts)
	a.begin.Persisted = a.disk
	a.word, a.checks = fleet.Word{}, nil
	core, effects, err := New(a.begin)
	if err != nil {
		a.t.Fatal(err)
	}
	a.core = core
	a.perform(effects)
}

func (a *actor) later(in time.Duration, do func()) {
	a.count++
	heap.Push(&a.due, &event{at: a.now + in, do: do, who: a, run: a.run, n: a.count})
}

func (a *actor) step(ev Event) { a.perform(a.core.Step(a.now, ev)) }

func (a *actor) perform(effects []Effect) {
	for _, e := range effects {
		switch e.Kind {
		case Send:
			to := a.all[e.To]
			a.sent++
			if to == nil || a.cut[a.name+">"+e.To] || a.lose != nil && a.lose(a.name, e.To, e.Message) {
				continue
			}
			if a.seen != nil {
				a.seen(a.name, e.To, e.Message)
			}
			to.later(time.Millisecond+time.Duration(a.rand.IntN(3000))*time.Microsecond, func() { to.step(Event{Kind: MessageReceived, Message: e.Message}) })
		case Persist:
			a.later(2*time.Millisecond, func() {
				a.disk = after(a.disk, e.Writes)
				a.step(Event{Kind: WritesPersisted})
			})
		case ValidatePolicy:
			if a.checks = append(a.checks, "asked "+e.ChangeID); e.ChangeID == a.idle {
				continue
			}
			a.later(time.Millisecond, func() {
				why := ""
				if string(e.PolicyText) == "bad for "+a.name {
					why = "no such group"
				}
				ev := Event{Kind: PolicyValidated, ChangeID: e.ChangeID, Reason: why, Policy: string(e.PolicyText), ResidencyRulesUnknown: a.rulesUnknown}
				if voters, ok := strings.CutPrefix(string(e.PolicyText), "voters "); ok {
					ev.Voters = strings.Fields(voters)
				}
				a.checks = append(a.checks, "done "+e.ChangeID)
				a.step(ev)
			})
		case OrderController:
			a.orders = append(a.orders, e.Order)
			a.later(time.Millisecond, func() { a.ordered(e.Order) })
		case Respond:
			key := fmt.Sprintf("%s %d", a.name, e.Handle)
			a.words[key] = append(a.words[key], e.Reply)
		case SetTimer:
			at := a.now + max(e.Delay, 100*time.Microsecond)
			a.wake = at
			a.later(at-a.now, func() {
				if a.wake == at {
					a.step(Event{Kind: TimerFired})
				}
			})
		}
	}
}

func (a *actor) ordered(o fleet.Order) {
	switch o.Kind {
	case fleet.Shut:
		a.word.Set(0)
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Closed, Change: o.Change}})
	case fleet.Open:
		a.word.Set(o.Version)
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Opened, Version: o.Version, Outside: a.outside}})
	case fleet.Renewed:
		a.word.Lease(o.Until, o.UntilBound)
	case fleet.Drop:
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Unreached, ID: o.ID}})
		a.step(Event{Kind: ControllerReported, Report: fleet.Report{Kind: fleet.Wiped, ID: o.ID, Counts: fleet.Counts{Results: 1}}})
	}
}

// after is what a disk holds once it was written to.
func after(d consensus.PersistentState, k *consensus.PersistentState) consensus.PersistentState {
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

// until plays until something holds, and fails after a time.
func (s *stage) until(within time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for end := s.now + within; !holds(); {
		if s.now >= end {
			for _, n := range s.names {
				a := s.all[n]
				st := a.core.Status()
				s.t.Logf("%s run %d leader %s index %d version %d serves %v word %d change %+v", n, a.run, st.Leader, st.Index, st.Version, st.Serves, a.word.May(s.now, false), st.Change)
			}
			s.t.Fatalf("not within %v: %s", within, what)
		}
		s.next()
	}
}

func (s *stage) next() {
	e := heap.Pop(&s.due).(*event)
	s.now = max(s.now, e.at)
	if e.who.run == e.run && e.run > 0 {
		e.do()
	}
}

func (s *stage) serve(names ...string) bool {
	for _, n := range names {
		if a := s.all[n]; a.run == 0 || a.word.May(s.now, false) == 0 {
			return false
		}
	}
	return true
}

func (s *stage) leader() *actor {
	for _, n := range s.names {
		if a := s.all[n]; a.run > 0 && a.core.Leads() && a.core.ready {
			return a
		}
	}
	return nil
}

func (s *stage) word(a *actor, handle uint64) *fleet.Reply {
	if l := s.words[fmt.Sprintf("%s %d", a.name, handle)]; len(l) > 0 {
		return l[0]
	}
	return nil
}
