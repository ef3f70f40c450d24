package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"railrelay.dev/railrelay/internal/fleet/node"
)

// send delivers a message to another controller. Faults may drop, delay or duplicate the message. A
// MessageFault may also kill the sender, or kill or pause the receiver.
func (run *scheduleRun) send(sender *simulatedController, effect node.Effect) {
	receiver := run.byName[effect.To]
	if receiver == nil {
		run.addViolation("%s sends a message to the unknown controller %s", sender.name, effect.To)
		return
	}
	run.result.Messages++
	message := effect.Message
	if message.Grant != nil && message.Grant.Granted {
		run.leader = sender.name
	}
	if run.EncodeMessages {
		encoded, err := cbor.Marshal(message)
		message = &node.Message{}
		if err == nil {
			err = cbor.Unmarshal(encoded, message)
		}
		if err != nil {
			run.addViolation("a message can't be encoded and decoded: %v", err)
			return
		}
	}
	latency, copies := run.randomDuration(100*time.Microsecond, 2*time.Millisecond), 1
	if run.now < run.lossyUntil {
		switch choice := run.rng.IntN(10); {
		case choice == 0:
			run.countFault("lost", sender.name, receiver.name)
			return
		case choice == 1:
			copies = 2
			run.countFault("doubled", sender.name, receiver.name)
		case choice <= 3:
			latency += run.randomDuration(0, 400*time.Millisecond)
			run.countFault("late", sender.name, receiver.name)
		}
	}
	if run.countMessages && run.MessageFault != nil {
		if run.countedMessages++; run.countedMessages == run.MessageFault.MessageNumber {
			kind := run.MessageFault.Kind
			run.history.Note(run.now,
				fmt.Sprintf("message %d, from %s to %s: %s", run.countedMessages, sender.name, receiver.name, kind),
				sender.name, receiver.name)
			run.countFault(kind, sender.name, receiver.name)
			duration := run.randomDuration(20*time.Millisecond, 3*run.Lease)
			switch kind {
			case "lost":
				return
			case "doubled":
				copies = 2
			case "late":
				latency += run.randomDuration(50*time.Millisecond, 2*run.Lease)
			case "sender", "receiver":
				victim := sender
				if kind == "receiver" {
					victim = receiver
				}
				run.scheduleAfter(0, nil, func() { run.kill(victim) })
				run.scheduleAfter(duration, nil, func() {
					if victim.down {
						run.startController(victim)
					}
				})
			case "stopped":
				receiver.pausedUntil = run.now + duration
			case "cut":
				run.cutUntil[[2]string{sender.name, receiver.name}] = run.now + duration
				return
			}
		}
	}
	for range copies {
		run.scheduleAfter(latency, nil, func() {
			if run.now < run.cutUntil[[2]string{sender.name, receiver.name}] || receiver.down {
				return
			}
			run.scheduleAfter(0, receiver,
				func() { run.step(receiver, node.Event{Kind: node.MessageReceived, Message: message}) })
		})
	}
}

// describeState returns the kinds of the operations in progress, whether no, some or all controllers are
// fenced, and the number of their policy versions. An example is "apply+purge, some fenced, 2 versions".
// An operation is in progress until an operator receives its outcome.
func (run *scheduleRun) describeState() string {
	kinds := map[string]bool{}
	for _, operation := range run.operations {
		if !operation.done {
			kinds[operation.request.Kind] = true
		}
	}
	fenced, versions := 0, map[uint64]bool{}
	for _, controller := range run.fleet {
		if !controller.down && controller.fencedChange != "" || controller.version == 0 {
			fenced++
		}
		versions[controller.version] = true
	}
	fences := "none fenced"
	switch {
	case fenced == len(run.fleet):
		fences = "all fenced"
	case fenced > 0:
		fences = "some fenced"
	}
	return strings.Join(slices.Sorted(maps.Keys(kinds)), "+") + ", " + fences +
		fmt.Sprintf(", %d versions", len(versions))
}

// countFault counts a fault on the named controllers by its kind. It also counts the fault by the role of
// these controllers and the state of the operations.
func (run *scheduleRun) countFault(kind string, names ...string) {
	run.result.FaultsByKind[kind]++
	role := "followers"
	for _, name := range names {
		switch i := slices.Index(run.fleet, run.byName[name]); {
		case name == run.leader:
			role = "leader"
		case i < run.Voters && role != "leader":
			role = "voter"
		}
	}
	run.result.FaultStates[kind+" of "+role+": "+run.describeState()]++
}

// injectFaults injects a random fault and schedules its own next call. It injects half of the faults at the
// leader, if there is one, and the other half at random controllers.
func (run *scheduleRun) injectFaults() {
	if run.settling || run.FaultsPerSecond <= 0 {
		return
	}
	run.scheduleAfter(time.Duration(run.rng.ExpFloat64()/run.FaultsPerSecond*float64(time.Second)), nil,
		run.injectFaults)
	target := run.fleet[run.rng.IntN(len(run.fleet))]
	if leader := run.byName[run.leader]; leader != nil && run.rng.IntN(2) == 0 {
		target = leader
	}
	if target.forgotten {
		return
	}
	duration := run.randomDuration(20*time.Millisecond, 3*run.Lease)
	restart := func(controller *simulatedController) func() {
		return func() {
			if controller.down && !controller.forgotten {
				run.startController(controller)
			}
		}
	}
	switch run.rng.IntN(11) {
	case 0, 1:
		if !target.down {
			run.countFault("killed", target.name)
			run.kill(target)
			run.scheduleAfter(duration, nil, restart(target))
		}
	case 2, 3:
		if !target.down && run.now >= target.pausedUntil {
			run.countFault("stopped", target.name)
			target.pausedUntil = run.now + duration
			run.history.Note(run.now, fmt.Sprintf("%s is paused for %v", target.name, duration), target.name)
		}
	case 4: // the links to and from all other controllers are cut
		run.countFault("cut off", target.name)
		for _, other := range run.fleet {
			run.cutUntil[[2]string{target.name, other.name}], run.cutUntil[[2]string{other.name, target.name}] =
				run.now+duration, run.now+duration
		}
		run.history.Note(run.now, fmt.Sprintf("%s is cut off for %v", target.name, duration), target.name)
	case 5: // the target can only send or only receive messages
		run.countFault("one way", target.name)
		onlySends := run.rng.IntN(2) == 0
		for _, other := range run.fleet {
			if outgoing := [2]string{target.name, other.name}; onlySends {
				run.cutUntil[[2]string{other.name, target.name}] = run.now + duration
			} else {
				run.cutUntil[outgoing] = run.now + duration
			}
		}
	case 6: // the fleet is partitioned in two
		run.countFault("halved", target.name)
		partition := make([]bool, len(run.fleet))
		for i := range partition {
			partition[i] = run.rng.IntN(2) == 0
		}
		for i, from := range run.fleet {
			for j, to := range run.fleet {
				if partition[i] != partition[j] {
					run.cutUntil[[2]string{from.name, to.name}] = run.now + duration
				}
			}
		}
	case 7:
		run.lossyUntil = run.now + duration
	case 8:
		run.countFault("slow disk", target.name)
		target.slowDiskUntil = run.now + duration
	case 10: // the target restarts while it is cut off, and knows only the state on its disk
		if target.down {
			return
		}
		run.countFault("started cut off", target.name)
		run.kill(target)
		run.scheduleAfter(duration, nil, restart(target))
		end := run.now + duration + run.randomDuration(run.Lease/2, 3*run.Lease)
		for _, other := range run.fleet {
			run.cutUntil[[2]string{target.name, other.name}], run.cutUntil[[2]string{other.name, target.name}] =
				end, end
		}
	case 9:
		if run.rng.IntN(3) > 0 {
			return
		}
		run.countFault("all killed", target.name)
		for _, controller := range run.fleet {
			if !controller.down {
				run.kill(controller)
				run.scheduleAfter(run.randomDuration(10*time.Millisecond, duration), nil, restart(controller))
			}
		}
	}
}

// restartIsolated kills a random follower and restarts it after two to three lease durations, in which the
// fleet may decide changes. The follower is cut off for two more lease durations after the restart, so that
// it knows only the state on its disk. restartIsolated then schedules its own next call.
func (run *scheduleRun) restartIsolated() {
	if run.settling {
		return
	}
	follower := run.fleet[run.Voters+run.rng.IntN(run.Controllers-run.Voters)]
	run.countFault("started cut off", follower.name)
	run.kill(follower)
	downtime := 2*run.Lease + run.randomDuration(0, run.Lease)
	run.scheduleAfter(downtime, nil, func() {
		if follower.down {
			run.startController(follower)
		}
	})
	for _, other := range run.fleet {
		run.cutUntil[[2]string{follower.name, other.name}], run.cutUntil[[2]string{other.name, follower.name}] =
			run.now+downtime+2*run.Lease, run.now+downtime+2*run.Lease
	}
	run.scheduleAfter(downtime+3*run.Lease, nil, run.restartIsolated)
}

// heal ends all faults and restarts the controllers that are down, except forgotten controllers.
func (run *scheduleRun) heal() {
	clear(run.cutUntil)
	run.lossyUntil = 0
	for _, controller := range run.fleet {
		controller.slowDiskUntil, controller.pausedUntil = 0, min(controller.pausedUntil, run.now)
		if controller.down && !controller.forgotten {
			run.startController(controller)
		}
	}
}
