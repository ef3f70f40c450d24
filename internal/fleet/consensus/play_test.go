package consensus

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const ms = time.Millisecond

// A play of voters on one clock, with what can go wrong between them.
type play struct {
	t       testing.TB
	now     time.Duration
	rand    *rand.Rand
	seed    uint64
	todo    todo
	seq     int
	voters  []Voter
	at      map[string]*spot
	cut     map[[2]string]bool // one way
	loss    float64
	twice   float64
	compact uint64
	trace   bytes.Buffer

	decided map[uint64]LogEntry
	chain   map[uint64]uint64 // index: sum of all decided up to it
	most    uint64
	known   map[string]bool // what was proposed, and whether it is decided
	handles map[uint64]uint64
	held    int // confirmed
	struck  int // messages lost, voters lost
	fetched int // snapshots taken over
}

type spot struct {
	name     string
	core     *Core
	boot     int
	kept     PersistentState
	applied  uint64
	sum      uint64
	snapped  uint64
	voting   []Voter
	tickAt   time.Duration
	slowDisk time.Duration
}

type todoItem struct {
	at  time.Duration
	seq int
	do  func()
}
type todo []todoItem

func (q todo) Len() int { return len(q) }
func (q todo) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].seq-q[j].seq) < 0
}
func (q todo) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *todo) Push(x any)   { *q = append(*q, x.(todoItem)) }
func (q *todo) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newPlay(t testing.TB, n int, seed uint64) *play {
	p := &play{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), at: map[string]*spot{}, cut: map[[2]string]bool{},
		decided: map[uint64]LogEntry{}, chain: map[uint64]uint64{0: 0}, known: map[string]bool{}, handles: map[uint64]uint64{}}
	for i := range n {
		p.voters = append(p.voters, Voter{fmt.Sprintf("v%d", i), fmt.Sprintf("10.0.0.%d:7", i)})
	}
	for _, v := range p.voters {
		p.start(v.Name, p.voters)
	}
	return p
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.todo, todoItem{p.now + d, p.seq, do})
}

func (p *play) start(name string, voters []Voter) {
	s := p.at[name]
	if s == nil {
		s = &spot{name: name}
		p.at[name] = s
	}
	s.boot++
	s.applied, s.sum, s.snapped, s.tickAt = 0, 0, 0, 0
	core, effs, err := New(Config{Self: name, Voters: voters, Persistent: s.kept, Seed: p.seed,
		ElectionTimeout: 300 * ms, HeartbeatInterval: 30 * ms})
	if err != nil {
		p.t.Fatalf("seed %d: %s starts: %v", p.seed, name, err)
	}
	s.core = core
	p.follow(s, effs)
	p.step(s, Event{Kind: Tick})
}

// lose takes a voter away with all that wasn't stored.
func (p *play) lose(name string) {
	p.struck++
	p.at[name].core = nil
	p.at[name].boot++
}

func (p *play) step(s *spot, ev Event) {
	if s.core == nil {
		return
	}
	fmt.Fprintf(&p.trace, "%d %s %d %s %x %q\n", p.now, s.name, ev.Kind, ev.From, ev.Bytes, ev.Data)
	p.follow(s, s.core.Step(p.now, ev))
	if due := s.core.NextTick(); due < never && s.core != nil {
		if due <= p.now && ev.Kind == Tick {
			p.t.Fatalf("seed %d: %s wants to be woken at %v, it is %v", p.seed, s.name, due, p.now)
		}
		if s.tickAt <= p.now || due < s.tickAt {
			s.tickAt = due
			boot := s.boot
			p.after(max(0, due-p.now), func() {
				if s.boot == boot && s.tickAt == due {
					p.step(s, Event{Kind: Tick})
				}
			})
		}
	}
}

func (p *play) follow(s *spot, effs []Effect) {
	for _, e := range effs {
		fmt.Fprintf(&p.trace, "%d %s > %d %s %x %v %d %d %s %d %v\n", p.now, s.name, e.Kind, e.To, e.Bytes, e.Entry,
			e.Handle, e.Index, e.Leader, e.Term, e.Voters)
		boot := s.boot
		switch e.Kind {
		case SendMessage:
			p.send(s.name, e.To, e.Bytes)
		case Persist:
			k := e.Persistent
			p.after(s.slowDisk+ms+time.Duration(p.rand.Int64N(int64(4*ms))), func() {
				// A voter lost meanwhile may have got it on its disk or not.
				if s.boot == boot || s.core == nil && p.rand.IntN(2) == 0 {
					keep(&s.kept, *k)
				}
				if s.boot == boot {
					p.step(s, Event{Kind: Persisted})
				}
			})
		case Committed:
			r := e.Entry
			if r.Index != s.applied+1 {
				p.t.Fatalf("seed %d: %s decided %d after %d", p.seed, s.name, r.Index, s.applied)
			}
			s.applied, s.sum = r.Index, xxhash.Sum64(fmt.Appendf(nil, "%x %v", s.sum, r))
			if was, ok := p.decided[r.Index]; !ok {
				p.decided[r.Index], p.chain[r.Index] = r, s.sum
				p.most = max(p.most, r.Index)
			} else if was.Term != r.Term || !bytes.Equal(was.Data, r.Data) || p.chain[r.Index] != s.sum {
				p.t.Fatalf("seed %d: %d is %v and at %s %v", p.seed, r.Index, was, s.name, r)
			}
			if !r.IsVoterChange && len(r.Data) > 0 {
				p.known[string(r.Data)] = true
			}
			if p.compact > 0 && s.applied >= s.snapped+p.compact {
				s.snapped = s.applied
				snap := &Snapshot{Index: s.applied, Data: binary.BigEndian.AppendUint64(nil, s.sum)}
				p.after(0, func() {
					if s.boot == boot {
						p.step(s, Event{Kind: SnapshotTaken, Snapshot: snap})
					}
				})
			}
		case SnapshotRestored:
			s.applied, s.snapped, s.sum = e.Snapshot.Index, e.Snapshot.Index, binary.BigEndian.Uint64(e.Snapshot.Data)
			if s.sum != p.chain[s.applied] {
				p.t.Fatalf("seed %d: %s restored another state at %d", p.seed, s.name, s.applied)
			}
			p.fetched++
		case LeadershipConfirmed:
			if e.Index < p.handles[e.Handle] {
				p.t.Fatalf("seed %d: %s confirmed %d, %d was decided before it was asked", p.seed, s.name, e.Index, p.handles[e.Handle])
			}
			p.held++
			delete(p.handles, e.Handle)
		case LeadershipDenied:
			delete(p.handles, e.Handle)
		case VotersChanged:
			s.voting = e.Voters
		}
	}
}

// keep is what a disk does.
func keep(k *PersistentState, n PersistentState) {
	if n.HardState != nil {
		k.HardState = n.HardState
	}
	if n.Snapshot != nil {
		k.Snapshot, k.Entries = n.Snapshot, nil
	}
	if len(n.Entries) > 0 {
		i := len(k.Entries)
		for i > 0 && k.Entries[i-1].Index >= n.Entries[0].Index {
			i--
		}
		k.Entries = append(slices.Clone(k.Entries[:i]), n.Entries...)
	}
}

func (p *play) send(from, to string, b []byte) {
	n := 1
	if p.rand.Float64() < p.twice {
		n = 2
	}
	for range n {
		if p.rand.Float64() < p.loss {
			p.struck++
			continue
		}
		p.after(ms+time.Duration(p.rand.Int64N(int64(20*ms))), func() {
			if p.cut[[2]string{from, to}] {
				p.struck++
			} else if s := p.at[to]; s != nil {
				p.step(s, Event{Kind: MessageReceived, From: from, Bytes: b})
			}
		})
	}
}

func (p *play) leader() *spot {
	var l *spot
	for _, name := range p.names() {
		if s := p.at[name]; s.core != nil && s.core.IsLeader() && (l == nil || s.core.leaderTerm > l.core.leaderTerm) {
			l = s
		}
	}
	return l
}

func (p *play) names() []string {
	var ns []string
	for n := range p.at {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	return ns
}

// until plays on until something is so, and fails if it isn't within a time.
func (p *play) until(within time.Duration, what string, so func() bool) {
	p.t.Helper()
	end := p.now + within
	for !so() {
		if len(p.todo) == 0 || p.todo[0].at > end {
			p.t.Fatalf("seed %d: not within %v: %s", p.seed, within, what)
		}
		x := heap.Pop(&p.todo).(todoItem)
		p.now = x.at
		x.do()
	}
}

func (p *play) run(d time.Duration) {
	over := false
	p.after(d, func() { over = true })
	p.until(d+1, "time passes", func() bool { return over })
}

// ask proposes until it is seen decided, and asks each now and then who leads.
func (p *play) ask(data string) {
	known := p.known[data]
	p.known[data] = known // it is one of those asked for from now on
	if known {
		return
	}
	if l := p.leader(); l != nil {
		p.step(l, Event{Kind: Propose, Data: []byte(data)})
	}
	for _, name := range p.names() { // also those that think so wrongly
		if s := p.at[name]; s.core != nil && s.core.IsLeader() {
			p.seq++
			h := uint64(p.seq)
			p.handles[h] = p.most
			p.step(s, Event{Kind: ConfirmLeadership, Handle: h})
		}
	}
	p.after(400*ms, func() { p.ask(data) })
}

func (p *play) asks(n int, each time.Duration) {
	for i := range n {
		p.after(time.Duration(i)*each, func() { p.ask(fmt.Sprintf("p%d", i)) })
	}
}

func (p *play) same() bool {
	for _, done := range p.known {
		if !done {
			return false
		}
	}
	for _, s := range p.at {
		if s.core == nil || s.applied != p.most {
			return false
		}
	}
	return true
}

// faults strike every now and then, by the seed.
func (p *play) faults(until time.Duration) {
	if p.now >= until {
		return
	}
	names := p.names()
	a, b := names[p.rand.IntN(len(names))], names[p.rand.IntN(len(names))]
	heal := 200*ms + time.Duration(p.rand.Int64N(int64(1500*ms)))
	cuts := func(ways ...[2]string) {
		for _, w := range ways {
			p.cut[w] = true
		}
		p.after(heal, func() {
			for _, w := range ways {
				delete(p.cut, w)
			}
		})
	}
	switch kind := p.rand.IntN(9); kind {
	case 0, 1: // one is lost, maybe the leader, and comes back with what it had stored
		if l := p.leader(); kind == 1 && l != nil {
			a = l.name
		}
		if p.at[a].core != nil {
			p.lose(a)
			p.after(heal, func() { p.start(a, p.voters) })
		}
	case 2:
		cuts([2]string{a, b}, [2]string{b, a})
	case 3:
		cuts([2]string{a, b})
	case 4: // the leader hears nobody, or nobody hears it
		if l := p.leader(); l != nil {
			var ways [][2]string
			out := p.rand.IntN(2) == 0
			for _, n := range names {
				if out {
					ways = append(ways, [2]string{l.name, n})
				} else {
					ways = append(ways, [2]string{n, l.name})
				}
			}
			cuts(ways...)
		}
	case 6, 7, 8: // disks are slow, then all but one are lost, and soon there again
		spare := a
		if kind == 6 {
			spare = ""
		}
		for _, n := range names {
			p.at[n].slowDisk = 40 * ms
		}
		p.after(heal, func() {
			for _, n := range names {
				p.at[n].slowDisk = 0
				if n != spare && p.at[n].core != nil {
					p.lose(n)
					p.after(time.Duration(p.rand.Int64N(int64(60*ms))), func() { p.start(n, p.voters) })
				}
			}
		})
	case 5:
		p.at[a].slowDisk = 50 * ms
		p.after(heal, func() { p.at[a].slowDisk = 0 })
	}
	p.after(100*ms+time.Duration(p.rand.Int64N(int64(900*ms))), func() { p.faults(until) })
}

func storm(t testing.TB, n int, seed uint64) *play {
	p := newPlay(t, n, seed)
	p.loss, p.twice, p.compact = 0.05, 0.05, 20
	if seed%2 == 0 {
		p.compact = 300
	}
	p.asks(300, 50*ms)
	p.faults(15 * time.Second)
	p.run(18 * time.Second)
	p.loss = 0
	p.until(20*time.Second, "all is decided everywhere once it heals", p.same)
	return p
}
