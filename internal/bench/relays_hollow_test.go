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
	relayHollowBatches    = 10 // the controllers are started in this many batches within a second
	relayHollowWriteDelay = time.Millisecond
)

// relayHollowControllers are hollow controllers that join a fleet of processes through its relays. Hollow
// controllers are simulated controllers that run in the test's process. They use the real consensus and peer
// transport, but have no clients, engines or feed and keep the record in memory.
type relayHollowControllers struct {
	fleet    *relayFleet
	checker  *scaleChecker
	commands *json.Encoder

	mu       sync.Mutex
	failures []hollow.Event
}

// 97 hollow controllers join through two relays within a second, while changes are under way. Then a change
// must come into force after a relay was killed, and another change after the leader was killed.
func TestManyControllersJoinThroughRelays(t *testing.T) {
	f := startRelayFleet(t, relayFleetConfig{
		controllers:   relayFleetRelays,
		confinedLease: relayFleetLease,
		lateMembers:   numberedNames("h", relayHollowCount),
	})
	f.members = f.members[:len(f.members)-len(f.lateMembers)] // hollow controllers aren't processes
	g := newRelayHollowControllers(f)
	begin, startResult := time.Now(), make(chan error)
	go func() { startResult <- g.startAll() }()
	changes := 0
	for started := false; !started; changes++ {
		g.requireChange()
		select {
		case err := <-startResult:
			f.must(err)
			started = true
		default:
		}
	}
	g.requireServing()
	t.Logf("%d controllers serve %d ms after the first one was started, with %d changes meanwhile",
		relayHollowCount, time.Since(begin).Milliseconds(), changes)
	g.requireChange()

	f.kill(f.relays[0])
	t.Logf("with a relay killed, a change took %d ms", g.requireChange().Milliseconds())
	f.restart(f.relays[0])
	leader := f.requireLeader()
	f.kill(leader)
	t.Logf("with the leader killed, a change took %d ms", g.requireChange().Milliseconds())
	f.restart(leader)
	f.requireServing()
	g.requireServing()
	g.checkResults()
}

// newRelayHollowControllers configures a hollow controller for each late member of the fleet, without
// starting the controller.
func newRelayHollowControllers(f *relayFleet) *relayHollowControllers {
	f.t.Helper()
	g := &relayHollowControllers{fleet: f, checker: newScaleChecker()}
	config := hollow.Config{
		Fleet:      "together",
		Keys:       f.path("keys"),
		Lease:      f.Lease,
		Election:   relayFleetElectionTimeout,
		Heartbeat:  relayFleetHeartbeat,
		WriteDelay: relayHollowWriteDelay,
		Seed:       f.Seed,
	}
	for _, v := range f.voters {
		config.Voters = append(config.Voters, hollow.Peer{Name: v.name, Address: v.peerAddress})
	}
	for i, p := range f.lateMembers {
		first, second := f.relays[i%relayFleetRelays], f.relays[(i+1)%relayFleetRelays]
		config.Controllers = append(config.Controllers, hollow.Member{
			Name:          p.name,
			ListenAddress: p.listenAddress,
			Relays: []hollow.Peer{
				{Name: first.name, Address: first.peerAddress},
				{Name: second.name, Address: second.peerAddress},
			},
		})
	}
	input, commands := io.Pipe()
	output, events := io.Pipe()
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		if err := hollow.Run(f.ctx, input, events); err != nil {
			g.handleEvent(hollow.Event{Kind: hollow.Failed, Reason: err.Error()})
		}
		input.Close()
		events.Close()
	})
	goroutines.Go(func() { g.readEvents(output) })
	f.t.Cleanup(func() { commands.Close(); goroutines.Wait() })
	g.commands = json.NewEncoder(commands)
	f.must(g.commands.Encode(config))
	return g
}

// readEvents handles the events of the hollow controllers until their output ends.
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
		g.checker.beginSpan(e.Name, e.Version, e.Policy, at)
	case hollow.Ended:
		g.checker.endSpan(e.Name, at)
	case hollow.Failed:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.failures = append(g.failures, e)
	}
}

// startAll starts the hollow controllers in batches, within a second.
func (g *relayHollowControllers) startAll() error {
	for batch := range relayHollowBatches {
		var names []string
		for i := batch; i < relayHollowCount; i += relayHollowBatches {
			names = append(names, g.fleet.lateMembers[i].name)
		}
		if err := g.commands.Encode(hollow.Command{Do: hollow.Start, Names: names}); err != nil {
			return err
		}
		time.Sleep(time.Second / relayHollowBatches)
	}
	return nil
}

// requireServing waits until all hollow controllers serve.
func (g *relayHollowControllers) requireServing() {
	g.fleet.t.Helper()
	g.fleet.requireEventually("all hollow controllers serve", func() bool {
		return g.checker.countServing() == relayHollowCount
	})
}

// requireChange requests a policy change, waits until the change is in force, and returns the time from the
// request until then.
func (g *relayHollowControllers) requireChange() time.Duration {
	g.fleet.t.Helper()
	change := g.fleet.newChange(g.fleet.versionInForce(), 0, false)
	g.checker.addChange(change.ID, xxhash.Sum64(change.Policy))
	begin, target := time.Now(), g.fleet.requestTarget()
	g.fleet.requireEventually(change.ID+" is in force", func() bool { return g.applyInForce(change, target) })
	return time.Since(begin)
}

// applyInForce requests a change and reports whether the change is in force. The history of the fleet of
// processes and the checker of the hollow controllers record this outcome.
func (g *relayHollowControllers) applyInForce(change *fleet.Request, target *fleetProcess) bool {
	outcome := g.fleet.applyChange(target, change)
	if outcome == "in force" {
		g.checker.addOutcome(observedOutcome{
			changeID:   change.ID,
			controller: target.name,
			outcome:    outcome,
			version:    change.BaseVersion + 1,
			at:         time.Now(),
		})
	}
	return outcome == "in force"
}

// checkResults fails the test if a hollow controller failed, or if the observations of the hollow controllers
// and of the processes show a violation.
func (g *relayHollowControllers) checkResults() {
	g.fleet.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var violations []string
	for _, e := range g.failures {
		violations = append(violations, fmt.Sprintf("%s failed: %s", e.Name, e.Reason))
	}
	for _, s := range g.fleet.monitor.samplesSince(time.Time{}) {
		if s.controlRole { // changes don't wait for processes of the control role
			continue
		}
		g.checker.addSample(servingSample{
			controller:  s.process,
			requestedAt: s.requestedAt,
			answeredAt:  s.answeredAt,
			serves:      s.serves,
			version:     s.version,
			// A valid lease may have less than a millisecond left.
			leaseRemainingMS: max(1, s.leaseRemaining.Milliseconds()),
		})
	}
	found := g.checker.findViolations()
	violations = append(violations, found.Descriptions...)
	if found.Spans < relayHollowCount {
		violations = append(violations, fmt.Sprintf(
			"the hollow controllers reported %d serving spans, want at least %d", found.Spans, relayHollowCount))
	}
	g.fleet.t.Logf("%d spans, %d samples, %d outcomes; %s",
		found.Spans, found.Samples, found.Outcomes, strings.Join(violations, "; "))
	g.fleet.checkHistory(violations)
}
