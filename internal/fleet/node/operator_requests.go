package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// What operators, customers and the reducer ask for, and what they are told.

// asking is an ask that waits for its word.
type operatorRequest struct {
	ask       *fleet.Ask
	handle    uint64 // 0: the reducer's
	deadline  time.Duration
	forwardAt time.Duration // when it is passed on again
}

func (c *Core) operatorRequested(a *fleet.Ask, handle uint64) {
	wait := time.Duration(a.Wait) * time.Millisecond
	if wait <= 0 {
		wait = 10 * time.Second
	}
	if a.Kind == "status" && a.ID == "" {
		c.emit(Effect{Kind: Respond, Handle: handle, Reply: &fleet.Reply{Word: "status", Status: c.Status()}})
		return
	}
	if a.Kind == "policy" {
		c.emit(Effect{Kind: Respond, Handle: handle, Reply: &fleet.Reply{Word: "policy", Version: c.state.Version, Policy: c.state.Policy}})
		return
	}
	c.requests = append(c.requests, &operatorRequest{ask: a, handle: handle, deadline: c.now + wait, forwardAt: c.now})
}

// answer tells those whose word is there, or whose time is over, and passes on what
// the record has not heard of.
func (c *Core) answerRequests() {
	c.requests = slices.DeleteFunc(c.requests, func(a *operatorRequest) bool {
		r := c.outcome(a.ask)
		r.ID = a.ask.ID
		if r.Word == "unknown" && c.now < a.deadline {
			if c.now >= a.forwardAt {
				a.forwardAt = c.now + forwardInterval
				if !c.isRecorded(a.ask) {
					c.forwardRequest(a.ask)
				}
			}
			return false
		}
		if r.Word == "unknown" {
			r.Outstanding = c.outstanding(a.ask.ID)
			r.Remedy = "ask again by id " + a.ask.ID
			if r.Why == "" {
				r.Why = "not known yet"
			}
		}
		if a.handle == 0 {
			c.emit(Effect{Kind: OrderController, Order: fleet.Order{Kind: fleet.Answered, ID: a.ask.ID, Reply: r}})
		} else {
			c.emit(Effect{Kind: Respond, Handle: a.handle, Reply: r})
		}
		return true
	})
}

// known says whether the record has heard of an ask already: then it isn't passed on.
func (c *Core) isRecorded(a *fleet.Ask) bool {
	switch a.Kind {
	case "apply":
		return c.state.Changes[a.ID] != nil
	case "purge":
		return c.state.Purges[a.ID] != nil
	case "status":
		return true
	}
	return c.outcome(a).Word != "unknown"
}

// word is what can be told now. A status with an id is of whatever has that id.
func (c *Core) outcome(a *fleet.Ask) *fleet.Reply {
	if a.Kind == "status" {
		b := *a
		if b.Kind = "apply"; c.state.Changes[a.ID] == nil {
			b.Kind = "purge"
		}
		return c.state.Outcome(&b)
	}
	return c.state.Outcome(a)
}

const forwardInterval = 300 * time.Millisecond

// pass brings an ask to who leads. It may be lost, and is passed on again until the
// record has it; its id makes that harmless.
func (c *Core) forwardRequest(a *fleet.Ask) {
	if c.isLeader {
		c.propose(c.logEntryFor(a))
		return
	}
	if via := c.currentRelay(); via != nil { // which may reach the leader where this controller doesn't
		c.send(via.Name, via.Address, &Message{Ask: a})
		return
	}
	if c.leader != "" {
		c.send(c.leader, c.addressOf(c.leader), &Message{Ask: a})
	}
}

func (c *Core) logEntryFor(a *fleet.Ask) *fleet.Entry {
	e := &fleet.Entry{ID: a.ID, By: a.By, Team: a.Team, Scope: a.Scope, Name: a.Name, Base: a.Base, Policy: a.Policy, AtMost: a.AtMost,
		Tables: a.Tables, From: a.From}
	switch a.Kind {
	case "apply":
		e.Kind = fleet.Propose
	case "purge":
		e.Kind = fleet.Purge
	case "forget":
		e.Kind = fleet.Forget
	case "bind":
		e.Kind = fleet.Bind
	default:
		return nil
	}
	return e
}

// outstanding is who a run waits for, as far as is known here.
func (c *Core) outstanding(id string) []string {
	if c.isLeader {
		return c.waitingFor[id]
	}
	return c.leaderWaitsFor[id]
}

// Status is how this controller sees the fleet.
func (c *Core) Status() *fleet.Status {
	s := &fleet.Status{Name: c.config.Self.Name, Leader: c.leader, Index: c.state.Index, Version: c.state.Version, Serves: c.serves(),
		LeaseMS: -1, Bindings: c.state.Bindings, Counts: c.Counts}
	if c.leaseUntil != fleet.Forever {
		s.LeaseMS = max(0, (c.leaseUntil - c.now).Milliseconds())
	}
	if u := c.state.ChangeUnderWay(); u != nil {
		s.Change = c.state.Outcome(&fleet.Ask{Kind: "apply", ID: u.ID})
		s.Change.Outstanding = c.outstanding(u.ID)
	}
	for _, name := range sorted(c.state.Members) {
		m := fleet.MemberStatus{Member: *c.state.Members[name], Votes: c.isVoter(name)}
		if c.isLeader {
			m.Holds = fleet.HoldingOf(c.mayHoldLease(name, c.config.Lease))
			if p := c.peers[name]; p != nil {
				m.Applied = p.appliedIndex
			}
		}
		s.Members = append(s.Members, m)
	}
	for _, id := range sorted(c.state.Purges) {
		if r := c.state.Purges[id]; r.Stage != fleet.Erased {
			w := c.state.Outcome(&fleet.Ask{Kind: "purge", ID: id})
			w.Outstanding = c.outstanding(id)
			s.Purges = append(s.Purges, *w)
		}
	}
	s.Emergencies = sorted(c.state.Emergencies)
	return s
}
