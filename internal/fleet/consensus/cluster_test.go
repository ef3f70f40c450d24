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

// cluster simulates voters on one virtual clock, with faults of processes, disks and links.
type cluster struct {
	t             testing.TB
	now           time.Duration
	rand          *rand.Rand
	seed          uint64
	events        eventQueue
	seq           int
	voters        []Voter
	nodes         map[string]*node
	blockedLinks  map[[2]string]bool // by sender and receiver
	lossRate      float64
	duplicateRate float64
	compactEvery  uint64
	trace         bytes.Buffer

	committed         map[uint64]LogEntry
	checksums         map[uint64]uint64 // of all committed entries up to an index
	lastCommitted     uint64
	proposals         map[string]bool   // whether a proposal is committed, by its data
	minConfirmedIndex map[uint64]uint64 // commit index when it was asked, by handle
	confirmations     int
	faultsInjected    int // lost messages and crashes
	snapshotsRestored int // from a leader or a disk
}

// node is one simulated voter with its disk. core is nil while the voter is down.
type node struct {
	name          string
	core          *Core
	incarnation   int
	disk          PersistentState
	applied       uint64
	checksum      uint64
	snapshotIndex uint64
	voters        []Voter
	tickAt        time.Duration
	diskDelay     time.Duration
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].seq-q[j].seq) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newCluster(t testing.TB, n int, seed uint64) *cluster {
	c := &cluster{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, blockedLinks: map[[2]string]bool{}, committed: map[uint64]LogEntry{},
		checksums: map[uint64]uint64{0: 0}, proposals: map[string]bool{}, minConfirmedIndex: map[uint64]uint64{}}
	for i := range n {
		c.voters = append(c.voters, Voter{fmt.Sprintf("v%d", i), fmt.Sprintf("10.0.0.%d:7", i)})
	}
	for _, v := range c.voters {
		c.start(v.Name, c.voters)
	}
	return c
}

func (c *cluster) schedule(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, scheduledEvent{c.now + d, c.seq, do})
}

func (c *cluster) start(name string, voters []Voter) {
	n := c.nodes[name]
	if n == nil {
		n = &node{name: name}
		c.nodes[name] = n
	}
	n.incarnation++
	n.applied, n.checksum, n.snapshotIndex, n.tickAt = 0, 0, 0, 0
	core, effects, err := New(Config{Self: name, Voters: voters, Persistent: n.disk, Seed: c.seed,
		ElectionTimeout: 300 * ms, HeartbeatInterval: 30 * ms})
	if err != nil {
		c.t.Fatalf("seed %d: %s can't start: %v", c.seed, name, err)
	}
	n.core = core
	c.performEffects(n, effects)
	c.step(n, Event{Kind: Tick})
}

// crash stops a voter. Its pending disk write may be lost.
func (c *cluster) crash(name string) {
	c.faultsInjected++
	c.nodes[name].core = nil
	c.nodes[name].incarnation++
}

func (c *cluster) step(n *node, event Event) {
	if n.core == nil {
		return
	}
	fmt.Fprintf(&c.trace, "%d %s %d %s %x %q\n", c.now, n.name, event.Kind, event.From, event.Bytes, event.Data)
	c.performEffects(n, n.core.Step(c.now, event))
	if due := n.core.NextTick(); due < noDeadline && n.core != nil {
		if due <= c.now && event.Kind == Tick {
			c.t.Fatalf("seed %d: next tick of %s is due at %v, which isn't after now, %v", c.seed, n.name, due, c.now)
		}
		if n.tickAt <= c.now || due < n.tickAt {
			n.tickAt = due
			incarnation := n.incarnation
			c.schedule(max(0, due-c.now), func() {
				if n.incarnation == incarnation && n.tickAt == due {
					c.step(n, Event{Kind: Tick})
				}
			})
		}
	}
}

func (c *cluster) performEffects(n *node, effects []Effect) {
	for _, e := range effects {
		fmt.Fprintf(&c.trace, "%d %s > %d %s %x %v %d %d %s %d %v\n", c.now, n.name, e.Kind, e.To, e.Bytes, e.Entry,
			e.Handle, e.Index, e.Leader, e.Term, e.Voters)
		incarnation := n.incarnation
		switch e.Kind {
		case SendMessage:
			c.send(n.name, e.To, e.Bytes)
		case Persist:
			persistent := e.Persistent
			c.schedule(n.diskDelay+ms+time.Duration(c.rand.Int64N(int64(4*ms))), func() {
				// The pending write of a crashed voter may have reached its disk or not.
				if n.incarnation == incarnation || n.core == nil && c.rand.IntN(2) == 0 {
					writeToDisk(&n.disk, *persistent)
				}
				if n.incarnation == incarnation {
					c.step(n, Event{Kind: Persisted})
				}
			})
		case Committed:
			entry := e.Entry
			if entry.Index != n.applied+1 {
				c.t.Fatalf("seed %d: %s committed index %d after index %d", c.seed, n.name, entry.Index, n.applied)
			}
			n.applied, n.checksum = entry.Index, xxhash.Sum64(fmt.Appendf(nil, "%x %v", n.checksum, entry))
			if previous, ok := c.committed[entry.Index]; !ok {
				c.committed[entry.Index], c.checksums[entry.Index] = entry, n.checksum
				c.lastCommitted = max(c.lastCommitted, entry.Index)
			} else if previous.Term != entry.Term || !bytes.Equal(previous.Data, entry.Data) ||
				c.checksums[entry.Index] != n.checksum {
				c.t.Fatalf("seed %d: committed entry %d is %v, but %s committed %v", c.seed, entry.Index, previous,
					n.name, entry)
			}
			if !entry.IsVoterChange && len(entry.Data) > 0 {
				c.proposals[string(entry.Data)] = true
			}
			if c.compactEvery > 0 && n.applied >= n.snapshotIndex+c.compactEvery {
				n.snapshotIndex = n.applied
				snapshot := &Snapshot{Index: n.applied, Data: binary.BigEndian.AppendUint64(nil, n.checksum)}
				c.schedule(0, func() {
					if n.incarnation == incarnation {
						c.step(n, Event{Kind: SnapshotTaken, Snapshot: snapshot})
					}
				})
			}
		case SnapshotRestored:
			n.applied, n.snapshotIndex, n.checksum = e.Snapshot.Index, e.Snapshot.Index,
				binary.BigEndian.Uint64(e.Snapshot.Data)
			if n.checksum != c.checksums[n.applied] {
				c.t.Fatalf("seed %d: %s restored a different state at index %d", c.seed, n.name, n.applied)
			}
			c.snapshotsRestored++
		case LeadershipConfirmed:
			if e.Index < c.minConfirmedIndex[e.Handle] {
				c.t.Fatalf("seed %d: %s confirmed index %d, but index %d was committed before the request", c.seed,
					n.name, e.Index, c.minConfirmedIndex[e.Handle])
			}
			c.confirmations++
			delete(c.minConfirmedIndex, e.Handle)
		case LeadershipDenied:
			delete(c.minConfirmedIndex, e.Handle)
		case VotersChanged:
			n.voters = e.Voters
		}
	}
}

// writeToDisk merges a write into the content of a disk.
func writeToDisk(disk *PersistentState, write PersistentState) {
	if write.HardState != nil {
		disk.HardState = write.HardState
	}
	if write.Snapshot != nil {
		disk.Snapshot, disk.Entries = write.Snapshot, nil
	}
	if len(write.Entries) > 0 {
		i := len(disk.Entries)
		for i > 0 && disk.Entries[i-1].Index >= write.Entries[0].Index {
			i--
		}
		disk.Entries = append(slices.Clone(disk.Entries[:i]), write.Entries...)
	}
}

func (c *cluster) send(from, to string, message []byte) {
	copies := 1
	if c.rand.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		if c.rand.Float64() < c.lossRate {
			c.faultsInjected++
			continue
		}
		c.schedule(ms+time.Duration(c.rand.Int64N(int64(20*ms))), func() {
			if c.blockedLinks[[2]string{from, to}] {
				c.faultsInjected++
			} else if n := c.nodes[to]; n != nil {
				c.step(n, Event{Kind: MessageReceived, From: from, Bytes: message})
			}
		})
	}
}

func (c *cluster) leader() *node {
	var leader *node
	for _, name := range c.names() {
		if n := c.nodes[name]; n.core != nil && n.core.IsLeader() &&
			(leader == nil || n.core.leaderTerm > leader.core.leaderTerm) {
			leader = n
		}
	}
	return leader
}

func (c *cluster) names() []string {
	var names []string
	for n := range c.nodes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// runUntil runs events until a condition is met, and fails the test if it isn't met within a time.
func (c *cluster) runUntil(within time.Duration, condition string, isMet func() bool) {
	c.t.Helper()
	end := c.now + within
	for !isMet() {
		if len(c.events) == 0 || c.events[0].at > end {
			c.t.Fatalf("seed %d: condition not met within %v: %s", c.seed, within, condition)
		}
		next := heap.Pop(&c.events).(scheduledEvent)
		c.now = next.at
		next.do()
	}
}

func (c *cluster) runFor(d time.Duration) {
	isOver := false
	c.schedule(d, func() { isOver = true })
	c.runUntil(d+1, "the time has passed", func() bool { return isOver })
}

// proposeUntilCommitted proposes data repeatedly until it is committed. Each time, it also has every
// voter that believes it leads confirm its leadership.
func (c *cluster) proposeUntilCommitted(data string) {
	isCommitted := c.proposals[data]
	c.proposals[data] = isCommitted // hasConverged waits for it from now on
	if isCommitted {
		return
	}
	if leader := c.leader(); leader != nil {
		c.step(leader, Event{Kind: Propose, Data: []byte(data)})
	}
	for _, name := range c.names() { // including leaders of past terms
		if n := c.nodes[name]; n.core != nil && n.core.IsLeader() {
			c.seq++
			handle := uint64(c.seq)
			c.minConfirmedIndex[handle] = c.lastCommitted
			c.step(n, Event{Kind: ConfirmLeadership, Handle: handle})
		}
	}
	c.schedule(400*ms, func() { c.proposeUntilCommitted(data) })
}

func (c *cluster) proposeMany(n int, interval time.Duration) {
	for i := range n {
		c.schedule(time.Duration(i)*interval, func() { c.proposeUntilCommitted(fmt.Sprintf("p%d", i)) })
	}
}

// hasConverged reports whether all proposals are committed, and all voters run and have applied
// all committed entries.
func (c *cluster) hasConverged() bool {
	for _, isCommitted := range c.proposals {
		if !isCommitted {
			return false
		}
	}
	for _, n := range c.nodes {
		if n.core == nil || n.applied != c.lastCommitted {
			return false
		}
	}
	return true
}

// injectFaults injects a fault and schedules the next one at a random time, until a given time.
func (c *cluster) injectFaults(until time.Duration) {
	if c.now >= until {
		return
	}
	names := c.names()
	a, b := names[c.rand.IntN(len(names))], names[c.rand.IntN(len(names))]
	healAfter := 200*ms + time.Duration(c.rand.Int64N(int64(1500*ms)))
	blockLinks := func(links ...[2]string) {
		for _, link := range links {
			c.blockedLinks[link] = true
		}
		c.schedule(healAfter, func() {
			for _, link := range links {
				delete(c.blockedLinks, link)
			}
		})
	}
	switch kind := c.rand.IntN(9); kind {
	case 0, 1: // a voter crashes, perhaps the leader, and restarts from its disk
		if leader := c.leader(); kind == 1 && leader != nil {
			a = leader.name
		}
		if c.nodes[a].core != nil {
			c.crash(a)
			c.schedule(healAfter, func() { c.start(a, c.voters) })
		}
	case 2:
		blockLinks([2]string{a, b}, [2]string{b, a})
	case 3:
		blockLinks([2]string{a, b})
	case 4: // the leader can't receive, or can't send
		if leader := c.leader(); leader != nil {
			var links [][2]string
			isSilent := c.rand.IntN(2) == 0
			for _, n := range names {
				if isSilent {
					links = append(links, [2]string{leader.name, n})
				} else {
					links = append(links, [2]string{n, leader.name})
				}
			}
			blockLinks(links...)
		}
	case 6, 7, 8: // disks are slow, then all voters or all but one crash and soon restart
		survivor := a
		if kind == 6 {
			survivor = ""
		}
		for _, n := range names {
			c.nodes[n].diskDelay = 40 * ms
		}
		c.schedule(healAfter, func() {
			for _, n := range names {
				c.nodes[n].diskDelay = 0
				if n != survivor && c.nodes[n].core != nil {
					c.crash(n)
					c.schedule(time.Duration(c.rand.Int64N(int64(60*ms))), func() { c.start(n, c.voters) })
				}
			}
		})
	case 5:
		c.nodes[a].diskDelay = 50 * ms
		c.schedule(healAfter, func() { c.nodes[a].diskDelay = 0 })
	}
	c.schedule(100*ms+time.Duration(c.rand.Int64N(int64(900*ms))), func() { c.injectFaults(until) })
}

// runWithFaults runs a cluster through 15 s of faults, and checks that it converges after them.
func runWithFaults(t testing.TB, n int, seed uint64) *cluster {
	c := newCluster(t, n, seed)
	c.lossRate, c.duplicateRate, c.compactEvery = 0.05, 0.05, 20
	if seed%2 == 0 {
		c.compactEvery = 300
	}
	c.proposeMany(300, 50*ms)
	c.injectFaults(15 * time.Second)
	c.runFor(18 * time.Second)
	c.lossRate = 0
	c.runUntil(20*time.Second, "all voters converge once the faults have ended", c.hasConverged)
	return c
}
