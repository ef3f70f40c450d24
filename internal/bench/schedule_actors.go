package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/node"
)

// simulatedController is a controller in virtual time: the real core of its fleet side, the content of its
// disk, and a model of its reducer.
type simulatedController struct {
	name                 string
	diskID               string
	member               fleet.Member
	core                 *node.Core
	incarnation          uint64
	startedAt            time.Duration
	clockRate            float64 // speed of its clock relative to virtual time
	persisted            consensus.PersistentState
	pendingWrites        *consensus.PersistentState // writes that are not synced yet, nil: none
	slowDiskUntil        time.Duration
	lastTimer            int           // number of the current timer; earlier timers are void
	pausedUntil          time.Duration // its events wait until then
	down                 bool
	forgotten            bool // an operator asked the fleet to forget its name
	reportedForgottenAct bool // its first act after it was forgotten was added to the violations

	// The state of its reducer.
	servingState    *fleet.ServingState
	version         uint64
	policy          string
	orders          []fleet.Order
	processingOrder bool
	viewIndex       uint64
	fencedChange    string // change whose fence is reported once no write is in progress, "": none
	invalidations   map[string]fleet.Order
	results         map[string]simulatedResult // stored results by query, on its disk
}

// simulatedResult is the result of a query.
type simulatedResult struct {
	team      string
	table     int64
	viewIndex uint64 // log index of the view with which the query was admitted
	startedAt time.Duration
}

// startController starts a controller's process with the content of its disk.
func (run *scheduleRun) startController(controller *simulatedController) {
	controller.incarnation = run.rng.Uint64() | 1
	controller.startedAt, controller.down, controller.pausedUntil, controller.pendingWrites =
		run.now, false, 0, nil
	controller.servingState = new(fleet.ServingState)
	controller.version, controller.policy, controller.orders, controller.processingOrder,
		controller.viewIndex, controller.fencedChange = 0, "", nil, false, 0, ""
	controller.invalidations = map[string]fleet.Order{}
	var voters []consensus.Voter
	for _, voter := range run.fleet[:run.Voters] {
		voters = append(voters, consensus.Voter{Name: voter.name, Address: voter.member.PeerAddress})
	}
	run.history.Note(run.now, controller.name+" starts", controller.name)
	config := node.Config{
		Self:                 controller.member,
		Voters:               voters,
		Lease:                run.Lease,
		ConfinedLease:        run.Lease / 2,
		ClockDrift:           0.01,
		ElectionTimeout:      300 * time.Millisecond,
		HeartbeatInterval:    60 * time.Millisecond,
		Seed:                 run.rng.Uint64(),
		Incarnation:          controller.incarnation,
		Persisted:            clonePersistentState(controller.persisted),
		SnapshotAfterEntries: 3 + int(run.Seed%30),
	}
	config.IsRelay, config.Relays = run.upstreamsOf(controller)
	core, effects, err := node.New(config)
	if err != nil {
		run.addViolation("%s can't start: %v", controller.name, err)
		controller.down = true
		return
	}
	controller.core = core
	run.perform(controller, effects)
	if !controller.member.ControlOnly {
		run.scheduleAfter(run.randomDuration(0, 20*time.Millisecond), controller,
			func() { run.receiveQueries(controller) })
	}
}

// upstreamsOf reports whether a controller is a relay. For a follower, upstreamsOf returns the relays, at
// most two, through which the follower renews its lease. Voters and relays have none.
func (run *scheduleRun) upstreamsOf(
	controller *simulatedController,
) (isRelay bool, upstreams []node.Upstream) {
	place := slices.Index(run.fleet, controller) - run.Voters
	if run.Relays == 0 || place < 0 || place < run.Relays {
		return place >= 0 && run.Relays > 0, nil
	}
	for i := range min(2, run.Relays) {
		relay := run.fleet[run.Voters+(place+i)%run.Relays]
		upstreams = append(upstreams, node.Upstream{Name: relay.name, Address: relay.member.PeerAddress})
	}
	return false, upstreams
}

func clonePersistentState(state consensus.PersistentState) consensus.PersistentState {
	state.HardState, state.Entries = slices.Clone(state.HardState), slices.Clone(state.Entries)
	return state
}

// localTime returns the time since the controller's start by its own clock.
func (c *simulatedController) localTime(run *scheduleRun) time.Duration {
	return time.Duration(float64(run.now-c.startedAt) * c.clockRate)
}

// step passes an event to the controller's core and performs the effects.
func (run *scheduleRun) step(controller *simulatedController, event node.Event) {
	run.perform(controller, controller.core.Step(controller.localTime(run), event))
}

func (run *scheduleRun) perform(controller *simulatedController, effects []node.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case node.Send:
			run.send(controller, effect)
		case node.Persist:
			if controller.pendingWrites != nil {
				run.addViolation("%s requested a write to disk before the previous one was synced",
					controller.name)
			}
			writes := *effect.Writes
			controller.pendingWrites = &writes
			latency := run.randomDuration(100*time.Microsecond, 3*time.Millisecond)
			if run.now < controller.slowDiskUntil {
				latency += run.randomDuration(20*time.Millisecond, 300*time.Millisecond)
			}
			run.scheduleAfter(latency, controller, func() {
				controller.persist(writes, len(writes.Entries))
				controller.pendingWrites = nil
				run.step(controller, node.Event{Kind: node.WritesPersisted})
			})
		case node.ValidatePolicy:
			change, text := effect.ValidationKey, string(effect.PolicyText)
			run.scheduleAfter(run.randomDuration(0, 5*time.Millisecond), controller, func() {
				validated := node.Event{Kind: node.PolicyValidated, ValidationKey: change, Policy: text}
				if text == "" {
					validated.Policy = "the configured policy"
				}
				if _, rest, found := strings.Cut(text, " voters "); found {
					names, _, _ := strings.Cut(rest, " unfit")
					for name := range strings.SplitSeq(names, ",") {
						validated.Voters = append(validated.Voters, name+"="+run.byName[name].member.PeerAddress)
					}
				}
				if strings.HasSuffix(text, " unfit for "+controller.name) {
					validated.Reason = "the policy names a team that this controller doesn't have"
				}
				run.step(controller, validated)
			})
		case node.OrderController:
			controller.orders = append(controller.orders, effect.Order)
			run.processNextOrder(controller)
		case node.Respond:
			run.receiveResponse(effect.Handle, effect.Response)
		case node.SetTimer:
			controller.lastTimer++
			timer := controller.lastTimer
			run.scheduleAfter(time.Duration(float64(max(0, effect.Delay))/controller.clockRate)+1, controller, func() {
				if timer == controller.lastTimer {
					run.step(controller, node.Event{Kind: node.TimerFired})
				}
			})
		case node.LogMessage:
			if effect.LogAlways {
				run.history.Note(run.now, controller.name+" logs: "+effect.LogText, controller.name)
			}
		}
	}
}

// persist writes the snapshot and the first entryCount log entries of writes to the controller's disk. The
// hard state is written only together with all entries.
func (c *simulatedController) persist(writes consensus.PersistentState, entryCount int) {
	if snapshot := writes.Snapshot; snapshot != nil {
		c.persisted.Snapshot = snapshot
		c.persisted.Entries = slices.DeleteFunc(slices.Clone(c.persisted.Entries),
			func(entry consensus.LogEntry) bool { return entry.Index <= snapshot.Index })
	}
	for _, entry := range writes.Entries[:entryCount] {
		if i := slices.IndexFunc(c.persisted.Entries,
			func(old consensus.LogEntry) bool { return old.Index >= entry.Index }); i >= 0 {
			c.persisted.Entries = slices.Clone(c.persisted.Entries[:i])
		}
		c.persisted.Entries = append(c.persisted.Entries, entry)
	}
	if writes.HardState != nil && entryCount == len(writes.Entries) {
		c.persisted.HardState = writes.HardState
	}
}

// kill ends a controller's process. Writes in progress reach the disk with a probability of one half.
func (run *scheduleRun) kill(controller *simulatedController) {
	if controller.down {
		return
	}
	if writes := controller.pendingWrites; writes != nil && run.rng.IntN(2) == 0 {
		controller.persist(*writes, len(writes.Entries))
	}
	controller.down, controller.pendingWrites = true, nil
	run.history.Note(run.now, controller.name+" is killed", controller.name)
}

// processNextOrder schedules the reducer's processing of its oldest order, unless an order is in progress.
func (run *scheduleRun) processNextOrder(controller *simulatedController) {
	if controller.processingOrder || len(controller.orders) == 0 {
		return
	}
	controller.processingOrder = true
	latency := run.randomDuration(0, 300*time.Microsecond)
	if run.rng.IntN(50) == 0 {
		latency += run.randomDuration(0, 40*time.Millisecond)
	}
	run.scheduleAfter(latency, controller, func() {
		order := controller.orders[0]
		controller.orders = controller.orders[1:]
		controller.processingOrder = false
		run.performOrder(controller, order)
		run.processNextOrder(controller)
	})
}

// report passes a report of the reducer to the controller's core after a short delay.
func (run *scheduleRun) report(controller *simulatedController, report fleet.Report) {
	run.scheduleAfter(run.randomDuration(0, 300*time.Microsecond), controller,
		func() { run.step(controller, node.Event{Kind: node.ControllerReported, Report: report}) })
}

func (run *scheduleRun) performOrder(controller *simulatedController, order fleet.Order) {
	switch order.Kind {
	case fleet.FencePolicy:
		controller.servingState.SetVersion(0)
		controller.version, controller.fencedChange = 0, order.ChangeID
		run.history.Note(run.now, controller.name+" is fenced for "+order.ChangeID, controller.name, order.ChangeID)
		run.reportWhenFenced(controller)
	case fleet.ActivatePolicy:
		controller.version, controller.fencedChange = order.Version, ""
		controller.policy, _ = order.Policy.(string)
		controller.servingState.SetVersion(order.Version)
		run.history.Note(run.now, fmt.Sprintf("%s activates version %d", controller.name, order.Version),
			controller.name, fmt.Sprint("version ", order.Version))
		run.report(controller, fleet.Report{Kind: fleet.PolicyActivated, Version: order.Version})
	case fleet.LeaseRenewed:
		controller.servingState.SetLease(order.LeaseEnd, order.ConfinedLeaseEnd)
	case fleet.ViewChanged:
		controller.viewIndex = order.View.Index
	case fleet.InvalidateData:
		controller.invalidations[order.ID] = order
		run.report(controller, fleet.Report{Kind: fleet.DataTombstoned, ID: order.ID})
		run.scheduleAfter(run.randomDuration(0, 100*time.Millisecond), controller, func() {
			var counts fleet.InvalidationCounts
			for id, result := range controller.results {
				if invalidates(order, result) {
					delete(controller.results, id)
					counts.Results++
				}
			}
			run.report(controller, fleet.Report{Kind: fleet.DataErased, ID: order.ID, Counts: counts})
		})
	}
}

// invalidates reports whether an InvalidateData order covers a result.
func invalidates(order fleet.Order, result simulatedResult) bool {
	return order.Scope.Tenant == result.team && result.viewIndex < order.Index &&
		(len(order.Scope.Tables) == 0 || slices.Contains(order.Scope.Tables, result.table))
}

// reportWhenFenced reports the controller's fence as soon as no write is in progress.
func (run *scheduleRun) reportWhenFenced(controller *simulatedController) {
	if controller.fencedChange == "" {
		return
	}
	if controller.servingState.WritesFinished() {
		run.report(controller, fleet.Report{Kind: fleet.PolicyFenced, ChangeID: controller.fencedChange})
		return
	}
	change := controller.fencedChange
	run.scheduleAfter(100*time.Microsecond, controller, func() {
		if controller.fencedChange == change {
			run.reportWhenFenced(controller)
		}
	})
}

// receiveQueries lets a controller accept a query, which it later submits and whose result it stores, and
// serve a stored result. receiveQueries then schedules itself.
func (run *scheduleRun) receiveQueries(controller *simulatedController) {
	run.scheduleAfter(run.randomDuration(5*time.Millisecond, 60*time.Millisecond), controller,
		func() { run.receiveQueries(controller) })
	confined := run.rng.IntN(2) == 0
	version := controller.servingState.ServingVersion(controller.localTime(run), confined)
	run.lastQuery++
	id := fmt.Sprintf("q%d", run.lastQuery)
	policy := controller.policy
	if version != 0 {
		run.recordAct(controller, id, version, policy)
		result := simulatedResult{team: scheduleTeams[run.rng.IntN(2)], table: int64(run.rng.IntN(3)),
			viewIndex: controller.viewIndex, startedAt: run.now}
		run.scheduleAfter(run.randomDuration(0, 30*time.Millisecond), controller, func() {
			if !controller.servingState.BeginWrite(controller.localTime(run), version, confined) {
				return
			}
			run.recordAct(controller, id, version, policy)
			run.history.ResultStarted(run.now, id, result.team, result.table)
			run.scheduleAfter(run.randomDuration(0, 200*time.Microsecond), controller,
				controller.servingState.EndWrite)
			// The engine's response arrives.
			run.scheduleAfter(run.randomDuration(0, 500*time.Millisecond), controller, func() {
				for _, order := range controller.invalidations {
					if invalidates(order, result) {
						return
					}
				}
				if len(controller.results) < 40 {
					controller.results[id] = result
				}
			})
		})
	}
	if controller.servingState.ServingVersion(controller.localTime(run), true) != 0 &&
		len(controller.results) > 0 {
		ids := slices.Sorted(maps.Keys(controller.results))
		id := ids[run.rng.IntN(len(ids))]
		for _, order := range controller.invalidations {
			if invalidates(order, controller.results[id]) {
				return
			}
		}
		run.history.Served(run.now, run.now, controller.name, id)
	}
}

// recordAct adds a controller's act on a query to the history. An act of a forgotten controller is a
// violation.
func (run *scheduleRun) recordAct(
	controller *simulatedController, query string, version uint64, policy string,
) {
	run.history.Acted(run.now, run.now, controller.name, query, version)
	if rest, found := strings.CutPrefix(policy, "policy of "); found {
		id, _, _ := strings.Cut(rest, " ")
		run.history.ActedByChange(run.now, controller.name, query, id)
	}
	// Only the first act is a violation: further ones would crowd out violations of other kinds.
	if controller.forgotten && !controller.reportedForgottenAct {
		controller.reportedForgottenAct = true
		run.addViolation("%s acts on %s although it was forgotten", controller.name, query)
	}
}
