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
	// maxCallsPerTenant bounds the invalidation calls of one tenant that wait on one controller.
	maxCallsPerTenant = 16
	// confirmationWait is how long the fleet may take to confirm an invalidation that it is
	// asked for again.
	confirmationWait = 5 * time.Second
	// statePending is told of an invalidation that isn't complete when its caller's time is over.
	statePending = "not yet"
	// unknownInvalidationText is all that is told of an id that is none of the tenant's.
	unknownInvalidationText = "no purge of this team has this id: ask for one without an id"
)

// stageNames are what callers are told of how far an invalidation has come, by its stage in the
// log. One that isn't logged is asked for again and again by the controller that it was
// asked of, and by no other.
var stageNames = map[string]string{
	"":                    "not recorded",
	fleet.EntryInvalidate: "recorded",
	fleet.EntryTombstone:  "unreachable",
	fleet.EntryErased:     "erased",
}

// invalidationCall is a client's call that waits for its answer.
type invalidationCall struct {
	client   *client
	msg      uint32
	id       string // of the invalidation
	tenant   string
	answerBy time.Duration
	timer    *timerqueue.Timer // of answerBy
	answered bool
}

// Purge is a client's call to invalidate what is retained of its tenant or, with an id, to learn
// how far an invalidation has come.
func (cl *client) Purge(msg uint32, call msgpackrpc.Purge, all msgpackrpc.Fields) {
	v := cl.invalidation
	if v == nil {
		cl.Wrong(msg, "no such method")
		return
	}
	tenant := cl.dataOwner(CallOrigin{cl.connection.RemoteAddress, all})
	if cl.pageReads >= cl.limits.MaxOpenQueries || v.tooManyCalls(tenant) {
		cl.reply(msgpackrpc.Deferred(nil, msg, noSpaceRetryAfter))
		return
	}
	x := &invalidationCall{client: cl, msg: msg, id: string(call.ID), tenant: tenant}
	isNew := x.id == ""
	if isNew {
		x.id = v.newID(tenant)
	}
	v.clientCalls++
	cl.pageReads++
	v.callers[x.id] = append(v.callers[x.id], x)
	x.answerBy = cl.now + max(0, call.Patience-answerMargin)
	x.timer = cl.timers.Add(x.answerBy, func() { v.answerState(x, statePending, "", nil, nil) })
	scope := &fleet.Scope{Team: tenant, Tables: call.Tables, RetainedBeforeMs: call.Before}
	switch {
	case v.servingLease != nil && isNew:
		ask := v.fleetAsk("purge", x, call.Patience)
		ask.Scope = scope
		v.unconfirmed[x.id] = ask
		v.servingLease.report(fleet.Report{Kind: fleet.RequestMade, Request: ask})
	case v.servingLease != nil:
		request := v.fleetAsk("status", x, call.Patience)
		v.servingLease.report(fleet.Report{Kind: fleet.RequestMade, Request: request})
	case isNew:
		v.startLocal(x.id, scope)
	default:
		v.answerLocalCallers(x.id)
	}
}

func (v *invalidation) fleetAsk(kind string, x *invalidationCall, patience time.Duration) *fleet.Request {
	wait := max(1, (patience - 2*answerMargin).Milliseconds())
	return &fleet.Request{Kind: kind, ID: x.id, RequestedBy: x.tenant, Team: x.tenant, WaitMs: wait}
}

// tooManyCalls reports whether no further call of a tenant can be taken now.
func (v *invalidation) tooManyCalls(tenant string) bool {
	waiting := 0
	for _, calls := range v.callers {
		for _, x := range calls {
			if x.tenant == tenant {
				waiting++
			}
		}
	}
	return waiting >= maxCallsPerTenant || len(v.unconfirmed) >= maxLocalInvalidations
}

// answerLocalCallers answers those who wait for an invalidation of a controller without
// peers, if it is complete or unknown.
func (v *invalidation) answerLocalCallers(id string) {
	entry := v.local[id]
	for _, x := range v.waitingCallers(id) {
		switch {
		case entry == nil || entry.tenant != x.tenant:
			v.finishCall(x, msgpackrpc.Killed(nil, x.msg, unknownInvalidationText))
		case entry.done:
			v.answerState(x, "purged", "", &entry.counts, nil)
		}
	}
}

// waitingCallers is a copy: who is answered leaves the list.
func (v *invalidation) waitingCallers(id string) []*invalidationCall {
	return slices.Clone(v.callers[id])
}

// fleetAnswered takes the fleet's reply to what was asked for here. It reports whether
// anything was.
func (v *invalidation) fleetAnswered(id string, r *fleet.Response) bool {
	calls := v.waitingCallers(id)
	unconfirmed := v.unconfirmed[id]
	if unconfirmed != nil && r.Outcome == "unknown" && r.Stage == "" {
		ask := *unconfirmed // its callers may have been answered: it is asked for all the same
		ask.WaitMs = confirmationWait.Milliseconds()
		v.servingLease.report(fleet.Report{Kind: fleet.RequestMade, Request: &ask})
	} else {
		delete(v.unconfirmed, id)
	}
	for _, x := range calls {
		v.answerCall(x, r)
	}
	return len(calls) > 0 || unconfirmed != nil
}

// answerCall answers a call by the fleet's reply. One that isn't complete is answered only
// shortly before its caller's time is over: each caller has a reply of its own then.
func (v *invalidation) answerCall(x *invalidationCall, r *fleet.Response) {
	_, isStage := stageNames[r.Stage]
	switch {
	case r.Outcome == "purged":
		v.answerState(x, r.Outcome, "", r.Counts, nil)
	case r.Outcome == "unknown" && isStage:
		if v.now >= x.answerBy-4*answerMargin {
			v.answerState(x, statePending, stageNames[r.Stage], nil, r.Outstanding)
		}
	case r.Outcome == "refused" && r.Reason != "":
		v.finishCall(x, msgpackrpc.Killed(nil, x.msg, r.Reason))
	default:
		v.finishCall(x, msgpackrpc.Killed(nil, x.msg, unknownInvalidationText))
	}
}

func (v *invalidation) answerState(
	x *invalidationCall, state, stage string, n *fleet.InvalidationCounts, outstanding []string,
) {
	fields := []string{"id", x.id, "state", state}
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
	v.finishCall(x, msgpackrpc.Purged(nil, x.msg, fields...))
}

// finishCall answers a call, once.
func (v *invalidation) finishCall(x *invalidationCall, answer []byte) {
	if x.answered {
		return
	}
	x.answered = true
	v.timers.Cancel(x.timer)
	rest := slices.DeleteFunc(v.callers[x.id], func(y *invalidationCall) bool { return x == y })
	if len(rest) == 0 {
		delete(v.callers, x.id)
	} else {
		v.callers[x.id] = rest
	}
	x.client.pageReads--
	x.client.idleSince = v.now
	if !x.client.connection.closed {
		x.client.reply(answer)
	}
}
