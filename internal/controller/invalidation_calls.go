package controller

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/msgpackrpc"
	"railrelay.dev/railrelay/internal/timerqueue"
)

const (
	// maxCallsPerTenant bounds the pending invalidation calls of one tenant on one controller.
	maxCallsPerTenant = 16
	// confirmationWait is the time that the fleet has to answer a repeated request.
	confirmationWait = 5 * time.Second
	// statePending is the answer to a call whose time is up before the invalidation is complete.
	statePending = "not yet"
	// unknownInvalidationText is the answer if the tenant has no invalidation with the given id. It
	// doesn't tell whether another tenant has one.
	unknownInvalidationText = "no purge of this team has this id: ask for one without an id"
)

// stageNames are the stages of an invalidation in answers to clients, by its latest log entry. Only
// the controller that received the call repeats the request for an invalidation that isn't logged yet.
var stageNames = map[string]string{
	"":                    "not recorded",
	fleet.EntryInvalidate: "recorded",
	fleet.EntryTombstone:  "unreachable",
	fleet.EntryErased:     "erased",
}

// invalidationCall is a client's call that has not been answered yet.
type invalidationCall struct {
	client   *client
	msg      uint32
	id       string // of the invalidation
	tenant   string
	answerBy time.Duration
	timer    *timerqueue.Timer // fires at answerBy
	answered bool
}

// Purge handles a client's call to invalidate the retained data of its tenant or, with an id, to
// query the state of an invalidation.
func (cl *client) Purge(msg uint32, purge msgpackrpc.Purge, fields msgpackrpc.Fields) {
	v := cl.invalidation
	if v == nil {
		cl.Invalid(msg, "no such method")
		return
	}
	tenant := cl.dataOwner(CallOrigin{cl.connection.RemoteAddress, fields})
	if cl.pageReads >= cl.limits.MaxOpenQueries || v.tooManyCalls(tenant) {
		cl.reply(msgpackrpc.AppendDeferral(nil, msg, noSpaceRetryAfter))
		return
	}
	call := &invalidationCall{client: cl, msg: msg, id: string(purge.ID), tenant: tenant}
	isNew := call.id == ""
	if isNew {
		call.id = v.newID(tenant)
	}
	v.clientCalls++
	cl.pageReads++
	v.pendingCalls[call.id] = append(v.pendingCalls[call.id], call)
	call.answerBy = cl.now + max(0, purge.Timeout-answerMargin)
	call.timer = cl.timers.Add(call.answerBy, func() { v.answerState(call, statePending, "", nil, nil) })
	scope := &fleet.Scope{Tenant: tenant, Tables: purge.TableGroups, RetainedBeforeMs: purge.BeforeMillis}
	switch {
	case v.servingLease != nil && isNew:
		request := v.newFleetRequest("purge", call, purge.Timeout)
		request.Scope = scope
		v.unconfirmed[call.id] = request
		v.servingLease.report(fleet.Report{Kind: fleet.RequestMade, Request: request})
	case v.servingLease != nil:
		request := v.newFleetRequest("status", call, purge.Timeout)
		v.servingLease.report(fleet.Report{Kind: fleet.RequestMade, Request: request})
	case isNew:
		v.startLocal(call.id, scope)
	default:
		v.answerLocalCalls(call.id)
	}
}

func (v *invalidation) newFleetRequest(
	kind string, call *invalidationCall, patience time.Duration,
) *fleet.Request {
	wait := max(1, (patience - 2*answerMargin).Milliseconds())
	return &fleet.Request{Kind: kind, ID: call.id, RequestedBy: call.tenant, Tenant: call.tenant, WaitMs: wait}
}

// tooManyCalls reports whether a further call of the tenant must be deferred, because too many of its calls
// are pending or too many requests of all tenants are unconfirmed.
func (v *invalidation) tooManyCalls(tenant string) bool {
	waiting := 0
	for _, calls := range v.pendingCalls {
		for _, call := range calls {
			if call.tenant == tenant {
				waiting++
			}
		}
	}
	return waiting >= maxCallsPerTenant || len(v.unconfirmed) >= maxLocalInvalidations
}

// answerLocalCalls answers the calls for an invalidation of a controller without peers, if the
// invalidation is complete or unknown.
func (v *invalidation) answerLocalCalls(id string) {
	entry := v.local[id]
	for _, call := range v.pendingCallsFor(id) {
		switch {
		case entry == nil || entry.tenant != call.tenant:
			v.sendAnswer(call, msgpackrpc.AppendFailure(nil, call.msg, unknownInvalidationText))
		case entry.done:
			v.answerState(call, "purged", "", &entry.counts, nil)
		}
	}
}

// pendingCallsFor returns a copy of the list, since answering a call removes it from pendingCalls.
func (v *invalidation) pendingCallsFor(id string) []*invalidationCall {
	return slices.Clone(v.pendingCalls[id])
}

// fleetAnswered handles the fleet's reply to a request, and reports whether the request was made
// here.
func (v *invalidation) fleetAnswered(id string, r *fleet.Response) bool {
	calls := v.pendingCallsFor(id)
	unconfirmed := v.unconfirmed[id]
	if unconfirmed != nil && r.Outcome == "unknown" && r.Stage == "" {
		repeated := *unconfirmed // sent even if all calls for the invalidation have been answered
		repeated.WaitMs = confirmationWait.Milliseconds()
		v.servingLease.report(fleet.Report{Kind: fleet.RequestMade, Request: &repeated})
	} else {
		delete(v.unconfirmed, id)
	}
	for _, call := range calls {
		v.answerCall(call, r)
	}
	return len(calls) > 0 || unconfirmed != nil
}

// answerCall answers a call with the fleet's reply. While the invalidation isn't complete, a call is
// answered only shortly before its own time is up, since the reply may be for another call.
func (v *invalidation) answerCall(call *invalidationCall, r *fleet.Response) {
	_, isStage := stageNames[r.Stage]
	switch {
	case r.Outcome == "purged":
		v.answerState(call, r.Outcome, "", r.Counts, nil)
	case r.Outcome == "unknown" && isStage:
		if v.now >= call.answerBy-4*answerMargin {
			v.answerState(call, statePending, stageNames[r.Stage], nil, r.Outstanding)
		}
	case r.Outcome == "refused" && r.Reason != "":
		v.sendAnswer(call, msgpackrpc.AppendFailure(nil, call.msg, r.Reason))
	default:
		v.sendAnswer(call, msgpackrpc.AppendFailure(nil, call.msg, unknownInvalidationText))
	}
}

// answerState answers a call with the state of its invalidation. The answer contains the counts, the stage
// and the outstanding controllers as far as they are given.
func (v *invalidation) answerState(
	call *invalidationCall, state, stage string, n *fleet.InvalidationCounts, outstanding []string,
) {
	fields := []string{"id", call.id, "state", state}
	if n != nil {
		fields = append(fields,
			"results", strconv.FormatInt(n.Results, 10),
			"answers", strconv.FormatInt(n.Answers, 10),
			"bytes", strconv.FormatInt(n.Bytes, 10))
	}
	if stage != "" {
		fields = append(fields, "stage", stage)
	}
	if len(outstanding) > 0 {
		fields = append(fields, "outstanding", strings.Join(outstanding, ","))
	}
	v.sendAnswer(call, msgpackrpc.AppendPurgeStatus(nil, call.msg, fields...))
}

// sendAnswer answers a call unless it was answered before.
func (v *invalidation) sendAnswer(call *invalidationCall, answer []byte) {
	if call.answered {
		return
	}
	call.answered = true
	v.timers.Cancel(call.timer)
	rest := slices.DeleteFunc(v.pendingCalls[call.id], func(other *invalidationCall) bool {
		return call == other
	})
	if len(rest) == 0 {
		delete(v.pendingCalls, call.id)
	} else {
		v.pendingCalls[call.id] = rest
	}
	call.client.pageReads--
	call.client.idleSince = v.now
	if !call.client.connection.closed {
		call.client.reply(answer)
	}
}
