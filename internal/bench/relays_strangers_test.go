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

// strangerRounds are played on one fleet without clients.
func strangerRounds() []relayRound {
	return []relayRound{
		{"relays of other fleets", foreignRelays, false},
		{"controllers join within a second", manyJoin, false},
	}
}

// foreign is a relay that isn't of the fleet and leads one of its own, and the controller
// that names it as its first one.
type foreign struct {
	relay, controller string // names
	named             string // what the controller takes the relay to be called
	fleet, key        string // of the relay
	refused           transport.RejectionError
}

const (
	keyOfStranger = "e5" // a byte of another fleet's key, in hex
	joiners       = 20
	joinWithin    = time.Second
)

func foreigners() []foreign {
	return []foreign{
		{"x0", "n0", "x0", "another", keyOfFleet, &transport.OtherFleetError{From: "n0", Fleet: "together", Own: "another"}},
		{"x1", "n1", "x1", "together", keyOfStranger, &transport.UnauthenticatedError{What: "a frame"}},
		{"x2", "n2", "r0", "together", keyOfFleet, &transport.WrongRecipientError{From: "n2", To: "r0", Own: "x2"}},
	}
}

func foreignNames() (names []string) {
	for _, x := range foreigners() {
		names = append(names, x.relay, x.controller)
	}
	return names
}

func joinerNames() []string { return numbered("j", joiners) }

// named is the member of a name.
func (f *relayed) named(name string) *fleetProcess {
	for _, p := range f.members {
		if p.name == name {
			return p
		}
	}
	f.t.Fatal("nobody is called ", name)
	return nil
}

// foreignRelays has controllers name a relay that belongs to another fleet, has another
// key or is another one than it is taken for. It refuses them by a typed error, and they
// are served by their second relay alone.
func foreignRelays(f *relayed) {
	for _, x := range foreigners() {
		f.startForeignRelay(x)
	}
	for _, x := range foreigners() {
		f.startMisled(x)
	}
	for _, x := range foreigners() {
		f.cutFromVoters(f.named(x.controller)) // so that the leader itself can't serve it
	}
	f.pastLease()
	for _, x := range foreigners() {
		p := f.named(x.controller)
		f.awaits(p.name+" serves by its second relay", func() bool { return f.status(p).Serves })
		f.refusedBy(x)
	}
	f.changes(f.asker())
	for _, x := range foreigners() {
		f.kill(f.named(x.controller))
		f.kill(f.named(x.relay))
	}
	f.mesh.Heal()
}

// startForeignRelay starts a foreign relay, the only voter of its own fleet.
func (f *relayed) startForeignRelay(x foreign) {
	f.t.Helper()
	relay, keyFile := f.named(x.relay), "keys-"+x.relay
	f.must(f.writeKeys(keyFile, x.key))
	own := fmt.Sprintf("  voters: [%s]\n", namedAt(relay))
	setup := f.controlSetup(relay, relayFleetPart)
	for old, replacement := range map[string]string{f.voterLines(): own, "  name: together\n": "  name: " + x.fleet + "\n",
		f.path("keys"): f.path(keyFile)} {
		setup = strings.Replace(setup, old, replacement, 1)
	}
	f.must(f.write(relay, setup))
	f.must(f.startProcess(relay))
}

// startMisled starts the controller that names a foreign relay, once that leads its fleet.
func (f *relayed) startMisled(x foreign) {
	f.t.Helper()
	relay, controller := f.named(x.relay), f.named(x.controller)
	f.awaits(relay.name+" leads its own fleet", func() bool { return f.foreignStatus(x).Leader == relay.name })
	first := fmt.Sprintf("{name: %s, address: %q}", x.named, relay.peerAddress)
	f.must(f.write(controller, f.controllerSetup(controller, first, namedAt(f.relays[1]))))
	f.must(f.startProcess(controller))
	f.watch.follow(f, controller)
	f.awaits(controller.name+" serves", func() bool { return f.status(controller).Serves })
}

// foreignStatus is how a foreign relay sees its own fleet.
func (f *relayed) foreignStatus(x foreign) *fleet.Status {
	keys, err := transport.ReadKeys(f.path("keys-" + x.relay))
	f.must(err)
	ctx, stop := context.WithTimeout(f.ctx, comesWithin)
	defer stop()
	reply, err := transport.SendControlRequest(ctx, f.named(x.relay).controlAddress, keys,
		&fleet.Request{Kind: "status"})
	if err != nil || reply.Status == nil {
		return &fleet.Status{}
	}
	return reply.Status
}

// refusedBy checks that a foreign relay has counted and named what it refused, that its
// controller was told, and that the controller isn't known to it.
func (f *relayed) refusedBy(x foreign) {
	f.t.Helper()
	status := f.foreignStatus(x)
	if status.Counts["wire_refused_"+x.refused.Reason()] == 0 {
		f.t.Errorf("%s has refused nothing as %s: %v", x.relay, x.refused.Reason(), status.Counts)
	}
	for _, m := range status.Members {
		if m.Name == x.controller {
			f.t.Errorf("%s has taken %s in", x.relay, x.controller)
		}
	}
	said, err := os.ReadFile(f.path(x.relay + ".log"))
	f.must(err)
	if !strings.Contains(string(said), x.refused.Remedy()) {
		f.t.Errorf("%s doesn't say what to do about %q: %s", x.relay, x.refused, said)
	}
	if counts := f.status(f.named(x.controller)).Counts; counts["wire_refused_turned_away"] == 0 {
		f.t.Errorf("%s wasn't told that it is refused: %v", x.controller, counts)
	}
}

// manyJoin starts controllers one after another within a second, while one change follows
// another.
func manyJoin(f *relayed) {
	begin := time.Now()
	quit, changed := make(chan struct{}), make(chan int)
	by := f.asker()
	go func() { changed <- f.keepChanging(by, quit) }()
	for i, name := range joinerNames() {
		p := f.named(name)
		f.must(f.write(p, f.controllerSetup(p, f.relaysOf(i)...)))
		f.must(f.startProcess(p))
		f.watch.follow(f, p)
		time.Sleep(joinWithin / joiners)
	}
	started := time.Since(begin)
	f.serveAll()
	served := time.Since(begin)
	close(quit)
	f.t.Logf("%d started within %d ms, serve after %d ms, with %d changes meanwhile", joiners, started.Milliseconds(), served.Milliseconds(), <-changed)
	f.changes(f.asker())
	f.serveAll()
}

// keepChanging has one change after another come into force until quit, and counts them.
func (f *relayed) keepChanging(by *fleetProcess, quit chan struct{}) (changed int) {
	for {
		a := f.newChange(f.inForce(), 0, false)
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
