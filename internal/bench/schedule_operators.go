package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/node"
	"railrelay.dev/railrelay/internal/historycheck"
)

// scheduleOperation is an operator's request to change the policy, to purge data or to forget a member. The
// request may be sent to several controllers.
type scheduleOperation struct {
	request  fleet.Request
	done     bool   // an operator received the outcome
	unfitFor string // name of a controller that rejects the change's policy; "": none
}

// scheduleRequest is the request of an operation that was sent to a controller and is not answered yet.
type scheduleRequest struct {
	operation   *scheduleOperation
	controller  *simulatedController
	incarnation uint64
	requestedAt time.Duration
	final       bool // sent after all faults ended, so that the response must have an outcome
}

// issueOperations sends a random request of an operator, and schedules its own next call until the period
// with faults is over. The text of a change's policy is "policy of ID". In some policies
// " voters NAME,NAME,..." follows, which names the new voters. In some policies " unfit for NAME" follows at
// the end, which names a controller that rejects the policy.
func (run *scheduleRun) issueOperations() {
	if run.settling {
		return
	}
	run.scheduleAfter(run.randomDuration(50*time.Millisecond, 900*time.Millisecond), nil, run.issueOperations)
	base := uint64(1)
	for _, controller := range run.fleet { // an operator reads the latest version from a controller
		base = max(base, controller.version)
	}
	count := len(run.operations)
	newChange := func(number int) *scheduleOperation {
		operation := &scheduleOperation{request: fleet.Request{
			Kind:        "apply",
			ID:          fmt.Sprintf("change-%d", number),
			RequestedBy: "op",
			BaseVersion: base,
			WaitMs:      2000,
		}}
		text := "policy of " + operation.request.ID
		if run.ChangeVoters && run.Controllers > run.Voters && run.rng.IntN(6) == 0 &&
			!slices.ContainsFunc(run.fleet, func(c *simulatedController) bool { return c.forgotten }) {
			run.votersChanged = true // the change may come into force
			first, names := run.rng.IntN(len(run.fleet)), []string{}
			for i := range run.Voters {
				names = append(names, run.fleet[(first+i)%len(run.fleet)].name)
			}
			text += " voters " + strings.Join(names, ",")
		}
		if run.rng.IntN(5) == 0 {
			operation.unfitFor = run.fleet[run.rng.IntN(len(run.fleet))].name
			text += " unfit for " + operation.unfitFor
		}
		operation.request.Policy = []byte(text)
		if run.rng.IntN(2) == 0 {
			operation.request.AbortAfterMs = run.randomDuration(100*time.Millisecond, 4*run.Lease).Milliseconds()
		}
		return operation
	}
	switch choice := run.rng.IntN(10); {
	case choice < 3 || count == 0:
		run.operations = append(run.operations, newChange(count))
		run.sendRequest(run.operations[count], false)
	case choice < 5: // two operators request changes at the same time
		run.operations = append(run.operations, newChange(count), newChange(count+1))
		run.sendRequest(run.operations[count], false)
		run.sendRequest(run.operations[count+1], false)
	case choice < 7:
		purge := &scheduleOperation{request: fleet.Request{
			Kind:        "purge",
			ID:          fmt.Sprintf("purge-%d", count),
			RequestedBy: "op",
			WaitMs:      2000,
			Scope:       &fleet.Scope{Tenant: scheduleTeams[run.rng.IntN(2)]},
		}}
		if run.rng.IntN(2) == 0 {
			purge.request.Scope.Tables = []int64{int64(run.rng.IntN(3))}
		}
		if run.rng.IntN(2) == 0 {
			purge.request.AwaitedStage = "unreachable"
		}
		run.operations = append(run.operations, purge)
		run.history.PurgeRequested(run.now, purge.request.ID, *purge.request.Scope)
		run.sendRequest(purge, false)
	// A follower's disk is lost, and an operator has the fleet forget the follower.
	case choice == 7 && !run.RestartIsolated && run.Controllers > run.Voters && !run.votersChanged &&
		run.rng.IntN(4) == 0:
		follower := run.fleet[run.Voters+run.rng.IntN(run.Controllers-run.Voters)]
		if follower.forgotten {
			return
		}
		follower.forgotten = true
		run.kill(follower)
		forget := &scheduleOperation{request: fleet.Request{
			Kind:        "forget",
			ID:          "forget-" + follower.name,
			RequestedBy: "op",
			Name:        follower.name,
			WaitMs:      2000,
		}}
		run.operations = append(run.operations, forget)
		run.sendRequest(forget, false)
	default:
		run.sendRequest(run.operations[run.rng.IntN(count)], false)
	}
	run.countMessages = true
}

// scheduleTeams lists the teams that submit queries and own results.
var scheduleTeams = []string{"linz", "steyr"}

// sendRequest sends an operation's request to a random running controller. It tries up to 8 random
// controllers, and sends nothing if all of these are down or forgotten.
func (run *scheduleRun) sendRequest(operation *scheduleOperation, final bool) {
	for range 8 {
		controller := run.fleet[run.rng.IntN(len(run.fleet))]
		if controller.down || controller.forgotten {
			continue
		}
		run.lastHandle++
		handle := run.lastHandle
		run.pendingRequests[handle] = &scheduleRequest{operation: operation, controller: controller,
			incarnation: controller.incarnation, requestedAt: run.now, final: final}
		request := operation.request
		if operation.request.Kind == "purge" && final {
			request.AwaitedStage = ""
		}
		run.scheduleAfter(run.randomDuration(0, time.Millisecond), controller, func() {
			run.step(controller, node.Event{Kind: node.OperatorRequested, Request: &request, Handle: handle})
		})
		return
	}
}

// receiveResponse adds a response to the history. When a response reports that a purge is complete,
// receiveResponse also adds the results that are still on the disks.
func (run *scheduleRun) receiveResponse(handle uint64, response *fleet.Response) {
	pending := run.pendingRequests[handle]
	if pending == nil {
		run.addViolation("response to a request that is not pending: %+v", *response)
		return
	}
	delete(run.pendingRequests, handle)
	operation := pending.operation
	if response.Outcome != "unknown" {
		operation.done = true
	}
	switch operation.request.Kind {
	case "apply":
		run.history.ChangeReported(run.now, pending.controller.name, operation.request.ID,
			response.Outcome, response.Version)
		run.changeReports = append(run.changeReports, historycheck.ChangeReport{
			Client:   len(run.changeReports) % 7,
			From:     pending.requestedAt,
			To:       run.now + 1,
			ID:       operation.request.ID,
			Base:     operation.request.BaseVersion,
			Proposes: true,
			Outcome:  response.Outcome,
			Version:  response.Version,
		})
	case "purge":
		run.history.PurgeReported(run.now, pending.controller.name, operation.request.ID,
			response.Outcome, response.Counts)
		if response.Outcome == "purged" {
			for _, controller := range run.fleet {
				for _, query := range slices.Sorted(maps.Keys(controller.results)) {
					if !controller.forgotten {
						run.history.FoundOnDisk(run.now+1, controller.name, query)
					}
				}
			}
		}
	case "forget":
		if response.Outcome == "forgotten" {
			run.result.Forgotten++
			// An operator starts the forgotten controller by mistake. The controller must not act.
			if controller := run.byName[operation.request.Name]; controller.down {
				run.scheduleAfter(run.randomDuration(0, run.Lease), nil, func() {
					if controller.down {
						run.startController(controller)
					}
				})
			}
		}
	}
	if pending.final && response.Outcome == "unknown" {
		run.addViolation("%s doesn't know the outcome of %s after all faults ended: stage %s, outstanding %v",
			pending.controller.name, operation.request.ID, response.Stage, response.Outstanding)
	}
}

// repeatAllRequests sends the request of each operation once more. The responses must have outcomes.
func (run *scheduleRun) repeatAllRequests() {
	for _, operation := range run.operations {
		run.sendRequest(operation, true)
	}
}
