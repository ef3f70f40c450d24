package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// Requests of operators, customers and this process's request side to the fleet. A request that
// changes the log is forwarded to the leader repeatedly until the log has it; the response is
// read from the log as applied here.

const (
	defaultRequestTimeout = 10 * time.Second       // until the response is outcomeUnknown
	forwardInterval       = 300 * time.Millisecond // between attempts to forward a request to the leader

	outcomeUnknown = "unknown" // fleet.Response.Outcome of a request whose outcome isn't known yet
)

// operatorRequest is a request that waits for its outcome.
type operatorRequest struct {
	request   *fleet.Request
	handle    uint64 // 0: from this process's request side
	deadline  time.Duration
	forwardAt time.Duration // when to forward the request again
}

// operatorRequested handles a new request. Requests for the status or the policy are answered at
// once from the state as applied here.
func (c *Core) operatorRequested(request *fleet.Request, handle uint64) {
	switch {
	case request.Kind == "status" && request.ID == "":
		c.respond(handle, &fleet.Response{Outcome: "status", Status: c.Status()})
		return
	case request.Kind == "policy":
		c.respond(handle, &fleet.Response{Outcome: "policy", Version: c.state.Version, Policy: c.state.Policy})
		return
	}
	timeout := time.Duration(request.WaitMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.requests = append(c.requests, &operatorRequest{
		request:   request,
		handle:    handle,
		deadline:  c.now + timeout,
		forwardAt: c.now,
	})
}

func (c *Core) respond(handle uint64, response *fleet.Response) {
	c.emit(Effect{Kind: Respond, Handle: handle, Response: response})
}

// answerRequests answers requests whose outcome is known or whose deadline has passed, and
// forwards those that aren't in the log yet.
func (c *Core) answerRequests() {
	c.requests = slices.DeleteFunc(c.requests, func(pending *operatorRequest) bool {
		response := c.outcome(pending.request)
		response.ID = pending.request.ID
		if response.Outcome == outcomeUnknown && c.now < pending.deadline {
			c.forwardIfDue(pending)
			return false
		}
		if response.Outcome == outcomeUnknown {
			response.Outstanding = c.outstanding(pending.request.ID)
			response.Remedy = "ask again with the id " + pending.request.ID
			if response.Reason == "" {
				response.Reason = "not known yet"
			}
		}
		if pending.handle == 0 {
			c.orderController(fleet.Order{Kind: fleet.RequestAnswered, ID: pending.request.ID, Response: response})
		} else {
			c.respond(pending.handle, response)
		}
		return true
	})
}

// forwardIfDue forwards a request each forwardInterval until the log has it.
func (c *Core) forwardIfDue(pending *operatorRequest) {
	if c.now < pending.forwardAt {
		return
	}
	pending.forwardAt = c.now + forwardInterval
	if !c.isLogged(pending.request) {
		c.forwardRequest(pending.request)
	}
}

// isLogged reports whether the log has a request, so that it needn't be forwarded.
func (c *Core) isLogged(request *fleet.Request) bool {
	switch request.Kind {
	case "apply":
		return c.state.Changes[request.ID] != nil
	case "purge":
		return c.state.Purges[request.ID] != nil
	case "status":
		return true
	}
	return c.outcome(request).Outcome != outcomeUnknown
}

// outcome returns the response to a request by the state as applied here. A status with an ID
// is that of the change or invalidation with the ID.
func (c *Core) outcome(request *fleet.Request) *fleet.Response {
	if request.Kind != "status" {
		return c.state.Outcome(request)
	}
	target := *request
	target.Kind = "apply"
	if c.state.Changes[request.ID] == nil {
		target.Kind = "purge"
	}
	return c.state.Outcome(&target)
}

// forwardRequest sends a request to the leader. The message may be lost; forwarding the request
// again does no harm, since the state applies each ID once.
func (c *Core) forwardRequest(request *fleet.Request) {
	if c.isLeader {
		c.propose(c.logEntryFor(request))
		return
	}
	if via := c.currentRelay(); via != nil { // the relay may reach the leader when this controller can't
		c.send(via.Name, via.Address, &Message{Request: request})
		return
	}
	if c.leader != "" {
		c.send(c.leader, c.addressOf(c.leader), &Message{Request: request})
	}
}

// logEntryFor returns the log entry that a request asks for, nil if it asks for none.
func (c *Core) logEntryFor(request *fleet.Request) *fleet.Entry {
	e := &fleet.Entry{
		ID:           request.ID,
		RequestedBy:  request.RequestedBy,
		Tenant:       request.Tenant,
		Scope:        request.Scope,
		Name:         request.Name,
		BaseVersion:  request.BaseVersion,
		Policy:       request.Policy,
		AbortAfterMs: request.AbortAfterMs,
		Tables:       request.Tables,
		SourceTables: request.SourceTables,
	}
	switch request.Kind {
	case "apply":
		e.Kind = fleet.EntryPropose
	case "purge":
		e.Kind = fleet.EntryInvalidate
	case "forget":
		e.Kind = fleet.EntryForget
	case "bind":
		e.Kind = fleet.EntryBind
	default:
		return nil
	}
	return e
}

// outstanding returns the controllers that a change or invalidation waits for, as far as this
// controller knows.
func (c *Core) outstanding(id string) []string {
	if c.isLeader {
		return c.waitingFor[id]
	}
	return c.leaderWaitsFor[id]
}

// Status returns the state of the fleet as this controller knows it.
func (c *Core) Status() *fleet.Status {
	s := &fleet.Status{
		Name:             c.config.Self.Name,
		Leader:           c.leader,
		Index:            c.state.Index,
		Version:          c.state.Version,
		Serves:           c.serves(),
		LeaseRemainingMs: -1,
		Emergencies:      sorted(c.state.Emergencies),
		Bindings:         c.state.Bindings,
		Counts:           c.Counts,
	}
	if c.leaseUntil != fleet.Forever {
		s.LeaseRemainingMs = max(0, (c.leaseUntil - c.now).Milliseconds())
	}
	if change := c.state.ChangeUnderWay(); change != nil {
		s.Change = c.state.Outcome(&fleet.Request{Kind: "apply", ID: change.ID})
		s.Change.Outstanding = c.outstanding(change.ID)
	}
	for _, name := range sorted(c.state.Members) {
		m := fleet.MemberStatus{Member: *c.state.Members[name], IsVoter: c.isVoter(name)}
		if c.isLeader {
			m.Lease = fleet.LeaseStatusOf(c.mayHoldLease(name, c.config.Lease))
			if p := c.peers[name]; p != nil {
				m.AppliedIndex = p.appliedIndex
			}
		}
		s.Members = append(s.Members, m)
	}
	for _, id := range sorted(c.state.Purges) {
		if purge := c.state.Purges[id]; purge.Stage != fleet.EntryErased {
			outcome := c.state.Outcome(&fleet.Request{Kind: "purge", ID: id})
			outcome.Outstanding = c.outstanding(id)
			s.Purges = append(s.Purges, *outcome)
		}
	}
	return s
}
