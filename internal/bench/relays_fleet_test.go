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
	relayFleetLease  = time.Second
	relayFleetVoters = 3
	relayFleetRelays = 2
	// relayFleetElectionTimeout and relayedHeartbeat are those of Together's controllers.
	relayFleetElectionTimeout = 300 * time.Millisecond
	relayFleetHeartbeat       = 60 * time.Millisecond
	// relayFleetSlack is how much later than an act an engine of the test may see it: a busy
	// machine must not look like a broken fleet. What a client asked for after a later
	// version was seen is judged without it.
	relayFleetSlack = time.Second
	// relayFleetWaitLimit bounds what has to come: only a fault makes a test wait so long.
	relayFleetWaitLimit = 40 * time.Second
	relayFleetKeyByte   = "5e" // a byte of the fleet's key, in hex

	controlRoleSettings = "  role: control\n"
	relayRoleSettings   = "  role: control\n  relay: true\n"
)

// relayFleet is a fleet of processes of the program: controllers that take queries and ask
// for their leases through relays, and relays and voters of the control role. There is a
// link between every two of them. members of the gathering are the controllers, then the
// voters, the relays, and those that a test starts later.
type relayFleet struct {
	*faultFleet
	t           *testing.T
	controllers []*fleetProcess // which clients ask
	voters      []*fleetProcess
	relays      []*fleetProcess
	lateMembers []*fleetProcess // which a test sets up and starts by itself
	monitor     *relayStatusMonitor
	leaseBound  time.Duration
}

// relayFleetConfig is what a fleet is started with.
type relayFleetConfig struct {
	controllers int
	leaseBound  time.Duration // of bound teams
	lateMembers []string      // processes that the test starts by itself
}

// startRelayFleet starts a fleet and waits until all of it holds leases.
func startRelayFleet(t *testing.T, plan relayFleetConfig) *relayFleet {
	t.Helper()
	f := newRelayFleet(t, plan)
	t.Cleanup(f.cleanUp)
	f.must(f.startEngines())
	f.must(f.writeKeys("keys", relayFleetKeyByte))
	var err error
	f.keys, err = transport.ReadKeys(f.path("keys"))
	f.must(err)
	f.addProcesses(plan)
	for i, p := range f.members[:len(f.members)-len(f.lateMembers)] {
		f.must(f.writeSetup(p, f.setupFor(i, p)))
		f.must(f.startProcess(p))
		f.monitor.poll(f, p)
	}
	f.requireServing()
	return f
}

// newRelayFleet is a fleet without processes, and what it is judged by.
func newRelayFleet(t *testing.T, plan relayFleetConfig) *relayFleet {
	ctx, stop := context.WithCancel(context.Background()) // the test's own ends before logs are shown
	g := &faultFleet{FaultFleetConfig: FaultFleetConfig{Program: buildPrograms(t), Seed: 1, Lease: relayFleetLease}, ctx: ctx, cancel: stop, startedAt: time.Now(), dir: t.TempDir(),
		rng: rand.New(rand.NewPCG(1, 0x7e1a)), stopClients: make(chan struct{}), sentQueries: map[string]*fleetSentQuery{},
		markerVersions: map[int]markerVersion{0: {"the set-up's", 1}}, nextMarker: 1, latestVersion: 1, faultCounts: map[string]int{}, knownOutcomes: map[string]string{}}
	g.queryHistory = historycheck.History{KeyRest: 300 * time.Millisecond, DrainGrace: time.Second, MaxSubmissions: 3,
		Slack: relayFleetSlack}
	g.queryHistory.AddGroup("lookup", "read-only", false)
	g.queryHistory.AddGroup("report", "read-only", false)
	g.queryHistory.AddGroup("load", "mutating", true)
	g.fleetHistory.Slack = relayFleetSlack
	g.fleetHistory.AddRules(0, "the set-up's", g.placementRule())
	return &relayFleet{faultFleet: g, t: t, leaseBound: plan.leaseBound, monitor: &relayStatusMonitor{}}
}

// addProcesses makes the mesh and all processes of a plan; none is started.
func (f *relayFleet) addProcesses(plan relayFleetConfig) {
	f.t.Helper()
	names := slices.Concat(numberedNames("c", plan.controllers), numberedNames("v", relayFleetVoters), numberedNames("r", relayFleetRelays), plan.lateMembers)
	f.mesh = faultproxy.NewMesh(names...)
	f.cleanups = append(f.cleanups, f.mesh.Close)
	for _, name := range names {
		f.addProcess(name)
	}
	firstVoter, firstRelay := plan.controllers, plan.controllers+relayFleetVoters
	firstLater := firstRelay + relayFleetRelays
	f.controllers, f.voters = f.members[:firstVoter], f.members[firstVoter:firstRelay]
	f.relays, f.lateMembers = f.members[firstRelay:firstLater], f.members[firstLater:]
	f.observedVersions = make([][]versionObservation, plan.controllers)
}

// numberedNames are n names with a prefix.
func numberedNames(prefix string, n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint(prefix, i))
	}
	return names
}

// cleanUp ends all processes, whatever the test came to, and shows their logs if it failed.
func (f *relayFleet) cleanUp() {
	if f.t.Failed() {
		f.t.Log(f.diagnostics())
	}
	f.close()
}

// must fails the test for an error.
func (f *relayFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *relayFleet) writeKeys(file, oneByte string) error {
	const keyBytes = 32
	return os.WriteFile(f.path(file), []byte(strings.Repeat(oneByte, keyBytes)), 0o600)
}

func (f *relayFleet) writeSetup(p *fleetProcess, setup string) error {
	return os.WriteFile(f.path(p.name+".yaml"), []byte(setup), 0o600)
}

// addProcess makes a process that isn't started yet, with its addresses and its place in the mesh.
func (f *relayFleet) addProcess(name string) {
	f.t.Helper()
	p := &fleetProcess{name: name, site: "east"}
	f.assignAddresses(p, name, relayFirstRun)
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
	relayFirstRun = iota // of a process
	relaySecondRun
	relayRefusedRun

	// Ports are below those that the system gives to connections: one that was free when
	// it was drawn could be taken when a process is started, or started anew.
	relayBasePort        = 10_000
	relayPortsPerProcess = 16 // of a test's process, at each address
	relayPortBlocks      = 1_300
	relayPortsPerRun     = 3
	relayPeerPort        = 0
	relayClientPort      = 1
	relayOperatorPort    = 2
)

// assignAddresses gives a run of a process its addresses, where the mesh knows it by its name.
func (f *relayFleet) assignAddresses(p *fleetProcess, name string, run int) {
	ports := relayBasePort + os.Getpid()%relayPortBlocks*relayPortsPerProcess + run*relayPortsPerRun
	at := func(port int) string { return net.JoinHostPort(f.mesh.SourceAddress(name), strconv.Itoa(ports+port)) }
	p.listenAddress, p.clientAddress, p.controlAddress = at(relayPeerPort), at(relayClientPort), at(relayOperatorPort)
}

// setupFor is the set-up of the process at a place of members.
func (f *relayFleet) setupFor(i int, p *fleetProcess) string {
	switch {
	case slices.Contains(f.controllers, p):
		return f.controllerSetup(p, f.relaysFor(i)...)
	case slices.Contains(f.relays, p):
		return f.controlSetup(p, relayRoleSettings)
	}
	return f.controlSetup(p, controlRoleSettings)
}

// relaysFor are the relays of the controller of a number: half of all name the one first,
// half the other one.
func (f *relayFleet) relaysFor(number int) []string {
	first, second := f.relays[number%relayFleetRelays], f.relays[(number+1)%relayFleetRelays]
	return []string{peerSettings(first), peerSettings(second)}
}

// peerSettings is a process as set-ups name it.
func peerSettings(p *fleetProcess) string {
	return fmt.Sprintf("{name: %s, address: %q}", p.name, p.peerAddress)
}

// controllerSetup is the set-up of a controller that asks through two relays.
func (f *relayFleet) controllerSetup(p *fleetProcess, relays ...string) string {
	const noVoters = "  voters:\n"
	relaysAndVoters := fmt.Sprintf("  relays: [%s]\n%s", strings.Join(relays, ", "), f.voterSettings())
	setup := strings.Replace(f.setupYAML(p), noVoters, relaysAndVoters, 1)
	return strings.Replace(setup, leaseBoundSetting(f.Lease/2), leaseBoundSetting(f.leaseBound), 1)
}

// controlSetup is the set-up of a process of the control role; role are lines of its fleet part.
func (f *relayFleet) controlSetup(p *fleetProcess, role string) string {
	return fmt.Sprintf("name: %s\nlog: info\nlimits: {cores: 1, memory_mb: 128}\nfleet:\n  name: together\n%s  listen: %s\n  address: %s\n"+
		"  control: %s\n  directory: %q\n  keys: %q\n  lease: %v\n%s  election: %v\n  heartbeat: %v\n  keep: 256\n%s%s",
		p.name, role, p.listenAddress, p.peerAddress, p.controlAddress, f.path(p.name+"-fleet"), f.path("keys"), f.Lease, leaseBoundSetting(f.leaseBound), relayFleetElectionTimeout,
		relayFleetHeartbeat, f.voterSettings(), placementYAML(0))
}

// leaseBoundSetting is the line of a set-up that says how long the lease of bound teams is.
func leaseBoundSetting(leaseBound time.Duration) string {
	return fmt.Sprintf("  lease_bound: %v\n", leaseBound)
}

// voterSettings are the lines of a set-up that name the voters.
func (f *relayFleet) voterSettings() string {
	lines := "  voters:\n"
	for _, v := range f.voters {
		lines += fmt.Sprintf("    - %s\n", peerSettings(v))
	}
	return lines
}

// isProcessRunning tells whether a process is there and not stopped.
func isProcessRunning(p *fleetProcess) bool { return p.command != nil && !p.paused }

// requireEventually waits until something has come true.
func (f *relayFleet) requireEventually(what string, so func() bool) {
	f.t.Helper()
	f.must(f.waitFor(relayFleetWaitLimit, what, so))
}

// requireLeader waits for a voter that says of itself that it leads.
func (f *relayFleet) requireLeader() (leader *fleetProcess) {
	f.t.Helper()
	f.requireEventually("a leader", func() bool {
		for _, p := range f.voters {
			if isProcessRunning(p) && f.status(p).Leader == p.name {
				leader = p
				return true
			}
		}
		return false
	})
	return leader
}

// requestTarget is a voter that is there and, where another one is, doesn't lead.
func (f *relayFleet) requestTarget() *fleetProcess {
	f.t.Helper()
	leader := f.requireLeader()
	for _, p := range f.voters {
		if p != leader && isProcessRunning(p) {
			return p
		}
	}
	return leader
}

// requireServing waits until all processes that run, but for some, hold a lease and decide by
// the last version that was told to be in force.
func (f *relayFleet) requireServing(but ...*fleetProcess) {
	f.t.Helper()
	for _, p := range f.members {
		if p.command == nil || slices.Contains(but, p) {
			continue
		}
		f.requireEventually(p.name+" serves", func() bool {
			s := f.status(p)
			return s.Serves && s.Version >= f.versionInForce()
		})
	}
}

// versionInForce is the last version that was told to be in force.
func (f *relayFleet) versionInForce() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestVersion
}

// requireChange has a policy come into force, asked of a process that the leader hears of.
func (f *relayFleet) requireChange(by *fleetProcess) {
	f.t.Helper()
	a := f.newChange(f.versionInForce(), 0, false)
	f.requireInForce(by, a)
}

// requireInForce asks until there is a word on a change, which must be that it is in force.
func (f *relayFleet) requireInForce(by *fleetProcess, a *fleet.Request) {
	f.t.Helper()
	word := ""
	f.requireEventually("a word on "+a.ID, func() bool {
		word = f.applyChange(by, a)
		return word != "unknown"
	})
	if word != "in force" {
		f.t.Fatalf("%s is %s", a.ID, word)
	}
}

// injectDuringChange calls strike while a change waits for a controller, which is cut off until
// then, and has the change come to its word. Where the change has had its word before,
// undo is called and all is done once more.
func (f *relayFleet) injectDuringChange(strike, undo func()) {
	f.t.Helper()
	const triesMost = 5
	for range triesMost {
		if f.tryInjectDuringChange(strike) {
			return
		}
		undo()
		f.requireServing()
	}
	f.t.Fatalf("no change waited for %s, which had a lease when it was cut off, until the fault struck", f.heldController().name)
}

// tryInjectDuringChange has a change wait for the controller that is held and calls strike. It
// tells whether the change had no word yet once that was done.
func (f *relayFleet) tryInjectDuringChange(strike func()) (struck bool) {
	f.t.Helper()
	held := f.heldController()
	by, leader := f.requestTarget(), f.requireLeader()
	a := f.newChange(f.versionInForce(), 0, false)
	f.mesh.Isolate(held.name)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		f.applyChange(by, a)
	}()
	f.requireEventually(a.ID+" under way", func() bool { return f.changeWaitsFor(leader, a.ID, held.name) || f.hasOutcome(a.ID) })
	strike()
	struck = slices.ContainsFunc(f.voters, func(p *fleetProcess) bool { return f.hasPendingChange(p, a.ID) })
	f.mesh.SetFault(held.name, "", faultproxy.Fault{})
	f.mesh.SetFault("", held.name, faultproxy.Fault{})
	<-asked
	f.requireInForce(f.requestTarget(), a)
	return struck
}

// heldController is the controller that changes are made to wait for.
func (f *relayFleet) heldController() *fleetProcess { return f.controllers[len(f.controllers)-1] }

// changeWaitsFor tells whether a change waits for a controller, by what the leader says.
func (f *relayFleet) changeWaitsFor(leader *fleetProcess, change, held string) bool {
	c := f.status(leader).Change
	return c != nil && c.ID == change && slices.Contains(c.Outstanding, held)
}

// hasPendingChange tells whether a process knows of a change that has no word yet.
func (f *relayFleet) hasPendingChange(p *fleetProcess, change string) bool {
	if !isProcessRunning(p) {
		return false
	}
	c := f.status(p).Change
	return c != nil && c.ID == change && c.Outcome == "unknown"
}

// hasOutcome tells whether there is a last word on a change.
func (f *relayFleet) hasOutcome(change string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownOutcomes[change] != ""
}
