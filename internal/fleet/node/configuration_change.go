package node

import (
	"fmt"
	"slices"
	"time"

	"railrelay.dev/railrelay/internal/fleet"
	"railrelay.dev/railrelay/internal/fleet/consensus"
	"railrelay.dev/railrelay/internal/fleet/statemachine"
)

// The leader's side of a policy change. The phases are those of the state machine, so that the
// next leader can continue the change:
//
//	phase       the leader waits for every controller that may hold a lease     entry it logs
//	proposed    to have validated the policy                                    close (fence)
//	closing     to be fenced, i.e. to decide nothing by the old version              force (commit)
//	decided     to decide by the new version                                    settle
//	in force    to have nothing left outside the sites of the new version       finish
//
// A change that is proposed or closing is aborted (withdraw) if a controller can't serve by its
// policy, or if its timeout passes. A committed change is never aborted.

// driveChange advances the policy change that is under way.
func (c *Core) driveChange() {
	change := c.state.ChangeUnderWay()
	if change == nil {
		return
	}
	if _, seen := c.changeSeenAt[change.ID]; !seen {
		c.changeSeenAt[change.ID] = c.now
	}
	switch change.Phase {
	case statemachine.Proposed:
		c.driveProposed(change)
	case statemachine.Fencing:
		c.driveFencing(change)
	case statemachine.Committed:
		c.driveCommitted(change)
	}
}

// driveProposed fences a change once every controller has validated its policy. It aborts the change if a
// controller can't serve by the policy, or if the timeout passes.
func (c *Core) driveProposed(change *statemachine.PolicyChange) {
	id := change.ID
	for _, name := range c.memberNames() {
		p := c.peers[name]
		if p == nil || p.renewal == nil {
			continue
		}
		if reason := p.renewal.ValidationResults[id]; reason != "" {
			c.abort(change, name+" can't serve by the policy: "+reason)
			return
		}
	}
	waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
		_, validated := r.ValidationResults[id]
		return validated
	})
	if c.isTimedOut(change) && len(waiting) > 0 {
		c.abort(change, fmt.Sprintf("not validated by %s within %v", nameList(waiting), changeTimeout(change)))
		return
	}
	own := c.validations[id]
	validated := own != nil && own.done
	if validated && own.reason != "" { // this leader may be a control process, which isn't waited for
		c.abort(change, c.config.Self.Name+" can't serve by the policy: "+own.reason)
		return
	}
	if len(waiting) == 0 && validated {
		c.proposeOnce("close "+id, &fleet.Entry{
			Kind:   fleet.EntryFence,
			ID:     id,
			Scopes: own.purgeScopes,
			Voters: own.voters,
		})
	}
	c.setWaitingFor(id, waiting)
}

// driveFencing commits a change once no controller decides by the previous version. It aborts the change if
// the timeout passes first.
func (c *Core) driveFencing(change *statemachine.PolicyChange) {
	waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
		return r.FencedFor == change.ID
	})
	if c.isTimedOut(change) && len(waiting) > 0 {
		c.abort(change, fmt.Sprintf("not fenced by %s within %v", nameList(waiting), changeTimeout(change)))
		return
	}
	if len(waiting) == 0 { // fenced everywhere
		c.proposeOnce("force "+change.ID, &fleet.Entry{Kind: fleet.EntryCommit, ID: change.ID})
	}
	c.setWaitingFor(change.ID, waiting)
}

// driveCommitted puts a change in force once every controller decides by it. A controller that was
// down during the validation and can't serve by the policy serves nothing and isn't waited for.
func (c *Core) driveCommitted(change *statemachine.PolicyChange) {
	waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
		return r.PolicyVersion >= change.Version || r.ValidationResults[change.ID] != ""
	})
	if len(waiting) == 0 {
		c.proposeOnce("settle "+change.ID, &fleet.Entry{Kind: fleet.EntryEnterForce, ID: change.ID})
	}
	c.setWaitingFor(change.ID, waiting)
}

// abort ends a change that isn't committed. No controller ever decides by it.
func (c *Core) abort(change *statemachine.PolicyChange, reason string) {
	c.proposeOnce("withdraw "+change.ID, &fleet.Entry{Kind: fleet.EntryAbort, ID: change.ID, Reason: reason})
}

// isTimedOut reports whether the timeout of a change has passed since this leader first saw it.
func (c *Core) isTimedOut(change *statemachine.PolicyChange) bool {
	return change.AbortAfterMs > 0 && c.now-c.changeSeenAt[change.ID] >= changeTimeout(change)
}

func changeTimeout(change *statemachine.PolicyChange) time.Duration {
	return time.Duration(change.AbortAfterMs) * time.Millisecond
}

// finishChanges logs the end of a change once nothing is left outside the sites of its policy: its
// invalidations are erased, and no attempt of a confined tenant runs outside.
func (c *Core) finishChanges() {
	for _, id := range sorted(c.state.Changes) {
		change := c.state.Changes[id]
		if change.Phase != statemachine.InForce || change.Settled {
			continue
		}
		erased := true
		for _, purge := range c.state.Purges {
			erased = erased && (purge.ParentID != id || purge.Stage == fleet.EntryErased)
		}
		waiting := c.unconfirmedHolders(c.config.Lease, func(r *LeaseRenewal) bool {
			return r.PolicyVersion >= change.Version && r.AttemptsOutside == 0
		})
		c.setWaitingFor(id, waiting)
		if erased && len(waiting) == 0 {
			c.proposeOnce("finish "+id, &fleet.Entry{Kind: fleet.EntryFinishCleanup, ID: id})
		}
	}
}

// alignVoters changes the voters of consensus to those that the log names.
func (c *Core) alignVoters() {
	var want []consensus.Voter
	for _, v := range c.state.Voters {
		name, address := statemachine.SplitVoter(v)
		want = append(want, consensus.Voter{Name: name, Address: address})
	}
	same := len(want) == len(c.voters)
	for _, v := range want {
		same = same && slices.Contains(c.voters, v)
	}
	if !same {
		c.throttle("voters", func() {
			c.stepConsensus(consensus.Event{Kind: consensus.ChangeVoters, Voters: want})
		})
	}
}
