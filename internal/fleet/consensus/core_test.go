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
			faultsInjected, confirmations, snapshotsRestored = faultsInjected+c.faultsInjected,
				confirmations+c.confirmations, snapshotsRestored+c.snapshotsRestored
		}
	}
	t.Logf("%d faults, %d confirmations, %d snapshots restored from a leader or a disk", faultsInjected,
		confirmations, snapshotsRestored)
	if faultsInjected == 0 || confirmations == 0 || snapshotsRestored == 0 {
		t.Fatal("no fault, no confirmation or no snapshot")
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
		t.Fatal("another seed gives the same run")
	}
}

func TestOtherVoterLeadsAfterLeaderCrash(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 3, seed)
		c.runUntil(3*time.Second, "a first leader", func() bool { return c.leader() != nil })
		c.proposeUntilCommitted("a")
		c.runUntil(time.Second, "the proposal is committed", func() bool { return c.proposals["a"] })
		old := c.leader().name
		_, term := c.leader().core.Leader()
		c.crash(old)
		c.runUntil(3*time.Second, "another voter leads",
			func() bool { return c.leader() != nil && c.leader().name != old })
		if _, now := c.leader().core.Leader(); now <= term {
			t.Fatalf("new leader in term %d, the old one led in term %d", now, term)
		}
		c.proposeUntilCommitted("b")
		c.runUntil(time.Second, "two of three voters commit", func() bool { return c.proposals["b"] })
		c.start(old, c.voters)
		c.runUntil(2*time.Second, "the crashed voter has caught up", c.hasConverged)
	}
}

// A voter grants its vote only after it is persisted, and remembers it across a restart: else two
// leaders could be elected in one term.
func TestVoteIsPersistedAndGrantedOncePerTerm(t *testing.T) {
	config := Config{Self: "a", Voters: []Voter{{"a", "1"}, {"b", "2"}, {"c", "3"}},
		ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms}
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
			if e.Kind == SendMessage && proto.Unmarshal(e.Bytes, m) == nil && m.GetType() == pb.MsgVoteResp &&
				!m.GetReject() {
				n++
			}
		}
		return n
	}
	requestVote := func(core *Core, from string) (beforePersist, afterPersist int) {
		effects := core.Step(ms, Event{Kind: MessageReceived, From: from,
			Bytes: encodeProto(&pb.Message{Type: pb.MsgVote.Enum(), From: new(VoterID(from)),
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
		t.Fatalf("%d votes were sent before and %d after the vote was persisted, want 0 and 1", beforePersist,
			afterPersist)
	}
	if beforePersist, afterPersist := requestVote(start(), "c"); beforePersist+afterPersist != 0 {
		t.Fatal("granted votes to two candidates in one term")
	}
	if _, afterPersist := requestVote(start(), "b"); afterPersist != 1 {
		t.Fatal("a repeated request of the same candidate must be granted again")
	}
}

// A voter that hears nobody for a while and then reconnects must not unseat the leader that the
// other voters still hear.
func TestReconnectedVoterDoesNotUnseatLeader(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.runUntil(3*time.Second, "a leader", func() bool { return c.leader() != nil })
	c.runFor(time.Second)
	leader := c.leader()
	_, term := leader.core.Leader()
	cutOff := c.names()[0]
	if cutOff == leader.name {
		cutOff = c.names()[1]
	}
	for _, n := range c.names() { // it receives nothing; its own messages arrive
		c.blockedLinks[[2]string{n, cutOff}] = true
	}
	c.runFor(5 * time.Second)
	clear(c.blockedLinks)
	c.runFor(2 * time.Second)
	if _, now := leader.core.Leader(); !leader.core.IsLeader() || now != term {
		t.Fatalf("%s led in term %d; now leading is %v, in term %d", leader.name, term, leader.core.IsLeader(), now)
	}
}

// A leader that hears no majority steps down and confirms nothing, even if all voters hear it.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.runUntil(3*time.Second, "leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	for _, n := range c.names() {
		c.blockedLinks[[2]string{n, leader.name}] = true
	}
	c.runFor(50 * ms) // messages in flight arrive
	c.minConfirmedIndex[7] = 0
	confirmations := c.confirmations
	c.step(leader, Event{Kind: ConfirmLeadership, Handle: 7})
	c.runUntil(time.Second, "denied", func() bool { _, ok := c.minConfirmedIndex[7]; return !ok })
	if c.confirmations != confirmations {
		t.Fatal("confirmed without a majority")
	}
	c.runUntil(3*time.Second, "another voter leads",
		func() bool { return c.leader() != nil && c.leader() != leader })
}

func TestConfirmLeadershipIsDeniedOnNonLeader(t *testing.T) {
	core, _, err := New(Config{Self: "a", Voters: []Voter{{"a", "x"}, {"b", "y"}}, ElectionTimeout: time.Second,
		HeartbeatInterval: 100 * ms})
	if err != nil {
		t.Fatal(err)
	}
	effects := core.Step(0, Event{Kind: ConfirmLeadership, Handle: 9})
	if i := slices.IndexFunc(effects,
		func(e Effect) bool { return e.Kind == LeadershipDenied && e.Handle == 9 }); i < 0 {
		t.Fatalf("no LeadershipDenied with handle 9 in %v", effects)
	}
}

func TestVotersAreReplaced(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, 3, seed)
		c.lossRate, c.compactEvery = 0.03, 25
		c.proposeMany(200, 30*ms)
		c.runFor(2 * time.Second)
		want := []Voter{c.voters[0], {"v8", "8"}, {"v9", "9"}} // a majority of them is new
		c.start("v8", nil)
		c.start("v9", nil)
		requestChange := func() bool {
			if leader := c.leader(); leader != nil {
				c.step(leader, Event{Kind: ChangeVoters, Voters: want})
			}
			return slices.Equal(c.nodes["v0"].voters, want) && slices.Equal(c.nodes["v8"].voters, want) &&
				slices.Equal(c.nodes["v9"].voters, want)
		}
		c.runUntil(10*time.Second, "the voters are replaced", requestChange)
		for _, removed := range []string{"v1", "v2"} {
			c.crash(removed)
			delete(c.nodes, removed)
		}
		c.runFor(6 * time.Second)
		c.runUntil(10*time.Second, "the new voters converge without the old ones", c.hasConverged)
		lastCommitted := c.lastCommitted
		for range 5 { // a repeated request changes nothing
			c.step(c.leader(), Event{Kind: ChangeVoters, Voters: want})
		}
		c.runFor(time.Second)
		if c.lastCommitted != lastCommitted {
			t.Fatalf("seed %d: repeated requests for the same voters added %d entries", seed,
				c.lastCommitted-lastCommitted)
		}
		// Change the address of a voter that stays.
		want[0].Address = "moved"
		c.runUntil(3*time.Second, "the address is changed", requestChange)
		// After a restart, the voters are known from the disks alone.
		for _, n := range c.names() {
			c.crash(n)
		}
		for _, n := range c.names() {
			c.start(n, c.voters)
		}
		c.proposeUntilCommitted("z")
		c.runUntil(5*time.Second, "an entry is committed after all voters were restarted", c.hasConverged)
		if got := c.nodes["v9"].core.Voters(); !slices.Equal(got, want) {
			t.Fatalf("seed %d: after the restart, the voters are %v", seed, got)
		}
	}
}

// A voter far behind gets a snapshot, one slightly behind gets the log entries, also from a leader
// that was restarted.
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
		restoredFromDisk := c.snapshotsRestored - restoredBefore // its own, from disk
		c.runUntil(5*time.Second, "the lagging voter has caught up", c.hasConverged)
		if got := c.snapshotsRestored - restoredBefore - restoredFromDisk; got != missedEntries/1000 {
			t.Fatalf("missed %d entries: got %d snapshots", missedEntries, got)
		}
		if n := len(c.nodes[lagging].disk.Entries); n > 2*trailingEntries+100 {
			t.Fatalf("%d entries are on disk", n)
		}
	}
}

func TestSingleVoterLeadsAfterRestart(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.proposeUntilCommitted("a")
	c.runUntil(time.Second, "the proposal is committed", func() bool { return c.proposals["a"] })
	c.crash("v0")
	c.start("v0", nil)
	c.runUntil(time.Second, "the restarted voter leads",
		func() bool { return c.nodes["v0"].applied >= c.lastCommitted && c.nodes["v0"].core.IsLeader() })
}

// A voter ignores truncated, random and misaddressed messages instead of panicking.
func TestDamagedMessagesAreIgnored(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.proposeMany(20, 10*ms)
	var messages [][]byte
	c.runUntil(3*time.Second, "all proposals are committed",
		func() bool { return c.hasConverged() && len(c.proposals) == 20 })
	for line := range strings.SplitSeq(c.trace.String(), "\n") {
		var at, kind int
		var by, to, encoded string
		if n, _ := fmt.Sscanf(line, "%d %s > %d %s %x", &at, &by, &kind, &to, &encoded); n == 5 &&
			Kind(kind) == SendMessage {
			messages = append(messages, []byte(encoded))
		}
	}
	if len(messages) < 50 {
		t.Fatalf("got %d sample messages, want at least 50", len(messages))
	}
	ignored := 0
	rapid.Check(t, func(rt *rapid.T) {
		core, _, err := New(Config{Self: "v0", Voters: c.voters, ElectionTimeout: time.Second,
			HeartbeatInterval: 100 * ms})
		if err != nil {
			rt.Fatal(err)
		}
		core.Step(0, Event{Kind: Persisted})
		for range 10 {
			encoded := slices.Clone(rapid.SampledFrom(messages).Draw(rt, "message"))
			switch rapid.IntRange(0, 2).Draw(rt, "how") {
			case 0:
				encoded = encoded[:rapid.IntRange(0, len(encoded)).Draw(rt, "short")]
			case 1:
				encoded = rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "noise")
			}
			from := rapid.SampledFrom([]string{"v0", "v1", "v2", "stranger", ""}).Draw(rt, "from")
			for _, e := range core.Step(ms, Event{Kind: MessageReceived, From: from, Bytes: encoded}) {
				if e.Kind == Persist {
					core.Step(2*ms, Event{Kind: Persisted})
				}
			}
		}
		core.Step(time.Hour, Event{Kind: Tick})
		ignored += core.IgnoredMessages
	})
	if ignored == 0 {
		t.Fatal("no message was ignored")
	}
}

type Kind = EffectKind

func TestErrorsHaveTextAndRemedy(t *testing.T) {
	for _, e := range Errors() {
		if e.Error() == "" || e.Remedy() == "" {
			t.Errorf("%T has no text or no remedy", e)
		}
	}
	valid := Config{Self: "a", ElectionTimeout: time.Second, HeartbeatInterval: 100 * ms}
	tryNew := func(change func(*Config)) error {
		c := valid
		change(&c)
		_, _, err := New(c)
		return err
	}
	for i, err := range []error{
		tryNew(func(c *Config) { c.Self = "" }),
		tryNew(func(c *Config) { c.HeartbeatInterval = time.Second }),
		tryNew(func(c *Config) { c.Voters = []Voter{{"b", ""}, {"b", ""}} }),
		tryNew(func(c *Config) { c.Persistent.HardState = []byte("\xff") }),
		tryNew(func(c *Config) { c.Persistent.Entries = []LogEntry{{Index: 1, Term: 1}, {Index: 3, Term: 1}} }),
		tryNew(func(c *Config) { c.Persistent.Entries = []LogEntry{{Index: 2, Term: 1}} }),
		tryNew(func(c *Config) { c.Persistent.Snapshot = &Snapshot{Index: 3, Term: 1, VoterConfig: []byte("x")} }),
	} {
		if _, ok := err.(fleet.ErrorWithRemedy); !ok {
			t.Errorf("case %d: got %v, want an error with a remedy", i, err)
		}
	}
}
