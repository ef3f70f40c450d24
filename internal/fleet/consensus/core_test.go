package consensus

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"railrelay.dev/railrelay/internal/fleet"
)

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
	b := Config{Self: "a", Voters: []Voter{{"a", "1"}, {"b", "2"}, {"c", "3"}}, ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms}
	begin := func() *Core {
		c, effs, err := New(b)
		if err != nil {
			t.Fatal(err)
		}
		effs = append(effs, c.Step(0, Event{Kind: Tick})...)
		for len(effs) > 0 {
			e := effs[0]
			effs = effs[1:]
			if e.Kind == Persist {
				keep(&b.Persistent, *e.Persistent)
				effs = append(effs, c.Step(0, Event{Kind: Persisted})...)
			}
		}
		return c
	}
	granted := func(effs []Effect) (n int) {
		for _, e := range effs {
			m := &pb.Message{}
			if e.Kind == SendMessage && proto.Unmarshal(e.Bytes, m) == nil && m.GetType() == pb.MsgVoteResp && !m.GetReject() {
				n++
			}
		}
		return n
	}
	ask := func(c *Core, from string) (early, late int) {
		effs := c.Step(ms, Event{Kind: MessageReceived, From: from, Bytes: encodeProto(&pb.Message{Type: pb.MsgVote.Enum(), From: new(VoterID(from)),
			To: new(VoterID("a")), Term: new(uint64(5)), LogTerm: new(uint64(1)), Index: new(uint64(3))})})
		for _, e := range effs {
			if e.Kind == Persist {
				keep(&b.Persistent, *e.Persistent)
				return granted(effs), granted(c.Step(2*ms, Event{Kind: Persisted}))
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
	if _, now := l.core.Leader(); !l.core.IsLeader() || now != term {
		t.Fatalf("%s led in term %d, now %v in %d", l.name, term, l.core.IsLeader(), now)
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
	p.step(l, Event{Kind: ConfirmLeadership, Handle: 7})
	p.until(time.Second, "denied", func() bool { _, ok := p.handles[7]; return !ok })
	if p.held != held {
		t.Fatal("confirmed without a majority")
	}
	p.until(3*time.Second, "another leads", func() bool { return p.leader() != nil && p.leader() != l })
}

func TestConfirmElsewhereIsDenied(t *testing.T) {
	c, _, err := New(Config{Self: "a", Voters: []Voter{{"a", "x"}, {"b", "y"}}, ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	effs := c.Step(0, Event{Kind: ConfirmLeadership, Handle: 9})
	if i := slices.IndexFunc(effs, func(e Effect) bool { return e.Kind == LeadershipDenied && e.Handle == 9 }); i < 0 {
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
				p.step(l, Event{Kind: ChangeVoters, Voters: want})
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
			p.step(p.leader(), Event{Kind: ChangeVoters, Voters: want})
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
		if n := len(p.at[late].kept.Entries); n > 2*trailingEntries+100 {
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
	p.until(time.Second, "there again", func() bool { return p.at["v0"].applied >= p.most && p.at["v0"].core.IsLeader() })
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
		if n, _ := fmt.Sscanf(line, "%d %s > %d %s %x", &at, &by, &kind, &to, &b); n == 5 && Kind(kind) == SendMessage {
			seen = append(seen, []byte(b))
		}
	}
	if len(seen) < 50 {
		t.Fatalf("only %d messages", len(seen))
	}
	odd := 0
	rapid.Check(t, func(rt *rapid.T) {
		c, _, err := New(Config{Self: "v0", Voters: p.voters, ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms})
		if err != nil {
			rt.Fatal(err)
		}
		c.Step(0, Event{Kind: Persisted})
		for range 10 {
			b := slices.Clone(rapid.SampledFrom(seen).Draw(rt, "message"))
			switch rapid.IntRange(0, 2).Draw(rt, "how") {
			case 0:
				b = b[:rapid.IntRange(0, len(b)).Draw(rt, "short")]
			case 1:
				b = rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "noise")
			}
			from := rapid.SampledFrom([]string{"v0", "v1", "v2", "stranger", ""}).Draw(rt, "from")
			for _, e := range c.Step(ms, Event{Kind: MessageReceived, From: from, Bytes: b}) {
				if e.Kind == Persist {
					c.Step(2*ms, Event{Kind: Persisted})
				}
			}
		}
		c.Step(time.Hour, Event{Kind: Tick})
		odd += c.IgnoredMessages
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
	span := Config{Self: "a", ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms}
	bad := func(change func(*Config)) error {
		b := span
		change(&b)
		_, _, err := New(b)
		return err
	}
	for i, err := range []error{
		bad(func(b *Config) { b.Self = "" }),
		bad(func(b *Config) { b.HeartbeatInterval = time.Second }),
		bad(func(b *Config) { b.Voters = []Voter{{"b", ""}, {"b", ""}} }),
		bad(func(b *Config) { b.Persistent.HardState = []byte("\xff") }),
		bad(func(b *Config) { b.Persistent.Entries = []LogEntry{{Index: 1, Term: 1}, {Index: 3, Term: 1}} }),
		bad(func(b *Config) { b.Persistent.Entries = []LogEntry{{Index: 2, Term: 1}} }),
		bad(func(b *Config) { b.Persistent.Snapshot = &Snapshot{Index: 3, Term: 1, VoterConfig: []byte("x")} }),
	} {
		if _, ok := err.(fleet.ErrorWithRemedy); !ok {
			t.Errorf("%d: %v", i, err)
		}
	}
}
