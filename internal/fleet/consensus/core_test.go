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

func TestVotersAgreeThroughFaults(t *testing.T) {
	faultsInjected, confirmations, snapshotsRestored := 0, 0, 0
	for _, n := range []int{3, 5, 7} {
		for seed := uint64(1); seed <= 8; seed++ {
			c := runWithFaults(t, n, seed)
			faultsInjected, confirmations, snapshotsRestored = faultsInjected+c.faultsInjected, confirmations+c.confirmations, snapshotsRestored+c.snapshotsRestored
		}
	}
	t.Logf("struck %d times, %d times confirmed, %d snapshots taken over or read again", faultsInjected, confirmations, snapshotsRestored)
	if faultsInjected == 0 || confirmations == 0 || snapshotsRestored == 0 {
		t.Fatal("no fault, confirmation or snapshot at all")
	}
}

func TestSameSeedGivesSameRun(t *testing.T) {
	a, b := runWithFaults(t, 5, 77), runWithFaults(t, 5, 77)
	if !bytes.Equal(a.trace.Bytes(), b.trace.Bytes()) {
		x, y := strings.Split(a.trace.String(), "\n"), strings.Split(b.trace.String(), "\n")
		for i := range x {
			if i >= len(y) || x[i] != y[i] {
				t.Fatalf("line %d differs:\n%s\n%s", i, x[i], y[i])
			}
		}
	}
	if c := runWithFaults(t, 5, 78); bytes.Equal(a.trace.Bytes(), c.trace.Bytes()) {
		t.Fatal("another seed plays the same")
	}
}

func TestOtherVoterLeadsAfterLeaderCrash(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed)
		c.runUntil(3*time.Second, "first leader", func() bool { return c.leader() != nil })
		c.proposeUntilCommitted("a")
		c.runUntil(time.Second, "decided", func() bool { return c.proposals["a"] })
		old := c.leader().name
		_, term := c.leader().core.Leader()
		c.crash(old)
		c.runUntil(3*time.Second, "another leads", func() bool { return c.leader() != nil && c.leader().name != old })
		if _, now := c.leader().core.Leader(); now <= term {
			t.Fatalf("term %d after %d", now, term)
		}
		c.proposeUntilCommitted("b")
		c.runUntil(time.Second, "decided by two of three", func() bool { return c.proposals["b"] })
		c.start(old, c.voters)
		c.runUntil(2*time.Second, "the lost one has caught up", c.hasConverged)
	}
}

// A vote is told once it is stored, and remembered through a restart.
func TestVoteIsPersistedAndGrantedOncePerTerm(t *testing.T) {
	config := Config{Self: "a", Voters: []Voter{{"a", "1"}, {"b", "2"}, {"c", "3"}}, ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms}
	start := func() *Core {
		core, effects, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		effects = append(effects, core.Step(0, Event{Kind: Tick})...)
		for len(effects) > 0 {
			e := effects[0]
			effects = effects[1:]
			if e.Kind == Persist {
				writeToDisk(&config.Persistent, *e.Persistent)
				effects = append(effects, core.Step(0, Event{Kind: Persisted})...)
			}
		}
		return core
	}
	countGrantedVotes := func(effects []Effect) (n int) {
		for _, e := range effects {
			m := &pb.Message{}
			if e.Kind == SendMessage && proto.Unmarshal(e.Bytes, m) == nil && m.GetType() == pb.MsgVoteResp && !m.GetReject() {
				n++
			}
		}
		return n
	}
	requestVote := func(core *Core, from string) (beforePersist, afterPersist int) {
		effects := core.Step(ms, Event{Kind: MessageReceived, From: from, Bytes: encodeProto(&pb.Message{Type: pb.MsgVote.Enum(), From: new(VoterID(from)),
			To: new(VoterID("a")), Term: new(uint64(5)), LogTerm: new(uint64(1)), Index: new(uint64(3))})})
		for _, e := range effects {
			if e.Kind == Persist {
				writeToDisk(&config.Persistent, *e.Persistent)
				return countGrantedVotes(effects), countGrantedVotes(core.Step(2*ms, Event{Kind: Persisted}))
			}
		}
		return 0, countGrantedVotes(effects)
	}
	if beforePersist, afterPersist := requestVote(start(), "b"); beforePersist != 0 || afterPersist != 1 {
		t.Fatalf("%d votes before and %d after it was stored", beforePersist, afterPersist)
	}
	if beforePersist, afterPersist := requestVote(start(), "c"); beforePersist+afterPersist != 0 {
		t.Fatal("voted twice in a term")
	}
	if _, afterPersist := requestVote(start(), "b"); afterPersist != 1 {
		t.Fatal("asked again by the same one it must say so again")
	}
}

// One who was cut off and comes back doesn't unseat a leader that the others hear.
func TestReconnectedVoterDoesNotUnseatLeader(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.runUntil(3*time.Second, "leader", func() bool { return c.leader() != nil })
	c.runFor(time.Second)
	leader := c.leader()
	_, term := leader.core.Leader()
	cutOff := c.names()[0]
	if cutOff == leader.name {
		cutOff = c.names()[1]
	}
	for _, n := range c.names() { // it hears nobody, all hear it
		c.blockedLinks[[2]string{n, cutOff}] = true
	}
	c.runFor(5 * time.Second)
	clear(c.blockedLinks)
	c.runFor(2 * time.Second)
	if _, now := leader.core.Leader(); !leader.core.IsLeader() || now != term {
		t.Fatalf("%s led in term %d, now %v in %d", leader.name, term, leader.core.IsLeader(), now)
	}
}

// A leader that hears no majority gives up, even if all hear it, and confirms nothing.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.runUntil(3*time.Second, "leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	for _, n := range c.names() {
		c.blockedLinks[[2]string{n, leader.name}] = true
	}
	c.runFor(50 * ms) // what was on its way has come
	c.confirmsAsked[7] = 0
	confirmations := c.confirmations
	c.step(leader, Event{Kind: ConfirmLeadership, Handle: 7})
	c.runUntil(time.Second, "denied", func() bool { _, ok := c.confirmsAsked[7]; return !ok })
	if c.confirmations != confirmations {
		t.Fatal("confirmed without a majority")
	}
	c.runUntil(3*time.Second, "another leads", func() bool { return c.leader() != nil && c.leader() != leader })
}

func TestConfirmLeadershipIsDeniedOnNonLeader(t *testing.T) {
	core, _, err := New(Config{Self: "a", Voters: []Voter{{"a", "x"}, {"b", "y"}}, ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	effects := core.Step(0, Event{Kind: ConfirmLeadership, Handle: 9})
	if i := slices.IndexFunc(effects, func(e Effect) bool { return e.Kind == LeadershipDenied && e.Handle == 9 }); i < 0 {
		t.Fatalf("%v", effects)
	}
}

func TestVotersAreReplaced(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, 3, seed)
		c.lossRate, c.compactEvery = 0.03, 25
		c.proposeMany(200, 30*ms)
		c.runFor(2 * time.Second)
		want := []Voter{c.voters[0], {"v8", "8"}, {"v9", "9"}} // a majority is new
		c.start("v8", nil)
		c.start("v9", nil)
		requestChange := func() bool {
			if leader := c.leader(); leader != nil {
				c.step(leader, Event{Kind: ChangeVoters, Voters: want})
			}
			return slices.Equal(c.nodes["v0"].voters, want) && slices.Equal(c.nodes["v8"].voters, want) && slices.Equal(c.nodes["v9"].voters, want)
		}
		c.runUntil(10*time.Second, "others vote", requestChange)
		for _, removed := range []string{"v1", "v2"} {
			c.crash(removed)
			delete(c.nodes, removed)
		}
		c.runFor(6 * time.Second)
		c.runUntil(10*time.Second, "all goes on with the new ones", c.hasConverged)
		lastCommitted := c.lastCommitted
		for range 5 { // asked again for the same: nothing
			c.step(c.leader(), Event{Kind: ChangeVoters, Voters: want})
		}
		c.runFor(time.Second)
		if c.lastCommitted != lastCommitted {
			t.Fatalf("seed %d: asked again it made %d records", seed, c.lastCommitted-lastCommitted)
		}
		// An address of one that stays.
		want[0].Address = "moved"
		c.runUntil(3*time.Second, "the address", requestChange)
		// From disk alone they know who votes.
		for _, n := range c.names() {
			c.crash(n)
		}
		for _, n := range c.names() {
			c.start(n, c.voters)
		}
		c.proposeUntilCommitted("z")
		c.runUntil(5*time.Second, "decided after all were restarted", c.hasConverged)
		if got := c.nodes["v9"].core.Voters(); !slices.Equal(got, want) {
			t.Fatalf("seed %d: %v", seed, got)
		}
	}
}

// A voter far behind gets the state, one a little behind the records, also from a
// leader that was restarted.
func TestLaggingVoterCatchesUp(t *testing.T) {
	for _, missedEntries := range []int{100, 1000} {
		c := newCluster(t, 3, uint64(missedEntries))
		c.compactEvery = 50
		c.runUntil(3*time.Second, "leader", func() bool { return c.leader() != nil })
		c.runFor(time.Second)
		lagging := c.names()[0]
		if c.leader().name == lagging {
			lagging = c.names()[1]
		}
		c.crash(lagging)
		c.proposeMany(missedEntries, 2*ms)
		c.runFor(10 * time.Second)
		for _, n := range c.names() {
			if n != lagging {
				c.crash(n)
				c.start(n, c.voters)
			}
		}
		restoredBefore := c.snapshotsRestored
		c.start(lagging, c.voters)
		restoredFromDisk := c.snapshotsRestored - restoredBefore // its own
		c.runUntil(5*time.Second, "caught up", c.hasConverged)
		if got := c.snapshotsRestored - restoredBefore - restoredFromDisk; got != missedEntries/1000 {
			t.Fatalf("missed %d: got %d snapshots", missedEntries, got)
		}
		if n := len(c.nodes[lagging].disk.Entries); n > 2*trailingEntries+100 {
			t.Fatalf("%d records are kept", n)
		}
	}
}

func TestSingleVoterLeadsAfterRestart(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.proposeUntilCommitted("a")
	c.runUntil(time.Second, "decided", func() bool { return c.proposals["a"] })
	c.crash("v0")
	c.start("v0", nil)
	c.runUntil(time.Second, "there again", func() bool { return c.nodes["v0"].applied >= c.lastCommitted && c.nodes["v0"].core.IsLeader() })
}

// Whatever comes instead of messages, a voter goes on.
func TestDamagedMessagesAreIgnored(t *testing.T) {
	p := newCluster(t, 3, 4)
	p.proposeMany(20, 10*ms)
	var messages [][]byte
	p.runUntil(3*time.Second, "all decided", func() bool { return p.hasConverged() && len(p.proposals) == 20 })
	for line := range strings.SplitSeq(p.trace.String(), "\n") {
		var at, kind int
		var by, to, b string
		if n, _ := fmt.Sscanf(line, "%d %s > %d %s %x", &at, &by, &kind, &to, &b); n == 5 && Kind(kind) == SendMessage {
			messages = append(messages, []byte(b))
		}
	}
	if len(messages) < 50 {
		t.Fatalf("only %d messages", len(messages))
	}
	ignored := 0
	rapid.Check(t, func(rt *rapid.T) {
		core, _, err := New(Config{Self: "v0", Voters: p.voters, ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms})
		if err != nil {
			rt.Fatal(err)
		}
		core.Step(0, Event{Kind: Persisted})
		for range 10 {
			b := slices.Clone(rapid.SampledFrom(messages).Draw(rt, "message"))
			switch rapid.IntRange(0, 2).Draw(rt, "how") {
			case 0:
				b = b[:rapid.IntRange(0, len(b)).Draw(rt, "short")]
			case 1:
				b = rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "noise")
			}
			from := rapid.SampledFrom([]string{"v0", "v1", "v2", "stranger", ""}).Draw(rt, "from")
			for _, e := range core.Step(ms, Event{Kind: MessageReceived, From: from, Bytes: b}) {
				if e.Kind == Persist {
					core.Step(2*ms, Event{Kind: Persisted})
				}
			}
		}
		core.Step(time.Hour, Event{Kind: Tick})
		ignored += core.IgnoredMessages
	})
	if ignored == 0 {
		t.Fatal("nothing was odd")
	}
}

type Kind = EffectKind

func TestErrorsHaveTextAndRemedy(t *testing.T) {
	for _, e := range Errors() {
		if e.Error() == "" || e.Remedy() == "" {
			t.Errorf("%T says nothing", e)
		}
	}
	valid := Config{Self: "a", ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms}
	startWith := func(change func(*Config)) error {
		b := valid
		change(&b)
		_, _, err := New(b)
		return err
	}
	for i, err := range []error{
		startWith(func(b *Config) { b.Self = "" }),
		startWith(func(b *Config) { b.HeartbeatInterval = time.Second }),
		startWith(func(b *Config) { b.Voters = []Voter{{"b", ""}, {"b", ""}} }),
		startWith(func(b *Config) { b.Persistent.HardState = []byte("\xff") }),
		startWith(func(b *Config) { b.Persistent.Entries = []LogEntry{{Index: 1, Term: 1}, {Index: 3, Term: 1}} }),
		startWith(func(b *Config) { b.Persistent.Entries = []LogEntry{{Index: 2, Term: 1}} }),
		startWith(func(b *Config) { b.Persistent.Snapshot = &Snapshot{Index: 3, Term: 1, VoterConfig: []byte("x")} }),
	} {
		if _, ok := err.(fleet.ErrorWithRemedy); !ok {
			t.Errorf("%d: %v", i, err)
		}
	}
}
