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
	hollowJoiners    = 97
	hollowPortions   = 10 // in which they are started
	hollowWriteDelay = time.Millisecond
)

// hollowGuests are hollow controllers that join a fleet of processes through its relays.
type hollowGuests struct {
	f        *relayed
	judge    *scaleChecker
	commands *json.Encoder

	mu     sync.Mutex
	failed []hollow.Event
}

// Ninety-seven controllers join within a second while changes are under way, through two
// relays. Then one relay is killed and a change follows, and the leader and another one.
func TestNinetySevenJoinByRelays(t *testing.T) {
	f := startRelayed(t, relayedPlan{controllers: relayedRelays, leaseBound: relayedLease, later: numbered("h", hollowJoiners)})
	f.members = f.members[:len(f.members)-len(f.later)] // hollow ones are no processes
	g := prepareGuests(f)
	begin, started := time.Now(), make(chan error)
	go func() { started <- g.startAll() }()
	during := 0
	for begun := false; !begun; during++ {
		g.changes()
		select {
		case err := <-started:
			f.must(err)
			begun = true
		default:
		}
	}
	g.allServe()
	t.Logf("%d joined, all serve %d ms after the first was started, with %d changes meanwhile", hollowJoiners, time.Since(begin).Milliseconds(), during)
	g.changes()

	f.kill(f.relays[0])
	t.Logf("with a relay killed a change took %d ms", g.changes().Milliseconds())
	f.restart(f.relays[0])
	leader := f.leading()
	f.kill(leader)
	t.Logf("with the leader killed a change took %d ms", g.changes().Milliseconds())
	f.restart(leader)
	f.serveAll()
	g.allServe()
	g.end()
}

// prepareGuests makes hollow controllers, of which none is started.
func prepareGuests(f *relayed) *hollowGuests {
	f.t.Helper()
	g := &hollowGuests{f: f, judge: newScaleChecker()}
	config := hollow.Config{Fleet: "together", Keys: f.path("keys"), Lease: f.Lease, Election: relayedElection, Heartbeat: relayedHeartbeat,
		WriteDelay: hollowWriteDelay, Seed: f.Seed}
	for _, v := range f.voters {
		config.Voters = append(config.Voters, hollow.Peer{Name: v.name, Address: v.peerAddress})
	}
	for i, p := range f.later {
		first, second := f.relays[i%relayedRelays], f.relays[(i+1)%relayedRelays]
		config.Controllers = append(config.Controllers, hollow.Member{Name: p.name, ListenAddress: p.listenAddress,
			Relays: []hollow.Peer{{Name: first.name, Address: first.peerAddress}, {Name: second.name, Address: second.peerAddress}}})
	}
	input, commands := io.Pipe()
	output, events := io.Pipe()
	var ended sync.WaitGroup
	ended.Go(func() {
		if err := hollow.Run(f.ctx, input, events); err != nil {
			g.saw(hollow.Event{Kind: hollow.Failed, Reason: err.Error()})
		}
		input.Close()
		events.Close()
	})
	ended.Go(func() { g.read(output) })
	f.t.Cleanup(func() { commands.Close(); ended.Wait() })
	g.commands = json.NewEncoder(commands)
	f.must(g.commands.Encode(config))
	return g
}

// read takes all that hollow controllers tell.
func (g *hollowGuests) read(output io.Reader) {
	for lines := bufio.NewScanner(output); lines.Scan(); {
		var e hollow.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			e = hollow.Event{Kind: hollow.Failed, Reason: err.Error()}
		}
		g.saw(e)
	}
}

func (g *hollowGuests) saw(e hollow.Event) {
	switch at := time.Unix(0, e.At); e.Kind {
	case hollow.Serving:
		g.judge.beginSpan(e.Name, e.Version, e.Policy, at)
	case hollow.Ended:
		g.judge.endSpan(e.Name, at)
	case hollow.Failed:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.failed = append(g.failed, e)
	}
}

// startAll starts all within a second, in portions.
func (g *hollowGuests) startAll() error {
	for portion := range hollowPortions {
		var names []string
		for i := portion; i < hollowJoiners; i += hollowPortions {
			names = append(names, g.f.later[i].name)
		}
		if err := g.commands.Encode(hollow.Command{Do: hollow.Start, Names: names}); err != nil {
			return err
		}
		time.Sleep(time.Second / hollowPortions)
	}
	return nil
}

// allServe waits until all guests serve.
func (g *hollowGuests) allServe() {
	g.f.t.Helper()
	g.f.awaits("all hollow controllers serve", func() bool { return g.judge.countServing() == hollowJoiners })
}

// changes has a policy come into force while guests are there, and tells how long it took.
func (g *hollowGuests) changes() time.Duration {
	g.f.t.Helper()
	a := g.f.newChange(g.f.inForce(), 0, false)
	g.judge.addChange(a.ID, xxhash.Sum64(a.Policy))
	begin, by := time.Now(), g.f.asker()
	g.f.awaits("a word on "+a.ID, func() bool { return g.wordOn(a, by) })
	return time.Since(begin)
}

// wordOn asks for a change and hands the word to both judges.
func (g *hollowGuests) wordOn(a *fleet.Request, by *fleetProcess) bool {
	word := g.f.applyChange(by, a)
	if word == "in force" {
		g.judge.addOutcome(observedOutcome{changeID: a.ID, controller: by.name, outcome: word, version: a.BaseVersion + 1, at: time.Now()})
	}
	return word == "in force"
}

// end judges all that guests and processes have told.
func (g *hollowGuests) end() {
	g.f.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var broken []string
	for _, e := range g.failed {
		broken = append(broken, fmt.Sprintf("%s failed: %s", e.Name, e.Reason))
	}
	for _, s := range g.f.watch.since(time.Time{}) {
		if s.control { // changes don't wait for it
			continue
		}
		g.judge.addSample(servingSample{controller: s.process, requestedAt: s.asked, answeredAt: s.told, serves: s.serves, version: s.version,
			leaseRemainingMS: max(1, s.lease.Milliseconds())}) // the rest of a lease may be less than a millisecond
	}
	verdict := g.judge.findViolations()
	broken = append(broken, verdict.Descriptions...)
	if verdict.Spans < hollowJoiners {
		broken = append(broken, fmt.Sprintf("too little was told: %d spans", verdict.Spans))
	}
	g.f.t.Logf("%d spans, %d samples, %d words; %s", verdict.Spans, verdict.Samples, verdict.Outcomes, strings.Join(broken, "; "))
	g.f.judge(broken)
}
