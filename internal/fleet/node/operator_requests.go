package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// What operators, customers and this process's request side ask of the fleet. A request
// that changes the log goes to the leader, again and again until the log has it; its
// answer is read from the log as applied here.

const (
	defaultRequestTimeout = 10 * time.Second       // until the answer is "not known yet"
	forwardInterval       = 300 * time.Millisecond // between attempts to bring a request to the leader

	outcomeUnknown = "unknown" // fleet.Reply.Word: not known yet
)

// operatorRequest is a request that waits for its outcome.
type operatorRequest struct {
	ask       *fleet.Request
	handle    uint64 // 0: of this process's request side
	deadline  time.Duration
	forwardAt time.Duration // when it is forwarded again
}

// operatorRequested takes a request. Questions for the status or the policy are answered
// at once, from what is known here.
func (c *Core) operatorRequested(ask *fleet.Request, handle uint64) {
	switch {
	case ask.Kind == "status" && ask.ID == "":
		c.respond(handle, &fleet.Response{Outcome: "status", Status: c.Status()})
		return
	case ask.Kind == "policy":
		c.respond(handle, &fleet.Response{Outcome: "policy", Version: c.state.Version, Policy: c.state.Policy})
		return
	}
	timeout := time.Duration(ask.WaitMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.requests = append(c.requests, &operatorRequest{
		ask:       ask,
		handle:    handle,
		deadline:  c.now + timeout,
		forwardAt: c.now,
	})
}

func (c *Core) respond(handle uint64, reply *fleet.Response) {
	c.emit(Effect{Kind: Respond, Handle: handle, Response: reply})
}

// answerRequests answers requests whose outcome is known or whose deadline has passed, and
// forwards those that the log hasn't got.
func (c *Core) answerRequests() {
	c.requests = slices.DeleteFunc(c.requests, func(request *operatorRequest) bool {
		reply := c.outcome(request.ask)
		reply.ID = request.ask.ID
		if reply.Outcome == outcomeUnknown && c.now < request.deadline {
			c.forwardIfDue(request)
			return false
		}
		if reply.Outcome == outcomeUnknown {
			reply.Outstanding = c.outstanding(request.ask.ID)
			reply.Remedy = "ask again by id " + request.ask.ID
			if reply.Reason == "" {
				reply.Reason = "not known yet"
			}
		}
		if request.handle == 0 {
			c.orderController(fleet.Order{Kind: fleet.RequestAnswered, ID: request.ask.ID, Response: reply})
		} else {
			c.respond(request.handle, reply)
		}
		return true
	})
}

// forwardIfDue forwards a request at intervals until the log has it.
func (c *Core) forwardIfDue(request *operatorRequest) {
	if c.now < request.forwardAt {
		return
	}
	request.forwardAt = c.now + forwardInterval
	if !c.isRecorded(request.ask) {
		c.forwardRequest(request.ask)
	}
}

// isRecorded reports whether the log has a request already: then it isn't forwarded.
func (c *Core) isRecorded(a *fleet.Request) bool {
	switch a.Kind {
	case "apply":
		return c.state.Changes[a.ID] != nil
	case "purge":
		return c.state.Purges[a.ID] != nil
	case "status":
		return true
	}
	return c.outcome(a).Outcome != outcomeUnknown
}

// outcome is what is known of a request by now. A status with an ID is of the change or
// invalidation that has it.
func (c *Core) outcome(ask *fleet.Request) *fleet.Response {
	if ask.Kind != "status" {
		return c.state.Outcome(ask)
	}
	of := *ask
	of.Kind = "apply"
	if c.state.Changes[ask.ID] == nil {
		of.Kind = "purge"
	}
	return c.state.Outcome(&of)
}

// forwardRequest brings a request to the leader. It may be lost; forwarding it again is
// harmless because of its ID.
func (c *Core) forwardRequest(a *fleet.Request) {
	if c.isLeader {
		c.propose(c.logEntryFor(a))
		return
	}
	if via := c.currentRelay(); via != nil { // which may reach the leader where this controller doesn't
		c.send(via.Name, via.Address, &Message{Request: a})
		return
	}
	if c.leader != "" {
		c.send(c.leader, c.addressOf(c.leader), &Message{Request: a})
	}
}

// logEntryFor is the entry that a request asks for, nil: none.
func (c *Core) logEntryFor(a *fleet.Request) *fleet.Entry {
	e := &fleet.Entry{
		ID:           a.ID,
		RequestedBy:  a.RequestedBy,
		Team:         a.Team,
		Scope:        a.Scope,
		Name:         a.Name,
		BaseVersion:  a.BaseVersion,
		Policy:       a.Policy,
		AbortAfterMs: a.AbortAfterMs,
		Tables:       a.Tables,
		SourceTables: a.SourceTables,
	}
	switch a.Kind {
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

// outstanding are the controllers that a change or invalidation waits for, as far as is
// known here.
func (c *Core) outstanding(id string) []string {
	if c.isLeader {
		return c.waitingFor[id]
	}
	return c.leaderWaitsFor[id]
}

// Status is how this controller sees the fleet.
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
	if u := c.state.ChangeUnderWay(); u != nil {
		s.Change = c.state.Outcome(&fleet.Request{Kind: "apply", ID: u.ID})
		s.Change.Outstanding = c.outstanding(u.ID)
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
		if r := c.state.Purges[id]; r.Stage != fleet.EntryErased {
			w := c.state.Outcome(&fleet.Request{Kind: "purge", ID: id})
			w.Outstanding = c.outstanding(id)
			s.Purges = append(s.Purges, *w)
		}
	}
	return s
}
