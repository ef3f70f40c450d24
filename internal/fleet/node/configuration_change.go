package node

import (
	"fmt"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

func (c *Core) driveChange() {
	u := c.state.Under()
	if u == nil {
		return
	}
	if _, had := c.changeSeenAt[u.ID]; !had {
		c.changeSeenAt[u.ID] = c.now
	}
	withdraw := func(why string) {
		c.throttle("withdraw "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Withdraw, ID: u.ID, Why: why}) })
	}
	most := time.Duration(u.AtMost) * time.Millisecond
	late := u.AtMost > 0 && c.now-c.changeSeenAt[u.ID] >= most
	switch u.Phase {
	case statemachine.Proposed:
		for _, name := range c.memberNames() {
			if p := c.peers[name]; p != nil && p.renewal != nil && p.renewal.ValidationResults[u.ID] != "" {
				withdraw(name + " can't take it: " + p.renewal.ValidationResults[u.ID])
				return
			}
		}
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { _, ok := r.ValidationResults[u.ID]; return ok })
		if late && len(wait) > 0 {
			withdraw(fmt.Sprintf("not checked by %s within %v", nameList(wait), most))
			return
		}
		k := c.validations[u.ID]
		if k != nil && k.done && k.reason != "" { // a control process, which isn't waited for
			withdraw(c.config.Self.Name + " can't take it: " + k.reason)
			return
		}
		if len(wait) == 0 && k != nil && k.done {
			c.throttle("close "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Close, ID: u.ID, Scopes: k.purgeScopes, Voters: k.voters}) })
		}
		c.setWaitingFor(u.ID, wait)
	case statemachine.Closing:
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { return r.FencedFor == u.ID })
		if late && len(wait) > 0 {
			withdraw(fmt.Sprintf("not stopped by %s within %v", nameList(wait), most))
			return
		}
		if barrierPassed(wait) {
			c.throttle("force "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Force, ID: u.ID}) })
		}
		c.setWaitingFor(u.ID, wait)
	case statemachine.Decided:
		// one that was down while it was checked and can't take it serves nothing by it
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { return r.PolicyVersion >= u.Version || r.ValidationResults[u.ID] != "" })
		if barrierPassed(wait) {
			c.throttle("settle "+u.ID, func() { c.propose(&fleet.Entry{Kind: fleet.Settle, ID: u.ID}) })
		}
		c.setWaitingFor(u.ID, wait)
	}
}

// barrierPassed reports whether a change may take its next step: every controller that
// may still serve by the policy before has stopped, or told that it decides by the new
// one. awaited are those that have not.
func barrierPassed(awaited []string) bool {
	return len(awaited) == 0
}

// finish tells when what a tighter policy left outside is over.
func (c *Core) finishChanges() {
	for _, id := range sorted(c.state.Changes) {
		ch := c.state.Changes[id]
		if ch.Phase != statemachine.InForce || ch.Settled {
			continue
		}
		done := true
		for _, r := range c.state.Purges {
			done = done && (r.Settles != id || r.Stage == fleet.Erased)
		}
		wait := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool { return r.PolicyVersion >= ch.Version && r.AttemptsOutside == 0 })
		c.setWaitingFor(id, wait)
		if done && len(wait) == 0 {
			c.throttle("finish "+id, func() { c.propose(&fleet.Entry{Kind: fleet.Finish, ID: id}) })
		}
	}
}

// reelect brings those who vote in line with the record.
func (c *Core) alignVoters() {
	var want []consensus.Voter
	for _, v := range c.state.Voters {
		name, address := statemachine.VoterOf(v)
		want = append(want, consensus.Voter{Name: name, Address: address})
	}
	same := len(want) == len(c.voters)
	for _, v := range want {
		same = same && slices.Contains(c.voters, v)
	}
	if !same {
		c.throttle("voters", func() {
			c.stepConsensus(consensus.Event{Kind: consensus.Voters, Voters: want})
		})
	}
}
