package node

import (
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
)

// What operators, customers and the reducer ask for, and what they are told.

func (c *Core) asked(a *fleet.Ask, handle uint64) {
	wait := time.Duration(a.Wait) * time.Millisecond
	if wait <= 0 {
		wait = 10 * time.Second
	}
	if a.Kind == "status" && a.ID == "" {
		c.do(Effect{Kind: Told, Handle: handle, Reply: &fleet.Reply{Word: "status", Status: c.Status()}})
		return
	}
	if a.Kind == "policy" {
		c.do(Effect{Kind: Told, Handle: handle, Reply: &fleet.Reply{Word: "policy", Version: c.state.Version, Policy: c.state.Policy}})
		return
	}
	c.asks = append(c.asks, &asking{ask: a, handle: handle, until: c.now + wait, next: c.now})
}

// known says whether the record has heard of an ask already: then it isn't passed on.
func (c *Core) known(a *fleet.Ask) bool {
	switch a.Kind {
	case "apply":
		return c.state.Changes[a.ID] != nil
	case "purge":
		return c.state.Purges[a.ID] != nil
	case "status":
		return true
	}
	return c.word(a).Word != "unknown"
}

// word is what can be told now. A status with an id is of whatever has that id.
func (c *Core) word(a *fleet.Ask) *fleet.Reply {
	if a.Kind == "status" {
		b := *a
		if b.Kind = "apply"; c.state.Changes[a.ID] == nil {
			b.Kind = "purge"
		}
		return c.state.Word(&b)
	}
	return c.state.Word(a)
}

// answer tells those whose word is there, or whose time is over, and passes on what
// the record has not heard of.
func (c *Core) answer() {
	c.asks = slices.DeleteFunc(c.asks, func(a *asking) bool {
		r := c.word(a.ask)
		r.ID = a.ask.ID
		if r.Word == "unknown" && c.now < a.until {
			if c.now >= a.next {
				a.next = c.now + askAgain
				if !c.known(a.ask) {
					c.pass(a.ask)
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
			c.do(Effect{Kind: Order, Order: fleet.Order{Kind: fleet.Answered, ID: a.ask.ID, Reply: r}})
		} else {
			c.do(Effect{Kind: Told, Handle: a.handle, Reply: r})
		}
		return true
	})
}

const askAgain = 300 * time.Millisecond

// pass brings an ask to who leads. It may be lost, and is passed on again until the
// record has it; its id makes that harmless.
func (c *Core) pass(a *fleet.Ask) {
	if c.leads {
		c.propose(c.entryOf(a))
		return
	}
	if via := c.relayInUse(); via != nil { // which may reach the leader where this controller doesn't
		c.send(via.Name, via.Address, &Message{Ask: a})
		return
	}
	if c.leader != "" {
		c.send(c.leader, c.addressOf(c.leader), &Message{Ask: a})
	}
}

func (c *Core) entryOf(a *fleet.Ask) *fleet.Entry {
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
	if c.leads {
		return c.waits[id]
	}
	return c.told[id]
}

// Status is how this controller sees the fleet.
func (c *Core) Status() *fleet.Status {
	s := &fleet.Status{Name: c.b.Self.Name, Leader: c.leader, Index: c.state.Index, Version: c.state.Version, Serves: c.serves(),
		LeaseMS: -1, Bindings: c.state.Bindings, Counts: c.Counts}
	if c.until != fleet.Forever {
		s.LeaseMS = max(0, (c.until - c.now).Milliseconds())
	}
	if u := c.state.Under(); u != nil {
		s.Change = c.state.Word(&fleet.Ask{Kind: "apply", ID: u.ID})
		s.Change.Outstanding = c.outstanding(u.ID)
	}
	for _, name := range sorted(c.state.Members) {
		m := fleet.MemberStatus{Member: *c.state.Members[name], Votes: c.voting(name)}
		if c.leads {
			m.Holds = fleet.HoldingOf(c.mayHold(name, c.b.Lease))
			if p := c.peers[name]; p != nil {
				m.Applied = p.applied
			}
		}
		s.Members = append(s.Members, m)
	}
	for _, id := range sorted(c.state.Purges) {
		if r := c.state.Purges[id]; r.Stage != fleet.Erased {
			w := c.state.Word(&fleet.Ask{Kind: "purge", ID: id})
			w.Outstanding = c.outstanding(id)
			s.Purges = append(s.Purges, *w)
		}
	}
	s.Emergencies = sorted(c.state.Emergencies)
	return s
}
