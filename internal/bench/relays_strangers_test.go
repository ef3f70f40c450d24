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

// foreignRelayCases returns the cases that run on one fleet without clients.
func foreignRelayCases() []relayCase {
	return []relayCase{
		{"relays of other fleets", testForeignRelays, false},
		{"controllers join within a second", testControllersJoinDuringChanges, false},
	}
}

// foreignRelay is a relay that leads a fleet of its own. A wrong setting makes it the first relay of a
// controller of the tested fleet.
type foreignRelay struct {
	relayName, controllerName string
	expectedName              string // name of the relay in the controller's settings
	fleet, keyByte            string // fleet name and key byte in the relay's settings
	rejection                 transport.RejectionError
}

const (
	foreignRelayKeyByte = "e5" // the key of another fleet repeats this byte, given in hex
	relayJoinerCount    = 20
	relayJoinDuration   = time.Second
)

// foreignRelaySpecs returns a relay of another fleet, a relay with another key, and a relay whose name
// differs from its name in the controller's settings.
func foreignRelaySpecs() []foreignRelay {
	return []foreignRelay{
		{
			relayName: "x0", controllerName: "n0", expectedName: "x0",
			fleet: "another", keyByte: relayFleetKeyByte,
			rejection: &transport.OtherFleetError{From: "n0", Fleet: "together", Own: "another"},
		},
		{
			relayName: "x1", controllerName: "n1", expectedName: "x1",
			fleet: "together", keyByte: foreignRelayKeyByte,
			rejection: &transport.UnauthenticatedError{What: "a frame"},
		},
		{
			relayName: "x2", controllerName: "n2", expectedName: "r0",
			fleet: "together", keyByte: relayFleetKeyByte,
			rejection: &transport.WrongRecipientError{From: "n2", To: "r0", Own: "x2"},
		},
	}
}

// foreignRelayNames returns the names of the foreign relays and of their controllers.
func foreignRelayNames() (names []string) {
	for _, x := range foreignRelaySpecs() {
		names = append(names, x.relayName, x.controllerName)
	}
	return names
}

func relayJoinerNames() []string { return numberedNames("j", relayJoinerCount) }

// memberNamed returns the member with a name, or fails the test.
func (f *relayFleet) memberNamed(name string) *fleetProcess {
	for _, p := range f.members {
		if p.name == name {
			return p
		}
	}
	f.t.Fatalf("the fleet has no member %q", name)
	return nil
}

// testForeignRelays starts controllers whose first relay is a foreign relay. The foreign relay must reject
// the controllers with the expected error. The controllers must then serve through their second relay.
func testForeignRelays(f *relayFleet) {
	for _, x := range foreignRelaySpecs() {
		f.startForeignRelay(x)
	}
	for _, x := range foreignRelaySpecs() {
		f.startMisledController(x)
	}
	for _, x := range foreignRelaySpecs() {
		// Without a link to the voters, the controller can't renew its lease at the leader.
		f.cutFromVoters(f.memberNamed(x.controllerName))
	}
	f.waitPastLease()
	for _, x := range foreignRelaySpecs() {
		p := f.memberNamed(x.controllerName)
		f.requireEventually(p.name+" serves through its second relay", func() bool { return f.status(p).Serves })
		f.checkRejectedBy(x)
	}
	f.requireChange(f.requestTarget())
	for _, x := range foreignRelaySpecs() {
		f.kill(f.memberNamed(x.controllerName))
		f.kill(f.memberNamed(x.relayName))
	}
	f.mesh.Heal()
}

// startForeignRelay starts a foreign relay as the only voter of its own fleet.
func (f *relayFleet) startForeignRelay(x foreignRelay) {
	f.t.Helper()
	relay, keyFile := f.memberNamed(x.relayName), "keys-"+x.relayName
	f.must(f.writeKeys(keyFile, x.keyByte))
	setup := f.controlSetup(relay, relayRoleSettings)
	for old, replacement := range map[string]string{
		f.voterSettings():    fmt.Sprintf("  voters: [%s]\n", peerSettings(relay)),
		"  name: together\n": "  name: " + x.fleet + "\n",
		f.path("keys"):       f.path(keyFile),
	} {
		setup = strings.Replace(setup, old, replacement, 1)
	}
	f.must(f.writeSetup(relay, setup))
	f.must(f.startProcess(relay))
}

// startMisledController waits until a foreign relay leads its fleet, and then starts the controller whose
// settings have this relay.
func (f *relayFleet) startMisledController(x foreignRelay) {
	f.t.Helper()
	relay, controller := f.memberNamed(x.relayName), f.memberNamed(x.controllerName)
	f.requireEventually(relay.name+" leads its own fleet", func() bool {
		return f.foreignStatus(x).Leader == relay.name
	})
	firstRelay := fmt.Sprintf("{name: %s, address: %q}", x.expectedName, relay.peerAddress)
	secondRelay := peerSettings(f.relays[1])
	f.must(f.writeSetup(controller, f.controllerSetup(controller, firstRelay, secondRelay)))
	f.must(f.startProcess(controller))
	f.monitor.poll(f, controller)
	f.requireEventually(controller.name+" serves", func() bool { return f.status(controller).Serves })
}

// foreignStatus returns a foreign relay's status, which is empty if the relay doesn't answer.
func (f *relayFleet) foreignStatus(x foreignRelay) *fleet.Status {
	keys, err := transport.ReadKeys(f.path("keys-" + x.relayName))
	f.must(err)
	ctx, cancel := context.WithTimeout(f.ctx, relayFleetWaitLimit)
	defer cancel()
	address := f.memberNamed(x.relayName).controlAddress
	response, err := transport.SendControlRequest(ctx, address, keys, &fleet.Request{Kind: "status"})
	if err != nil || response.Status == nil {
		return &fleet.Status{}
	}
	return response.Status
}

// checkRejectedBy checks that a foreign relay counted and logged the rejection of its controller, and didn't
// add the controller to its fleet. It also checks that the controller counted the rejection.
func (f *relayFleet) checkRejectedBy(x foreignRelay) {
	f.t.Helper()
	status := f.foreignStatus(x)
	if status.Counts["wire_refused_"+x.rejection.Reason()] == 0 {
		f.t.Errorf("%s has counted no rejection with the reason %q: %v",
			x.relayName, x.rejection.Reason(), status.Counts)
	}
	for _, m := range status.Members {
		if m.Name == x.controllerName {
			f.t.Errorf("%s has added %s to the members of its fleet", x.relayName, x.controllerName)
		}
	}
	text, err := os.ReadFile(f.path(x.relayName + ".log"))
	f.must(err)
	if !strings.Contains(string(text), x.rejection.Remedy()) {
		f.t.Errorf("the log of %s lacks the remedy for %q: %s", x.relayName, x.rejection, text)
	}
	counts := f.status(f.memberNamed(x.controllerName)).Counts
	if counts["wire_refused_turned_away"] == 0 {
		f.t.Errorf("%s has counted no rejection by its peer: %v", x.controllerName, counts)
	}
}

// testControllersJoinDuringChanges starts controllers within a second, while policy changes follow one
// another.
func testControllersJoinDuringChanges(f *relayFleet) {
	begin := time.Now()
	stop, changeCount := make(chan struct{}), make(chan int)
	target := f.requestTarget()
	go func() { changeCount <- f.applyChangesUntil(target, stop) }()
	for i, name := range relayJoinerNames() {
		p := f.memberNamed(name)
		f.must(f.writeSetup(p, f.controllerSetup(p, f.relaysFor(i)...)))
		f.must(f.startProcess(p))
		f.monitor.poll(f, p)
		time.Sleep(relayJoinDuration / relayJoinerCount)
	}
	startTime := time.Since(begin)
	f.requireServing()
	servingTime := time.Since(begin)
	close(stop)
	f.t.Logf("%d controllers were started within %d ms and served after %d ms, with %d changes meanwhile",
		relayJoinerCount, startTime.Milliseconds(), servingTime.Milliseconds(), <-changeCount)
	f.requireChange(f.requestTarget())
	f.requireServing()
}

// applyChangesUntil requests one policy change after another until stop is closed, and returns the number of
// changes that have an outcome.
func (f *relayFleet) applyChangesUntil(target *fleetProcess, stop chan struct{}) (count int) {
	for {
		change := f.newChange(f.versionInForce(), 0, false)
		for outcome := "unknown"; outcome == "unknown"; outcome = f.applyChange(target, change) {
			if f.ctx.Err() != nil {
				return count
			}
		}
		count++
		select {
		case <-stop:
			return count
		default:
		}
	}
}
