package bench

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/transport"
)

// foreignRelayCases are played on one fleet without clients.
func foreignRelayCases() []relayCase {
	return []relayCase{
		{"relays of other fleets", testForeignRelays, false},
		{"controllers join within a second", testControllersJoinDuringChanges, false},
	}
}

// foreignRelay is a relay that isn't of the fleet and leads one of its own, and the controller
// that names it as its first one.
type foreignRelay struct {
	relayName, controllerName string // names
	expectedName              string // what the controller takes the relay to be called
	fleet, key                string // of the relay
	rejection                 transport.RejectionError
}

const (
	foreignRelayKeyByte = "e5" // a byte of another fleet's key, in hex
	relayJoinerCount    = 20
	relayJoinDuration   = time.Second
)

func foreignRelaySpecs() []foreignRelay {
	return []foreignRelay{
		{"x0", "n0", "x0", "another", relayFleetKeyByte, &transport.OtherFleetError{From: "n0", Fleet: "together", Own: "another"}},
		{"x1", "n1", "x1", "together", foreignRelayKeyByte, &transport.UnauthenticatedError{What: "a frame"}},
		{"x2", "n2", "r0", "together", relayFleetKeyByte, &transport.WrongRecipientError{From: "n2", To: "r0", Own: "x2"}},
	}
}

func foreignRelayNames() (names []string) {
	for _, x := range foreignRelaySpecs() {
		names = append(names, x.relayName, x.controllerName)
	}
	return names
}

func relayJoinerNames() []string { return numberedNames("j", relayJoinerCount) }

// memberNamed is the member of a name.
func (f *relayFleet) memberNamed(name string) *fleetProcess {
	for _, p := range f.members {
		if p.name == name {
			return p
		}
	}
	f.t.Fatal("nobody is called ", name)
	return nil
}

// testForeignRelays has controllers name a relay that belongs to another fleet, has another
// key or is another one than it is taken for. It refuses them by a typed error, and they
// are served by their second relay alone.
func testForeignRelays(f *relayFleet) {
	for _, x := range foreignRelaySpecs() {
		f.startForeignRelay(x)
	}
	for _, x := range foreignRelaySpecs() {
		f.startMisledController(x)
	}
	for _, x := range foreignRelaySpecs() {
		f.cutFromVoters(f.memberNamed(x.controllerName)) // so that the leader itself can't serve it
	}
	f.waitPastLease()
	for _, x := range foreignRelaySpecs() {
		p := f.memberNamed(x.controllerName)
		f.requireEventually(p.name+" serves by its second relay", func() bool { return f.status(p).Serves })
		f.checkRejectedBy(x)
	}
	f.requireChange(f.requestTarget())
	for _, x := range foreignRelaySpecs() {
		f.kill(f.memberNamed(x.controllerName))
		f.kill(f.memberNamed(x.relayName))
	}
	f.mesh.Heal()
}

// startForeignRelay starts a foreign relay, the only voter of its own fleet.
func (f *relayFleet) startForeignRelay(x foreignRelay) {
	f.t.Helper()
	relay, keyFile := f.memberNamed(x.relayName), "keys-"+x.relayName
	f.must(f.writeKeys(keyFile, x.key))
	own := fmt.Sprintf("  voters: [%s]\n", peerSettings(relay))
	setup := f.controlSetup(relay, relayRoleSettings)
	for old, replacement := range map[string]string{f.voterSettings(): own, "  name: together\n": "  name: " + x.fleet + "\n",
		f.path("keys"): f.path(keyFile)} {
		setup = strings.Replace(setup, old, replacement, 1)
	}
	f.must(f.writeSetup(relay, setup))
	f.must(f.startProcess(relay))
}

// startMisledController starts the controller that names a foreign relay, once that leads its fleet.
func (f *relayFleet) startMisledController(x foreignRelay) {
	f.t.Helper()
	relay, controller := f.memberNamed(x.relayName), f.memberNamed(x.controllerName)
	f.requireEventually(relay.name+" leads its own fleet", func() bool { return f.foreignStatus(x).Leader == relay.name })
	first := fmt.Sprintf("{name: %s, address: %q}", x.expectedName, relay.peerAddress)
	f.must(f.writeSetup(controller, f.controllerSetup(controller, first, peerSettings(f.relays[1]))))
	f.must(f.startProcess(controller))
	f.monitor.poll(f, controller)
	f.requireEventually(controller.name+" serves", func() bool { return f.status(controller).Serves })
}

// foreignStatus is how a foreign relay sees its own fleet.
func (f *relayFleet) foreignStatus(x foreignRelay) *fleet.Status {
	keys, err := transport.ReadKeys(f.path("keys-" + x.relayName))
	f.must(err)
	ctx, stop := context.WithTimeout(f.ctx, relayFleetWaitLimit)
	defer stop()
	reply, err := transport.SendControlRequest(ctx, f.memberNamed(x.relayName).controlAddress, keys,
		&fleet.Request{Kind: "status"})
	if err != nil || reply.Status == nil {
		return &fleet.Status{}
	}
	return reply.Status
}

// checkRejectedBy checks that a foreign relay has counted and named what it refused, that its
// controller was told, and that the controller isn't known to it.
func (f *relayFleet) checkRejectedBy(x foreignRelay) {
	f.t.Helper()
	status := f.foreignStatus(x)
	if status.Counts["wire_refused_"+x.rejection.Reason()] == 0 {
		f.t.Errorf("%s has refused nothing as %s: %v", x.relayName, x.rejection.Reason(), status.Counts)
	}
	for _, m := range status.Members {
		if m.Name == x.controllerName {
			f.t.Errorf("%s has taken %s in", x.relayName, x.controllerName)
		}
	}
	said, err := os.ReadFile(f.path(x.relayName + ".log"))
	f.must(err)
	if !strings.Contains(string(said), x.rejection.Remedy()) {
		f.t.Errorf("%s doesn't say what to do about %q: %s", x.relayName, x.rejection, said)
	}
	if counts := f.status(f.memberNamed(x.controllerName)).Counts; counts["wire_refused_turned_away"] == 0 {
		f.t.Errorf("%s wasn't told that it is refused: %v", x.controllerName, counts)
	}
}

// testControllersJoinDuringChanges starts controllers one after another within a second, while one change follows
// another.
func testControllersJoinDuringChanges(f *relayFleet) {
	begin := time.Now()
	quit, changed := make(chan struct{}), make(chan int)
	by := f.requestTarget()
	go func() { changed <- f.applyChangesUntil(by, quit) }()
	for i, name := range relayJoinerNames() {
		p := f.memberNamed(name)
		f.must(f.writeSetup(p, f.controllerSetup(p, f.relaysFor(i)...)))
		f.must(f.startProcess(p))
		f.monitor.poll(f, p)
		time.Sleep(relayJoinDuration / relayJoinerCount)
	}
	started := time.Since(begin)
	f.requireServing()
	served := time.Since(begin)
	close(quit)
	f.t.Logf("%d started within %d ms, serve after %d ms, with %d changes meanwhile", relayJoinerCount, started.Milliseconds(), served.Milliseconds(), <-changed)
	f.requireChange(f.requestTarget())
	f.requireServing()
}

// applyChangesUntil has one change after another come into force until quit, and counts them.
func (f *relayFleet) applyChangesUntil(by *fleetProcess, quit chan struct{}) (changed int) {
	for {
		a := f.newChange(f.versionInForce(), 0, false)
		for word := "unknown"; word == "unknown"; word = f.applyChange(by, a) {
			if f.ctx.Err() != nil {
				return changed
			}
		}
		changed++
		select {
		case <-quit:
			return changed
		default:
		}
	}
}
