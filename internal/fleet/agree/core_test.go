package agree

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fleet"
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

	decided map[uint64]Record
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
	kept     Kept
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
		decided: map[uint64]Record{}, chain: map[uint64]uint64{0: 0}, known: map[string]bool{}, handles: map[uint64]uint64{}}
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
	core, effs, err := New(Begin{Self: name, Voters: voters, Kept: s.kept, Seed: p.seed,
		Election: 300 * ms, Heartbeat: 30 * ms})
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
	if due := s.core.Due(); due < never && s.core != nil {
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
		fmt.Fprintf(&p.trace, "%d %s > %d %s %x %v %d %d %s %d %v\n", p.now, s.name, e.Kind, e.To, e.Bytes, e.Record,
			e.Handle, e.Index, e.Leader, e.Term, e.Voters)
		boot := s.boot
		switch e.Kind {
		case Send:
			p.send(s.name, e.To, e.Bytes)
		case Store:
			k := e.Kept
			p.after(s.slowDisk+ms+time.Duration(p.rand.Int64N(int64(4*ms))), func() {
				// A voter lost meanwhile may have got it on its disk or not.
				if s.boot == boot || s.core == nil && p.rand.IntN(2) == 0 {
					keep(&s.kept, *k)
				}
				if s.boot == boot {
					p.step(s, Event{Kind: Stored})
				}
			})
		case Decided:
			r := e.Record
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
			if !r.Conf && len(r.Data) > 0 {
				p.known[string(r.Data)] = true
			}
			if p.compact > 0 && s.applied >= s.snapped+p.compact {
				s.snapped = s.applied
				snap := &Snapshot{Index: s.applied, Data: binary.BigEndian.AppendUint64(nil, s.sum)}
				p.after(0, func() {
					if s.boot == boot {
						p.step(s, Event{Kind: Compacted, Snapshot: snap})
					}
				})
			}
		case Restored:
			s.applied, s.snapped, s.sum = e.Snapshot.Index, e.Snapshot.Index, binary.BigEndian.Uint64(e.Snapshot.Data)
			if s.sum != p.chain[s.applied] {
				p.t.Fatalf("seed %d: %s restored another state at %d", p.seed, s.name, s.applied)
			}
			p.fetched++
		case Confirmed:
			if e.Index < p.handles[e.Handle] {
				p.t.Fatalf("seed %d: %s confirmed %d, %d was decided before it was asked", p.seed, s.name, e.Index, p.handles[e.Handle])
			}
			p.held++
			delete(p.handles, e.Handle)
		case Denied:
			delete(p.handles, e.Handle)
		case Voting:
			s.voting = e.Voters
		}
	}
}

// keep is what a disk does.
func keep(k *Kept, n Kept) {
	if n.Hard != nil {
		k.Hard = n.Hard
	}
	if n.Snapshot != nil {
		k.Snapshot, k.Records = n.Snapshot, nil
	}
	if len(n.Records) > 0 {
		i := len(k.Records)
		for i > 0 && k.Records[i-1].Index >= n.Records[0].Index {
			i--
		}
		k.Records = append(slices.Clone(k.Records[:i]), n.Records...)
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
				p.step(s, Event{Kind: Message, From: from, Bytes: b})
			}
		})
	}
}

func (p *play) leader() *spot {
	var l *spot
	for _, name := range p.names() {
		if s := p.at[name]; s.core != nil && s.core.Leads() && (l == nil || s.core.term > l.core.term) {
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
		if s := p.at[name]; s.core != nil && s.core.Leads() {
			p.seq++
			h := uint64(p.seq)
			p.handles[h] = p.most
			p.step(s, Event{Kind: Confirm, Handle: h})
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

func TestAgreeThroughFaults(t *testing.T) {
	struck, held, fetched := 0, 0, 0
	for _, n := range []int{3, 5, 7} {
		for seed := uint64(1); seed <= 8; seed++ {
			p := storm(t, n, seed)
			struck, held, fetched = struck+p.struck, held+p.held, fetched+p.fetched
		}
	}
	t.Logf("struck %d times, %d times confirmed, %d snapshots taken over or read again", struck, held, fetched)
	if struck == 0 || held == 0 || fetched == 0 {
		t.Fatal("no fault, confirmation or snapshot at all")
	}
}

func TestSameSeedSamePlay(t *testing.T) {
	a, b := storm(t, 5, 77), storm(t, 5, 77)
	if !bytes.Equal(a.trace.Bytes(), b.trace.Bytes()) {
		x, y := strings.Split(a.trace.String(), "\n"), strings.Split(b.trace.String(), "\n")
		for i := range x {
			if i >= len(y) || x[i] != y[i] {
				t.Fatalf("line %d differs:\n%s\n%s", i, x[i], y[i])
			}
		}
	}
	if c := storm(t, 5, 78); bytes.Equal(a.trace.Bytes(), c.trace.Bytes()) {
		t.Fatal("another seed plays the same")
	}
}

func TestLeaderLost(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlay(t, 3, seed)
		p.until(3*time.Second, "first leader", func() bool { return p.leader() != nil })
		p.ask("a")
		p.until(time.Second, "decided", func() bool { return p.known["a"] })
		old := p.leader().name
		_, term := p.leader().core.Leader()
		p.lose(old)
		p.until(3*time.Second, "another leads", func() bool { return p.leader() != nil && p.leader().name != old })
		if _, now := p.leader().core.Leader(); now <= term {
			t.Fatalf("term %d after %d", now, term)
		}
		p.ask("b")
		p.until(time.Second, "decided by two of three", func() bool { return p.known["b"] })
		p.start(old, p.voters)
		p.until(2*time.Second, "the lost one has caught up", p.same)
	}
}

// A vote is told once it is stored, and remembered through a restart.
func TestOneVoteATerm(t *testing.T) {
	b := Begin{Self: "a", Voters: []Voter{{"a", "1"}, {"b", "2"}, {"c", "3"}}, Election: time.Second, Heartbeat: 100 * ms}
	begin := func() *Core {
		c, effs, err := New(b)
		if err != nil {
			t.Fatal(err)
		}
		effs = append(effs, c.Step(0, Event{Kind: Tick})...)
		for len(effs) > 0 {
			e := effs[0]
			effs = effs[1:]
			if e.Kind == Store {
				keep(&b.Kept, *e.Kept)
				effs = append(effs, c.Step(0, Event{Kind: Stored})...)
			}
		}
		return c
	}
	granted := func(effs []Effect) (n int) {
		for _, e := range effs {
			m := &pb.Message{}
			if e.Kind == Send && proto.Unmarshal(e.Bytes, m) == nil && m.GetType() == pb.MsgVoteResp && !m.GetReject() {
				n++
			}
		}
		return n
	}
	ask := func(c *Core, from string) (early, late int) {
		effs := c.Step(ms, Event{Kind: Message, From: from, Bytes: wire(&pb.Message{Type: pb.MsgVote.Enum(), From: new(Number(from)),
			To: new(Number("a")), Term: new(uint64(5)), LogTerm: new(uint64(1)), Index: new(uint64(3))})})
		for _, e := range effs {
			if e.Kind == Store {
				keep(&b.Kept, *e.Kept)
				return granted(effs), granted(c.Step(2*ms, Event{Kind: Stored}))
			}
		}
		return 0, granted(effs)
	}
	if early, late := ask(begin(), "b"); early != 0 || late != 1 {
		t.Fatalf("%d votes before and %d after it was stored", early, late)
	}
	if early, late := ask(begin(), "c"); early+late != 0 {
		t.Fatal("voted twice in a term")
	}
	if _, late := ask(begin(), "b"); late != 1 {
		t.Fatal("asked again by the same one it must say so again")
	}
}

// One who was cut off and comes back doesn't unseat a leader that the others hear.
func TestCutOffDoesNotDisturb(t *testing.T) {
	p := newPlay(t, 5, 3)
	p.until(3*time.Second, "leader", func() bool { return p.leader() != nil })
	p.run(time.Second)
	l := p.leader()
	_, term := l.core.Leader()
	out := p.names()[0]
	if out == l.name {
		out = p.names()[1]
	}
	for _, n := range p.names() { // it hears nobody, all hear it
		p.cut[[2]string{n, out}] = true
	}
	p.run(5 * time.Second)
	clear(p.cut)
	p.run(2 * time.Second)
	if _, now := l.core.Leader(); !l.core.Leads() || now != term {
		t.Fatalf("%s led in term %d, now %v in %d", l.name, term, l.core.Leads(), now)
	}
}

// A leader that hears no majority gives up, even if all hear it, and confirms nothing.
func TestDeafLeader(t *testing.T) {
	p := newPlay(t, 3, 5)
	p.until(3*time.Second, "leader", func() bool { return p.leader() != nil })
	l := p.leader()
	for _, n := range p.names() {
		p.cut[[2]string{n, l.name}] = true
	}
	p.run(50 * ms) // what was on its way has come
	p.handles[7] = 0
	held := p.held
	p.step(l, Event{Kind: Confirm, Handle: 7})
	p.until(time.Second, "denied", func() bool { _, ok := p.handles[7]; return !ok })
	if p.held != held {
		t.Fatal("confirmed without a majority")
	}
	p.until(3*time.Second, "another leads", func() bool { return p.leader() != nil && p.leader() != l })
}

func TestConfirmElsewhereIsDenied(t *testing.T) {
	c, _, err := New(Begin{Self: "a", Voters: []Voter{{"a", "x"}, {"b", "y"}}, Election: time.Second, Heartbeat: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	effs := c.Step(0, Event{Kind: Confirm, Handle: 9})
	if i := slices.IndexFunc(effs, func(e Effect) bool { return e.Kind == Denied && e.Handle == 9 }); i < 0 {
		t.Fatalf("%v", effs)
	}
}

func TestVotersReplaced(t *testing.T) {
	for seed := range uint64(10) {
		p := newPlay(t, 3, seed)
		p.loss, p.compact = 0.03, 25
		p.asks(200, 30*ms)
		p.run(2 * time.Second)
		want := []Voter{p.voters[0], {"v8", "8"}, {"v9", "9"}} // a majority is new
		p.start("v8", nil)
		p.start("v9", nil)
		again := func() bool {
			if l := p.leader(); l != nil {
				p.step(l, Event{Kind: Voters, Voters: want})
			}
			return slices.Equal(p.at["v0"].voting, want) && slices.Equal(p.at["v8"].voting, want) && slices.Equal(p.at["v9"].voting, want)
		}
		p.until(10*time.Second, "others vote", again)
		for _, gone := range []string{"v1", "v2"} {
			p.lose(gone)
			delete(p.at, gone)
		}
		p.run(6 * time.Second)
		p.until(10*time.Second, "all goes on with the new ones", p.same)
		most := p.most
		for range 5 { // asked again for the same: nothing
			p.step(p.leader(), Event{Kind: Voters, Voters: want})
		}
		p.run(time.Second)
		if p.most != most {
			t.Fatalf("seed %d: asked again it made %d records", seed, p.most-most)
		}
		// An address of one that stays.
		want[0].Address = "moved"
		p.until(3*time.Second, "the address", again)
		// From disk alone they know who votes.
		for _, n := range p.names() {
			p.lose(n)
		}
		for _, n := range p.names() {
			p.start(n, p.voters)
		}
		p.ask("z")
		p.until(5*time.Second, "decided after all were restarted", p.same)
		if got := p.at["v9"].core.Voters(); !slices.Equal(got, want) {
			t.Fatalf("seed %d: %v", seed, got)
		}
	}
}

// A voter far behind gets the state, one a little behind the records, also from a
// leader that was restarted.
func TestCatchUp(t *testing.T) {
	for _, missed := range []int{100, 1000} {
		p := newPlay(t, 3, uint64(missed))
		p.compact = 50
		p.until(3*time.Second, "leader", func() bool { return p.leader() != nil })
		p.run(time.Second)
		late := p.names()[0]
		if p.leader().name == late {
			late = p.names()[1]
		}
		p.lose(late)
		p.asks(missed, 2*ms)
		p.run(10 * time.Second)
		for _, n := range p.names() {
			if n != late {
				p.lose(n)
				p.start(n, p.voters)
			}
		}
		fetched := p.fetched
		p.start(late, p.voters)
		had := p.fetched - fetched // its own
		p.until(5*time.Second, "caught up", p.same)
		if got := p.fetched - fetched - had; got != missed/1000 {
			t.Fatalf("missed %d: got %d snapshots", missed, got)
		}
		if n := len(p.at[late].kept.Records); n > 2*trailing+100 {
			t.Fatalf("%d records are kept", n)
		}
	}
}

func TestSingleVoter(t *testing.T) {
	p := newPlay(t, 1, 1)
	p.ask("a")
	p.until(time.Second, "decided", func() bool { return p.known["a"] })
	p.lose("v0")
	p.start("v0", nil)
	p.until(time.Second, "there again", func() bool { return p.at["v0"].applied >= p.most && p.at["v0"].core.Leads() })
}

// Whatever comes instead of messages, a voter goes on.
func TestDamagedMessages(t *testing.T) {
	p := newPlay(t, 3, 4)
	p.asks(20, 10*ms)
	var seen [][]byte
	p.until(3*time.Second, "all decided", func() bool { return p.same() && len(p.known) == 20 })
	for line := range strings.SplitSeq(p.trace.String(), "\n") {
		var at, kind int
		var by, to, b string
		if n, _ := fmt.Sscanf(line, "%d %s > %d %s %x", &at, &by, &kind, &to, &b); n == 5 && Kind(kind) == Send {
			seen = append(seen, []byte(b))
		}
	}
	if len(seen) < 50 {
		t.Fatalf("only %d messages", len(seen))
	}
	odd := 0
	rapid.Check(t, func(rt *rapid.T) {
		c, _, err := New(Begin{Self: "v0", Voters: p.voters, Election: time.Second, Heartbeat: 100 * ms})
		if err != nil {
			rt.Fatal(err)
		}
		c.Step(0, Event{Kind: Stored})
		for range 10 {
			b := slices.Clone(rapid.SampledFrom(seen).Draw(rt, "message"))
			switch rapid.IntRange(0, 2).Draw(rt, "how") {
			case 0:
				b = b[:rapid.IntRange(0, len(b)).Draw(rt, "short")]
			case 1:
				b = rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "noise")
			}
			from := rapid.SampledFrom([]string{"v0", "v1", "v2", "stranger", ""}).Draw(rt, "from")
			for _, e := range c.Step(ms, Event{Kind: Message, From: from, Bytes: b}) {
				if e.Kind == Store {
					c.Step(2*ms, Event{Kind: Stored})
				}
			}
		}
		c.Step(time.Hour, Event{Kind: Tick})
		odd += c.Odd
	})
	if odd == 0 {
		t.Fatal("nothing was odd")
	}
}

type Kind = EffectKind

func TestErrors(t *testing.T) {
	for _, e := range Errors() {
		if e.Error() == "" || e.Remedy() == "" {
			t.Errorf("%T says nothing", e)
		}
	}
	span := Begin{Self: "a", Election: time.Second, Heartbeat: 100 * ms}
	bad := func(change func(*Begin)) error {
		b := span
		change(&b)
		_, _, err := New(b)
		return err
	}
	for i, err := range []error{
		bad(func(b *Begin) { b.Self = "" }),
		bad(func(b *Begin) { b.Heartbeat = time.Second }),
		bad(func(b *Begin) { b.Voters = []Voter{{"b", ""}, {"b", ""}} }),
		bad(func(b *Begin) { b.Kept.Hard = []byte("\xff") }),
		bad(func(b *Begin) { b.Kept.Records = []Record{{Index: 1, Term: 1}, {Index: 3, Term: 1}} }),
		bad(func(b *Begin) { b.Kept.Records = []Record{{Index: 2, Term: 1}} }),
		bad(func(b *Begin) { b.Kept.Snapshot = &Snapshot{Index: 3, Term: 1, Conf: []byte("x")} }),
	} {
		if _, ok := err.(fleet.Remedied); !ok {
			t.Errorf("%d: %v", i, err)
		}
	}
}
