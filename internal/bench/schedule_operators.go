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

// scheduleOperation is one change or purge, asked for at one place and again at others.
type scheduleOperation struct {
	request  fleet.Request
	done     bool
	unfitFor string
}

type scheduleRequest struct {
	operation   *scheduleOperation
	controller  *simulatedController
	incarnation uint64
	requestedAt time.Duration
	final       bool
}

// issueOperations lets operators and customers ask.
func (p *scheduleRun) issueOperations() {
	if p.settling {
		return
	}
	p.scheduleAfter(p.randomDuration(50*time.Millisecond, 900*time.Millisecond), nil, p.issueOperations)
	base := uint64(1)
	for _, a := range p.fleet { // what an operator would have read somewhere
		base = max(base, a.version)
	}
	n := len(p.operations)
	change := func(i int) *scheduleOperation {
		o := &scheduleOperation{request: fleet.Request{Kind: "apply", ID: fmt.Sprintf("change-%d", i), RequestedBy: "op", BaseVersion: base, WaitMs: 2000}}
		text := "policy of " + o.request.ID
		if p.ChangeVoters && p.Controllers > p.Voters && p.rng.IntN(6) == 0 && !slices.ContainsFunc(p.fleet, func(a *simulatedController) bool { return a.forgotten }) {
			p.votersChanged = true // others vote from now on, if it comes into force
			from, names := p.rng.IntN(len(p.fleet)), []string{}
			for i := range p.Voters {
				names = append(names, p.fleet[(from+i)%len(p.fleet)].name)
			}
			text += " voters " + strings.Join(names, ",")
		}
		if p.rng.IntN(5) == 0 {
			o.unfitFor = p.fleet[p.rng.IntN(len(p.fleet))].name
			text += " unfit for " + o.unfitFor
		}
		o.request.Policy = []byte(text)
		if p.rng.IntN(2) == 0 {
			o.request.AbortAfterMs = p.randomDuration(100*time.Millisecond, 4*p.Lease).Milliseconds()
		}
		return o
	}
	switch x := p.rng.IntN(10); {
	case x < 3 || n == 0:
		p.operations = append(p.operations, change(n))
		p.sendRequest(p.operations[n], false)
	case x < 5: // two at once
		p.operations = append(p.operations, change(n), change(n+1))
		p.sendRequest(p.operations[n], false)
		p.sendRequest(p.operations[n+1], false)
	case x < 7:
		o := &scheduleOperation{request: fleet.Request{Kind: "purge", ID: fmt.Sprintf("purge-%d", n), RequestedBy: "op", WaitMs: 2000,
			Scope: &fleet.Scope{Team: scheduleTeams[p.rng.IntN(2)]}}}
		if p.rng.IntN(2) == 0 {
			o.request.Scope.Tables = []int64{int64(p.rng.IntN(3))}
		}
		if p.rng.IntN(2) == 0 {
			o.request.AwaitedStage = "unreachable"
		}
		p.operations = append(p.operations, o)
		p.history.PurgeRequested(p.now, o.request.ID, *o.request.Scope)
		p.sendRequest(o, false)
	case x == 7 && !p.RestartIsolated && p.Controllers > p.Voters && !p.votersChanged && p.rng.IntN(4) == 0: // a follower's disk is destroyed
		a := p.fleet[p.Voters+p.rng.IntN(p.Controllers-p.Voters)]
		if a.forgotten {
			return
		}
		a.forgotten = true
		p.kill(a)
		o := &scheduleOperation{request: fleet.Request{Kind: "forget", ID: "forget-" + a.name, RequestedBy: "op", Name: a.name, WaitMs: 2000}}
		p.operations = append(p.operations, o)
		p.sendRequest(o, false)
	default:
		p.sendRequest(p.operations[p.rng.IntN(n)], false)
	}
	p.countMessages = true
}

var scheduleTeams = []string{"linz", "steyr"}

// sendRequest puts an operation to some controller that runs.
func (p *scheduleRun) sendRequest(o *scheduleOperation, last bool) {
	for range 8 {
		a := p.fleet[p.rng.IntN(len(p.fleet))]
		if a.down || a.forgotten {
			continue
		}
		p.lastHandle++
		h := p.lastHandle
		p.pendingRequests[h] = &scheduleRequest{operation: o, controller: a, incarnation: a.incarnation, requestedAt: p.now, final: last}
		ask := o.request
		if o.request.Kind == "purge" && last {
			ask.AwaitedStage = ""
		}
		p.scheduleAfter(p.randomDuration(0, time.Millisecond), a, func() {
			p.step(a, node.Event{Kind: node.OperatorRequested, Request: &ask, Handle: h})
		})
		return
	}
}

func (p *scheduleRun) receiveResponse(handle uint64, r *fleet.Response) {
	x := p.pendingRequests[handle]
	if x == nil {
		p.addViolation("an answer to what nobody asks: %+v", *r)
		return
	}
	delete(p.pendingRequests, handle)
	o := x.operation
	if r.Outcome != "unknown" {
		o.done = true
	}
	switch o.request.Kind {
	case "apply":
		p.history.ChangeReported(p.now, x.controller.name, o.request.ID, r.Outcome, r.Version)
		p.changeReports = append(p.changeReports, historycheck.ChangeReport{Client: len(p.changeReports) % 7, From: x.requestedAt, To: p.now + 1,
			ID: o.request.ID, Base: o.request.BaseVersion, Proposes: true, Outcome: r.Outcome, Version: r.Version})
	case "purge":
		p.history.PurgeReported(p.now, x.controller.name, o.request.ID, r.Outcome, r.Counts)
		if r.Outcome == "purged" {
			for _, a := range p.fleet {
				for _, id := range slices.Sorted(maps.Keys(a.results)) {
					if !a.forgotten {
						p.history.FoundOnDisk(p.now+1, a.name, id)
					}
				}
			}
		}
	case "forget":
		if r.Outcome == "forgotten" {
			p.result.Forgotten++
			if a := p.byName[o.request.Name]; a.down { // somebody finds it and starts it once more
				p.scheduleAfter(p.randomDuration(0, p.Lease), nil, func() {
					if a.down {
						p.startController(a)
					}
				})
			}
		}
	}
	if x.final && r.Outcome == "unknown" {
		p.addViolation("%s asked for %s after all was healed: unknown, %s, outstanding %v", x.controller.name, o.request.ID, r.Stage, r.Outstanding)
	}
}

func (p *scheduleRun) repeatAllRequests() {
	for _, o := range p.operations {
		p.sendRequest(o, true)
	}
}
