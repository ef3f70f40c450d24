package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"railrelay.dev/railrelay/internal/emulator/hollow"
	"railrelay.dev/railrelay/internal/fleet"
)

const (
	relayHollowCount      = 97
	relayHollowBatches    = 10 // in which they are started
	relayHollowWriteDelay = time.Millisecond
)

// relayHollowControllers are hollow controllers that join a fleet of processes through its relays.
type relayHollowControllers struct {
	fleet    *relayFleet
	judge    *scaleChecker
	commands *json.Encoder

	mu       sync.Mutex
	failures []hollow.Event
}

// Ninety-seven controllers join within a second while changes are under way, through two
// relays. Then one relay is killed and a change follows, and the leader and another one.
func TestManyControllersJoinThroughRelays(t *testing.T) {
	f := startRelayFleet(t, relayFleetConfig{controllers: relayFleetRelays, leaseBound: relayFleetLease, lateMembers: numberedNames("h", relayHollowCount)})
	f.members = f.members[:len(f.members)-len(f.lateMembers)] // hollow ones are no processes
	g := newRelayHollowControllers(f)
	begin, started := time.Now(), make(chan error)
	go func() { started <- g.startAll() }()
	during := 0
	for begun := false; !begun; during++ {
		g.requireChange()
		select {
		case err := <-started:
			f.must(err)
			begun = true
		default:
		}
	}
	g.requireServing()
	t.Logf("%d joined, all serve %d ms after the first was started, with %d changes meanwhile", relayHollowCount, time.Since(begin).Milliseconds(), during)
	g.requireChange()

	f.kill(f.relays[0])
	t.Logf("with a relay killed a change took %d ms", g.requireChange().Milliseconds())
	f.restart(f.relays[0])
	leader := f.requireLeader()
	f.kill(leader)
	t.Logf("with the leader killed a change took %d ms", g.requireChange().Milliseconds())
	f.restart(leader)
	f.requireServing()
	g.requireServing()
	g.checkResults()
}

// newRelayHollowControllers makes hollow controllers, of which none is started.
func newRelayHollowControllers(f *relayFleet) *relayHollowControllers {
	f.t.Helper()
	g := &relayHollowControllers{fleet: f, judge: newScaleChecker()}
	config := hollow.Config{Fleet: "together", Keys: f.path("keys"), Lease: f.Lease, Election: relayFleetElectionTimeout, Heartbeat: relayFleetHeartbeat,
		WriteDelay: relayHollowWriteDelay, Seed: f.Seed}
	for _, v := range f.voters {
		config.Voters = append(config.Voters, hollow.Peer{Name: v.name, Address: v.peerAddress})
	}
	for i, p := range f.lateMembers {
		first, second := f.relays[i%relayFleetRelays], f.relays[(i+1)%relayFleetRelays]
		config.Controllers = append(config.Controllers, hollow.Member{Name: p.name, ListenAddress: p.listenAddress,
			Relays: []hollow.Peer{{Name: first.name, Address: first.peerAddress}, {Name: second.name, Address: second.peerAddress}}})
	}
	input, commands := io.Pipe()
	output, events := io.Pipe()
	var ended sync.WaitGroup
	ended.Go(func() {
		if err := hollow.Run(f.ctx, input, events); err != nil {
			g.handleEvent(hollow.Event{Kind: hollow.Failed, Reason: err.Error()})
		}
		input.Close()
		events.Close()
	})
	ended.Go(func() { g.readEvents(output) })
	f.t.Cleanup(func() { commands.Close(); ended.Wait() })
	g.commands = json.NewEncoder(commands)
	f.must(g.commands.Encode(config))
	return g
}

// readEvents takes all that hollow controllers tell.
func (g *relayHollowControllers) readEvents(output io.Reader) {
	for lines := bufio.NewScanner(output); lines.Scan(); {
		var e hollow.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			e = hollow.Event{Kind: hollow.Failed, Reason: err.Error()}
		}
		g.handleEvent(e)
	}
}

func (g *relayHollowControllers) handleEvent(e hollow.Event) {
	switch at := time.Unix(0, e.At); e.Kind {
	case hollow.Serving:
		g.judge.beginSpan(e.Name, e.Version, e.Policy, at)
	case hollow.Ended:
		g.judge.endSpan(e.Name, at)
	case hollow.Failed:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.failures = append(g.failures, e)
	}
}

// startAll starts all within a second, in portions.
func (g *relayHollowControllers) startAll() error {
	for portion := range relayHollowBatches {
		var names []string
		for i := portion; i < relayHollowCount; i += relayHollowBatches {
			names = append(names, g.fleet.lateMembers[i].name)
		}
		if err := g.commands.Encode(hollow.Command{Do: hollow.Start, Names: names}); err != nil {
			return err
		}
		time.Sleep(time.Second / relayHollowBatches)
	}
	return nil
}

// requireServing waits until all guests serve.
func (g *relayHollowControllers) requireServing() {
	g.fleet.t.Helper()
	g.fleet.requireEventually("all hollow controllers serve", func() bool { return g.judge.countServing() == relayHollowCount })
}

// requireChange has a policy come into force while guests are there, and tells how long it took.
func (g *relayHollowControllers) requireChange() time.Duration {
	g.fleet.t.Helper()
	a := g.fleet.newChange(g.fleet.versionInForce(), 0, false)
	g.judge.addChange(a.ID, xxhash.Sum64(a.Policy))
	begin, by := time.Now(), g.fleet.requestTarget()
	g.fleet.requireEventually("a word on "+a.ID, func() bool { return g.applyInForce(a, by) })
	return time.Since(begin)
}

// applyInForce asks for a change and hands the word to both judges.
func (g *relayHollowControllers) applyInForce(a *fleet.Request, by *fleetProcess) bool {
	word := g.fleet.applyChange(by, a)
	if word == "in force" {
		g.judge.addOutcome(observedOutcome{changeID: a.ID, controller: by.name, outcome: word, version: a.BaseVersion + 1, at: time.Now()})
	}
	return word == "in force"
}

// checkResults judges all that guests and processes have told.
func (g *relayHollowControllers) checkResults() {
	g.fleet.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var broken []string
	for _, e := range g.failures {
		broken = append(broken, fmt.Sprintf("%s failed: %s", e.Name, e.Reason))
	}
	for _, s := range g.fleet.monitor.samplesSince(time.Time{}) {
		if s.controlRole { // changes don't wait for it
			continue
		}
		g.judge.addSample(servingSample{controller: s.process, requestedAt: s.requested, answeredAt: s.answered, serves: s.serving, version: s.version,
			leaseRemainingMS: max(1, s.leaseRemaining.Milliseconds())}) // the rest of a lease may be less than a millisecond
	}
	verdict := g.judge.findViolations()
	broken = append(broken, verdict.Descriptions...)
	if verdict.Spans < relayHollowCount {
		broken = append(broken, fmt.Sprintf("too little was told: %d spans", verdict.Spans))
	}
	g.fleet.t.Logf("%d spans, %d samples, %d words; %s", verdict.Spans, verdict.Samples, verdict.Outcomes, strings.Join(broken, "; "))
	g.fleet.checkHistory(broken)
}
