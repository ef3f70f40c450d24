package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"railrelay.dev/railrelay/internal/emulator/faultproxy"
	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/transport"
	"railrelay.dev/railrelay/internal/historycheck"
)

const (
	relayedLease  = time.Second
	relayedVoters = 3
	relayedRelays = 2
	// relayedElection and relayedHeartbeat are those of Together's controllers.
	relayedElection  = 300 * time.Millisecond
	relayedHeartbeat = 60 * time.Millisecond
	// relayedSlack is how much later than an act an engine of the test may see it: a busy
	// machine must not look like a broken fleet. What a client asked for after a later
	// version was seen is judged without it.
	relayedSlack = time.Second
	// comesWithin bounds what has to come: only a fault makes a test wait so long.
	comesWithin = 40 * time.Second
	keyOfFleet  = "5e" // a byte of the fleet's key, in hex

	controlFleetPart = "  role: control\n"
	relayFleetPart   = "  role: control\n  relay: true\n"
)

// relayed is a fleet of processes of the program: controllers that take queries and ask
// for their leases through relays, and relays and voters of the control role. There is a
// link between every two of them. members of the gathering are the controllers, then the
// voters, the relays, and those that a test starts later.
type relayed struct {
	*faultFleet
	t           *testing.T
	controllers []*fleetProcess // which clients ask
	voters      []*fleetProcess
	relays      []*fleetProcess
	later       []*fleetProcess // which a test sets up and starts by itself
	watch       *watch
	leaseBound  time.Duration
}

// relayedPlan is what a fleet is started with.
type relayedPlan struct {
	controllers int
	leaseBound  time.Duration // of bound teams
	later       []string      // processes that the test starts by itself
}

// startRelayed starts a fleet and waits until all of it holds leases.
func startRelayed(t *testing.T, plan relayedPlan) *relayed {
	t.Helper()
	f := newRelayed(t, plan)
	t.Cleanup(f.cleanUp)
	f.must(f.startEngines())
	f.must(f.writeKeys("keys", keyOfFleet))
	var err error
	f.keys, err = transport.ReadKeys(f.path("keys"))
	f.must(err)
	f.populate(plan)
	for i, p := range f.members[:len(f.members)-len(f.later)] {
		f.must(f.write(p, f.setupOf(i, p)))
		f.must(f.startProcess(p))
		f.watch.follow(f, p)
	}
	f.serveAll()
	return f
}

// newRelayed is a fleet without processes, and what it is judged by.
func newRelayed(t *testing.T, plan relayedPlan) *relayed {
	ctx, stop := context.WithCancel(context.Background()) // the test's own ends before logs are shown
	g := &faultFleet{FaultFleetConfig: FaultFleetConfig{Program: buildPrograms(t), Seed: 1, Lease: relayedLease}, ctx: ctx, cancel: stop, startedAt: time.Now(), dir: t.TempDir(),
		rng: rand.New(rand.NewPCG(1, 0x7e1a)), stopClients: make(chan struct{}), sentQueries: map[string]*fleetSentQuery{},
		markerVersions: map[int]markerVersion{0: {"the set-up's", 1}}, nextMarker: 1, latestVersion: 1, faultCounts: map[string]int{}, knownOutcomes: map[string]string{}}
	g.queryHistory = historycheck.History{KeyRest: 300 * time.Millisecond, DrainGrace: time.Second, MaxSubmissions: 3,
		Slack: relayedSlack}
	g.queryHistory.AddGroup("lookup", "read-only", false)
	g.queryHistory.AddGroup("report", "read-only", false)
	g.queryHistory.AddGroup("load", "mutating", true)
	g.fleetHistory.Slack = relayedSlack
	g.fleetHistory.AddRules(0, "the set-up's", g.placementRule())
	return &relayed{faultFleet: g, t: t, leaseBound: plan.leaseBound, watch: &watch{}}
}

// populate makes the mesh and all processes of a plan; none is started.
func (f *relayed) populate(plan relayedPlan) {
	f.t.Helper()
	names := slices.Concat(numbered("c", plan.controllers), numbered("v", relayedVoters), numbered("r", relayedRelays), plan.later)
	f.mesh = faultproxy.NewMesh(names...)
	f.cleanups = append(f.cleanups, f.mesh.Close)
	for _, name := range names {
		f.add(name)
	}
	firstVoter, firstRelay := plan.controllers, plan.controllers+relayedVoters
	firstLater := firstRelay + relayedRelays
	f.controllers, f.voters = f.members[:firstVoter], f.members[firstVoter:firstRelay]
	f.relays, f.later = f.members[firstRelay:firstLater], f.members[firstLater:]
	f.observedVersions = make([][]versionObservation, plan.controllers)
}

// numbered are n names with a prefix.
func numbered(prefix string, n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint(prefix, i))
	}
	return names
}

// cleanUp ends all processes, whatever the test came to, and shows their logs if it failed.
func (f *relayed) cleanUp() {
	if f.t.Failed() {
		f.t.Log(f.diagnostics())
	}
	f.close()
}

// must fails the test for an error.
func (f *relayed) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *relayed) writeKeys(file, oneByte string) error {
	const keyBytes = 32
	return os.WriteFile(f.path(file), []byte(strings.Repeat(oneByte, keyBytes)), 0o600)
}

func (f *relayed) write(p *fleetProcess, setup string) error {
	return os.WriteFile(f.path(p.name+".yaml"), []byte(setup), 0o600)
}

// add makes a process that isn't started yet, with its addresses and its place in the mesh.
func (f *relayed) add(name string) {
	f.t.Helper()
	p := &fleetProcess{name: name, site: "east"}
	f.place(p, name, firstRun)
	f.mesh.SetTarget(name, p.listenAddress)
	var err error
	p.peerAddress, err = f.mesh.SharedAddress(name)
	f.must(err)
	p.logFile, err = os.Create(f.path(name + ".log"))
	f.must(err)
	f.cleanups = append(f.cleanups, func() { p.logFile.Close() })
	f.members = append(f.members, p)
}

const (
	firstRun = iota // of a process
	secondRun
	refusedRun

	// Ports are below those that the system gives to connections: one that was free when
	// it was drawn could be taken when a process is started, or started anew.
	portsFrom    = 10_000
	portBlock    = 16 // of a test's process, at each address
	portBlocks   = 1_300
	portsOfARun  = 3
	peersPort    = 0
	clientsPort  = 1
	operatorPort = 2
)

// place gives a run of a process its addresses, where the mesh knows it by its name.
func (f *relayed) place(p *fleetProcess, name string, run int) {
	ports := portsFrom + os.Getpid()%portBlocks*portBlock + run*portsOfARun
	at := func(port int) string { return net.JoinHostPort(f.mesh.SourceAddress(name), strconv.Itoa(ports+port)) }
	p.listenAddress, p.clientAddress, p.controlAddress = at(peersPort), at(clientsPort), at(operatorPort)
}

// setupOf is the set-up of the process at a place of members.
func (f *relayed) setupOf(i int, p *fleetProcess) string {
	switch {
	case slices.Contains(f.controllers, p):
		return f.controllerSetup(p, f.relaysOf(i)...)
	case slices.Contains(f.relays, p):
		return f.controlSetup(p, relayFleetPart)
	}
	return f.controlSetup(p, controlFleetPart)
}

// relaysOf are the relays of the controller of a number: half of all name the one first,
// half the other one.
func (f *relayed) relaysOf(number int) []string {
	first, second := f.relays[number%relayedRelays], f.relays[(number+1)%relayedRelays]
	return []string{namedAt(first), namedAt(second)}
}

// namedAt is a process as set-ups name it.
func namedAt(p *fleetProcess) string {
	return fmt.Sprintf("{name: %s, address: %q}", p.name, p.peerAddress)
}

// controllerSetup is the set-up of a controller that asks through two relays.
func (f *relayed) controllerSetup(p *fleetProcess, relays ...string) string {
	const noVoters = "  voters:\n"
	relaysAndVoters := fmt.Sprintf("  relays: [%s]\n%s", strings.Join(relays, ", "), f.voterLines())
	setup := strings.Replace(f.setupYAML(p), noVoters, relaysAndVoters, 1)
	return strings.Replace(setup, boundLine(f.Lease/2), boundLine(f.leaseBound), 1)
}

// controlSetup is the set-up of a process of the control role; role are lines of its fleet part.
func (f *relayed) controlSetup(p *fleetProcess, role string) string {
	return fmt.Sprintf("name: %s\nlog: info\nlimits: {cores: 1, memory_mb: 128}\nfleet:\n  name: together\n%s  listen: %s\n  address: %s\n"+
		"  control: %s\n  directory: %q\n  keys: %q\n  lease: %v\n%s  election: %v\n  heartbeat: %v\n  keep: 256\n%s%s",
		p.name, role, p.listenAddress, p.peerAddress, p.controlAddress, f.path(p.name+"-fleet"), f.path("keys"), f.Lease, boundLine(f.leaseBound), relayedElection,
		relayedHeartbeat, f.voterLines(), placementYAML(0))
}

// boundLine is the line of a set-up that says how long the lease of bound teams is.
func boundLine(leaseBound time.Duration) string {
	return fmt.Sprintf("  lease_bound: %v\n", leaseBound)
}

// voterLines are the lines of a set-up that name the voters.
func (f *relayed) voterLines() string {
	lines := "  voters:\n"
	for _, v := range f.voters {
		lines += fmt.Sprintf("    - %s\n", namedAt(v))
	}
	return lines
}

// runs tells whether a process is there and not stopped.
func runs(p *fleetProcess) bool { return p.command != nil && !p.paused }

// awaits waits until something has come true.
func (f *relayed) awaits(what string, so func() bool) {
	f.t.Helper()
	f.must(f.waitFor(comesWithin, what, so))
}

// leading waits for a voter that says of itself that it leads.
func (f *relayed) leading() (leader *fleetProcess) {
	f.t.Helper()
	f.awaits("a leader", func() bool {
		for _, p := range f.voters {
			if runs(p) && f.status(p).Leader == p.name {
				leader = p
				return true
			}
		}
		return false
	})
	return leader
}

// asker is a voter that is there and, where another one is, doesn't lead.
func (f *relayed) asker() *fleetProcess {
	f.t.Helper()
	leader := f.leading()
	for _, p := range f.voters {
		if p != leader && runs(p) {
			return p
		}
	}
	return leader
}

// serveAll waits until all processes that run, but for some, hold a lease and decide by
// the last version that was told to be in force.
func (f *relayed) serveAll(but ...*fleetProcess) {
	f.t.Helper()
	for _, p := range f.members {
		if p.command == nil || slices.Contains(but, p) {
			continue
		}
		f.awaits(p.name+" serves", func() bool {
			s := f.status(p)
			return s.Serves && s.Version >= f.inForce()
		})
	}
}

// inForce is the last version that was told to be in force.
func (f *relayed) inForce() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestVersion
}

// changes has a policy come into force, asked of a process that the leader hears of.
func (f *relayed) changes(by *fleetProcess) {
	f.t.Helper()
	a := f.newChange(f.inForce(), 0, false)
	f.comesInForce(by, a)
}

// comesInForce asks until there is a word on a change, which must be that it is in force.
func (f *relayed) comesInForce(by *fleetProcess, a *fleet.Request) {
	f.t.Helper()
	word := ""
	f.awaits("a word on "+a.ID, func() bool {
		word = f.applyChange(by, a)
		return word != "unknown"
	})
	if word != "in force" {
		f.t.Fatalf("%s is %s", a.ID, word)
	}
}

// midChange calls strike while a change waits for a controller, which is cut off until
// then, and has the change come to its word. Where the change has had its word before,
// undo is called and all is done once more.
func (f *relayed) midChange(strike, undo func()) {
	f.t.Helper()
	const triesMost = 5
	for range triesMost {
		if f.struckInChange(strike) {
			return
		}
		undo()
		f.serveAll()
	}
	f.t.Fatalf("no change waited for %s, which had a lease when it was cut off, until the fault struck", f.held().name)
}

// struckInChange has a change wait for the controller that is held and calls strike. It
// tells whether the change had no word yet once that was done.
func (f *relayed) struckInChange(strike func()) (struck bool) {
	f.t.Helper()
	held := f.held()
	by, leader := f.asker(), f.leading()
	a := f.newChange(f.inForce(), 0, false)
	f.mesh.Isolate(held.name)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		f.applyChange(by, a)
	}()
	f.awaits(a.ID+" under way", func() bool { return f.heldBy(leader, a.ID, held.name) || f.hasWord(a.ID) })
	strike()
	struck = slices.ContainsFunc(f.voters, func(p *fleetProcess) bool { return f.isUnderWay(p, a.ID) })
	f.mesh.SetFault(held.name, "", faultproxy.Fault{})
	f.mesh.SetFault("", held.name, faultproxy.Fault{})
	<-asked
	f.comesInForce(f.asker(), a)
	return struck
}

// held is the controller that changes are made to wait for.
func (f *relayed) held() *fleetProcess { return f.controllers[len(f.controllers)-1] }

// heldBy tells whether a change waits for a controller, by what the leader says.
func (f *relayed) heldBy(leader *fleetProcess, change, held string) bool {
	c := f.status(leader).Change
	return c != nil && c.ID == change && slices.Contains(c.Outstanding, held)
}

// isUnderWay tells whether a process knows of a change that has no word yet.
func (f *relayed) isUnderWay(p *fleetProcess, change string) bool {
	if !runs(p) {
		return false
	}
	c := f.status(p).Change
	return c != nil && c.ID == change && c.Outcome == "unknown"
}

// hasWord tells whether there is a last word on a change.
func (f *relayed) hasWord(change string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownOutcomes[change] != ""
}
