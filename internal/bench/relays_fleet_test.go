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

	// The intervals equal those in the settings of a faultFleet's controllers.
	relayFleetElectionTimeout = 300 * time.Millisecond
	relayFleetHeartbeat       = 60 * time.Millisecond

	// relayFleetSlack is the longest time by which an engine of a test may observe a controller's action
	// late. Without the slack, delays on a busy machine would be reported as violations. Queries that a
	// client sent after a later version was observed are checked without slack.
	relayFleetSlack = time.Second
	// relayFleetWaitLimit is the longest wait for a condition. Only a fault makes a test wait so long.
	relayFleetWaitLimit = 40 * time.Second
	relayFleetKeyByte   = "5e" // the fleet's key repeats this byte, given in hex

	controlRoleSettings = "  role: control\n"
	relayRoleSettings   = "  role: control\n  relay: true\n"
)

// relayFleet is a fleet of processes of the program: controllers that take queries and renew their leases
// through relays, and voters and relays of the control role. Every two processes are connected by a link of
// the mesh. The members are the controllers, the voters, the relays and the late members, in this order.
type relayFleet struct {
	*faultFleet
	t             *testing.T
	controllers   []*fleetProcess // processes that clients send queries to
	voters        []*fleetProcess
	relays        []*fleetProcess
	lateMembers   []*fleetProcess // processes that a test configures and starts itself
	monitor       *relayStatusMonitor
	confinedLease time.Duration
}

// relayFleetConfig is the configuration of a relayFleet.
type relayFleetConfig struct {
	controllers   int
	confinedLease time.Duration // lease for queries of tenants that are confined to sites
	lateMembers   []string      // names of the processes that the test starts itself
}

// startRelayFleet starts a fleet and waits until its processes hold leases.
func startRelayFleet(t *testing.T, config relayFleetConfig) *relayFleet {
	t.Helper()
	f := newRelayFleet(t, config)
	t.Cleanup(f.cleanUp)
	f.must(f.startEngines())
	f.must(f.writeKeys("keys", relayFleetKeyByte))
	var err error
	f.keys, err = transport.ReadKeys(f.path("keys"))
	f.must(err)
	f.addProcesses(config)
	for i, p := range f.members[:len(f.members)-len(f.lateMembers)] {
		f.must(f.writeSetup(p, f.setupFor(i, p)))
		f.must(f.startProcess(p))
		f.monitor.poll(f, p)
	}
	f.requireServing()
	return f
}

// newRelayFleet returns a fleet without processes, with the histories that check its behaviour.
func newRelayFleet(t *testing.T, config relayFleetConfig) *relayFleet {
	// The test's own context would be cancelled before cleanUp can query the processes.
	ctx, cancel := context.WithCancel(context.Background())
	g := &faultFleet{
		FaultFleetConfig: FaultFleetConfig{Program: buildPrograms(t), Seed: 1, Lease: relayFleetLease},
		ctx:              ctx,
		cancel:           cancel,
		startedAt:        time.Now(),
		dir:              t.TempDir(),
		rng:              rand.New(rand.NewPCG(1, 0x7e1a)),
		stopClients:      make(chan struct{}),
		sentQueries:      map[string]*fleetSentQuery{},
		markerVersions:   map[int]markerVersion{0: {"the set-up's", 1}},
		nextMarker:       1,
		latestVersion:    1,
		faultCounts:      map[string]int{},
		knownOutcomes:    map[string]string{},
	}
	g.queryHistory = historycheck.History{
		KeyRest:        300 * time.Millisecond,
		DrainGrace:     time.Second,
		MaxSubmissions: 3,
		Slack:          relayFleetSlack,
	}
	g.queryHistory.AddGroup("lookup", "read-only", false)
	g.queryHistory.AddGroup("report", "read-only", false)
	g.queryHistory.AddGroup("load", "mutating", true)
	g.fleetHistory.Slack = relayFleetSlack
	g.fleetHistory.AddRules(0, "the set-up's", g.placementRule())
	return &relayFleet{
		faultFleet:    g,
		t:             t,
		confinedLease: config.confinedLease,
		monitor:       &relayStatusMonitor{},
	}
}

// addProcesses creates the mesh and adds all processes of the configuration, without starting them.
func (f *relayFleet) addProcesses(config relayFleetConfig) {
	f.t.Helper()
	names := slices.Concat(
		numberedNames("c", config.controllers),
		numberedNames("v", relayFleetVoters),
		numberedNames("r", relayFleetRelays),
		config.lateMembers,
	)
	f.mesh = faultproxy.NewMesh(names...)
	f.cleanups = append(f.cleanups, f.mesh.Close)
	for _, name := range names {
		f.addProcess(name)
	}
	firstVoter, firstRelay := config.controllers, config.controllers+relayFleetVoters
	firstLate := firstRelay + relayFleetRelays
	f.controllers, f.voters = f.members[:firstVoter], f.members[firstVoter:firstRelay]
	f.relays, f.lateMembers = f.members[firstRelay:firstLate], f.members[firstLate:]
	f.observedVersions = make([][]versionObservation, config.controllers)
}

// numberedNames returns n names with a prefix.
func numberedNames(prefix string, n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint(prefix, i))
	}
	return names
}

// cleanUp logs the state of the processes if the test failed, and ends them.
func (f *relayFleet) cleanUp() {
	if f.t.Failed() {
		f.t.Log(f.diagnostics())
	}
	f.close()
}

// must ends the test with a failure if err isn't nil.
func (f *relayFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// writeKeys writes a key file with one key, which repeats a byte.
func (f *relayFleet) writeKeys(file, hexByte string) error {
	const keyBytes = 32
	return os.WriteFile(f.path(file), []byte(strings.Repeat(hexByte, keyBytes)), 0o600)
}

func (f *relayFleet) writeSetup(p *fleetProcess, setup string) error {
	return os.WriteFile(f.path(p.name+".yaml"), []byte(setup), 0o600)
}

// addProcess adds a process with its addresses and links, without starting it.
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
	// These constants are the numbers of the runs of a process. Each run has ports of its own.
	relayFirstRun = iota
	relaySecondRun
	relayRefusedRun

	// The ports are below the system's ephemeral ports. Otherwise the system could give a port to an
	// outgoing connection before the process that listens on the port is started or restarted.
	relayBasePort        = 10_000
	relayPortsPerProcess = 16 // ports of each test process, at each IP address
	relayPortBlocks      = 1_300
	relayPortsPerRun     = 3
	relayPeerPort        = 0
	relayClientPort      = 1
	relayOperatorPort    = 2
)

// assignAddresses sets the addresses of one run of a process. name is the name of the process in the mesh.
func (f *relayFleet) assignAddresses(p *fleetProcess, name string, run int) {
	firstPort := relayBasePort + os.Getpid()%relayPortBlocks*relayPortsPerProcess + run*relayPortsPerRun
	at := func(port int) string {
		return net.JoinHostPort(f.mesh.SourceAddress(name), strconv.Itoa(firstPort+port))
	}
	p.listenAddress = at(relayPeerPort)
	p.clientAddress = at(relayClientPort)
	p.controlAddress = at(relayOperatorPort)
}

// setupFor returns the set-up of p, which is member i.
func (f *relayFleet) setupFor(i int, p *fleetProcess) string {
	switch {
	case slices.Contains(f.controllers, p):
		return f.controllerSetup(p, f.relaysFor(i)...)
	case slices.Contains(f.relays, p):
		return f.controlSetup(p, relayRoleSettings)
	}
	return f.controlSetup(p, controlRoleSettings)
}

// relaysFor returns the settings of a controller's relays. Successive controllers list the relays in
// alternating order, so that each relay is the first relay of half of the controllers.
func (f *relayFleet) relaysFor(number int) []string {
	first, second := f.relays[number%relayFleetRelays], f.relays[(number+1)%relayFleetRelays]
	return []string{peerSettings(first), peerSettings(second)}
}

// peerSettings returns a process's entry in the set-ups of its peers.
func peerSettings(p *fleetProcess) string {
	return fmt.Sprintf("{name: %s, address: %q}", p.name, p.peerAddress)
}

// controllerSetup returns the set-up of a controller that renews its lease through relays.
func (f *relayFleet) controllerSetup(p *fleetProcess, relays ...string) string {
	const noVoters = "  voters:\n"
	relaysAndVoters := fmt.Sprintf("  relays: [%s]\n%s", strings.Join(relays, ", "), f.voterSettings())
	setup := strings.Replace(f.setupYAML(p), noVoters, relaysAndVoters, 1)
	return strings.Replace(setup, confinedLeaseSetting(f.Lease/2), confinedLeaseSetting(f.confinedLease), 1)
}

// controlSetup returns the set-up of a process of the control role. roleSettings are lines of the fleet
// section.
func (f *relayFleet) controlSetup(p *fleetProcess, roleSettings string) string {
	return fmt.Sprintf("name: %s\nlog: info\nlimits: {cores: 1, memory_mb: 128}\nfleet:\n"+
		"  name: together\n%s  listen: %s\n  address: %s\n  control: %s\n  directory: %q\n  keys: %q\n"+
		"  lease: %v\n%s  election: %v\n  heartbeat: %v\n  keep: 256\n%s%s",
		p.name, roleSettings, p.listenAddress, p.peerAddress, p.controlAddress, f.path(p.name+"-fleet"),
		f.path("keys"), f.Lease, confinedLeaseSetting(f.confinedLease), relayFleetElectionTimeout,
		relayFleetHeartbeat, f.voterSettings(), placementYAML(0))
}

// confinedLeaseSetting returns the set-up's line with the lease of confined tenants.
func confinedLeaseSetting(lease time.Duration) string {
	return fmt.Sprintf("  lease_bound: %v\n", lease)
}

// voterSettings returns the lines of a set-up that list the voters.
func (f *relayFleet) voterSettings() string {
	lines := "  voters:\n"
	for _, v := range f.voters {
		lines += fmt.Sprintf("    - %s\n", peerSettings(v))
	}
	return lines
}

// isProcessRunning reports whether a process was started and isn't paused.
func isProcessRunning(p *fleetProcess) bool { return p.command != nil && !p.paused }

// requireEventually waits until a condition holds, and fails the test after relayFleetWaitLimit.
func (f *relayFleet) requireEventually(description string, condition func() bool) {
	f.t.Helper()
	f.must(f.waitFor(relayFleetWaitLimit, description, condition))
}

// requireLeader waits until a voter reports that it is the leader.
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

// requestTarget returns a running voter for an operator's requests. It returns the leader only if no other
// voter is running.
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

// requireServing waits until all started processes except the excluded ones hold a lease and have the latest
// version that was reported as in force.
func (f *relayFleet) requireServing(excluded ...*fleetProcess) {
	f.t.Helper()
	for _, p := range f.members {
		if p.command == nil || slices.Contains(excluded, p) {
			continue
		}
		f.requireEventually(p.name+" serves", func() bool {
			s := f.status(p)
			return s.Serves && s.Version >= f.versionInForce()
		})
	}
}

// versionInForce returns the latest version that was reported as in force.
func (f *relayFleet) versionInForce() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestVersion
}

// requireChange requests a policy change from a process and waits until the change is in force.
func (f *relayFleet) requireChange(target *fleetProcess) {
	f.t.Helper()
	change := f.newChange(f.versionInForce(), 0, false)
	f.requireInForce(target, change)
}

// requireInForce repeats the request for a change until it has an outcome, which must be "in force".
func (f *relayFleet) requireInForce(target *fleetProcess, change *fleet.Request) {
	f.t.Helper()
	outcome := ""
	f.requireEventually("an outcome of "+change.ID, func() bool {
		outcome = f.applyChange(target, change)
		return outcome != "unknown"
	})
	if outcome != "in force" {
		f.t.Fatalf("outcome of %s is %q, want \"in force\"", change.ID, outcome)
	}
}

// injectDuringChange calls inject while a change waits for an isolated controller, reconnects the controller
// and waits until the change is in force. If the change had its outcome before inject returned,
// injectDuringChange calls undo and tries again.
func (f *relayFleet) injectDuringChange(inject, undo func()) {
	f.t.Helper()
	const maxTries = 5
	for range maxTries {
		if f.tryInjectDuringChange(inject) {
			return
		}
		undo()
		f.requireServing()
	}
	f.t.Fatalf("in %d tries, no change waited for the isolated controller %s until the fault was injected",
		maxTries, f.heldController().name)
}

// tryInjectDuringChange makes a change wait for heldController and calls inject. It reports whether the
// change still had no outcome when inject returned.
func (f *relayFleet) tryInjectDuringChange(inject func()) (pending bool) {
	f.t.Helper()
	held := f.heldController()
	target, leader := f.requestTarget(), f.requireLeader()
	change := f.newChange(f.versionInForce(), 0, false)
	f.mesh.Isolate(held.name)
	requestDone := make(chan struct{})
	go func() {
		defer close(requestDone)
		f.applyChange(target, change)
	}()
	f.requireEventually(change.ID+" is under way", func() bool {
		return f.changeWaitsFor(leader, change.ID, held.name) || f.hasOutcome(change.ID)
	})
	inject()
	pending = slices.ContainsFunc(f.voters, func(p *fleetProcess) bool {
		return f.hasPendingChange(p, change.ID)
	})
	f.mesh.SetFault(held.name, "", faultproxy.Fault{})
	f.mesh.SetFault("", held.name, faultproxy.Fault{})
	<-requestDone
	f.requireInForce(f.requestTarget(), change)
	return pending
}

// heldController returns the controller that tryInjectDuringChange isolates.
func (f *relayFleet) heldController() *fleetProcess { return f.controllers[len(f.controllers)-1] }

// changeWaitsFor reports whether the leader's status shows that a change waits for a controller.
func (f *relayFleet) changeWaitsFor(leader *fleetProcess, changeID, controller string) bool {
	c := f.status(leader).Change
	return c != nil && c.ID == changeID && slices.Contains(c.Outstanding, controller)
}

// hasPendingChange reports whether a process knows of a change that has no outcome yet.
func (f *relayFleet) hasPendingChange(p *fleetProcess, changeID string) bool {
	if !isProcessRunning(p) {
		return false
	}
	c := f.status(p).Change
	return c != nil && c.ID == changeID && c.Outcome == "unknown"
}

// hasOutcome reports whether an operator received the outcome of a change.
func (f *relayFleet) hasOutcome(changeID string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownOutcomes[changeID] != ""
}
